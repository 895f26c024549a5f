use std::sync::Arc;

use futures::FutureExt;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::body::{BodyError, read_body, read_json};
use super::context::EntryContext;
use super::health_routes::{add_health_routes, add_metrics_route};
use super::job_routes::{JobPath, view_answer};
use super::response::json_response;
use super::route::{HttpError, RouteFuture, RouteResult, route};
use crate::control::{JOBS_PER_CALL_MAX, JobFilter};
use crate::release_note::{NoteAnswer, ReleaseNote};
use crate::scheduler::JobKey;
use crate::units::{Millis, TeamId};

/// Body of a request to cancel jobs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelJobs {
    /// Keys of the jobs.
    pub jobs: Vec<JobKey>,
}

/// Query parameters that select the jobs to list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobsQuery {
    team: Option<TeamId>,
    #[serde(default)]
    unended_only: bool,
    #[serde(default = "JobsQuery::default_limit")]
    limit: u32,
}

impl JobsQuery {
    const fn default_limit() -> u32 {
        100
    }
}

impl StateData for JobsQuery {}

impl StaticResponseExtender for JobsQuery {
    type ResBody = Body;

    fn extend(_state: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

/// Returns the router of the operators' listener.
#[must_use]
pub fn operators_router(context: &Arc<EntryContext>) -> Router {
    build_simple_router(|builder| {
        add_health_routes(builder, context);
        add_metrics_route(builder, context);
        builder
            .post("/v1/release-notes")
            .to_new_handler(route(context, apply));
        builder
            .get("/v1/status")
            .to_new_handler(route(context, status));
        builder
            .get("/v1/jobs")
            .with_query_string_extractor::<JobsQuery>()
            .to_new_handler(route(context, list));
        builder
            .get("/v1/jobs/:team/:id")
            .with_path_extractor::<JobPath>()
            .to_new_handler(route(context, explain));
        builder
            .post("/v1/jobs/cancel")
            .to_new_handler(route(context, cancel));
    })
}

fn apply<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async { apply_note(context, &read_body(state).await?).await }.boxed()
}

async fn apply_note(context: &EntryContext, body: &[u8]) -> RouteResult {
    let text = str::from_utf8(body).map_err(|cause| BodyError::Malformed {
        cause: format_smolstr!("not text: {cause}"),
    })?;
    let answer = match ReleaseNote::parse(text) {
        Ok(note) => context.client().apply_note(note).await?,
        Err(faults) => NoteAnswer::Invalid { faults },
    };
    let status = match &answer {
        NoteAnswer::Accepted { .. } | NoteAnswer::AlreadyAccepted { .. } => StatusCode::OK,
        NoteAnswer::VersionTaken { .. } | NoteAnswer::Stale { .. } => StatusCode::CONFLICT,
        NoteAnswer::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
    };
    Ok(json_response(status, &answer))
}

fn status<'a>(context: &'a EntryContext, _state: &'a mut State) -> RouteFuture<'a> {
    async {
        let status = context.client().status().await?;
        Ok(json_response(StatusCode::OK, &status))
    }
    .boxed()
}

fn list<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let query = JobsQuery::take_from(state);
        let filter = JobFilter {
            team: query.team,
            unended_only: query.unended_only,
            limit: query.limit,
        };
        let views = context.client().jobs(filter).await?;
        Ok(json_response(StatusCode::OK, &views))
    }
    .boxed()
}

fn explain<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let key = JobPath::take_from(state).into_key();
        let view = context.client().job(key.clone(), Millis::ZERO).await?;
        view_answer(view, &key)
    }
    .boxed()
}

fn cancel<'a>(context: &'a EntryContext, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let CancelJobs { jobs } = read_json(state).await?;
        let asked = jobs.len();
        if asked == 0 || asked > JOBS_PER_CALL_MAX {
            let message =
                format_smolstr!("jobs has {asked} items; 1 to {JOBS_PER_CALL_MAX} are allowed");
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return Err(HttpError::new(status, "invalid", message));
        }
        let views = context.client().cancel_jobs(jobs).await?;
        Ok(json_response(StatusCode::OK, &views))
    }
    .boxed()
}
