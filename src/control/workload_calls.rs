//! Decides callers' calls on the applied state, independently of how the calls arrive.

use std::sync::Arc;

use tracing::info;

use crate::units::Millis;
use crate::workload::{
    CallerAnswer, JobNumber, Phase, Queue, QueueOperation, QueueRequest, WorkAnswer, Workload,
    WorkloadCommand, WorkloadReply,
};

/// How long a caller is asked to wait before it retries if too many jobs are queued.
const OVERLOAD_RETRY_MS: Millis = Millis(2_000);

/// How a caller's call is handled.
pub(super) enum Decision {
    /// The call is answered immediately.
    Answer(CallerAnswer),
    /// The call needs a change, and the reply to the change determines the answer.
    Change(WorkloadCommand),
}

/// Decides a call on the applied state. A call that needs no change is answered immediately.
pub(super) fn decide_call(call: &QueueRequest, state: &Workload) -> Decision {
    let Some(declaration) = state.declaration() else {
        return Decision::Answer(CallerAnswer::NotConfigured);
    };
    let Some(queue) = declaration.queue_for_path(&call.host, &call.path) else {
        return Decision::Answer(CallerAnswer::NoQueue);
    };
    let team = call
        .key
        .as_deref()
        .and_then(|key| declaration.team_for_key(key));
    if team.is_none() && !queue.public {
        return Decision::Answer(CallerAnswer::BadKey);
    }
    let team = team.map(|team| team.name.clone());
    let rest = &call.path[queue.path.prefix.len()..];
    if rest.is_empty() && call.operation == QueueOperation::Show {
        let jobs = waiting_jobs(state, queue);
        return Decision::Answer(CallerAnswer::Waiting { jobs });
    }
    let Ok(id) = rest.parse() else {
        return Decision::Answer(CallerAnswer::NoId);
    };
    let known = state.job_number(&id).and_then(|number| {
        let job = state.job(number)?;
        (job.queue == queue.path && job.team == team).then_some((number, job.phase))
    });
    match (&call.operation, known) {
        (QueueOperation::Submit(spec), _) => Decision::Change(WorkloadCommand::Submit {
            id,
            host: call.host.clone(),
            path: call.path.clone(),
            team,
            spec: Arc::clone(spec),
        }),
        (QueueOperation::Show, Some((_number, phase))) => {
            Decision::Answer(CallerAnswer::Phase(phase))
        }
        (QueueOperation::Cancel, Some((number, phase))) => cancel(number, phase),
        (QueueOperation::Show | QueueOperation::Cancel, None) => {
            Decision::Answer(CallerAnswer::NoJob)
        }
    }
}

fn cancel(job: JobNumber, phase: Phase) -> Decision {
    if phase.is_ended() {
        return Decision::Answer(CallerAnswer::Cancelled);
    }
    Decision::Change(WorkloadCommand::Cancel { job })
}

fn waiting_jobs(state: &Workload, queue: &Queue) -> u64 {
    let waiting = state
        .open_jobs()
        .filter(|(_number, job)| job.phase == Phase::Queued && job.queue == queue.path);
    u64::try_from(waiting.count()).unwrap_or(u64::MAX)
}

pub(super) fn answer_from_reply(reply: &WorkloadReply) -> WorkAnswer {
    let call = match reply {
        WorkloadReply::Done => return WorkAnswer::Done,
        WorkloadReply::Invalid(fault) => return WorkAnswer::Invalid(fault.clone()),
        WorkloadReply::NoQueue => CallerAnswer::NoQueue,
        WorkloadReply::BadJob(fault) => CallerAnswer::BadJob(*fault),
        WorkloadReply::OtherJob => CallerAnswer::OtherJob,
        WorkloadReply::TooManyJobs => CallerAnswer::Overloaded {
            retry_after_ms: OVERLOAD_RETRY_MS,
        },
    };
    WorkAnswer::Call(call)
}

pub(super) fn log_refusal(call: &QueueRequest, answer: &CallerAnswer) {
    let is_refusal = matches!(
        answer,
        CallerAnswer::NotConfigured | CallerAnswer::NoQueue | CallerAnswer::BadKey
    );
    if is_refusal {
        info!(event = "call_refused", host = %call.host, path = %call.path, cause = ?answer);
    }
}
