//! Refuses every poll until the exchange with control is merged.
use crate::control::{ControlError, Result};
use crate::fleet::{WorkerOrders, WorkerPoll};

/// Stub.
#[derive(Debug, Default)]
pub struct Exchange;

impl Exchange {
    /// Stub.
    #[must_use]
    pub const fn may_start(&self) -> bool {
        false
    }
    /// Stub.
    /// # Errors
    /// Always.
    #[expect(clippy::unused_async, reason = "stub")]
    pub async fn poll_worker(&self, _poll: WorkerPoll) -> Result<WorkerOrders> {
        Err(ControlError::Unreachable)
    }
}
