use std::sync::Arc;

use bon::Builder;
use serde::{Deserialize, Serialize};

use crate::replica::{Entry, Message, Node, Snapshot};
use crate::units::{Bytes, GroupId, LogIndex, Millis, ReplicaId, Term};

/// Limits and timeouts of the consensus core.
#[derive(Builder, Clone, Debug)]
pub struct CoreConfig {
    /// This replica.
    pub node: Node,
    /// Names of the other configured replicas.
    pub peers: Vec<ReplicaId>,
    /// Whether this replica may bootstrap a new group together with its peers.
    #[builder(default = true)]
    pub may_bootstrap: bool,
    /// Number of voters to maintain in an open group, which replicas outside the configured peers
    /// may join. `None` if only configured peers may join.
    pub target_voters: Option<usize>,
    /// How long a voter must be silent before a caught-up learner may replace it.
    #[builder(default = Millis(8_000))]
    pub replace_after_ms: Millis,
    /// Seed for the random election timeouts.
    #[builder(default)]
    pub seed: u64,
    /// Lower bound of the election timeout, the time without a leader after which an election
    /// starts.
    #[builder(default = Millis(1_000))]
    pub election_min_ms: Millis,
    /// Upper bound of the election timeout.
    #[builder(default = Millis(1_400))]
    pub election_max_ms: Millis,
    /// Interval of the heartbeats that a leader sends to each follower.
    #[builder(default = Millis(200))]
    pub heartbeat_ms: Millis,
    /// Interval at which a replica without a group, or a learner, contacts its peers.
    #[builder(default = Millis(200))]
    pub discovery_interval_ms: Millis,
    /// Number of applied log entries after which a snapshot is taken.
    #[builder(default = 4_096)]
    pub snapshot_entries: u64,
    /// Bytes of applied log entries after which a snapshot is taken.
    #[builder(default = Bytes(4 * 1024 * 1024))]
    pub snapshot_bytes: Bytes,
    /// Number of log entries kept before the latest snapshot for slow followers.
    #[builder(default = 512)]
    pub retained_entries: u64,
    /// Maximum bytes of log entries in one message.
    #[builder(default = Bytes(256 * 1024))]
    pub max_append_bytes: Bytes,
    /// Maximum number of unacknowledged log entries in flight to one follower.
    #[builder(default = 2_048)]
    pub max_inflight_entries: u64,
    /// Maximum bytes of uncommitted log entries. Further proposals are refused.
    #[builder(default = Bytes(8 * 1024 * 1024))]
    pub max_uncommitted_bytes: Bytes,
    /// Bytes of snapshot data in one message.
    #[builder(default = Bytes(256 * 1024))]
    pub snapshot_chunk_bytes: Bytes,
}

impl CoreConfig {
    /// How long the leader lease lasts, counted from when the leader sent the messages that a
    /// quorum acknowledged.
    ///
    /// Followers do not vote for another candidate for [`CoreConfig::election_min_ms`] after they
    /// have heard from the leader. The lease is 10% shorter to allow for clocks that run at
    /// different rates.
    #[must_use]
    pub const fn lease_ms(&self) -> Millis {
        Millis(
            self.election_min_ms
                .get()
                .saturating_sub(self.election_min_ms.get().div_ceil(10)),
        )
    }
}

/// Term and vote. Both are synced before any message that depends on them is sent, which includes
/// the first answer to a leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The leader of that term, if this replica has followed it; otherwise the candidate that
    /// received this replica's vote in that term.
    pub vote: Option<Node>,
}

/// State read from disk at startup.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The group that this replica belongs to, if it is known.
    pub group: Option<GroupId>,
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot. `None` if the replica never belonged to a group, or still waits for its
    /// first state.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Log entries with consecutive indexes, which follow or overlap the snapshot without a gap.
    pub entries: Vec<Arc<Entry>>,
    /// Whether this data folder replaces a damaged one. Such a replica never bootstraps a new
    /// group, because peers that report no state may have lost their disks as well.
    pub replaces_damaged_folder: bool,
    /// Whether the recorded vote names the leader that was followed. Earlier versions recorded only
    /// votes.
    pub vote_names_leader: bool,
}

/// State changes to make durable together. They are applied in this order: snapshot, log reset,
/// group, truncation, term and vote, appended entries, compaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StorageUpdate {
    /// Sequence number of the update, reported back by [`Event::Persisted`].
    pub sequence: u64,
    /// The group that the replica has joined.
    pub group: Option<GroupId>,
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// The new snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether to drop all log entries because they do not continue the snapshot.
    pub reset_log: bool,
    /// Drop the log entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Log entries to append.
    pub entries: Vec<Arc<Entry>>,
    /// Log entries up to and including this index are no longer needed.
    pub compact_to: Option<LogIndex>,
}

impl StorageUpdate {
    pub(super) fn is_empty(&self) -> bool {
        let empty = Self {
            sequence: self.sequence,
            ..Self::default()
        };
        *self == empty
    }
}

/// Input to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message was received.
    Received(Box<Message>),
    /// All storage updates up to this sequence number are on disk.
    Persisted {
        /// Sequence number of the last of them.
        sequence: u64,
    },
    /// The state machine was serialized as requested by [`Action::TakeSnapshot`].
    SnapshotTaken {
        /// Index of the last entry that the state includes.
        index: LogIndex,
        /// The serialized state.
        data: Vec<u8>,
    },
    /// The disk has become full (`true`) or has free space again (`false`).
    DiskFull(bool),
    /// The replica is shutting down: a leader transfers its leadership, and the replica starts no
    /// more elections.
    TransferLeadership,
}

/// Output of the core, to be executed in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message. Delivery is not guaranteed.
    Send(Message),
    /// Persist an update, in order, and then report [`Event::Persisted`].
    Persist(StorageUpdate),
    /// Apply committed log entries.
    Apply(Vec<Arc<Entry>>),
    /// Replace the state of the state machine.
    Restore(Arc<Snapshot>),
    /// Serialize the current state, which includes the entry at `index`.
    TakeSnapshot {
        /// Index of the last applied entry.
        index: LogIndex,
    },
}

/// Why a proposal was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposalRefusal {
    /// This replica is not the leader, or is transferring its leadership.
    NotLeader,
    /// The disk is full.
    DiskFull,
    /// The limit on the bytes of uncommitted entries is reached.
    UncommittedLimit,
    /// The command exceeds the maximum size.
    TooLarge,
}

/// Number of dropped messages by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedMessages {
    /// The message belongs to another group.
    pub other_group: u64,
    /// The message is addressed to another replica name or data folder.
    pub other_receiver: u64,
    /// The sender is not a member, and the message is accepted only from members.
    pub unknown_sender: u64,
    /// The message is from an earlier term.
    pub stale_term: u64,
}
