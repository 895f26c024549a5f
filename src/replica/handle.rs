use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

use super::lease::LeaseClock;
use crate::control::GroupStatus;
use crate::units::{LogIndex, ReplicaId, Term};

/// Result of a proposal.
pub type Result<T> = std::result::Result<T, ProposeError>;

/// Why a proposal was not known to be applied.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ProposeError {
    /// This replica does not lead; the proposal was not taken.
    #[error("this replica does not lead")]
    NotLeader,
    /// Leadership was lost after the proposal was taken; it may still be applied.
    #[error("leadership was lost, the proposal may still be applied")]
    Uncertain,
    /// The proposal was refused and will never be applied.
    #[error("refused: {reason}")]
    Refused {
        /// Why, for example a full disk.
        reason: String,
    },
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
}

/// A proposal that was committed and applied here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Its position in the log.
    pub index: LogIndex,
    /// What [`MachineHooks::apply`] gave.
    pub reply: Vec<u8>,
}

/// A proposal on its way to the replica's task.
#[derive(Debug)]
pub struct Proposal {
    /// The encoded command.
    pub command: Vec<u8>,
    /// Where the result goes.
    pub reply: oneshot::Sender<Result<Applied>>,
}

/// Who leads, as this replica sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leadership {
    /// The present term.
    pub term: Term,
    /// The leader, where one is known.
    pub leader: Option<ReplicaId>,
    /// Where entries reach that leader.
    pub leader_address: Option<SocketAddr>,
    /// Whether this replica leads and has applied all that was committed before its term.
    pub is_ready_leader: bool,
    /// Whether it holds its quorum lease; it grants and reads only while it does.
    pub has_quorum: bool,
}

/// Applies one record.
pub type ApplyHook = Box<dyn FnMut(LogIndex, &[u8]) -> Vec<u8> + Send>;
/// Encodes the state.
pub type SnapshotHook = Box<dyn FnMut() -> Vec<u8> + Send>;
/// Replaces the state.
pub type RestoreHook = Box<dyn FnMut(&[u8]) -> bool + Send>;

/// What the replica calls for committed records, in log order.
pub struct MachineHooks {
    /// Applies a committed record and gives its reply.
    pub apply: ApplyHook,
    /// Encodes the whole state.
    pub snapshot: SnapshotHook,
    /// Replaces the whole state; false where the bytes are not a state.
    pub restore: RestoreHook,
}

impl fmt::Debug for MachineHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MachineHooks").finish_non_exhaustive()
    }
}

/// The way to a running replica.
#[derive(Clone, Debug)]
pub struct Handle {
    proposals: mpsc::Sender<Proposal>,
    leadership: watch::Receiver<Leadership>,
    status: watch::Receiver<GroupStatus>,
    lease: Option<Arc<LeaseClock>>,
}

impl Handle {
    /// Joins the channels of a replica's task.
    #[must_use]
    pub const fn new(
        proposals: mpsc::Sender<Proposal>,
        leadership: watch::Receiver<Leadership>,
        status: watch::Receiver<GroupStatus>,
    ) -> Self {
        Self {
            proposals,
            leadership,
            status,
            lease: None,
        }
    }

    /// Lets [`Handle::has_quorum`] check the lease against the clock.
    #[must_use]
    pub fn with_lease(mut self, lease: Arc<LeaseClock>) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Whether this replica leads, is up to date and holds its quorum lease at this moment.
    ///
    /// Unlike [`Leadership::has_quorum`] this is right also where the replica's task was held up.
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        let is_leader = {
            let leadership = self.leadership.borrow();
            leadership.is_ready_leader && leadership.has_quorum
        };
        is_leader && self.lease.as_ref().is_none_or(|lease| lease.is_held())
    }

    /// Proposes a command and waits until it is applied here.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] and [`ProposeError::Refused`] mean that it will never be applied,
    /// the others that it may be.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Applied> {
        let (reply, answer) = oneshot::channel();
        let sent = self.proposals.send(Proposal { command, reply }).await;
        sent.map_err(|_closed| ProposeError::Stopped)?;
        answer.await.map_err(|_closed| ProposeError::Uncertain)?
    }

    /// Who leads now; the receiver also tells of changes.
    #[must_use]
    pub fn leadership(&self) -> watch::Receiver<Leadership> {
        self.leadership.clone()
    }

    /// The group as this replica sees it.
    #[must_use]
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }
}
