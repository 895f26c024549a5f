use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::units::{FolderId, GroupId, LogIndex, Millis, ReplicaId, Term};

/// Identity of a replica: its configured name and its data folder.
///
/// A replica that lost its data folder returns with a new one and counts as a different node.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Node {
    /// Name from the settings.
    pub name: ReplicaId,
    /// Id of the data folder.
    pub folder: FolderId,
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.folder)
    }
}

/// The voters of the group, sorted by node.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// The voters.
    pub voters: Vec<Node>,
}

impl Membership {
    /// Whether the node is a voter.
    #[must_use]
    pub fn contains(&self, node: &Node) -> bool {
        self.voters.contains(node)
    }

    /// Number of voters that form a quorum.
    #[must_use]
    pub const fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The same membership with one more voter.
    #[must_use]
    pub fn with_voter(&self, node: Node) -> Self {
        let mut voters = self.voters.clone();
        voters.push(node);
        voters.sort();
        Self { voters }
    }

    /// The same membership without the given voter.
    #[must_use]
    pub fn without_voter(&self, node: &Node) -> Self {
        let kept = self.voters.iter().filter(|voter| *voter != node);
        Self {
            voters: kept.cloned().collect(),
        }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// No content: the first entry of a leader's term.
    Empty,
    /// An encoded command for the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A new membership, in force as soon as the entry is in the log.
    Members(Membership),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, used to enforce limits.
    #[must_use]
    pub fn approximate_size(&self) -> usize {
        /// Size of an entry without its payload.
        const OVERHEAD_BYTES: usize = 32;
        /// Size of one voter.
        const VOTER_BYTES: usize = 128;
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.len(),
            Payload::Members(members) => members.voters.len() * VOTER_BYTES,
        };
        OVERHEAD_BYTES + payload
    }
}

/// Position and membership that a snapshot represents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership after that entry.
    pub members: Membership,
}

/// The complete state of the state machine after one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Position and membership that the snapshot represents.
    pub meta: SnapshotMeta,
    /// Serialized state; empty for the state before the first entry.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Result of a [`MessageBody::AppendEntries`] request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The logs match up to and including this index, and the entries are synced.
    Matched(LogIndex),
    /// The entry before the sent ones is missing or has another term.
    Rejected {
        /// Index of the entry that did not match.
        prev_index: LogIndex,
        /// The last index at which the logs may match.
        hint: LogIndex,
    },
    /// The node has no state and needs a snapshot first.
    NeedsSnapshot,
}

/// Request or response between replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks whether the receiver can bootstrap a group or already belongs to one.
    Discover,
    /// Response to [`MessageBody::Discover`].
    DiscoverResponse {
        /// Whether the sender may bootstrap a group because it never belonged to one.
        can_bootstrap: bool,
        /// Membership of the sender's group, if it belongs to one.
        members: Option<Membership>,
    },
    /// A node that is not a voter asks the leader to replicate to it.
    JoinRequest,
    /// Asks whether the sender could win an election, without changing any term.
    PreVoteRequest {
        /// Term that the election would have.
        next_term: Term,
        /// Index of the sender's last log entry.
        last_index: LogIndex,
        /// Term of the sender's last log entry.
        last_term: Term,
    },
    /// Response to [`MessageBody::PreVoteRequest`].
    PreVoteResponse {
        /// Term that was asked about.
        next_term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the term of the message.
    VoteRequest {
        /// Index of the candidate's last log entry.
        last_index: LogIndex,
        /// Term of the candidate's last log entry.
        last_term: Term,
        /// Whether the leader requested this election to transfer its leadership.
        transfer: bool,
    },
    /// Response to [`MessageBody::VoteRequest`].
    VoteResponse {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Log entries from the leader. Without entries it is a heartbeat.
    AppendEntries {
        /// Index of the entry before the first one sent.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// The entries to append.
        entries: Vec<Arc<Entry>>,
        /// Last committed index of the leader.
        commit: LogIndex,
        /// Send time on the leader's clock.
        sent_ms: Millis,
    },
    /// Response to [`MessageBody::AppendEntries`], and to a snapshot chunk after which no further
    /// one is needed or can be accepted now.
    AppendResponse {
        /// How far the logs match.
        outcome: AppendOutcome,
        /// The `sent_ms` of the request.
        sent_ms: Millis,
    },
    /// Part of a snapshot.
    SnapshotChunk {
        /// Position and membership that the snapshot represents.
        meta: SnapshotMeta,
        /// Total size of the snapshot in bytes.
        total: u64,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Bytes of this chunk.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Send time on the leader's clock.
        sent_ms: Millis,
    },
    /// Response to [`MessageBody::SnapshotChunk`].
    SnapshotChunkResponse {
        /// Index that the snapshot represents.
        index: LogIndex,
        /// Offset in bytes of the next chunk that the follower needs.
        offset: u64,
        /// The `sent_ms` of the request.
        sent_ms: Millis,
    },
    /// The leader transfers its leadership: the receiver starts an election at once.
    TimeoutNow,
}

/// A message between replicas, with the data needed to check that it is meant for the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Group of the sender. `None` until it belongs to one.
    pub group: Option<GroupId>,
    /// The sender.
    pub from: Node,
    /// Name of the receiver.
    pub to: ReplicaId,
    /// Data folder of the receiver, if the sender knows it.
    pub to_folder: Option<FolderId>,
    /// Term of the sender.
    pub term: Term,
    /// The request or response.
    pub body: MessageBody,
}
