//! Refuses every call until the exchange with control is built.
use crate::control::{ControlError, JobFilter, JobView, Result, Status};
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::release_note::{NoteAnswer, ReleaseNote};
use crate::scheduler::{JobKey, JobSpec, SubmitAnswer};
use crate::units::Millis;

/// Stub.
#[derive(Clone, Debug, Default)]
pub struct Client;

#[expect(
    clippy::unused_async,
    clippy::missing_errors_doc,
    missing_docs,
    reason = "stub"
)]
impl Client {
    pub async fn apply_note(&self, _note: ReleaseNote) -> Result<NoteAnswer> {
        Err(ControlError::Unreachable)
    }
    pub async fn submit_job(&self, _spec: JobSpec) -> Result<SubmitAnswer> {
        Err(ControlError::Unreachable)
    }
    pub async fn job(&self, _key: JobKey, _wait_ms: Millis) -> Result<Option<JobView>> {
        Err(ControlError::Unreachable)
    }
    pub async fn jobs(&self, _filter: JobFilter) -> Result<Vec<JobView>> {
        Err(ControlError::Unreachable)
    }
    pub async fn cancel_jobs(&self, _keys: Vec<JobKey>) -> Result<Vec<JobView>> {
        Err(ControlError::Unreachable)
    }
    pub async fn status(&self) -> Result<Status> {
        Err(ControlError::Unreachable)
    }
}
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
