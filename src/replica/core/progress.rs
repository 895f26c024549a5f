use std::collections::BTreeMap;
use std::sync::Arc;

use crate::replica::{Node, Snapshot};
use crate::units::{LogIndex, Millis};

/// A snapshot that is being sent to a follower in chunks.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) offset: u64,
    pub(super) sent_ms: Millis,
    /// Whether the last chunk was empty because the follower had not responded recently.
    pub(super) is_probe: bool,
}

impl OutgoingSnapshot {
    pub(super) const fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            offset: 0,
            sent_ms: Millis::ZERO,
            is_probe: false,
        }
    }
}

/// What the leader knows about one follower or learner.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the last entry known to be synced on the node.
    pub(super) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// When the last message was sent.
    pub(super) last_sent_ms: Option<Millis>,
    /// Send time, on the leader's clock, of the newest message that was answered.
    pub(super) acked_sent_ms: Option<Millis>,
    /// When the node was last heard from.
    pub(super) last_contact_ms: Option<Millis>,
    /// The snapshot that is being sent to the node.
    pub(super) snapshot: Option<OutgoingSnapshot>,
    /// Whether the node has no vote yet.
    pub(super) is_learner: bool,
}

impl Progress {
    pub(super) const fn new(next_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex::ZERO,
            next_index,
            last_sent_ms: None,
            acked_sent_ms: None,
            last_contact_ms: None,
            snapshot: None,
            is_learner: false,
        }
    }

    pub(super) fn record_contact(&mut self, sent_ms: Millis, now: Millis) {
        self.acked_sent_ms = self.acked_sent_ms.max(Some(sent_ms.min(now)));
        self.last_contact_ms = Some(now);
    }
}

/// A leadership transfer in progress.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) deadline_ms: Millis,
}

/// State that exists only on a leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<Node, Progress>,
    /// Index of the first entry of the leader's own term.
    pub(super) first_term_index: LogIndex,
    pub(super) elected_ms: Millis,
    pub(super) transfer: Option<LeadershipTransfer>,
    pub(super) uncommitted_bytes: usize,
}
