use std::sync::Arc;

use super::{Core, DroppedMessages, Role};
use crate::replica::{Entry, Membership, Node};
use crate::units::{GroupId, LogIndex, Millis, Term};

/// State of one node as the leader sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeStatus {
    /// The node.
    pub node: Node,
    /// Whether the node is a voter.
    pub voter: bool,
    /// Index of the last entry known to be synced on the node.
    pub match_index: LogIndex,
    /// Time since the node was last heard from. `None` if it never was.
    pub silent_ms: Option<Millis>,
}

impl Core {
    /// Index of the last applied entry.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied_index
    }

    /// Index of the last entry known to be committed.
    #[must_use]
    pub const fn committed(&self) -> LogIndex {
        self.commit_index
    }

    /// The current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The group that the replica belongs to, if any.
    #[must_use]
    pub const fn group(&self) -> Option<&GroupId> {
        self.group.as_ref()
    }

    /// The current leader, if it is known.
    #[must_use]
    pub const fn leader(&self) -> Option<&Node> {
        self.leader.as_ref()
    }

    /// The current membership.
    #[must_use]
    pub fn members(&self) -> Option<&Membership> {
        self.log.members()
    }

    /// Index of the entry that defined the current membership.
    #[must_use]
    pub fn members_index(&self) -> LogIndex {
        self.log.members_index()
    }

    /// The entry at an index, if it is kept in memory.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Arc<Entry>> {
        self.log.get(index)
    }

    /// Number of dropped messages by cause.
    #[must_use]
    pub const fn dropped(&self) -> DroppedMessages {
        self.dropped
    }

    /// The state of each node. Indexes and contact times of other nodes are known only on the
    /// leader.
    #[must_use]
    pub fn node_statuses(&self, now: Millis) -> Vec<NodeStatus> {
        let own = &self.config.node;
        // Uncommitted membership changes may still be rolled back.
        let committed = self.log.members_at(self.commit_index);
        let is_voter = |node: &Node| committed.is_some_and(|members| members.contains(node));
        let mut statuses = vec![NodeStatus {
            node: own.clone(),
            voter: is_voter(own),
            match_index: self.synced_index,
            silent_ms: Some(Millis::ZERO),
        }];
        if let Role::Leader(state) = &self.role {
            statuses.extend(state.progress.iter().map(|(node, p)| NodeStatus {
                node: node.clone(),
                voter: is_voter(node),
                match_index: p.match_index,
                silent_ms: p.last_contact_ms.map(|at| now.since(at)),
            }));
        } else {
            let others = self.voters().into_iter().filter(|node| node != own);
            statuses.extend(others.map(|node| NodeStatus {
                voter: is_voter(&node),
                node,
                match_index: LogIndex::ZERO,
                silent_ms: None,
            }));
        }
        statuses
    }
}
