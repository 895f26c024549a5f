use std::collections::VecDeque;
use std::sync::Arc;

use crate::replica::{Entry, Membership, Payload, Snapshot};
use crate::units::{LogIndex, Term};

/// The part of the log that is kept in memory, and the memberships that it defines.
#[derive(Debug)]
pub(super) struct Log {
    prev_index: LogIndex,
    prev_term: Term,
    entries: VecDeque<Arc<Entry>>,
    members: Vec<(LogIndex, Membership)>,
}

impl Log {
    pub(super) fn new(snapshot: Option<&Snapshot>, entries: Vec<Arc<Entry>>) -> Self {
        let mut log = Self {
            prev_index: LogIndex::ZERO,
            prev_term: Term::ZERO,
            entries: VecDeque::new(),
            members: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        let base = log.prev_index;
        let (included, following): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|e| e.index <= base);
        log.prepend_retained(included.into());
        for entry in following {
            log.push(entry);
        }
        log
    }

    /// Drops all entries and starts after the snapshot.
    pub(super) fn reset(&mut self, snapshot: &Snapshot) {
        self.prev_index = snapshot.meta.index;
        self.prev_term = snapshot.meta.term;
        self.entries.clear();
        self.members = vec![(snapshot.meta.index, snapshot.meta.members.clone())];
    }

    /// Prepends entries that the snapshot already includes. They are kept for slow followers.
    fn prepend_retained(&mut self, entries: VecDeque<Arc<Entry>>) {
        let Some(first) = entries.front() else {
            return;
        };
        // The term before the first entry is unknown, so that entry itself becomes the base.
        self.prev_index = first.index;
        self.prev_term = first.term;
        self.entries = entries;
        self.entries.pop_front();
    }

    pub(super) fn first_index(&self) -> LogIndex {
        self.prev_index.next()
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.prev_index, |e| e.index)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.prev_term, |e| e.term)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.get().checked_sub(self.prev_index.get() + 1)?;
        usize::try_from(offset).ok()
    }

    pub(super) fn get(&self, index: LogIndex) -> Option<&Arc<Entry>> {
        self.entries.get(self.position(index)?)
    }

    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.prev_index {
            return Some(self.prev_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entries starting at `from`, up to `max_bytes`. The first entry is always
    /// included, even if it is larger.
    pub(super) fn slice(&self, from: LogIndex, max_bytes: usize) -> Vec<Arc<Entry>> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut bytes = 0_usize;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(start) {
            bytes = bytes.saturating_add(entry.approximate_size());
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(Arc::clone(entry));
        }
        entries
    }

    /// Returns the entries in `(after, to]`.
    pub(super) fn range(&self, after: LogIndex, to: LogIndex) -> Vec<Arc<Entry>> {
        let Some(start) = self.position(after.next()) else {
            return Vec::new();
        };
        let tail = self.entries.iter().skip(start);
        tail.take_while(|e| e.index <= to).cloned().collect()
    }

    pub(super) fn push(&mut self, entry: Arc<Entry>) {
        assert_eq!(
            entry.index,
            self.last_index().next(),
            "log entries have consecutive indexes"
        );
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all later ones.
    pub(super) fn truncate(&mut self, index: LogIndex) {
        if let Some(start) = self.position(index) {
            self.entries.truncate(start);
        }
        while self.members.len() > 1 && self.members.last().is_some_and(|(at, _)| *at >= index) {
            self.members.pop();
        }
    }

    /// Drops the entries up to and including `index`, which a snapshot covers.
    pub(super) fn compact(&mut self, index: LogIndex) {
        while self.entries.front().is_some_and(|e| e.index <= index) {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.prev_index = entry.index;
            self.prev_term = entry.term;
        }
        while self.members.len() > 1 && self.members[1].0 <= index {
            self.members.remove(0);
        }
    }

    /// The current membership. `None` on a replica without any state.
    pub(super) fn members(&self) -> Option<&Membership> {
        self.members.last().map(|(_, members)| members)
    }

    /// Index of the entry that defined the current membership.
    pub(super) fn members_index(&self) -> LogIndex {
        self.members.last().map_or(LogIndex::ZERO, |(at, _)| *at)
    }

    /// The membership after the entry at `index`.
    pub(super) fn members_at(&self, index: LogIndex) -> Option<&Membership> {
        let earlier = self.members.iter().rev().find(|(at, _)| *at <= index);
        earlier.map(|(_, members)| members)
    }
}
