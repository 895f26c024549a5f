//! Budgets of bytes that untrusted clients can make a process hold.
//!
//! Load pattern: hundreds of clients send large bodies at once and stop just short of their end, so
//! that limits on one body do not bound the sum. Bytes are therefore reserved before memory is used,
//! and when a budget is exhausted the body without progress for the longest time is closed.

mod frames;
mod holder;
mod ledger;

pub(crate) use frames::BudgetedStream;
pub(crate) use holder::{BudgetError, ByteBudget, Holder};
pub(crate) use ledger::RESPONSE_STALLED_MIN_MS;
pub use ledger::{BudgetLedger, BudgetLimits, Decision, Direction, HolderId};
