//! The consensus core: elections, log, snapshots and membership, without any input or output.
//!
//! Messages, time and the seed come in, [`Action`]s go out. A message that depends on something
//! durable is held back until the shell says that the step is on the disk.

mod bootstrap;
mod election;
mod log;
mod membership;
mod outbox;
mod progress;
mod replication;
mod snapshot;
mod status;
mod types;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use self::bootstrap::BootstrapState;
use self::log::Log;
use self::progress::LeaderState;
pub use self::status::NodeStatus;
pub use self::types::{
    Action, CoreConfig, DroppedMessages, Event, HardState, ProposalRefusal, RecoveredState,
    StorageUpdate,
};
use super::{Membership, Message, MessageBody, Node, Payload, Snapshot};
use crate::units::{GroupId, LogIndex, Millis, Term};

/// What the replica is doing.
#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<Node> },
    Candidate { granted: BTreeSet<Node> },
    Leader(Box<LeaderState>),
}

/// A snapshot that is being received.
#[derive(Debug)]
struct IncomingSnapshot {
    snapshot: Snapshot,
    total: u64,
}

/// One replica's consensus state.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    rng: StdRng,
    group: Option<GroupId>,
    hard_state: HardState,
    role: Role,
    leader: Option<Node>,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    incoming: Option<IncomingSnapshot>,
    /// A snapshot that is applied once it is on the disk.
    installing: Option<(u64, Arc<Snapshot>)>,
    commit_index: LogIndex,
    applied_index: LogIndex,
    applied_bytes: usize,
    snapshot_requested: bool,
    synced_index: LogIndex,
    /// When the leader was last heard; a restart counts, as the promise to it may still stand.
    leader_contact_ms: Option<Millis>,
    election_deadline_ms: Millis,
    /// Elections that this replica has not won since it last heard a leader.
    failed_elections: u32,
    bootstrap: BootstrapState,
    /// When the leader last got an answer that did not wait for the disk.
    early_ack_ms: Millis,
    disk_full: bool,
    /// Since when the disk takes no more.
    disk_full_since_ms: Option<Millis>,
    stopping: bool,
    pending_update: StorageUpdate,
    last_sequence: u64,
    persisted_sequence: u64,
    /// The end of the log after each step that is not yet on the disk.
    unsynced_log_ends: VecDeque<(u64, LogIndex, Term)>,
    deferred: VecDeque<(u64, Message)>,
    newly_deferred: Vec<Message>,
    actions: Vec<Action>,
    dropped: DroppedMessages,
}

impl Core {
    /// Starts from what the disk holds.
    #[must_use]
    pub fn new(config: CoreConfig, recovered: RecoveredState, now: Millis) -> Self {
        let rng = StdRng::seed_from_u64(config.seed);
        let log = Log::new(recovered.snapshot.as_deref(), recovered.entries);
        let base = recovered.snapshot.as_ref().map(|s| s.meta.index);
        let commit = base.unwrap_or_default();
        let formed = recovered.snapshot.is_some();
        let mut core = Self {
            rng,
            group: recovered.group,
            hard_state: recovered.hard_state,
            role: Role::Follower,
            leader: None,
            synced_index: log.last_index(),
            log,
            snapshot: recovered.snapshot,
            incoming: None,
            installing: None,
            commit_index: commit,
            applied_index: commit,
            applied_bytes: 0,
            snapshot_requested: false,
            leader_contact_ms: formed.then_some(now),
            election_deadline_ms: now,
            failed_elections: 0,
            early_ack_ms: now,
            bootstrap: BootstrapState {
                next_discovery_ms: now,
                after_damage: recovered.after_damage,
                ..BootstrapState::default()
            },
            disk_full: false,
            disk_full_since_ms: None,
            stopping: false,
            pending_update: StorageUpdate::default(),
            last_sequence: 0,
            persisted_sequence: 0,
            unsynced_log_ends: VecDeque::new(),
            deferred: VecDeque::new(),
            newly_deferred: Vec::new(),
            actions: Vec::new(),
            dropped: DroppedMessages::default(),
            config,
        };
        if core.is_only_voter() {
            core.leader_contact_ms = None;
        } else {
            core.reset_election_timer(now);
        }
        core
    }

