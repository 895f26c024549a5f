use std::collections::BTreeMap;
use std::sync::Arc;

use crate::replica::{Node, Snapshot};
use crate::units::{LogIndex, Millis};

/// A snapshot on its way to a follower.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) offset: u64,
    pub(super) sent_ms: Millis,
    /// Whether the last piece was empty, as the follower had not been heard.
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

/// What the leader knows of one follower or learner.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The last record that is known to be synced there.
    pub(super) match_index: LogIndex,
    /// The next record to send.
    pub(super) next_index: LogIndex,
    /// When the last message was sent.
    pub(super) last_sent_ms: Option<Millis>,
    /// When the newest answered message was sent, by the leader's clock.
    pub(super) acked_sent_ms: Option<Millis>,
    /// When it was last heard.
    pub(super) last_contact_ms: Option<Millis>,
    /// The snapshot that it is being sent.
    pub(super) snapshot: Option<OutgoingSnapshot>,
    /// Whether it does not vote yet.
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

/// A planned hand-over.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) deadline_ms: Millis,
}

/// What only a leader keeps.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<Node, Progress>,
    /// The first record of the leader's own term.
    pub(super) first_term_index: LogIndex,
    pub(super) elected_ms: Millis,
    pub(super) transfer: Option<LeadershipTransfer>,
    pub(super) uncommitted_bytes: usize,
}
