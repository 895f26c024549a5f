use std::sync::Arc;

use futures::FutureExt;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::body::read_json;
use super::context::EntryContext;
use super::job_validation::validate_job;
use super::response::json_response;
use super::route::{HttpError, RouteFuture, RouteResult, route};
use crate::control::{ControlError, JobView};
use crate::request_ledger::Outcome;
use crate::scheduler::{JobKey, JobSpec, NotRunReason, SubmitAnswer};
use crate::units::{JobId, Millis, TeamId};

/// Maximum time that a job query is held open.
pub const WAIT_MAX_MS: Millis = Millis(20_000);

/// Response to an accepted submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobAccepted {
    /// Key of the job.
    pub job: JobKey,
    /// Always `accepted`.
    pub answer: SmolStr,
}

/// Path parameters that identify a job.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct JobPath {
    team: TeamId,
    id: JobId,
}

/// Query parameter with the time to wait for the end of a job.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WaitQuery {
    #[serde(default)]
    wait_ms: Millis,
}

impl StateData for JobPath {}
impl StateData for WaitQuery {}

impl StaticResponseExtender for JobPath {
    type ResBody = gotham::helpers::http::Body;

    fn extend(_state: &mut State, response: &mut http::Response<Self::ResBody>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl StaticResponseExtender for WaitQuery {
    type ResBody = gotham::helpers::http::Body;

    fn extend(_state: &mut State, response: &mut http::Response<Self::ResBody>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

impl JobPath {
    pub(super) fn into_key(self) -> JobKey {
        JobKey {
            team: self.team,
            id: self.id,
        }
    }
}

/// Adds the callers' routes for jobs.
pub fn add_job_routes(builder: &mut RouterBuilder<'_, (), ()>, context: &Arc<EntryContext>) {
    builder
        .post("/v1/jobs")
        .to_new_handler(route(context, submit));
    builder
        .get("/v1/jobs/:team/:id")
        .with_path_extractor::<JobPath>()
        .with_query_string_extractor::<WaitQuery>()
        .to_new_handler(route(context, show));
    builder
        .delete("/v1/jobs/:team/:id")
        .with_path_extractor::<JobPath>()
        .to_new_handler(route(context, cancel));
}

fn submit<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async { submit_job(context, read_json(state).await.map_err(not_run)?).await }.boxed()
}

fn show<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let key = JobPath::take_from(state).into_key();
        let wait_ms = WaitQuery::take_from(state).wait_ms.min(WAIT_MAX_MS);
        let view = fetch_job(context, &key, wait_ms).await?;
        view_answer(view, &key)
    }
    .boxed()
}

fn cancel<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let key = JobPath::take_from(state).into_key();
        let views = context.client().cancel_jobs(vec![key.clone()]).await?;
        view_answer(views.into_iter().next(), &key)
    }
    .boxed()
}

async fn submit_job(context: &EntryContext, spec: JobSpec) -> RouteResult {
    let faults = validate_job(&spec);
    if !faults.is_empty() {
        let message = SmolStr::from(faults.join("; "));
        let error = HttpError::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message);
        return Err(error.with_outcome(Outcome::NotRun));
    }
    let job = spec.key.clone();
    let submitted = context.client().submit_job(spec).await;
    match submitted.map_err(submit_error)? {
        SubmitAnswer::Accepted => {
            let answer = SmolStr::new_static("accepted");
            let accepted = JobAccepted { job, answer };
            Ok(json_response(StatusCode::ACCEPTED, &accepted))
        }
        SubmitAnswer::IdTaken => {
            let message = "the id was used with other content; the earlier job stands";
            Err(HttpError::new(StatusCode::CONFLICT, "id_taken", message))
        }
        SubmitAnswer::NotRun { reason } => Err(not_run_error(&reason)),
    }
}

/// Waits for the end of the job, or until a planned stop begins.
async fn fetch_job(
    context: &EntryContext,
    key: &JobKey,
    wait_ms: Millis,
) -> Result<Option<JobView>, ControlError> {
    let waiting = context.client().job(key.clone(), wait_ms);
    tokio::select! {
        view = waiting => view,
        () = context.leaving.cancelled() => context.client().job(key.clone(), Millis::ZERO).await,
    }
}

pub(super) fn view_answer(view: Option<JobView>, key: &JobKey) -> RouteResult {
    let unknown = || {
        let message = format_smolstr!("job {key} is not known");
        HttpError::new(StatusCode::NOT_FOUND, "not_found", message)
    };
    let view = view.ok_or_else(unknown)?;
    Ok(json_response(StatusCode::OK, &view))
}

fn not_run(fault: impl Into<HttpError>) -> HttpError {
    fault.into().with_outcome(Outcome::NotRun)
}

/// Converts the error of a submission. One that may still be committed must not be reported as not
/// run.
fn submit_error(error: ControlError) -> HttpError {
    let outcome = match error {
        ControlError::Uncertain => Outcome::Unknown,
        ControlError::NotLeader { .. }
        | ControlError::Refused { .. }
        | ControlError::Unreachable
        | ControlError::Expired => Outcome::NotRun,
    };
    HttpError::from(error).with_outcome(outcome)
}

fn not_run_error(reason: &NotRunReason) -> HttpError {
    let (status, code, message) = match reason {
        NotRunReason::NeverFits { nearest } => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "never_fits",
            format_smolstr!("no declared rack could ever hold it; nearest: {nearest}"),
        ),
        NotRunReason::Cancelled => (
            StatusCode::CONFLICT,
            "cancelled",
            "it was cancelled before it started".to_smolstr(),
        ),
        NotRunReason::QueueFull => (
            StatusCode::TOO_MANY_REQUESTS,
            "queue_full",
            "the team has as many waiting jobs as it may have".to_smolstr(),
        ),
        NotRunReason::NoSuchTeam => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "no_such_team",
            "there is no such team".to_smolstr(),
        ),
        NotRunReason::TooOld => (
            StatusCode::CONFLICT,
            "too_old",
            "the id was made too long ago; a job that is not idempotent needs a new one"
                .to_smolstr(),
        ),
        NotRunReason::NoMadeTime => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "no_made_time",
            "made_ms is missing or lies in the future".to_smolstr(),
        ),
        NotRunReason::AttemptsExhausted { cause } => (
            StatusCode::CONFLICT,
            "attempts_exhausted",
            format_smolstr!("its attempts ended before any start: {cause}"),
        ),
    };
    HttpError::new(status, code, message).with_outcome(Outcome::NotRun)
}
