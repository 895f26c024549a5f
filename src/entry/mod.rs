//! An entry: its listeners for callers, endpoints and workers, and operators.

mod answer;
mod body;
mod client_io;
mod connections;
mod context;
pub mod exchange;
mod grant;
mod health;
mod held_polls;
mod job_check;
mod jobs;
mod listener;
mod operators;
mod reports;
mod route;
mod workers;

pub use answer::{ErrorAnswer, error_answer, json_answer, text_answer};
pub use body::{BodyFault, read_body, read_json};
pub use context::EntryContext;
pub use exchange::{Exchange, ExchangeOptions};
pub use grant::{EntryState, GrantHolder, Sent, Taken};
pub use health::{Health, draw_health, draw_metrics};
pub use job_check::check_job;
pub use jobs::{JobAccepted, WAIT_MAX_MS, draw_jobs};
pub use listener::{Listener, ListenerHandle};
pub use operators::{CancelJobs, operators_router};
pub use route::{Answer, Answering, Refusal, RouteFn, route};
pub use workers::{check_poll, draw_workers};
