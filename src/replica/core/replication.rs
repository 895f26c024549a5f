use std::sync::Arc;

use super::progress::SnapshotSend;
use super::{Core, Role};
use crate::replica::{AppendOutcome, Entry, MessageBody, Node, Payload};
use crate::units::{LogIndex, Millis, Term};

impl Core {
    /// Appends a record of the leader's own.
    pub(super) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let entry = Arc::new(Entry {
            index: self.log.last_index().next(),
            term: self.hard.term,
            payload,
        });
        if let Role::Leader(state) = &mut self.role {
            state.uncommitted_bytes = state
                .uncommitted_bytes
                .saturating_add(entry.approximate_size());
        }
        let index = entry.index;
        self.log.push(Arc::clone(&entry));
        self.unsaved.entries.push(entry);
        index
    }

    /// Takes in records of the leader and says how far the logs agree.
    pub(super) fn append_received(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Arc<Entry>>,
        commit: LogIndex,
    ) -> AppendOutcome {
        if self.log.members().is_none() || self.installing.is_some() {
            return AppendOutcome::NeedsSnapshot;
        }
        if !self.agrees(prev_index, prev_term) {
            let hint = self.last_agreeing(prev_index);
            return AppendOutcome::Rejected { prev_index, hint };
        }
        let mut last = prev_index;
        for entry in entries {
            if entry.index != last.next() {
                break;
            }
            last = entry.index;
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        AppendOutcome::Matched(last)
    }

    /// Answers the leader: that records are held once they are synced, all else at once.
    ///
    /// From time to time an answer goes out before the sync as well, which tells only of what is
    /// synced already, so that a disk that hangs does not end the leader's lease.
    pub(super) fn answer_append(
        &mut self,
        leader: &Node,
        outcome: AppendOutcome,
        sent_ms: Millis,
        now: Millis,
    ) {
        let AppendOutcome::Matched(index) = outcome else {
            self.send(leader, MessageBody::AppendResponse { outcome, sent_ms });
            return;
        };
        let wait = Millis(self.config.heartbeat_ms.get() / 2);
        if index > self.synced && now >= self.answered_ms.saturating_add(wait) {
            self.answered_ms = now;
            let outcome = AppendOutcome::Matched(self.synced);
            self.send(leader, MessageBody::AppendResponse { outcome, sent_ms });
        }
        self.send_held(leader, MessageBody::AppendResponse { outcome, sent_ms });
    }

    /// The last position before `index` that may agree: records of the conflicting term are skipped.
    fn last_agreeing(&self, index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if last < index {
            return last;
        }
        let conflicting = self.log.term_at(index);
        let mut hint = index.saturating_sub(LogIndex(1));
        while hint > self.commit && self.log.term_at(hint) == conflicting {
            hint = hint.saturating_sub(LogIndex(1));
        }
        hint.max(self.commit)
    }

    /// Whether the log holds that record; committed ones agree with every leader's.
    fn agrees(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    fn take_entry(&mut self, entry: Arc<Entry>) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.log.push(Arc::clone(&entry));
        self.unsaved.entries.push(entry);
    }

    fn truncate(&mut self, index: LogIndex) {
        assert!(
            index > self.commit,
            "a committed record is never dropped from the log"
        );
        self.log.truncate(index);
        self.unsaved.truncate_from = Some(index);
        self.synced = self.synced.min(self.log.last_index());
    }

    pub(super) fn hear_append_answer(
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
        progress.heard(sent_ms, now);
        match *outcome {
            AppendOutcome::Matched(index) => {
                progress.matched = progress.matched.max(index.min(last));
                progress.next = progress.next.max(progress.matched.next());
                if progress
                    .snapshot
                    .as_ref()
                    .is_some_and(|s| s.snapshot.meta.index <= index)
                {
                    progress.snapshot = None;
                }
            }
            AppendOutcome::Rejected { prev_index, hint } => {
                if prev_index < progress.next && prev_index > progress.matched {
                    progress.next = hint.next().min(prev_index).max(progress.matched.next());
                }
            }
            AppendOutcome::NeedsSnapshot => {
                if progress.snapshot.is_none() {
                    progress.snapshot = snapshot.map(SnapshotSend::new);
                }
            }
        }
    }

    /// Moves the commit position to what a quorum has synced in the present term.
    pub(super) fn advance_commit(&mut self, now: Millis) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let own = &self.config.node;
        let matched = self.voters().into_iter().map(|node| {
            if node == *own {
                return self.synced;
            }
            state
                .progress
                .get(&node)
                .map_or(LogIndex::ZERO, |p| p.matched)
        });
        let mut positions: Vec<_> = matched.collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = positions.get(self.quorum() - 1).copied() else {
            return;
        };
        if agreed <= self.commit || self.log.term_at(agreed) != Some(self.hard.term) {
            return;
        }
        let committed = self.log.range(self.commit, agreed);
        let bytes = committed
            .iter()
            .map(|e| e.approximate_size())
            .sum::<usize>();
        self.commit = agreed;
        if let Role::Leader(state) = &mut self.role {
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(bytes);
        }
        self.check_quorum(now);
    }

    /// Sends records, heartbeats and pieces of snapshots to all that are due.
    pub(super) fn send_appends(&mut self, now: Millis) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let nodes: Vec<_> = state.progress.keys().cloned().collect();
        for node in nodes {
            self.send_to(&node, now);
        }
    }

    fn send_to(&mut self, node: &Node, now: Millis) {
        self.choose_snapshot(node);
        if self.send_chunk(node, now) {
            return;
        }
        while let Some(body) = self.next_append(node, now) {
            self.send(node, body);
        }
    }

    /// The next message for a follower, where one is due.
    fn next_append(&mut self, node: &Node, now: Millis) -> Option<MessageBody> {
        let (last, commit) = (self.log.last_index(), self.commit);
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        let progress = state.progress.get_mut(node)?;
        let open = progress.next.saturating_sub(progress.matched).get()
            <= self.config.max_inflight_entries;
        // Until a follower has answered once, only one message is under way to find where logs agree.
        let probing = progress.acked_ms.is_none() && progress.last_sent_ms.is_some();
        let has_records = open && !probing && progress.next <= last;
        let heartbeat = self.config.heartbeat_ms;
        let due = progress
            .last_sent_ms
            .is_none_or(|at| now >= at.saturating_add(heartbeat));
        if !(has_records || due) {
            return None;
        }
        let max_bytes = usize::try_from(self.config.max_append_bytes.get()).unwrap_or(usize::MAX);
        let from = progress.next;
        let entries = if open {
            self.log.slice(from, max_bytes)
        } else {
            Vec::new()
        };
        let prev_index = from.saturating_sub(LogIndex(1));
        progress.next = entries.last().map_or(from, |e| e.index.next());
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
