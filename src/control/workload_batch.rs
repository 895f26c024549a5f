//! Batches of workload changes that are committed together, and the calls that wait for them.

use std::collections::BTreeSet;
use std::future::pending;

use futures::future::BoxFuture;
use tokio::sync::{mpsc, oneshot};

use super::held_reports::HeldReport;
use super::workload_log::BatchLog;
use super::{CallExpiry, ControlError, Result};
use crate::replica::{Applied, ProposeError};
use crate::units::WorkerId;
use crate::workload::{Transition, WorkAnswer, WorkRequest, WorkloadCommand};

/// A handle for calls to the workload loop from inside the process.
#[derive(Clone, Debug)]
pub struct WorkloadHandle {
    pub(super) calls: mpsc::Sender<PendingCall>,
}

/// A call and the channel for its answer.
#[derive(Debug)]
pub(super) struct PendingCall {
    /// When the sender gives the call up; `None` for a call of this process.
    pub(super) expires: Option<CallExpiry>,
    pub(super) request: WorkRequest,
    pub(super) reply: AnswerSender,
}

pub(super) type AnswerSender = oneshot::Sender<Result<WorkAnswer>>;
pub(super) type ProposalResult = std::result::Result<Applied, ProposeError>;

/// A batch whose proposal is over.
pub(super) struct FinishedBatch {
    pub(super) result: ProposalResult,
    pub(super) waiting: Vec<PendingAnswer>,
    pub(super) placed_on: BTreeSet<WorkerId>,
    pub(super) log: BatchLog,
}

/// A call that is answered after its batch is committed.
pub(super) enum PendingAnswer {
    /// The answer is derived from the reply to the command at `index` in the batch.
    Change { index: usize, reply: AnswerSender },
    /// The answer to a worker's report, with the worker's orders.
    Report(HeldReport),
}

/// Changes that are committed together, and the calls that wait for them.
#[derive(Default)]
pub(super) struct Batch {
    pub(super) commands: Vec<WorkloadCommand>,
    pub(super) transitions: Vec<Transition>,
    pub(super) waiting: Vec<PendingAnswer>,
    /// Whether the batch already includes the planner's decisions on the current state.
    pub(super) planned: bool,
}

/// A batch that is being committed.
pub(super) struct InFlightBatch {
    pub(super) proposal: BoxFuture<'static, ProposalResult>,
    pub(super) waiting: Vec<PendingAnswer>,
    /// The workers on which the batch places runs.
    pub(super) placed_on: BTreeSet<WorkerId>,
    pub(super) log: BatchLog,
}

impl WorkloadHandle {
    /// Makes a call to the workload loop.
    ///
    /// # Errors
    /// [`ControlError::NotLeader`] if this replica is not the leader, [`ControlError::Uncertain`]
    /// if a change may have been made, [`ControlError::Refused`] if the change was rejected.
    pub async fn call(&self, request: WorkRequest) -> Result<WorkAnswer> {
        self.call_until(None, request).await
    }

    /// Like [`WorkloadHandle::call`], for a call of another process.
    ///
    /// # Errors
    /// The same, and [`ControlError::Expired`] if the call is handled after it expired.
    pub(super) async fn call_until(
        &self,
        expires: Option<CallExpiry>,
        request: WorkRequest,
    ) -> Result<WorkAnswer> {
        let (reply, answer) = oneshot::channel();
        let is_change = request.is_change();
        let call = PendingCall {
            expires,
            request,
            reply,
        };
        let sent = self.calls.send(call).await;
        sent.map_err(|_closed| ControlError::NotLeader { leader: None })?;
        answer.await.map_err(|_closed| {
            if is_change {
                ControlError::Uncertain
            } else {
                ControlError::NotLeader { leader: None }
            }
        })?
    }
}

impl PendingAnswer {
    pub(super) fn into_reply(self) -> AnswerSender {
        match self {
            Self::Change { reply, .. } | Self::Report(HeldReport { reply, .. }) => reply,
        }
    }
}

impl Batch {
    pub(super) fn workers_placed_on(&self) -> BTreeSet<WorkerId> {
        let placed = self
            .transitions
            .iter()
            .filter_map(|transition| match transition {
                Transition::Placed { places, .. } => Some(places),
                Transition::Due { .. }
                | Transition::Ended { .. }
                | Transition::Unheard { .. }
                | Transition::Heard { .. } => None,
            });
        let workers = placed.flatten().map(|(_index, place)| place.worker.clone());
        workers.collect()
    }
}

/// Sends an answer. It is no error if the caller no longer waits for it.
pub(super) fn send(reply: AnswerSender, answer: Result<WorkAnswer>) {
    drop(reply.send(answer));
}

/// Waits until the batch in flight is committed or fails; never returns if there is none.
pub(super) async fn finished_batch(in_flight: &mut Option<InFlightBatch>) -> FinishedBatch {
    let Some(batch) = in_flight else {
        return pending().await;
    };
    let result = batch.proposal.as_mut().await;
    let (waiting, placed_on, log) = in_flight.take().map_or_else(Default::default, |batch| {
        (batch.waiting, batch.placed_on, batch.log)
    });
    FinishedBatch {
        result,
        waiting,
        placed_on,
        log,
    }
}
