//! An entry: its listeners for callers, endpoints and workers, and operators.

mod answer;
mod body;
mod client_io;
mod connections;
mod listener;
mod route;

pub use answer::{ErrorAnswer, error_answer, json_answer, text_answer};
pub use body::{BodyFault, read_body, read_json};
pub use listener::{Listener, ListenerHandle};
pub use route::{Answer, Answering, Refusal, RouteFn, route};
