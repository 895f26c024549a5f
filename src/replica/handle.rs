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

/// Why a proposal is not known to have been applied.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ProposeError {
    /// This replica is not the leader. The proposal was not accepted.
    #[error("this replica does not lead")]
    NotLeader,
    /// Leadership was lost after the proposal was accepted. It may still be applied.
    #[error("leadership was lost, the proposal may still be applied")]
    Uncertain,
    /// The proposal was refused and will never be applied.
    #[error("refused: {reason}")]
    Refused {
        /// The cause, for example a full disk.
        reason: String,
    },
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
}

/// A proposal that was committed and applied on this replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Log index of the proposal.
    pub index: LogIndex,
    /// Return value of [`StateMachineHooks::apply`].
    pub reply: Vec<u8>,
}

/// A proposal queued for the replica's task.
#[derive(Debug)]
pub struct Proposal {
    /// The encoded command.
    pub command: Vec<u8>,
    /// Channel for the result.
    pub reply: oneshot::Sender<Result<Applied>>,
}

/// The leadership as seen by this replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leadership {
    /// The current term.
    pub term: Term,
    /// The leader, if it is known.
    pub leader: Option<ReplicaId>,
    /// Address at which entry processes reach the leader.
    pub leader_address: Option<SocketAddr>,
    /// Whether this replica is the leader and has applied everything committed before its term.
    pub is_ready_leader: bool,
    /// Whether this replica holds the leader lease. It issues grants and serves reads only while it
    /// does.
    pub has_quorum: bool,
}

/// Applies one command at its log index and returns the reply.
pub type ApplyHook = Box<dyn FnMut(LogIndex, &[u8]) -> Vec<u8> + Send>;
/// Serializes the state.
pub type SnapshotHook = Box<dyn FnMut() -> Vec<u8> + Send>;
/// Replaces the state. Returns false if the bytes cannot be decoded.
pub type RestoreHook = Box<dyn FnMut(&[u8]) -> bool + Send>;

/// Callbacks into the state machine. Committed entries are applied in log order.
pub struct StateMachineHooks {
    /// Applies a committed command and returns its reply.
    pub apply: ApplyHook,
    /// Serializes the complete state.
    pub snapshot: SnapshotHook,
    /// Replaces the complete state. Returns false if the bytes cannot be decoded.
    pub restore: RestoreHook,
}

impl fmt::Debug for StateMachineHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StateMachineHooks").finish_non_exhaustive()
    }
}

/// Handle to a running replica.
#[derive(Clone, Debug)]
pub struct Handle {
    proposals: mpsc::Sender<Proposal>,
    leadership: watch::Receiver<Leadership>,
    status: watch::Receiver<GroupStatus>,
    members: watch::Receiver<Vec<SocketAddr>>,
    lease: Option<Arc<LeaseClock>>,
}

impl Handle {
    /// Creates a handle from the channels of a replica's task.
    #[must_use]
    pub fn new(
        proposals: mpsc::Sender<Proposal>,
        leadership: watch::Receiver<Leadership>,
        status: watch::Receiver<GroupStatus>,
    ) -> Self {
        Self {
            proposals,
            leadership,
            status,
            members: watch::Sender::default().subscribe(),
            lease: None,
        }
    }

    /// Adds the addresses that [`Handle::members`] returns.
    #[must_use]
    pub fn with_members(mut self, members: watch::Receiver<Vec<SocketAddr>>) -> Self {
        self.members = members;
        self
    }

    /// Adds the lease that [`Handle::has_quorum`] checks against the clock.
    #[must_use]
    pub fn with_lease(mut self, lease: Arc<LeaseClock>) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Whether this replica is the leader, is up to date and holds the leader lease right now.
    ///
    /// Unlike [`Leadership::has_quorum`], this is also correct if the replica's task is delayed.
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        let published = {
            let leadership = self.leadership.borrow();
            leadership.is_ready_leader && leadership.has_quorum
        };
        published && self.lease.as_ref().is_none_or(|lease| lease.is_held())
    }

    /// Proposes a command and waits until it is applied on this replica.
    ///
    /// # Errors
    /// After [`ProposeError::NotLeader`] and [`ProposeError::Refused`] the command will never be
    /// applied. After any other error it may still be applied.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Applied> {
        let (reply, answer) = oneshot::channel();
        let sent = self.proposals.send(Proposal { command, reply }).await;
        sent.map_err(|_closed| ProposeError::Stopped)?;
        answer.await.map_err(|_closed| ProposeError::Uncertain)?
    }

    /// Returns a receiver for the current leadership and its changes.
    #[must_use]
    pub fn leadership(&self) -> watch::Receiver<Leadership> {
        self.leadership.clone()
    }

    /// Returns the addresses at which entry processes reach the replicas of the group, as far as
    /// this replica knows them: the voters and, on the leader, the learners.
    #[must_use]
    pub fn members(&self) -> Vec<SocketAddr> {
        self.members.borrow().clone()
    }

    /// Returns the status of the group as seen by this replica.
    #[must_use]
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }
}
