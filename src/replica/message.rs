use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::units::{FolderId, GroupId, LogIndex, Millis, ReplicaId, Term};

/// The identity of a replica: its name and the data folder that it runs on.
///
/// A replica that lost its folder comes back with a new one and is another node.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Node {
    /// The name in the settings.
    pub name: ReplicaId,
    /// The data folder.
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
    /// Whether this node votes.
    #[must_use]
    pub fn contains(&self, node: &Node) -> bool {
        self.voters.contains(node)
    }

    /// How many voters decide.
    #[must_use]
    pub const fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The same voters with one more.
    #[must_use]
    pub fn with_voter(&self, node: Node) -> Self {
        let mut voters = self.voters.clone();
        voters.push(node);
        voters.sort();
        Self { voters }
    }

    /// The same voters without this node.
    #[must_use]
    pub fn without_voter(&self, node: &Node) -> Self {
        let kept = self.voters.iter().filter(|voter| *voter != node);
        Self {
            voters: kept.cloned().collect(),
        }
    }
}

/// What a log record carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// Nothing: the first record of a leader's term.
    Empty,
    /// A command of the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// New voters, in force from the moment this record is in the log.
    Members(Membership),
}

/// One record of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its position; the first is 1.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Roughly how many bytes the record takes, for limits.
    #[must_use]
    pub fn approximate_size(&self) -> usize {
        /// What a record takes besides its command.
        const OVERHEAD_BYTES: usize = 32;
        /// What one voter takes.
        const VOTER_BYTES: usize = 128;
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.len(),
            Payload::Members(members) => members.voters.len() * VOTER_BYTES,
        };
        OVERHEAD_BYTES + payload
    }
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// The last record that it includes.
    pub index: LogIndex,
    /// That record's term.
    pub term: Term,
    /// The voters after that record.
    pub members: Membership,
}

/// The whole state after one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The encoded state; empty for the state before the first record.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// What a follower says to an [`MessageBody::AppendEntries`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to here, and is synced.
    Matched(LogIndex),
    /// The record before the sent ones is missing or of another term.
    Rejected {
        /// The position that was missing.
        prev_index: LogIndex,
        /// The last position that may agree.
        hint: LogIndex,
    },
    /// The node has no state at all and needs a snapshot first.
    NeedsSnapshot,
}

/// What one replica says to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// A blank replica asks whether the other is blank too.
    Discover,
    /// The answer to it.
    DiscoverResponse {
        /// Whether it may form a group: it never belonged to one.
        can_bootstrap: bool,
        /// The voters, where the answering replica belongs to a group.
        members: Option<Membership>,
    },
    /// A node that is not a voter asks the leader to feed it.
    JoinRequest,
    /// Asks whether an election could be won, without raising any term.
    PreVoteRequest {
        /// The term that the election would have.
        next_term: Term,
        /// The last record's position.
        last_index: LogIndex,
        /// The last record's term.
        last_term: Term,
    },
    /// The answer to it.
    PreVoteResponse {
        /// The term that was asked for.
        next_term: Term,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    VoteRequest {
        /// The last record's position.
        last_index: LogIndex,
        /// The last record's term.
        last_term: Term,
        /// Whether the leader itself asked for this election.
        transfer: bool,
    },
    /// The answer to it.
    VoteResponse {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Records of the leader's log, or none as a heartbeat.
    AppendEntries {
        /// The position before the first record.
        prev_index: LogIndex,
        /// Its term.
        prev_term: Term,
        /// The records.
        entries: Vec<Arc<Entry>>,
        /// The last committed position.
        commit: LogIndex,
        /// The leader's clock when it sent this.
        sent_ms: Millis,
    },
    /// The answer to it.
    AppendResponse {
        /// What the follower says.
        outcome: AppendOutcome,
        /// The `sent_ms` that is answered.
        sent_ms: Millis,
    },
    /// A piece of a snapshot.
    SnapshotChunk {
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// Its length in bytes.
        total: u64,
        /// Where this piece begins.
        offset: u64,
        /// The piece.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// The leader's clock when it sent this.
        sent_ms: Millis,
    },
    /// The answer to it.
    SnapshotChunkResponse {
        /// The snapshot's position.
        index: LogIndex,
        /// The next byte that the follower needs.
        offset: u64,
        /// The `sent_ms` that is answered.
        sent_ms: Millis,
    },
    /// The leader hands over: the receiver starts an election at once.
    TimeoutNow,
}

/// A message between replicas with what is needed to tell whether it is meant for the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender's group; none while it is blank.
    pub group: Option<GroupId>,
    /// The sender.
    pub from: Node,
    /// The receiver's name.
    pub to: ReplicaId,
    /// The receiver's folder, where the sender knows it.
    pub to_folder: Option<FolderId>,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub body: MessageBody,
}
