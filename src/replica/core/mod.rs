//! Consensus core: the Raft state machine for elections, log replication, snapshots and membership.
//! It performs no I/O.
//!
//! The core is driven by [`Event`]s, the current time and a random seed, and returns [`Action`]s
//! for the caller to execute. A message that depends on durable state is deferred until the caller
//! reports that the corresponding [`StorageUpdate`] has been persisted.

mod bootstrap;
mod election;
mod log;
mod membership;
mod outbox;
mod progress;
mod replication;
mod restart;
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
use self::restart::PriorLease;
pub use self::status::NodeStatus;
pub use self::types::{
    Action, CoreConfig, DroppedMessages, Event, HardState, ProposalRefusal, RecoveredState,
    StorageUpdate,
};
use super::{Membership, Message, MessageBody, Node, Payload, Snapshot};
use crate::units::{GroupId, LogIndex, Millis, Term};

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<Node> },
    Candidate { granted: BTreeSet<Node> },
    Leader(Box<LeaderState>),
}

/// A snapshot that is being received from the leader in chunks.
#[derive(Debug)]
struct IncomingSnapshot {
    snapshot: Snapshot,
    total: u64,
}

/// The consensus state of one replica.
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
    /// The sequence of the update that stores a received snapshot (0 until that update is emitted)
    /// and the snapshot, which is restored once the update is persisted.
    installing: Option<(u64, Arc<Snapshot>)>,
    commit_index: LogIndex,
    applied_index: LogIndex,
    applied_bytes: usize,
    snapshot_requested: bool,
    synced_index: LogIndex,
    /// When a leader was last heard from since the start.
    leader_contact_ms: Option<Millis>,
    /// When this replica started.
    started_ms: Millis,
    /// The lease that this replica may have acknowledged before it started.
    prior_lease: PriorLease,
    election_deadline_ms: Millis,
    /// Elections started and not won since the last contact with a leader.
    failed_elections: u32,
    bootstrap: BootstrapState,
    /// When this follower last acknowledged an append before its own disk sync had finished.
    early_ack_ms: Millis,
    disk_full: bool,
    /// Since when the disk has been full.
    disk_full_since_ms: Option<Millis>,
    stopping: bool,
    pending_update: StorageUpdate,
    last_sequence: u64,
    persisted_sequence: u64,
    /// The sequence of the last update of the term or vote.
    hard_state_sequence: u64,
    /// The end of the log after each update that is not persisted yet, as (sequence, index, term).
    unsynced_log_ends: VecDeque<(u64, LogIndex, Term)>,
    deferred: VecDeque<(u64, Message)>,
    newly_deferred: Vec<Message>,
    actions: Vec<Action>,
    dropped: DroppedMessages,
}

impl Core {
    /// Creates a core from the state that was read from disk.
    #[must_use]
    pub fn new(config: CoreConfig, recovered: RecoveredState, now: Millis) -> Self {
        let rng = StdRng::seed_from_u64(config.seed);
        let prior_lease = PriorLease::of(&recovered, &config.node);
        let log = Log::new(recovered.snapshot.as_deref(), recovered.entries);
        let base = recovered.snapshot.as_ref().map(|s| s.meta.index);
        let commit = base.unwrap_or_default();
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
            leader_contact_ms: None,
            started_ms: now,
            prior_lease,
            election_deadline_ms: now,
            failed_elections: 0,
            early_ack_ms: now,
            bootstrap: BootstrapState {
                next_discovery_ms: now,
                replaces_damaged_folder: recovered.replaces_damaged_folder,
                ..BootstrapState::default()
            },
            disk_full: false,
            disk_full_since_ms: None,
            stopping: false,
            pending_update: StorageUpdate::default(),
            last_sequence: 0,
            persisted_sequence: 0,
            hard_state_sequence: 0,
            unsynced_log_ends: VecDeque::new(),
            deferred: VecDeque::new(),
            newly_deferred: Vec::new(),
            actions: Vec::new(),
            dropped: DroppedMessages::default(),
            config,
        };
        if core.is_only_voter() {
            core.prior_lease = PriorLease::None;
        } else if core.prior_lease != PriorLease::Own {
            core.reset_election_timer(now);
        }
        core
    }

    /// Processes one event and returns the actions to execute.
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

    /// Appends a command to the log. The caller then calls [`Core::flush`] to replicate and persist
    /// all commands that were accepted.
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

    /// Advances the commit index, emits due messages and storage updates, and returns all pending
    /// actions.
    pub fn flush(&mut self, now: Millis) -> Vec<Action> {
        self.advance_commit(now);
        self.change_membership(now);
        self.replicate_to_all(now);
        // The storage update goes out before `Action::Apply`, so that it precedes any snapshot that
        // is taken while these actions are executed.
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
        self.note_prior_leader(&from, term, &message.body, now);
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

    /// Answers a deposed leader with the current term, so that it steps down.
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
        let entries = self.log.range(self.applied_index, self.commit_index);
        let Some(last) = entries.last() else {
            return;
        };
        self.applied_index = last.index;
        let bytes = entries.iter().map(|e| e.approximate_size()).sum::<usize>();
        self.applied_bytes = self.applied_bytes.saturating_add(bytes);
        self.actions.push(Action::Apply(entries));
        self.request_snapshot_if_due();
    }

    fn reset_election_timer(&mut self, now: Millis) {
        let min_ms = self.config.election_min_ms.get();
        let max_ms = self.config.election_max_ms.get().max(min_ms + 1);
        let delay_ms = self.rng.random_range(min_ms..max_ms);
        self.election_deadline_ms = now.saturating_add(Millis(delay_ms));
    }

    /// Schedules the next attempt after an election that was not won. The first delay is shorter than
    /// the election timeout because there is no leader to wait for. It doubles with each failed
    /// election, up to a limit: with slow disks and links the votes may still be on their way.
    fn schedule_election_retry(&mut self, now: Millis) {
        /// Upper limit on how often the delay is doubled.
        const MAX_DOUBLINGS: u32 = 2;
        let doublings = self.failed_elections.min(MAX_DOUBLINGS);
        let max_delay_ms = (self.config.election_min_ms.get() / 2) << doublings;
        let delay_ms = self.rng.random_range(max_delay_ms / 4..=max_delay_ms);
        self.election_deadline_ms = now.saturating_add(Millis(delay_ms));
    }

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
