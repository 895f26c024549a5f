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
struct Incoming {
    snapshot: Snapshot,
    total: u64,
}

/// One replica's consensus state.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    rng: StdRng,
    group: Option<GroupId>,
    hard: HardState,
    role: Role,
    leader: Option<Node>,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    incoming: Option<Incoming>,
    /// A snapshot that is applied once it is on the disk.
    installing: Option<(u64, Arc<Snapshot>)>,
    commit: LogIndex,
    applied: LogIndex,
    applied_bytes: usize,
    snapshot_asked: bool,
    synced: LogIndex,
    /// When the leader was last heard; a restart counts, as the promise to it may still stand.
    heard_leader_ms: Option<Millis>,
    election_at_ms: Millis,
    /// Elections that this replica has not won since it last heard a leader.
    elections_lost: u32,
    bootstrap: BootstrapState,
    /// When the leader last got an answer that did not wait for the disk.
    answered_ms: Millis,
    disk_full: bool,
    /// Since when the disk takes no more.
    disk_full_ms: Option<Millis>,
    leaving: bool,
    unsaved: StorageUpdate,
    sequence: u64,
    persisted: u64,
    /// The end of the log after each step that is not yet on the disk.
    saving: VecDeque<(u64, LogIndex, Term)>,
    held: VecDeque<(u64, Message)>,
    held_now: Vec<Message>,
    out: Vec<Action>,
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
            hard: recovered.hard,
            role: Role::Follower,
            leader: None,
            synced: log.last_index(),
            log,
            snapshot: recovered.snapshot,
            incoming: None,
            installing: None,
            commit,
            applied: commit,
            applied_bytes: 0,
            snapshot_asked: false,
            heard_leader_ms: formed.then_some(now),
            election_at_ms: now,
            elections_lost: 0,
            answered_ms: now,
            bootstrap: BootstrapState {
                ask_at_ms: now,
                after_damage: recovered.after_damage,
                ..BootstrapState::default()
            },
            disk_full: false,
            disk_full_ms: None,
            leaving: false,
            unsaved: StorageUpdate::default(),
            sequence: 0,
            persisted: 0,
            saving: VecDeque::new(),
            held: VecDeque::new(),
            held_now: Vec::new(),
            out: Vec::new(),
            dropped: DroppedMessages::default(),
            config,
        };
        if core.alone() {
            core.heard_leader_ms = None;
        } else {
            core.reset_election(now);
        }
        core
    }

    /// Handles one event and gives what has to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(message) => self.receive(*message, now),
            Event::Persisted { sequence } => self.saved(sequence, now),
            Event::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
            Event::DiskFull(full) => self.disk_is_full(full, now),
            Event::TransferLeadership => self.hand_over(now),
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
        if state.transfer.is_some() || self.leaving {
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
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Sends what can be sent and gives all that has to be done.
    pub fn flush(&mut self, now: Millis) -> Vec<Action> {
        self.advance_commit(now);
        self.replace_lost_members(now);
        self.send_appends(now);
        // Steps of one call come before a snapshot that is taken while its actions are carried out.
        self.save_unsaved();
        self.apply_committed();
        self.finish_hand_over(now);
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Millis) {
        match &self.role {
            Role::Leader(_) => {
                self.leave_full_disk(now);
                self.check_quorum(now);
            }
            _ if self.group.is_none() => self.ask_blank_peers(now),
            _ if !self.is_voter() => self.ask_to_join(now),
            _ if now >= self.election_at_ms && !self.leaving => {
                self.start_pre_vote(now);
                self.ask_if_replaced(now);
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
            MessageBody::Discover => self.answer_hello(&message.from),
            MessageBody::DiscoverResponse {
                can_bootstrap,
                members,
            } => {
                self.hear_hello(message.group, message.from, can_bootstrap, members, now);
            }
            _ if message.group.is_none() || message.group != self.group => {
                self.dropped.other_group += 1;
            }
            _ if folder.is_none() && !matches!(message.body, MessageBody::JoinRequest) => {
                self.dropped.other_receiver += 1;
            }
            MessageBody::JoinRequest => self.hear_join(message.from, now),
            _ => self.receive_member(message, now),
        }
    }

    fn receive_member(&mut self, message: Message, now: Millis) {
        let (from, term) = (message.from, message.term);
        match message.body {
            MessageBody::PreVoteRequest {
                next_term,
                last_index,
                last_term,
            } => self.hear_pre_vote(&from, next_term, (last_term, last_index), now),
            MessageBody::PreVoteResponse { next_term, granted } => {
                self.hear_pre_vote_answer(from, term, next_term, granted, now);
            }
            MessageBody::VoteRequest {
                last_index,
                last_term,
                transfer,
            } => self.hear_vote(&from, term, (last_term, last_index), transfer, now),
            _ if term < self.hard.term => self.refuse_stale(&from, &message.body),
            body => {
                if term > self.hard.term {
                    self.enter_term(term, now);
                }
                self.receive_current(from, body, now);
            }
        }
    }

    fn receive_current(&mut self, from: Node, body: MessageBody, now: Millis) {
        match body {
            MessageBody::VoteResponse { granted } => self.hear_vote_answer(from, granted, now),
            MessageBody::AppendEntries {
                prev_index,
                prev_term,
                entries,
                commit,
                sent_ms,
            } => {
                self.follow(&from, now);
                let outcome = self.append_received(prev_index, prev_term, entries, commit);
                self.answer_append(&from, outcome, sent_ms, now);
            }
            MessageBody::AppendResponse { outcome, sent_ms } => {
                self.hear_append_answer(&from, &outcome, sent_ms, now);
            }
            MessageBody::SnapshotChunk {
                meta,
                total,
                offset,
                data,
                sent_ms,
            } => {
                self.follow(&from, now);
                self.chunk_received(&from, meta, total, (offset, data), sent_ms);
            }
            MessageBody::SnapshotChunkResponse {
                index,
                offset,
                sent_ms,
            } => self.hear_chunk_answer(&from, index, offset, sent_ms, now),
            MessageBody::TimeoutNow => self.take_over(now),
            MessageBody::Discover
            | MessageBody::DiscoverResponse { .. }
            | MessageBody::JoinRequest
            | MessageBody::PreVoteRequest { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::VoteRequest { .. } => {}
        }
    }

    /// Tells a deposed leader of the present term, so that it steps down.
    fn refuse_stale(&mut self, from: &Node, body: &MessageBody) {
        self.dropped.stale_term += 1;
        if let MessageBody::AppendEntries { sent_ms, .. }
        | MessageBody::SnapshotChunk { sent_ms, .. } = *body
        {
            let outcome = super::AppendOutcome::NeedsSnapshot;
            self.send_held(from, MessageBody::AppendResponse { outcome, sent_ms });
        }
    }

    fn apply_committed(&mut self) {
        if self.commit <= self.applied || self.installing.is_some() {
            return;
        }
        let records = self.log.range(self.applied, self.commit);
        let Some(last) = records.last() else {
            return;
        };
        self.applied = last.index;
        let bytes = records.iter().map(|e| e.approximate_size()).sum::<usize>();
        self.applied_bytes = self.applied_bytes.saturating_add(bytes);
        self.out.push(Action::Apply(records));
        self.ask_for_snapshot();
    }

    fn reset_election(&mut self, now: Millis) {
        let least = self.config.election_min_ms.get();
        let most = self.config.election_max_ms.get().max(least + 1);
        let wait = self.rng.random_range(least..most);
        self.election_at_ms = now.saturating_add(Millis(wait));
    }

    /// Tries again soon where an election was not won: nobody has to be heard before that. The pause doubles
    /// with each election that was not won, as on slow disks and links the votes may be on their way.
    fn retry_election(&mut self, now: Millis) {
        /// The most doublings of the pause.
        const DOUBLINGS_MAX: u32 = 2;
        let doublings = self.elections_lost.min(DOUBLINGS_MAX);
        let longest = (self.config.election_min_ms.get() / 2) << doublings;
        let wait = self.rng.random_range(longest / 4..=longest);
        self.election_at_ms = now.saturating_add(Millis(wait));
    }

    /// Whether this replica is the only voter.
    fn alone(&self) -> bool {
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