    /// Handles one event and gives what has to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(message) => self.receive(*message, now),
            Event::Persisted { sequence } => self.handle_persisted(sequence, now),
            Event::SnapshotTaken { index, data } => self.handle_snapshot_taken(index, data),
            Event::DiskFull(full) => self.set_disk_full(full, now),
            Event::TransferLeadership => self.transfer_leadership(now),
        }
        self.flush(now)
    }

    /// Takes a proposal; [`Core::flush`] then sends and saves all that were taken.
    ///
    /// # Errors
    /// A [`ProposalRefusal`] means that the command will never be applied.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogIndex, ProposalRefusal> {
        let limit = self.config.max_uncommitted_bytes.get();
        let largest = self.config.max_append_bytes.get().max(limit / 2);
        let Role::Leader(state) = &self.role else {
            return Err(ProposalRefusal::NotLeader);
        };
        if state.transfer.is_some() || self.stopping {
            return Err(ProposalRefusal::NotLeader);
        }
        if self.disk_full {
            return Err(ProposalRefusal::DiskFull);
        }
        if command.len() as u64 > largest {
            return Err(ProposalRefusal::TooLarge);
        }
        if state.uncommitted_bytes as u64 > limit {
            return Err(ProposalRefusal::UncommittedLimit);
        }
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Sends what can be sent and gives all that has to be done.
    pub fn flush(&mut self, now: Millis) -> Vec<Action> {
        self.advance_commit(now);
        self.change_membership(now);
        self.replicate_to_all(now);
        // Steps of one call come before a snapshot that is taken while its actions are carried out.
        self.emit_storage_update();
        self.apply_committed();
        self.complete_transfer(now);
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Millis) {
        match &self.role {
            Role::Leader(_) => {
                self.transfer_if_disk_full(now);
                self.check_quorum(now);
            }
            _ if self.group.is_none() => self.discover_peers(now),
            _ if !self.is_voter() => self.request_join(now),
            _ if now >= self.election_deadline_ms && !self.stopping => {
                self.start_pre_vote(now);
                self.rejoin_if_replaced(now);
            }
            _ => {}
        }
    }

    fn receive(&mut self, message: Message, now: Millis) {
        if message.to != self.config.node.name {
            self.dropped.other_receiver += 1;
            return;
        }
        let folder = message.to_folder.as_ref();
        if folder.is_some_and(|folder| *folder != self.config.node.folder) {
            self.dropped.other_receiver += 1;
            return;
        }
        match message.body {
            MessageBody::Discover => self.answer_discover(&message.from),
            MessageBody::DiscoverResponse {
                can_bootstrap,
                members,
            } => {
                self.handle_discover_response(
                    message.group,
                    message.from,
                    can_bootstrap,
                    members,
                    now,
                );
            }
            _ if message.group.is_none() || message.group != self.group => {
                self.dropped.other_group += 1;
            }
            _ if folder.is_none() && !matches!(message.body, MessageBody::JoinRequest) => {
                self.dropped.other_receiver += 1;
            }
            MessageBody::JoinRequest => self.handle_join_request(message.from, now),
            _ => self.receive_from_member(message, now),
        }
    }

    fn receive_from_member(&mut self, message: Message, now: Millis) {
        let (from, term) = (message.from, message.term);
        match message.body {
            MessageBody::PreVoteRequest {
                next_term,
                last_index,
                last_term,
            } => self.handle_pre_vote_request(&from, next_term, (last_term, last_index), now),
            MessageBody::PreVoteResponse { next_term, granted } => {
                self.handle_pre_vote_response(from, term, next_term, granted, now);
            }
            MessageBody::VoteRequest {
                last_index,
                last_term,
                transfer,
            } => self.handle_vote_request(&from, term, (last_term, last_index), transfer, now),
            _ if term < self.hard_state.term => self.reject_stale(&from, &message.body),
            body => {
                if term > self.hard_state.term {
                    self.enter_term(term, now);
                }
                self.receive_current_term(from, body, now);
            }
        }
    }

    fn receive_current_term(&mut self, from: Node, body: MessageBody, now: Millis) {
        match body {
            MessageBody::VoteResponse { granted } => self.handle_vote_response(from, granted, now),
            MessageBody::AppendEntries {
                prev_index,
                prev_term,
                entries,
                commit,
                sent_ms,
            } => {
                self.follow_leader(&from, now);
                let outcome = self.handle_append(prev_index, prev_term, entries, commit);
                self.respond_to_append(&from, outcome, sent_ms, now);
            }
            MessageBody::AppendResponse { outcome, sent_ms } => {
                self.handle_append_response(&from, &outcome, sent_ms, now);
            }
            MessageBody::SnapshotChunk {
                meta,
                total,
                offset,
                data,
                sent_ms,
            } => {
                self.follow_leader(&from, now);
                self.handle_snapshot_chunk(&from, meta, total, (offset, data), sent_ms);
            }
            MessageBody::SnapshotChunkResponse {
                index,
                offset,
                sent_ms,
            } => self.handle_chunk_response(&from, index, offset, sent_ms, now),
            MessageBody::TimeoutNow => self.handle_timeout_now(now),
            MessageBody::Discover
            | MessageBody::DiscoverResponse { .. }
            | MessageBody::JoinRequest
            | MessageBody::PreVoteRequest { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::VoteRequest { .. } => {}
        }
    }

    /// Tells a deposed leader of the present term, so that it steps down.
    fn reject_stale(&mut self, from: &Node, body: &MessageBody) {
        self.dropped.stale_term += 1;
        if let MessageBody::AppendEntries { sent_ms, .. }
        | MessageBody::SnapshotChunk { sent_ms, .. } = *body
        {
            let outcome = super::AppendOutcome::NeedsSnapshot;
            self.send_after_persist(from, MessageBody::AppendResponse { outcome, sent_ms });
        }
    }

    fn apply_committed(&mut self) {
        if self.commit_index <= self.applied_index || self.installing.is_some() {
            return;
        }
        let records = self.log.range(self.applied_index, self.commit_index);
        let Some(last) = records.last() else {
            return;
        };
        self.applied_index = last.index;
        let bytes = records.iter().map(|e| e.approximate_size()).sum::<usize>();
        self.applied_bytes = self.applied_bytes.saturating_add(bytes);
        self.actions.push(Action::Apply(records));
        self.request_snapshot_if_due();
    }

    fn reset_election_timer(&mut self, now: Millis) {
        let least = self.config.election_min_ms.get();
        let most = self.config.election_max_ms.get().max(least + 1);
        let wait = self.rng.random_range(least..most);
        self.election_deadline_ms = now.saturating_add(Millis(wait));
    }

    /// Tries again soon where an election was not won: nobody has to be heard before that. The pause doubles
    /// with each election that was not won, as on slow disks and links the votes may be on their way.
    fn schedule_election_retry(&mut self, now: Millis) {
        /// The most doublings of the pause.
        const DOUBLINGS_MAX: u32 = 2;
        let doublings = self.failed_elections.min(DOUBLINGS_MAX);
        let longest = (self.config.election_min_ms.get() / 2) << doublings;
        let wait = self.rng.random_range(longest / 4..=longest);
        self.election_deadline_ms = now.saturating_add(Millis(wait));
    }

    /// Whether this replica is the only voter.
    fn is_only_voter(&self) -> bool {
        self.is_voter() && self.log.members().is_some_and(|m| m.voters.len() == 1)
    }

    fn is_voter(&self) -> bool {
        let node = &self.config.node;
        self.log.members().is_some_and(|m| m.contains(node))
    }

    fn voters(&self) -> Vec<Node> {
        let members = self.log.members().map_or(&[][..], |m| &m.voters);
        members.to_vec()
    }

    fn quorum(&self) -> usize {
        self.log.members().map_or(usize::MAX, Membership::quorum)
    }
}
