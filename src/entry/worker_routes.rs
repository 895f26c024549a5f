use std::sync::Arc;

use futures::FutureExt;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use gotham::state::State;
use http::StatusCode;
use smol_str::SmolStr;

use super::body::{read_json, release_body};
use super::context::EntryContext;
use super::response::json_response;
use super::route::{HttpError, RouteFuture, RouteResult, route};
use crate::fleet::{TaskReport, TaskState, WorkerPoll};

/// Maximum number of tasks reported in one poll.
const TASKS_MAX: usize = 1_024;
/// Maximum size of a task's result in bytes.
const RESULT_MAX_BYTES: usize = 64 * 1_024;
/// Maximum size of a task's failure cause, refusal reason or checkpoint in bytes.
const TEXT_MAX_BYTES: usize = 4 * 1_024;
/// Maximum number of accelerators per worker.
const ACCELERATORS_MAX: u32 = 64;
/// Maximum number of cores per worker.
const CORES_MAX: u32 = 16_384;
/// Maximum memory per worker in megabytes.
const MEMORY_MAX_MB: u64 = 64 * 1_024 * 1_024;

/// Adds the route on which workers poll for orders.
pub fn add_worker_routes(builder: &mut RouterBuilder<'_, (), ()>, context: &Arc<EntryContext>) {
    builder
        .post("/v1/workers/poll")
        .to_new_handler(route(context, poll));
}

fn poll<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let poll = read_json(state).await?;
        release_body(state);
        poll_worker(context, poll).await
    }
    .boxed()
}

async fn poll_worker(context: &EntryContext, poll: WorkerPoll) -> RouteResult {
    let faults = validate_poll(&poll);
    if !faults.is_empty() {
        let message = SmolStr::from(faults.join("; "));
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        return Err(HttpError::new(status, "invalid", message));
    }
    let orders = context.exchange.poll_worker(poll).await?;
    Ok(json_response(StatusCode::OK, &orders))
}

/// Returns all faults of a poll that deserialization does not detect.
#[must_use]
pub fn validate_poll(poll: &WorkerPoll) -> Vec<String> {
    let mut faults = Vec::new();
    let mut within = |field: &str, value: u64, max: u64| {
        if value > max {
            faults.push(format!("{field} is {value}, at most {max} is allowed"));
        }
    };
    let capacity = poll.capacity;
    within(
        "capacity.accelerators",
        capacity.accelerators.get().into(),
        ACCELERATORS_MAX.into(),
    );
    within(
        "capacity.cores",
        capacity.cores.get().into(),
        CORES_MAX.into(),
    );
    within(
        "capacity.memory_mb",
        capacity.memory_mb.get(),
        MEMORY_MAX_MB,
    );
    if poll.tasks.len() > TASKS_MAX {
        let tasks = poll.tasks.len();
        faults.push(format!(
            "tasks has {tasks} items, at most {TASKS_MAX} are allowed"
        ));
    }
    let tasks = poll.tasks.iter().enumerate();
    faults.extend(tasks.filter_map(|(index, report)| check_task(index, report)));
    faults
}

fn check_task(index: usize, report: &TaskReport) -> Option<String> {
    let (text, max) = match &report.state {
        TaskState::Succeeded { result } => (result.as_str(), RESULT_MAX_BYTES),
        TaskState::Refused { reason } => (reason.as_str(), TEXT_MAX_BYTES),
        TaskState::Failed { cause } => (cause.as_str(), TEXT_MAX_BYTES),
        TaskState::Checkpointed { checkpoint } => (checkpoint.0.as_str(), TEXT_MAX_BYTES),
        _ => return None,
    };
    let bytes = text.len();
    let fault = || format!("tasks[{index}].state has {bytes} bytes, at most {max} are allowed");
    (bytes > max).then(fault)
}
