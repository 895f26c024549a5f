use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Core, Role};
use crate::replica::{Membership, Message, MessageBody, Node, Snapshot, SnapshotMeta};
use crate::units::{GroupId, LogIndex, Millis, ReplicaId, Term};

/// How long a voter must be without a leader before it asks whether it has been replaced.
const REJOIN_AFTER_MS: Millis = Millis(5_000);
/// How long a peer's statement that it can bootstrap is valid.
const BOOTSTRAP_PEER_TTL_MS: Millis = Millis(2_000);

/// State of a replica that has no group or no vote yet.
#[derive(Debug, Default)]
pub(super) struct BootstrapState {
    /// When to contact the peers next.
    pub(super) next_discovery_ms: Millis,
    /// Peers that reported that they can bootstrap a group, with the time of the report.
    pub(super) bootstrap_peers: BTreeMap<Node, Millis>,
    /// Names of members reported by other replicas. They are contacted as well, since the
    /// configured peers may be gone.
    pub(super) known_members: BTreeSet<ReplicaId>,
    /// Whether this data folder replaces a damaged one, which rules out bootstrapping a new group.
    pub(super) replaces_damaged_folder: bool,
}

impl Core {
    fn send_to_peers(&mut self, body: &MessageBody) {
        let own = &self.config.node.name;
        let known = self.bootstrap.known_members.iter();
        // All configured peers and all members that others reported may have been replaced.
        let voters = self.log.members().into_iter().flat_map(|m| &m.voters);
        let known = known.chain(voters.map(|voter| &voter.name));
        let names: BTreeSet<ReplicaId> = self.config.peers.iter().chain(known).cloned().collect();
        for name in names
            .into_iter()
            .filter(|name| name != own)
            .collect::<Vec<_>>()
        {
            let message = self.message_by_name(name, body.clone());
            self.actions.push(super::Action::Send(message));
        }
    }

    fn message_by_name(&self, name: ReplicaId, body: MessageBody) -> Message {
        Message {
            group: self.group.clone(),
            from: self.config.node.clone(),
            to: name,
            to_folder: None,
            term: self.hard_state.term,
            body,
        }
    }

    /// Asks all peers whether they can bootstrap a group or belong to one.
    pub(super) fn discover_peers(&mut self, now: Millis) {
        if now < self.bootstrap.next_discovery_ms {
            return;
        }
        self.bootstrap.next_discovery_ms = now.saturating_add(self.config.discovery_interval_ms);
        self.send_to_peers(&MessageBody::Discover);
        self.try_bootstrap(now);
    }

    /// Requests to join if this voter has had no leader for long. It may have been replaced in the
    /// meantime, for example if an operator restored an old data folder of a replica whose disk had
    /// been lost.
    pub(super) fn rejoin_if_replaced(&mut self, now: Millis) {
        let last_contact = self.leader_contact_ms.unwrap_or(self.started_ms);
        if now >= last_contact.saturating_add(REJOIN_AFTER_MS) {
            self.request_join(now);
        }
    }

    pub(super) fn request_join(&mut self, now: Millis) {
        if now < self.bootstrap.next_discovery_ms {
            return;
        }
        self.bootstrap.next_discovery_ms = now.saturating_add(self.config.discovery_interval_ms);
        if self.config.target_voters.is_some() {
            self.send_to_peers(&MessageBody::Discover);
        }
        self.send_to_peers(&MessageBody::JoinRequest);
    }

    fn discover_response(&self) -> MessageBody {
        MessageBody::DiscoverResponse {
            can_bootstrap: self.group.is_none() && !self.bootstrap.replaces_damaged_folder,
            members: self.log.members().cloned(),
        }
    }

    pub(super) fn answer_discover(&mut self, from: &Node) {
        let body = self.discover_response();
        self.send_after_persist(from, body);
    }

    pub(super) fn handle_discover_response(
        &mut self,
        group: Option<GroupId>,
        from: Node,
        can_bootstrap: bool,
        members: Option<Membership>,
        now: Millis,
    ) {
        let names = members.iter().flat_map(|m| &m.voters);
        let names = names.map(|voter| voter.name.clone()).collect();
        if self.group.is_some() {
            if self.group == group && members.is_some() {
                self.bootstrap.known_members = names;
            }
            return;
        }
        let configured = self.config.peers.contains(&from.name);
        if !configured && self.config.target_voters.is_none() {
            self.dropped.unknown_sender += 1;
            return;
        }
        let Some(group) = group else {
            let name = from.name.clone();
            self.bootstrap
                .bootstrap_peers
                .retain(|node, _| node.name != name);
            if can_bootstrap {
                self.bootstrap.bootstrap_peers.insert(from, now);
            }
            self.try_bootstrap(now);
            return;
        };
        self.bootstrap.known_members = names;
        self.group = Some(group.clone());
        self.pending_update.group = Some(group);
        self.bootstrap.next_discovery_ms = now;
        if let Some(members) = members.filter(|m| m.contains(&self.config.node)) {
            self.init_voter(members);
            self.reset_election_timer(now);
        }
    }

    /// Bootstraps the group if all configured peers can bootstrap and this replica has the lowest
    /// name.
    fn try_bootstrap(&mut self, now: Millis) {
        let own = self.config.node.clone();
        let peers = &self.config.peers;
        let may_bootstrap = self.config.may_bootstrap && !self.bootstrap.replaces_damaged_folder;
        if !may_bootstrap || peers.iter().any(|name| *name <= own.name) {
            return;
        }
        let recent = self.bootstrap.bootstrap_peers.iter();
        let recent = recent.filter(|(_, at)| now < at.saturating_add(BOOTSTRAP_PEER_TTL_MS));
        let ready: Vec<_> = recent.map(|(node, _)| node.clone()).collect();
        let all_ready = peers.iter().all(|p| ready.iter().any(|n| n.name == *p));
        if !all_ready {
            return;
        }
        let name = format!("g-{}", own.folder);
        let group: GroupId = name
            .parse()
            .expect("a folder id with a prefix is a group id");
        let mut members = Membership { voters: vec![own] };
        for node in ready {
            members = members.with_voter(node);
        }
        self.group = Some(group.clone());
        self.pending_update.group = Some(group);
        self.init_voter(members);
        self.election_deadline_ms = now.saturating_add(self.config.discovery_interval_ms);
        let body = self.discover_response();
        let own = self.config.node.clone();
        for node in self.voters().into_iter().filter(|n| *n != own) {
            self.send_after_persist(&node, body.clone());
        }
    }

    /// Makes this replica a voter of a new group, with an empty log.
    fn init_voter(&mut self, members: Membership) {
        let meta = SnapshotMeta {
            index: LogIndex::ZERO,
            term: Term::ZERO,
            members,
        };
        let data = Vec::new();
        let snapshot = Arc::new(Snapshot { meta, data });
        self.log.reset(&snapshot);
        self.snapshot = Some(Arc::clone(&snapshot));
        self.pending_update.snapshot = Some(snapshot);
        self.role = Role::Follower;
    }
}
