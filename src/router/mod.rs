//! Endpoint choice, slot shares, fair queues, retries and connection health: pure cores.
//!
//! [`ShareBook`] stands on the control leader and divides endpoints among entries. docs/DESIGN.md
//! tells how the two work together.

mod acceptance;
mod divide;
mod share_book;
mod shared_endpoint;

pub use acceptance::{Acceptance, accept, may_start_work};
pub use share_book::ShareBook;
