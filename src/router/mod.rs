//! Request routing: endpoint selection, slot shares, fair queues, retries and connection health.
//!
//! [`ShareAllocator`] runs on the control leader and divides the capacity of endpoints among
//! entries. [`Router`] runs in an entry and sends requests within the entry's shares. Neither does
//! any I/O or reads a clock; docs/DESIGN.md describes how they work together.

mod admission;
mod announcement_check;
mod core;
mod dispatch;
mod endpoint_state;
mod entry_shares;
mod event;
mod fair_queue;
pub mod limits;
mod max_min;
mod request_state;
mod retry_budget;
mod service_state;
mod share_allocator;
mod shared_endpoint;

pub use self::core::Router;
pub use announcement_check::{AnnouncementCheck, accepts_new_work, check_announcement};
pub use event::{
    AttemptOutcome, ConnectionId, EndpointInstance, QueuedRequest, RefusalKind, RouterAction,
    RouterEvent, RouterRefusal, RouterView, SendOrder, Ticket, UsageReport,
};
pub use limits::{
    ATTEMPTS_MAX, IDLE_TIMEOUT_MS, NON_IDEMPOTENT_IDLE_MAX_MS, QUEUE_MAX,
    RESPONSE_TIMEOUT_INITIAL_MS, RESPONSE_TIMEOUT_MAX_MS, RESPONSE_TIMEOUT_MIN_MS, RETRY_BURST,
};
pub use share_allocator::ShareAllocator;
