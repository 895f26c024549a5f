//! Endpoint choice, slot shares, fair queues, retries and connection health: pure cores.
//!
//! [`ShareBook`] stands on the control leader and divides endpoints among entries; [`Router`] stands in
//! an entry and sends requests within its shares. docs/DESIGN.md tells how the two work together.

mod acceptance;
mod admission;
mod core;
mod dispatch;
mod divide;
mod endpoint_state;
mod event;
mod fair_queue;
pub mod limits;
mod request_state;
mod retry_budget;
mod service_state;
mod share_book;
mod share_list;
mod shared_endpoint;

pub use self::core::Router;
pub use acceptance::{Acceptance, accept, may_start_work};
pub use event::{
    AttemptEnd, ConnectionId, EndpointRun, QueuedRequest, RefusalKind, RouterAction, RouterEvent,
    RouterRefusal, RouterView, SendOrder, Ticket, UsesReport,
};
pub use limits::{
    ANSWER_FIRST_MS, ANSWER_MAX_MS, ANSWER_MIN_MS, ATTEMPTS_MAX, IDLE_MAX_MS, JUST_ANSWERED_MS,
    QUEUE_MAX, RETRY_BURST,
};
pub use share_book::ShareBook;
