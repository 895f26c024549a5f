use super::{Action, Core};
use crate::replica::{Message, MessageBody, Node};
use crate::units::Millis;

impl Core {
    pub(super) fn handle_persisted(&mut self, sequence: u64, now: Millis) {
        self.persisted_sequence = self.persisted_sequence.max(sequence);
        while let Some((update_sequence, index, term)) = self.unsynced_log_ends.front().copied() {
            if update_sequence > sequence {
                break;
            }
            self.unsynced_log_ends.pop_front();
            if self.log.term_at(index) == Some(term) {
                self.synced_index = self.synced_index.max(index);
            }
        }
        self.finish_install();
        while self
            .deferred
            .front()
            .is_some_and(|(update_sequence, _)| *update_sequence <= sequence)
        {
            let Some((_, message)) = self.deferred.pop_front() else {
                break;
            };
            self.release_deferred(message, now);
        }
    }

    /// Sends a deferred message, or handles it here if it is this replica's vote for itself.
    fn release_deferred(&mut self, message: Message, now: Millis) {
        if message.to_folder.as_ref() == Some(&self.config.node.folder) {
            if message.term == self.hard_state.term
                && let MessageBody::VoteResponse { granted } = message.body
            {
                self.handle_vote_response(message.from, granted, now);
            }
            return;
        }
        self.actions.push(Action::Send(message));
    }

    pub(super) fn emit_storage_update(&mut self) {
        if !self.pending_update.is_empty() {
            self.last_sequence += 1;
            let mut update = std::mem::take(&mut self.pending_update);
            update.sequence = self.last_sequence;
            if update.hard_state.is_some() {
                self.hard_state_sequence = self.last_sequence;
            }
            let log_end = (self.log.last_index(), self.log.last_term());
            self.unsynced_log_ends
                .push_back((self.last_sequence, log_end.0, log_end.1));
            if let Some((update_sequence, _)) = &mut self.installing
                && *update_sequence == 0
            {
                *update_sequence = self.last_sequence;
            }
            self.actions.push(Action::Persist(update));
        }
        let sequence = self.last_sequence;
        for message in std::mem::take(&mut self.newly_deferred) {
            if self.persisted_sequence >= sequence && !self.is_to_self(&message) {
                self.actions.push(Action::Send(message));
            } else {
                self.deferred.push_back((sequence, message));
            }
        }
    }

    fn is_to_self(&self, message: &Message) -> bool {
        message.to_folder.as_ref() == Some(&self.config.node.folder)
    }

    pub(super) fn message(&self, to: &Node, body: MessageBody) -> Message {
        Message {
            group: self.group.clone(),
            from: self.config.node.clone(),
            to: to.name.clone(),
            to_folder: Some(to.folder.clone()),
            term: self.hard_state.term,
            body,
        }
    }

    pub(super) fn send(&mut self, to: &Node, body: MessageBody) {
        let message = self.message(to, body);
        self.actions.push(Action::Send(message));
    }

    /// Whether the current term and vote are on disk.
    pub(super) const fn is_hard_state_persisted(&self) -> bool {
        self.pending_update.hard_state.is_none()
            && self.hard_state_sequence <= self.persisted_sequence
    }

    /// Sends an answer that renews the leader's lease. It waits only until this replica has recorded
    /// which leader it follows.
    pub(super) fn send_to_leader(&mut self, leader: &Node, body: MessageBody) {
        if self.is_hard_state_persisted() {
            self.send(leader, body);
        } else {
            self.send_after_persist(leader, body);
        }
    }

    /// Sends a message once all state changes decided so far are persisted.
    pub(super) fn send_after_persist(&mut self, to: &Node, body: MessageBody) {
        let message = self.message(to, body);
        self.newly_deferred.push(message);
    }
}
