use std::sync::Arc;

use super::progress::OutgoingSnapshot;
use super::{Core, Role};
use crate::replica::{AppendOutcome, Entry, MessageBody, Node, Payload};
use crate::units::{LogIndex, Millis, Term};

impl Core {
    /// Appends an entry to the log as leader.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        let entry = Arc::new(Entry {
            index: self.log.last_index().next(),
            term: self.hard_state.term,
            payload,
        });
        if let Role::Leader(state) = &mut self.role {
            state.uncommitted_bytes = state
                .uncommitted_bytes
                .saturating_add(entry.approximate_size());
        }
        let index = entry.index;
        self.log.push(Arc::clone(&entry));
        self.pending_update.entries.push(entry);
        index
    }

    /// Appends entries from the leader and returns how far the logs match.
    pub(super) fn handle_append(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Arc<Entry>>,
        commit: LogIndex,
    ) -> AppendOutcome {
        if self.log.members().is_none() || self.installing.is_some() {
            return AppendOutcome::NeedsSnapshot;
        }
        if !self.log_matches(prev_index, prev_term) {
            let hint = self.conflict_hint(prev_index);
            return AppendOutcome::Rejected { prev_index, hint };
        }
        let mut last = prev_index;
        for entry in entries {
            if entry.index != last.next() {
                break;
            }
            last = entry.index;
            self.accept_entry(entry);
        }
        self.commit_index = self.commit_index.max(commit.min(last));
        AppendOutcome::Matched(last)
    }

    /// Answers an append request. A match is reported once the entries are synced, any other
    /// outcome at once.
    ///
    /// While the disk sync is pending, an additional answer reports only what is already synced, at
    /// most once per half heartbeat interval, so that the leader's lease does not expire because a
    /// disk hangs.
    pub(super) fn respond_to_append(
        &mut self,
        leader: &Node,
        outcome: AppendOutcome,
        sent_ms: Millis,
        now: Millis,
    ) {
        let AppendOutcome::Matched(index) = outcome else {
            self.send_to_leader(leader, MessageBody::AppendResponse { outcome, sent_ms });
            return;
        };
        let wait = Millis(self.config.heartbeat_ms.get() / 2);
        if index > self.synced_index
            && self.is_hard_state_persisted()
            && now >= self.early_ack_ms.saturating_add(wait)
        {
            self.early_ack_ms = now;
            let outcome = AppendOutcome::Matched(self.synced_index);
            self.send(leader, MessageBody::AppendResponse { outcome, sent_ms });
        }
        self.send_after_persist(leader, MessageBody::AppendResponse { outcome, sent_ms });
    }

    /// Returns the last index before `index` at which the logs may match, skipping the entries of
    /// the conflicting term.
    fn conflict_hint(&self, index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if last < index {
            return last;
        }
        let conflicting = self.log.term_at(index);
        let mut hint = index.saturating_sub(LogIndex(1));
        while hint > self.commit_index && self.log.term_at(hint) == conflicting {
            hint = hint.saturating_sub(LogIndex(1));
        }
        hint.max(self.commit_index)
    }

    /// Whether the log holds the entry with this index and term. Committed entries match those of
    /// every leader.
    fn log_matches(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit_index || self.log.term_at(index) == Some(term)
    }

    fn accept_entry(&mut self, entry: Arc<Entry>) {
        if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate_log(entry.index);
        }
        self.log.push(Arc::clone(&entry));
        self.pending_update.entries.push(entry);
    }

    fn truncate_log(&mut self, index: LogIndex) {
        assert!(
            index > self.commit_index,
            "committed entries are never truncated"
        );
        self.log.truncate(index);
        self.pending_update.truncate_from = Some(index);
        self.synced_index = self.synced_index.min(self.log.last_index());
    }

    pub(super) fn handle_append_response(
        &mut self,
        from: &Node,
        outcome: &AppendOutcome,
        sent_ms: Millis,
        now: Millis,
    ) {
        let last = self.log.last_index();
        let snapshot = self.snapshot.clone();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(from) else {
            self.dropped.unknown_sender += 1;
            return;
        };
        progress.record_contact(sent_ms, now);
        match *outcome {
            AppendOutcome::Matched(index) => {
                progress.match_index = progress.match_index.max(index.min(last));
                progress.next_index = progress.next_index.max(progress.match_index.next());
                if progress
                    .snapshot
                    .as_ref()
                    .is_some_and(|s| s.snapshot.meta.index <= index)
                {
                    progress.snapshot = None;
                }
            }
            AppendOutcome::Rejected { prev_index, hint } => {
                if prev_index < progress.next_index && prev_index > progress.match_index {
                    progress.next_index =
                        hint.next().min(prev_index).max(progress.match_index.next());
                }
            }
            AppendOutcome::NeedsSnapshot => {
                if progress.snapshot.is_none() {
                    progress.snapshot = snapshot.map(OutgoingSnapshot::new);
                }
            }
        }
    }

    /// Advances the commit index to the last entry of the current term that a quorum has synced.
    pub(super) fn advance_commit(&mut self, now: Millis) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let own = &self.config.node;
        let matched = self.voters().into_iter().map(|node| {
            if node == *own {
                return self.synced_index;
            }
            state
                .progress
                .get(&node)
                .map_or(LogIndex::ZERO, |p| p.match_index)
        });
        let mut positions: Vec<_> = matched.collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = positions.get(self.quorum() - 1).copied() else {
            return;
        };
        if agreed <= self.commit_index || self.log.term_at(agreed) != Some(self.hard_state.term) {
            return;
        }
        let committed = self.log.range(self.commit_index, agreed);
        let bytes = committed
            .iter()
            .map(|e| e.approximate_size())
            .sum::<usize>();
        self.commit_index = agreed;
        if let Role::Leader(state) = &mut self.role {
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(bytes);
        }
        self.check_quorum(now);
    }

    /// Sends log entries, heartbeats and snapshot chunks to all nodes for which they are due.
    pub(super) fn replicate_to_all(&mut self, now: Millis) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let nodes: Vec<_> = state.progress.keys().cloned().collect();
        for node in nodes {
            self.replicate_to(&node, now);
        }
    }

    fn replicate_to(&mut self, node: &Node, now: Millis) {
        self.ensure_snapshot_transfer(node);
        if self.send_chunk(node, now) {
            return;
        }
        while let Some(body) = self.next_append(node, now) {
            self.send(node, body);
        }
    }

    /// Returns the next append request for a node, if one is due.
    fn next_append(&mut self, node: &Node, now: Millis) -> Option<MessageBody> {
        let (last, commit) = (self.log.last_index(), self.commit_index);
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        let progress = state.progress.get_mut(node)?;
        let window_open = progress
            .next_index
            .saturating_sub(progress.match_index)
            .get()
            <= self.config.max_inflight_entries;
        // Until a follower has answered once, only one message at a time is in flight to find where
        // the logs match.
        let probing = progress.acked_sent_ms.is_none() && progress.last_sent_ms.is_some();
        let has_entries = window_open && !probing && progress.next_index <= last;
        let heartbeat = self.config.heartbeat_ms;
        let due = progress
            .last_sent_ms
            .is_none_or(|at| now >= at.saturating_add(heartbeat));
        if !(has_entries || due) {
            return None;
        }
        let max_bytes = usize::try_from(self.config.max_append_bytes.get()).unwrap_or(usize::MAX);
        let from = progress.next_index;
        let entries = if window_open {
            self.log.slice(from, max_bytes)
        } else {
            Vec::new()
        };
        let prev_index = from.saturating_sub(LogIndex(1));
        progress.next_index = entries.last().map_or(from, |e| e.index.next());
        progress.last_sent_ms = Some(now);
        Some(MessageBody::AppendEntries {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries,
            commit,
            sent_ms: now,
        })
    }
}
