use std::sync::Arc;

use super::progress::OutgoingSnapshot;
use super::{Core, IncomingSnapshot, Role};
use crate::replica::{AppendOutcome, MessageBody, Node, Snapshot, SnapshotMeta};
use crate::units::{LogIndex, Millis};

/// Maximum size in bytes of a snapshot that a follower accepts.
const MAX_SNAPSHOT_BYTES: u64 = 256 * 1024 * 1024;

impl Core {
    /// Requests a snapshot if enough entries were applied since the last one.
    pub(super) fn request_snapshot_if_due(&mut self) {
        let base = self
            .snapshot
            .as_ref()
            .map_or(LogIndex::ZERO, |s| s.meta.index);
        let entries = self.applied_index.saturating_sub(base).get();
        let is_due = entries >= self.config.snapshot_entries
            || self.applied_bytes as u64 >= self.config.snapshot_bytes.get();
        if is_due && !self.snapshot_requested {
            self.snapshot_requested = true;
            let index = self.applied_index;
            self.actions.push(super::Action::TakeSnapshot { index });
        }
    }

    pub(super) fn handle_snapshot_taken(&mut self, index: LogIndex, data: Vec<u8>) {
        self.snapshot_requested = false;
        self.applied_bytes = 0;
        let newer = self.snapshot.as_ref().is_none_or(|s| s.meta.index < index);
        let (Some(term), Some(members)) = (self.log.term_at(index), self.log.members_at(index))
        else {
            return;
        };
        if !newer || index > self.applied_index {
            return;
        }
        let meta = SnapshotMeta {
            index,
            term,
            members: members.clone(),
        };
        let snapshot = Arc::new(Snapshot { meta, data });
        self.snapshot = Some(Arc::clone(&snapshot));
        self.pending_update.snapshot = Some(snapshot);
        let compact_to = index.saturating_sub(LogIndex(self.config.retained_entries));
        if compact_to >= self.log.first_index() {
            self.log.compact(compact_to);
            self.pending_update.compact_to = Some(compact_to);
        }
    }

    /// Starts sending a snapshot if the node needs entries that have been compacted.
    pub(super) fn ensure_snapshot_transfer(&mut self, node: &Node) {
        let first = self.log.first_index();
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(node) else {
            return;
        };
        if progress.next_index < first && progress.snapshot.is_none() {
            progress.snapshot = Some(OutgoingSnapshot::new(snapshot));
        }
    }

    /// Sends the next snapshot chunk if it is due. Returns whether a snapshot transfer is in
    /// progress.
    pub(super) fn send_chunk(&mut self, node: &Node, now: Millis) -> bool {
        let chunk_bytes =
            usize::try_from(self.config.snapshot_chunk_bytes.get()).unwrap_or(usize::MAX);
        let heartbeat = self.config.heartbeat_ms;
        let responsive_ms = self.config.election_min_ms;
        let Role::Leader(state) = &mut self.role else {
            return false;
        };
        let Some(progress) = state.progress.get_mut(node) else {
            return false;
        };
        let Some(sending) = &mut progress.snapshot else {
            return false;
        };
        let retry_due = now >= sending.sent_ms.saturating_add(heartbeat);
        if sending.sent_ms != Millis::ZERO && !retry_due {
            return true;
        }
        sending.sent_ms = now.max(Millis(1));
        // A follower that does not respond is sent empty chunks, because data may not reach it.
        let last_ack = progress.acked_sent_ms;
        sending.is_probe = last_ack.is_none_or(|at| now >= at.saturating_add(responsive_ms));
        progress.last_sent_ms = Some(now);
        let data = &sending.snapshot.data;
        let start = usize::try_from(sending.offset)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let bytes = if sending.is_probe { 0 } else { chunk_bytes };
        let end = start.saturating_add(bytes).min(data.len());
        let body = MessageBody::SnapshotChunk {
            meta: sending.snapshot.meta.clone(),
            total: data.len() as u64,
            offset: start as u64,
            data: data[start..end].to_vec(),
            sent_ms: now,
        };
        self.send(node, body);
        true
    }

    pub(super) fn handle_chunk_response(
        &mut self,
        from: &Node,
        index: LogIndex,
        offset: u64,
        sent_ms: Millis,
        now: Millis,
    ) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(from) else {
            self.dropped.unknown_sender += 1;
            return;
        };
        progress.record_contact(sent_ms, now);
        let Some(sending) = &mut progress.snapshot else {
            return;
        };
        let proceeds = offset != sending.offset || sending.is_probe;
        if sending.snapshot.meta.index == index && proceeds {
            sending.offset = offset;
            sending.sent_ms = Millis::ZERO;
        }
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: &Node,
        meta: SnapshotMeta,
        total: u64,
        (offset, data): (u64, Vec<u8>),
        sent_ms: Millis,
    ) {
        let index = meta.index;
        let already_covered =
            index <= self.commit_index || self.log.term_at(index) == Some(meta.term);
        let has_members = self.log.members().is_some();
        if has_members && already_covered {
            self.commit_index = self.commit_index.max(index);
            let outcome = AppendOutcome::Matched(index);
            self.send_after_persist(from, MessageBody::AppendResponse { outcome, sent_ms });
            return;
        }
        if self.installing.is_some() {
            // Keeps answering the leader while the snapshot is being written.
            let outcome = AppendOutcome::NeedsSnapshot;
            self.send_to_leader(from, MessageBody::AppendResponse { outcome, sent_ms });
            return;
        }
        if total > MAX_SNAPSHOT_BYTES {
            return;
        }
        let is_same = |i: &IncomingSnapshot| i.snapshot.meta == meta && i.total == total;
        let mut incoming = match self.incoming.take() {
            Some(incoming) if is_same(&incoming) => incoming,
            _ => IncomingSnapshot {
                snapshot: Snapshot {
                    meta,
                    data: Vec::new(),
                },
                total,
            },
        };
        let received = &mut incoming.snapshot.data;
        if offset == received.len() as u64 && offset + data.len() as u64 <= total {
            received.extend_from_slice(&data);
        }
        let offset = received.len() as u64;
        if offset == total {
            self.install_snapshot(incoming.snapshot);
            let outcome = AppendOutcome::Matched(index);
            self.send_after_persist(from, MessageBody::AppendResponse { outcome, sent_ms });
            return;
        }
        self.incoming = Some(incoming);
        self.send_after_persist(
            from,
            MessageBody::SnapshotChunkResponse {
                index,
                offset,
                sent_ms,
            },
        );
    }

    /// Replaces the log with a snapshot. The state machine is restored once the snapshot is on
    /// disk.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.log.reset(&snapshot);
        self.synced_index = LogIndex::ZERO;
        self.commit_index = snapshot.meta.index;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.pending_update.entries.clear();
        self.pending_update.truncate_from = None;
        self.pending_update.compact_to = None;
        self.pending_update.reset_log = true;
        self.pending_update.snapshot = Some(Arc::clone(&snapshot));
        self.installing = Some((0, snapshot));
    }

    pub(super) fn finish_install(&mut self) {
        let Some((sequence, snapshot)) = &self.installing else {
            return;
        };
        if *sequence == 0 || *sequence > self.persisted_sequence {
            return;
        }
        let snapshot = Arc::clone(snapshot);
        self.installing = None;
        self.applied_index = snapshot.meta.index;
        self.applied_bytes = 0;
        self.snapshot_requested = false;
        if snapshot.meta.index > LogIndex::ZERO {
            self.actions.push(super::Action::Restore(snapshot));
        }
    }
}
