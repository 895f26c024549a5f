use std::sync::Arc;

use super::{Core, DroppedMessages, Role};
use crate::replica::{Entry, Membership, Node};
use crate::units::{GroupId, LogIndex, Millis, Term};

/// One node as the leader knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeStatus {
    /// The node.
    pub node: Node,
    /// Whether it votes.
    pub voter: bool,
    /// The last record that it has synced.
    pub match_index: LogIndex,
    /// How long ago it was heard; none where it never was.
    pub silent_ms: Option<Millis>,
}

impl Core {
    /// The last record that is applied.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied_index
    }

    /// The last record that is known to be committed.
    #[must_use]
    pub const fn committed(&self) -> LogIndex {
        self.commit_index
    }

    /// The present term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The group, where the replica belongs to one.
    #[must_use]
    pub const fn group(&self) -> Option<&GroupId> {
        self.group.as_ref()
    }

    /// The known leader.
    #[must_use]
    pub const fn leader(&self) -> Option<&Node> {
        self.leader.as_ref()
    }

    /// The voters now in force.
    #[must_use]
    pub fn members(&self) -> Option<&Membership> {
        self.log.members()
    }

    /// The position of the record that named the voters now in force.
    #[must_use]
    pub fn members_index(&self) -> LogIndex {
        self.log.members_index()
    }

    /// The record at a position, where it is kept in memory.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Arc<Entry>> {
        self.log.get(index)
    }

    /// Messages that were dropped.
    #[must_use]
    pub const fn dropped(&self) -> DroppedMessages {
        self.dropped
    }

    /// What the leader knows of each node, for operators: synced position and time since it was heard.
    #[must_use]
    pub fn node_statuses(&self, now: Millis) -> Vec<NodeStatus> {
        let own = &self.config.node;
        // A change of the voters may still be lost before it is committed.
        let settled = self.log.members_at(self.commit_index);
        let votes = |node: &Node| settled.is_some_and(|members| members.contains(node));
        let mut states = vec![NodeStatus {
            node: own.clone(),
            voter: votes(own),
            match_index: self.synced_index,
            silent_ms: Some(Millis::ZERO),
        }];
        if let Role::Leader(state) = &self.role {
            states.extend(state.progress.iter().map(|(node, p)| NodeStatus {
                node: node.clone(),
                voter: votes(node),
                match_index: p.match_index,
                silent_ms: p.last_contact_ms.map(|at| now.since(at)),
            }));
        } else {
            let others = self.voters().into_iter().filter(|node| node != own);
            states.extend(others.map(|node| NodeStatus {
                voter: votes(&node),
                node,
                match_index: LogIndex::ZERO,
                silent_ms: None,
            }));
        }
        states
    }
}
