use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Core, Role};
use crate::replica::{Membership, Message, MessageBody, Node, Snapshot, SnapshotMeta};
use crate::units::{GroupId, LogIndex, Millis, ReplicaId, Term};

/// How long a voter hears no leader before it asks whether it was replaced.
const REPLACED_AFTER_MS: Millis = Millis(5_000);
/// How long a peer's word that it is blank counts.
const BLANK_WORD_MS: Millis = Millis(2_000);

/// What a replica without a group, or without a vote, keeps.
#[derive(Debug, Default)]
pub(super) struct BootstrapState {
    /// When it next asks its peers.
    pub(super) ask_at_ms: Millis,
    /// Peers that said that they are blank, and when.
    pub(super) blank_peers: BTreeMap<Node, Millis>,
    /// Members that another replica named; they are asked too, as configured peers may be gone.
    pub(super) told_members: BTreeSet<ReplicaId>,
    /// Whether an earlier folder was damaged: then it never forms a new group.
    pub(super) after_damage: bool,
}

impl Core {
    fn ask_all(&mut self, body: &MessageBody) {
        let own = &self.config.node.name;
        let told = self.bootstrap.told_members.iter();
        let names: BTreeSet<ReplicaId> = self.config.peers.iter().chain(told).cloned().collect();
        for name in names
            .into_iter()
            .filter(|name| name != own)
            .collect::<Vec<_>>()
        {
            let message = self.message_by_name(name, body.clone());
            self.out.push(super::Action::Send(message));
        }
    }

    fn message_by_name(&self, name: ReplicaId, body: MessageBody) -> Message {
        Message {
            group: self.group.clone(),
            from: self.config.node.clone(),
            to: name,
            to_folder: None,
            term: self.hard.term,
            body,
        }
    }

    /// A blank replica asks all configured peers whether they are blank too.
    pub(super) fn ask_blank_peers(&mut self, now: Millis) {
        if now < self.bootstrap.ask_at_ms {
            return;
        }
        self.bootstrap.ask_at_ms = now.saturating_add(self.config.discovery_interval_ms);
        self.ask_all(&MessageBody::Discover);
        self.form_group(now);
    }

    /// A voter that hears no leader for long asks to join: it may have been replaced, for example
    /// where an operator put back the folder of a replica that was repaired meanwhile.
    pub(super) fn ask_if_replaced(&mut self, now: Millis) {
        let heard = self.heard_leader_ms.unwrap_or_default();
        if now >= heard.saturating_add(REPLACED_AFTER_MS) {
            self.ask_to_join(now);
        }
    }

    pub(super) fn ask_to_join(&mut self, now: Millis) {
        if now < self.bootstrap.ask_at_ms {
            return;
        }
        self.bootstrap.ask_at_ms = now.saturating_add(self.config.discovery_interval_ms);
        if self.config.target_voters.is_some() {
            self.ask_all(&MessageBody::Discover);
        }
        self.ask_all(&MessageBody::JoinRequest);
    }

    fn hello_answer(&self) -> MessageBody {
        MessageBody::DiscoverResponse {
            can_bootstrap: self.group.is_none() && !self.bootstrap.after_damage,
            members: self.log.members().cloned(),
        }
    }

    pub(super) fn answer_hello(&mut self, from: &Node) {
        let body = self.hello_answer();
        self.send_held(from, body);
    }

    pub(super) fn hear_hello(
        &mut self,
        group: Option<GroupId>,
        from: Node,
        blank: bool,
        members: Option<Membership>,
        now: Millis,
    ) {
        let named = members.iter().flat_map(|m| &m.voters);
        let named = named.map(|voter| voter.name.clone()).collect();
        if self.group.is_some() {
            if self.group == group && members.is_some() {
                self.bootstrap.told_members = named;
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
                .blank_peers
                .retain(|node, _| node.name != name);
            if blank {
                self.bootstrap.blank_peers.insert(from, now);
            }
            self.form_group(now);
            return;
        };
        self.bootstrap.told_members = named;
        self.group = Some(group.clone());
        self.unsaved.group = Some(group);
        self.bootstrap.ask_at_ms = now;
        if let Some(members) = members.filter(|m| m.contains(&self.config.node)) {
            self.start_voting(members);
            self.reset_election(now);
        }
    }

    /// Forms the group where all configured peers are blank and this replica's name is the lowest.
    fn form_group(&mut self, now: Millis) {
        let own = self.config.node.clone();
        let peers = &self.config.peers;
        let may_bootstrap = self.config.may_bootstrap && !self.bootstrap.after_damage;
        if !may_bootstrap || peers.iter().any(|name| *name <= own.name) {
            return;
        }
        let fresh = self.bootstrap.blank_peers.iter();
        let fresh = fresh.filter(|(_, at)| now < at.saturating_add(BLANK_WORD_MS));
        let blank: Vec<_> = fresh.map(|(node, _)| node.clone()).collect();
        let all = peers.iter().all(|p| blank.iter().any(|n| n.name == *p));
        if !all {
            return;
        }
        let name = format!("g-{}", own.folder);
        let group: GroupId = name
            .parse()
            .expect("a folder id with a prefix is a group id");
        let mut members = Membership { voters: vec![own] };
        for node in blank {
            members = members.with_voter(node);
        }
        self.group = Some(group.clone());
        self.unsaved.group = Some(group);
        self.start_voting(members);
        self.election_at_ms = now.saturating_add(self.config.discovery_interval_ms);
        let body = self.hello_answer();
        let own = self.config.node.clone();
        for node in self.voters().into_iter().filter(|n| *n != own) {
            self.send_held(&node, body.clone());
        }
    }

    /// Becomes a voter of a new group, with an empty log.
    fn start_voting(&mut self, members: Membership) {
        let meta = SnapshotMeta {
            index: LogIndex::ZERO,
            term: Term::ZERO,
            members,
        };
        let data = Vec::new();
        let snapshot = Arc::new(Snapshot { meta, data });
        self.log.reset(&snapshot);
        self.snapshot = Some(Arc::clone(&snapshot));
        self.unsaved.snapshot = Some(snapshot);
        self.role = Role::Follower;
    }
}
