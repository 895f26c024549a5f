//! The entry: the HTTP gateway for callers, endpoints, workers and operators.
//!
//! It forwards service requests to endpoints, and passes jobs, polls and announcements to the
//! leader of the control group. It starts new work only while it holds a grant from the leader.

mod attempt_guard;
mod body;
mod client_io;
mod context;
mod endpoint_client;
mod endpoint_routes;
pub mod exchange;
mod forward;
mod forward_at_most_once;
mod forward_idempotent;
mod forward_request;
mod grant;
mod health_routes;
mod held_polls;
mod job_routes;
mod job_validation;
mod listener;
mod operator_routes;
mod relay_body;
mod reports;
mod request_records;
mod response;
mod route;
mod service_routes;
mod worker_routes;

pub use body::{BodyError, read_body, read_json, release_body, reserve_decoded};
pub use context::EntryContext;
pub use endpoint_routes::{AnnounceFn, AnnouncementRelay, add_endpoint_routes};
pub use exchange::{Exchange, ExchangeOptions};
pub use forward::{BeginFn, FinishFn, ForwardOptions, Forwarder, ReportUsageFn};
pub use forward_request::{CallerRequest, ForwardError, ForwardResponse};
pub use grant::{AnswerOutcome, EntryState, GrantHolder, SentExchange};
pub use health_routes::{Health, add_health_routes, add_metrics_route};
pub use job_routes::{JobAccepted, WAIT_MAX_MS, add_job_routes};
pub use job_validation::validate_job;
pub use listener::{Listener, ListenerHandle};
pub use operator_routes::{CancelJobs, operators_router};
pub use response::{ErrorBody, error_response, json_response, text_response};
pub use route::{HttpError, RouteFn, RouteFuture, RouteResult, route};
pub use service_routes::{add_service_routes, read_request};
pub use worker_routes::{add_worker_routes, validate_poll};
