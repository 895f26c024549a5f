use std::sync::Arc;

use bon::Builder;
use serde::{Deserialize, Serialize};

use crate::replica::{Entry, Message, Node, Snapshot};
use crate::units::{Bytes, GroupId, LogIndex, Millis, ReplicaId, Term};

/// Limits and times of the consensus core.
#[derive(Builder, Clone, Debug)]
pub struct CoreConfig {
    /// This replica.
    pub node: Node,
    /// The names of the other configured replicas.
    pub peers: Vec<ReplicaId>,
    /// Whether this replica may form a new group together with its peers.
    #[builder(default = true)]
    pub may_bootstrap: bool,
    /// How many voters the group keeps where replicas outside the configured peers may join; none
    /// where only configured peers may.
    pub target_voters: Option<usize>,
    /// How long a voter is silent before a ready learner takes its place.
    #[builder(default = Millis(8_000))]
    pub replace_after_ms: Millis,
    /// Seed of the election times.
    #[builder(default)]
    pub seed: u64,
    /// Shortest time without a leader after which an election starts.
    #[builder(default = Millis(1_000))]
    pub election_min_ms: Millis,
    /// Longest such time.
    #[builder(default = Millis(1_400))]
    pub election_max_ms: Millis,
    /// How often a leader sends to each follower at least.
    #[builder(default = Millis(200))]
    pub heartbeat_ms: Millis,
    /// How often a blank replica or learner asks its peers.
    #[builder(default = Millis(200))]
    pub discovery_interval_ms: Millis,
    /// A snapshot is taken after this many records.
    #[builder(default = 4_096)]
    pub snapshot_entries: u64,
    /// A snapshot is taken after records of this many bytes.
    #[builder(default = Bytes(4 * 1024 * 1024))]
    pub snapshot_bytes: Bytes,
    /// Records kept behind a snapshot for slow followers.
    #[builder(default = 512)]
    pub retained_entries: u64,
    /// Most bytes of records in one message.
    #[builder(default = Bytes(256 * 1024))]
    pub max_append_bytes: Bytes,
    /// Most records on their way to one follower.
    #[builder(default = 2_048)]
    pub max_inflight_entries: u64,
    /// Most bytes of uncommitted records; more proposals are refused.
    #[builder(default = Bytes(8 * 1024 * 1024))]
    pub max_uncommitted_bytes: Bytes,
    /// Bytes of a snapshot in one message.
    #[builder(default = Bytes(256 * 1024))]
    pub snapshot_chunk_bytes: Bytes,
}

impl CoreConfig {
    /// How long the leader may act on an answer, from when it sent the question.
    ///
    /// Followers keep to their leader for [`CoreConfig::election_min_ms`] from receipt. The lease is a
    /// tenth shorter, for clocks that run at different rates.
    #[must_use]
    pub const fn lease_ms(&self) -> Millis {
        Millis(
            self.election_min_ms
                .get()
                .saturating_sub(self.election_min_ms.get().div_ceil(10)),
        )
    }
}

/// The term and vote, which are synced before any message that depends on them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The vote in that term.
    pub vote: Option<Node>,
}

/// What was read from the disk at the start.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The group, where the replica knows one.
    pub group: Option<GroupId>,
    /// The term and vote.
    pub hard_state: HardState,
    /// The last snapshot; none on a blank replica or one that still waits for its first state.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The records, consecutive and without a gap to the snapshot.
    pub entries: Vec<Arc<Entry>>,
    /// Whether an earlier folder was damaged: such a replica never forms a new group.
    pub after_damage: bool,
}

/// One durable step, applied in order: group, snapshot, log reset, truncation, records, term and vote.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StorageUpdate {
    /// The number of the step, answered by [`Event::Persisted`].
    pub sequence: u64,
    /// The group that the replica now belongs to.
    pub group: Option<GroupId>,
    /// The new term and vote.
    pub hard_state: Option<HardState>,
    /// A new snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether all records are dropped, as they do not continue the snapshot.
    pub reset_log: bool,
    /// Records from here on are dropped.
    pub truncate_from: Option<LogIndex>,
    /// Records to append.
    pub entries: Vec<Arc<Entry>>,
    /// Records up to and with this one are no longer needed.
    pub compact_to: Option<LogIndex>,
}

impl StorageUpdate {
    pub(super) fn is_empty(&self) -> bool {
        let blank = Self {
            sequence: self.sequence,
            ..Self::default()
        };
        *self == blank
    }
}

/// What happens to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message came in.
    Received(Box<Message>),
    /// All durable steps up to this number are on the disk.
    Persisted {
        /// The number of the last of them.
        sequence: u64,
    },
    /// The state after a record was encoded, as [`Action::TakeSnapshot`] asked.
    SnapshotTaken {
        /// The record.
        index: LogIndex,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// The disk takes no more, or does again.
    DiskFull(bool),
    /// The replica stops: a leader hands over.
    TransferLeadership,
}

/// What the shell has to do, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message; it may get lost.
    Send(Message),
    /// Make a step durable, in order, then answer [`Event::Persisted`].
    Persist(StorageUpdate),
    /// Apply committed records.
    Apply(Vec<Arc<Entry>>),
    /// Replace the state.
    Restore(Arc<Snapshot>),
    /// Encode the state as it is now, after the record at `index`.
    TakeSnapshot {
        /// The last applied record.
        index: LogIndex,
    },
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposalRefusal {
    /// This replica does not lead, or is handing over.
    NotLeader,
    /// The disk is full.
    DiskFull,
    /// Too many bytes of records wait to be committed.
    UncommittedLimit,
    /// The command is larger than one message may be.
    TooLarge,
}

/// Messages that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedMessages {
    /// Of another group.
    pub other_group: u64,
    /// Meant for another name or folder.
    pub other_receiver: u64,
    /// From a node that is not a member, where only members count.
    pub unknown_sender: u64,
    /// Of an earlier term.
    pub stale_term: u64,
}
