use super::progress::Progress;
use super::{Core, Role};
use crate::replica::{Member, Membership, Node, Payload};
use crate::units::{LogIndex, Millis};

impl Core {
    /// Takes in a node that lost its folder as a learner, where a voter had its name.
    pub(super) fn hear_join(&mut self, member: Member, now: Millis) {
        let Some(members) = self.log.members() else {
            return;
        };
        let configured = self.config.peers.contains(&member.node.name);
        if !configured || members.contains(&member.node) {
            return;
        }
        let next = self.log.last_index().next();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if let Some(progress) = state.progress.get_mut(&member.node) {
            progress.heard_ms = Some(now);
            return;
        }
        let name = &member.node.name;
        state
            .progress
            .retain(|node, p| p.learner.is_none() || node.name != *name);
        let mut progress = Progress::new(next);
        progress.heard_ms = Some(now);
        progress.learner = Some(member.clone());
        state.progress.insert(member.node, progress);
    }

    /// Replaces a voter by the learner of the same name, once that holds the whole state.
    ///
    /// The old voter goes first: should the learner be lost as well meanwhile, the others are still a
    /// quorum. Each step waits until the one before it is committed.
    pub(super) fn replace_lost_members(&mut self, now: Millis) {
        let Some(members) = self.next_members(now) else {
            return;
        };
        self.append_own(Payload::Members(members));
        self.update_progress();
    }

    fn next_members(&self, now: Millis) -> Option<Membership> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let settled = self.commit >= state.first_own && self.commit >= self.log.members_index();
        if !settled || state.transfer.is_some() || self.disk_full {
            return None;
        }
        let members = self.log.members()?;
        let learners = state.progress.values().filter(|p| p.learner.is_some());
        let mut ready = learners.filter(|p| p.matched >= self.commit && self.is_live(p, now));
        let learner = ready.find_map(|p| p.learner.clone())?;
        let old = members
            .voters
            .iter()
            .find(|m| m.node.name == learner.node.name);
        let next = match old {
            Some(old) => members.without(&old.node),
            None => members.with(learner),
        };
        self.can_commit(&next, now).then_some(next)
    }

    fn is_live(&self, progress: &Progress, now: Millis) -> bool {
        let heard = progress.acked_ms;
        heard.is_some_and(|at| now < at.saturating_add(self.config.election_min_ms))
    }

    /// Whether enough of those voters answer that the change can be committed.
    fn can_commit(&self, members: &Membership, now: Millis) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let own = &self.config.member.node;
        let live = members.voters.iter().filter(|member| {
            let progress = state.progress.get(&member.node);
            member.node == *own || progress.is_some_and(|p| self.is_live(p, now))
        });
        live.count() >= members.quorum()
    }

    /// Follows the voters now in force; nodes that are no longer among them are dropped.
    fn update_progress(&mut self) {
        let voters = self.voters();
        let own = self.config.member.node.clone();
        let next = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let is_voter = |node: &Node| voters.contains(node);
        state
            .progress
            .retain(|node, p| is_voter(node) || p.learner.is_some());
        for node in voters.iter().filter(|node| **node != own) {
            let progress = state.progress.entry(node.clone());
            progress.or_insert_with(|| Progress::new(next)).learner = None;
        }
    }

    /// What the leader knows of each node, for operators: synced position and time since it was heard.
    #[must_use]
    pub fn node_states(&self, now: Millis) -> Vec<NodeState> {
        let own = &self.config.member.node;
        // A change of the voters may still be lost before it is committed.
        let settled = self.log.members_at(self.commit);
        let votes = |node: &Node| settled.is_some_and(|members| members.contains(node));
        let mut states = vec![NodeState {
            node: own.clone(),
            voter: votes(own),
            matched: self.synced,
            silent_ms: Some(Millis::ZERO),
        }];
        if let Role::Leader(state) = &self.role {
            states.extend(state.progress.iter().map(|(node, p)| NodeState {
                node: node.clone(),
                voter: votes(node),
                matched: p.matched,
                silent_ms: p.heard_ms.map(|at| now.since(at)),
            }));
        } else {
            let others = self.voters().into_iter().filter(|node| node != own);
            states.extend(others.map(|node| NodeState {
                voter: votes(&node),
                node,
                matched: LogIndex::ZERO,
                silent_ms: None,
            }));
        }
        states
    }
}

/// One node as the leader knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeState {
    /// The node.
    pub node: Node,
    /// Whether it votes.
    pub voter: bool,
    /// The last record that it has synced.
    pub matched: LogIndex,
    /// How long ago it was heard; none where it never was.
    pub silent_ms: Option<Millis>,
}
