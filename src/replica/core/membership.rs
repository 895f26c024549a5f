use super::progress::Progress;
use super::{Core, Role};
use crate::replica::{Membership, Node, Payload};
use crate::units::Millis;

impl Core {
    /// Accepts a node as a learner: a replica that lost its data folder, or a new replica of an
    /// open group.
    pub(super) fn handle_join_request(&mut self, from: Node, now: Millis) {
        let Some(members) = self.log.members() else {
            return;
        };
        let configured = self.config.peers.contains(&from.name);
        let may_join = configured || self.config.target_voters.is_some();
        if !may_join || members.contains(&from) {
            return;
        }
        let next = self.log.last_index().next();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if let Some(progress) = state.progress.get_mut(&from) {
            progress.last_contact_ms = Some(now);
            return;
        }
        let name = &from.name;
        state
            .progress
            .retain(|node, p| !p.is_learner || node.name != *name);
        let mut progress = Progress::new(next);
        progress.last_contact_ms = Some(now);
        progress.is_learner = true;
        state.progress.insert(from, progress);
    }

    /// Makes the next membership change that is due: removes a voter that a caught-up learner
    /// replaces, or adds a learner as a voter.
    ///
    /// The old voter is removed first: if the learner fails too in the meantime, the remaining
    /// voters still have a quorum. A change starts only after the previous one is committed.
    pub(super) fn change_membership(&mut self, now: Millis) {
        let Some(members) = self.next_membership(now) else {
            return;
        };
        self.append_as_leader(Payload::Members(members));
        self.track_current_voters();
    }

    fn next_membership(&self, now: Millis) -> Option<Membership> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let settled = self.commit_index >= state.first_term_index
            && self.commit_index >= self.log.members_index();
        if !settled || state.transfer.is_some() || self.disk_full {
            return None;
        }
        let members = self.log.members()?;
        let learners = state.progress.iter().filter(|(_, p)| p.is_learner);
        let is_ready =
            |p: &Progress| p.match_index >= self.commit_index && self.is_responsive(p, now);
        let ready = learners.filter(|(_, p)| is_ready(p));
        let mut candidates =
            ready.filter_map(|(learner, _)| self.next_step_for(members, learner, now));
        candidates.find(|members| self.can_commit(members, now))
    }

    /// The next membership on the way to making this learner a voter. `None` if no voter can be
    /// replaced.
    fn next_step_for(
        &self,
        members: &Membership,
        learner: &Node,
        now: Millis,
    ) -> Option<Membership> {
        if let Some(old) = members.voters.iter().find(|v| v.name == learner.name) {
            return Some(members.without_voter(old));
        }
        let target = self.config.target_voters.unwrap_or(usize::MAX);
        if members.voters.len() < target {
            return Some(members.with_voter(learner.clone()));
        }
        let unresponsive = members
            .voters
            .iter()
            .find(|voter| self.is_unresponsive(voter, now))?;
        Some(members.without_voter(unresponsive))
    }

    /// Whether a voter has been silent for so long that a learner may replace it.
    fn is_unresponsive(&self, voter: &Node, now: Millis) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let Some(progress) = state.progress.get(voter) else {
            return false;
        };
        let last_contact_ms = progress
            .last_contact_ms
            .unwrap_or_default()
            .max(state.elected_ms);
        now.since(last_contact_ms) >= self.config.replace_after_ms
    }

    fn is_responsive(&self, progress: &Progress, now: Millis) -> bool {
        let last_ack = progress.acked_sent_ms;
        last_ack.is_some_and(|at| now < at.saturating_add(self.config.election_min_ms))
    }

    /// Whether enough voters of this membership respond to commit the change.
    fn can_commit(&self, members: &Membership, now: Millis) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let own = &self.config.node;
        let responsive = members.voters.iter().filter(|voter| {
            let progress = state.progress.get(voter);
            *voter == own || progress.is_some_and(|p| self.is_responsive(p, now))
        });
        responsive.count() >= members.quorum()
    }

    /// Aligns the tracked progress with the current voters and stops tracking nodes that are
    /// neither voters nor learners.
    fn track_current_voters(&mut self) {
        let voters = self.voters();
        let own = self.config.node.clone();
        let next = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let is_voter = |node: &Node| voters.contains(node);
        state
            .progress
            .retain(|node, p| is_voter(node) || p.is_learner);
        for node in voters.iter().filter(|node| **node != own) {
            let progress = state.progress.entry(node.clone());
            progress.or_insert_with(|| Progress::new(next)).is_learner = false;
        }
    }
}
