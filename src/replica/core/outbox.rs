use super::{Action, Core};
use crate::replica::{Message, MessageBody, Node};
use crate::units::Millis;

impl Core {
    pub(super) fn saved(&mut self, sequence: u64, now: Millis) {
        self.persisted = self.persisted.max(sequence);
        while let Some((step, index, term)) = self.saving.front().copied() {
            if step > sequence {
                break;
            }
            self.saving.pop_front();
            if self.log.term_at(index) == Some(term) {
                self.synced = self.synced.max(index);
            }
        }
        self.finish_install();
        while self.held.front().is_some_and(|(step, _)| *step <= sequence) {
            let Some((_, message)) = self.held.pop_front() else {
                break;
            };
            self.release(message, now);
        }
    }

    /// Sends a message, or takes it in where it is for this replica itself.
    fn release(&mut self, message: Message, now: Millis) {
        if message.to_folder.as_ref() == Some(&self.config.node.folder) {
            if message.term == self.hard.term
                && let MessageBody::VoteResponse { granted } = message.body
            {
                self.hear_vote_answer(message.from, granted, now);
            }
            return;
        }
        self.out.push(Action::Send(message));
    }

    pub(super) fn save_unsaved(&mut self) {
        if !self.unsaved.is_empty() {
            self.sequence += 1;
            let mut save = std::mem::take(&mut self.unsaved);
            save.sequence = self.sequence;
            let end = (self.log.last_index(), self.log.last_term());
            self.saving.push_back((self.sequence, end.0, end.1));
            if let Some((step, _)) = &mut self.installing
                && *step == 0
            {
                *step = self.sequence;
            }
            self.out.push(Action::Persist(save));
        }
        let sequence = self.sequence;
        for message in std::mem::take(&mut self.held_now) {
            if self.persisted >= sequence && !self.is_self(&message) {
                self.out.push(Action::Send(message));
            } else {
                self.held.push_back((sequence, message));
            }
        }
    }

    fn is_self(&self, message: &Message) -> bool {
        message.to_folder.as_ref() == Some(&self.config.node.folder)
    }

    pub(super) fn message(&self, to: &Node, body: MessageBody) -> Message {
        Message {
            group: self.group.clone(),
            from: self.config.node.clone(),
            to: to.name.clone(),
            to_folder: Some(to.folder.clone()),
            term: self.hard.term,
            body,
        }
    }

    pub(super) fn send(&mut self, to: &Node, body: MessageBody) {
        let message = self.message(to, body);
        self.out.push(Action::Send(message));
    }

    /// Sends once everything that was decided so far is durable.
    pub(super) fn send_held(&mut self, to: &Node, body: MessageBody) {
        let message = self.message(to, body);
        self.held_now.push(message);
    }
}
