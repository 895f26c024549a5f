use std::collections::{BTreeMap, BTreeSet};

use super::progress::{LeaderState, LeadershipTransfer, Progress};
use super::restart::PriorLease;
use super::{Core, HardState, Role};
use crate::replica::{MessageBody, Node, Payload};
use crate::units::{LogIndex, Millis, Term};

impl Core {
    /// Whether this replica is the leader of the current term. It may not have applied all
    /// committed entries yet.
    #[must_use]
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica is the leader and has applied an entry of its own term, and therefore
    /// all entries committed in earlier terms.
    #[must_use]
    pub fn is_ready_leader(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.applied_index >= state.first_term_index,
            _ => false,
        }
    }

    /// Whether this replica is the leader and holds its lease, which a quorum renews by answering
    /// messages.
    #[must_use]
    pub fn has_quorum(&self, now: Millis) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// When the leader lease expires. `None` if this replica is not the leader or no quorum has
    /// answered yet.
    #[must_use]
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        let sent = self.quorum_acked_ms(now)?;
        Some(sent.saturating_add(self.config.lease_ms()))
    }

    /// The latest time for which a quorum has answered a message sent then or later.
    fn quorum_acked_ms(&self, now: Millis) -> Option<Millis> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let own = &self.config.node;
        let answered = self.voters().into_iter().map(|node| {
            if node == *own {
                return Some(now);
            }
            state.progress.get(&node).and_then(|p| p.acked_sent_ms)
        });
        let mut times: Vec<_> = answered.collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.quorum() - 1).copied().flatten()
    }

    /// Steps down if no quorum has answered for the minimum election timeout.
    pub(super) fn check_quorum(&mut self, now: Millis) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let since = state.elected_ms;
        let last = self.quorum_acked_ms(now).unwrap_or(since).max(since);
        if now >= last.saturating_add(self.config.election_min_ms) {
            self.step_down(now);
        }
    }

    pub(super) fn step_down(&mut self, now: Millis) {
        self.role = Role::Follower;
        self.leader = None;
        self.reset_election_timer(now);
    }

    /// Moves to a later term, in which this replica has not voted yet.
    pub(super) fn enter_term(&mut self, term: Term, now: Millis) {
        self.hard_state = HardState { term, vote: None };
        self.pending_update.hard_state = Some(self.hard_state.clone());
        self.leader = None;
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
    }

    /// Follows the leader of the current term.
    pub(super) fn follow_leader(&mut self, leader: &Node, now: Millis) {
        assert!(
            !self.is_leader(),
            "a term has at most one leader, so a leader never follows another one of its term"
        );
        self.role = Role::Follower;
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        if self.hard_state.vote.as_ref() != Some(leader) {
            // After a restart this replica must know whose lease it may have acknowledged. The term
            // has its leader already, so the vote given up cannot elect another one.
            self.hard_state.vote = Some(leader.clone());
            self.pending_update.hard_state = Some(self.hard_state.clone());
        }
        self.leader_contact_ms = Some(now);
        if self.prior_lease.may_be_held() {
            // No votes are granted after this contact for at least as long as after the start.
            self.prior_lease = PriorLease::None;
        }
        self.failed_elections = 0;
        self.reset_election_timer(now);
    }

    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        if matches!(self.role, Role::Candidate { .. }) {
            self.failed_elections = self.failed_elections.saturating_add(1);
        }
        self.leader = None;
        if self.campaigns_early(now) {
            self.schedule_early_retry(now);
        } else {
            self.schedule_election_retry(now);
        }
        let own = self.config.node.clone();
        let granted = BTreeSet::from([own.clone()]);
        self.role = Role::PreCandidate { granted };
        let body = MessageBody::PreVoteRequest {
            next_term: self.hard_state.term.next(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for node in self.voters().into_iter().filter(|node| *node != own) {
            self.send(&node, body.clone());
        }
        self.check_pre_votes(now);
    }

    fn check_pre_votes(&mut self, now: Millis) {
        if let Role::PreCandidate { granted } = &self.role
            && self.is_quorum(granted)
        {
            self.start_election(false, now);
        }
    }

    fn is_quorum(&self, nodes: &BTreeSet<Node>) -> bool {
        let voters = self.voters();
        let counted = voters.iter().filter(|node| nodes.contains(node)).count();
        counted >= self.quorum()
    }

    fn start_election(&mut self, transfer: bool, now: Millis) {
        let own = self.config.node.clone();
        self.enter_term(self.hard_state.term.next(), now);
        self.hard_state.vote = Some(own.clone());
        self.pending_update.hard_state = Some(self.hard_state.clone());
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
        };
        self.schedule_election_retry(now);
        let body = MessageBody::VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for node in self.voters().into_iter().filter(|node| *node != own) {
            self.send_after_persist(&node, body.clone());
        }
        self.send_after_persist(&own, MessageBody::VoteResponse { granted: true });
    }

    /// Whether this replica leads with a quorum, or may have heard from a leader that still leads
    /// within the minimum election timeout. While this holds it grants no votes, except on a
    /// leadership transfer; the leader lease relies on that.
    fn has_active_leader(&self, now: Millis) -> bool {
        if self.is_leader() {
            return self.has_quorum(now);
        }
        let is_recent = |at: Millis| now < at.saturating_add(self.config.election_min_ms);
        self.leader_contact_ms.is_some_and(is_recent)
            || (self.prior_lease.may_be_held() && is_recent(self.started_ms))
    }

    fn is_up_to_date(&self, last: (Term, LogIndex)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        from: &Node,
        next_term: Term,
        last: (Term, LogIndex),
        now: Millis,
    ) {
        let electable = next_term > self.hard_state.term && self.is_up_to_date(last);
        let granted = electable && !self.has_active_leader(now);
        let defers = match self.role {
            Role::Follower => true,
            Role::PreCandidate { .. } => *from < self.config.node,
            Role::Candidate { .. } | Role::Leader(_) => false,
        };
        if granted && defers {
            // Two candidates at the same time would split the votes.
            self.role = Role::Follower;
            self.schedule_election_retry(now);
        }
        self.send(from, MessageBody::PreVoteResponse { next_term, granted });
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        from: Node,
        term: Term,
        next_term: Term,
        granted: bool,
        now: Millis,
    ) {
        if !granted && term > self.hard_state.term && !self.is_leader() {
            self.enter_term(term, now);
            return;
        }
        let expected = self.hard_state.term.next();
        let Role::PreCandidate { granted: nodes } = &mut self.role else {
            return;
        };
        if granted && next_term == expected {
            nodes.insert(from);
            self.check_pre_votes(now);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: &Node,
        term: Term,
        last: (Term, LogIndex),
        transfer: bool,
        now: Millis,
    ) {
        if term < self.hard_state.term {
            self.dropped.stale_term += 1;
            return;
        }
        if !transfer && self.has_active_leader(now) {
            return;
        }
        if term > self.hard_state.term {
            self.enter_term(term, now);
        }
        let can_vote = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|vote| vote == from);
        let granted =
            can_vote && self.leader.is_none() && !self.is_leader() && self.is_up_to_date(last);
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.pending_update.hard_state = Some(self.hard_state.clone());
            self.reset_election_timer(now);
        }
        self.send_after_persist(from, MessageBody::VoteResponse { granted });
    }

    pub(super) fn handle_vote_response(&mut self, from: Node, granted: bool, now: Millis) {
        let voter = self.log.members().is_some_and(|m| m.contains(&from));
        if !voter {
            self.dropped.unknown_sender += 1;
            return;
        }
        let Role::Candidate { granted: nodes } = &mut self.role else {
            return;
        };
        if granted {
            nodes.insert(from);
        }
        if let Role::Candidate { granted: nodes } = &self.role
            && self.is_quorum(nodes)
        {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Millis) {
        let own = self.config.node.clone();
        let next = self.log.last_index().next();
        let others = self.voters().into_iter().filter(|node| *node != own);
        let progress: BTreeMap<_, _> = others.map(|node| (node, Progress::new(next))).collect();
        self.leader = Some(own);
        self.failed_elections = 0;
        self.role = Role::Leader(Box::new(LeaderState {
            progress,
            first_term_index: next,
            elected_ms: now,
            transfer: None,
            uncommitted_bytes: 0,
        }));
        self.append_as_leader(Payload::Empty);
    }

    /// Starts a leadership transfer if this replica is the leader, and keeps it from becoming
    /// leader again.
    pub(super) fn transfer_leadership(&mut self, now: Millis) {
        self.stopping = true;
        let deadline_ms = now.saturating_add(self.config.election_min_ms);
        if let Role::Leader(state) = &mut self.role {
            state
                .transfer
                .get_or_insert(LeadershipTransfer { deadline_ms });
        }
    }

    /// Records whether the disk is full. A transfer that was started because of a full disk is
    /// cancelled when space is free again.
    pub(super) fn set_disk_full(&mut self, full: bool, now: Millis) {
        self.disk_full = full;
        self.disk_full_since_ms = full.then_some(self.disk_full_since_ms.unwrap_or(now));
        if let Role::Leader(state) = &mut self.role
            && !full
            && !self.stopping
        {
            state.transfer = None;
        }
    }

    /// Starts a leadership transfer if the disk stays full, since the other replicas may still
    /// accept changes.
    pub(super) fn transfer_if_disk_full(&mut self, now: Millis) {
        let grace_period = Millis(self.config.election_min_ms.get() / 2);
        let Some(since_ms) = self.disk_full_since_ms else {
            return;
        };
        if now.since(since_ms) < grace_period || self.is_only_voter() {
            return;
        }
        let deadline_ms = now.saturating_add(self.config.election_min_ms);
        if let Role::Leader(state) = &mut self.role {
            state
                .transfer
                .get_or_insert(LeadershipTransfer { deadline_ms });
        }
    }

    /// Completes a leadership transfer once everything is committed and applied here and another
    /// voter holds the whole log. After the deadline this replica steps down without a successor.
    ///
    /// It also steps down when it asks the successor to take over, because the next leader does not
    /// wait for this lease to expire.
    pub(super) fn complete_transfer(&mut self, now: Millis) {
        let last = self.log.last_index();
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(transfer) = &state.transfer else {
            return;
        };
        let voters = self.voters();
        let ready = |node: &&Node| {
            let progress = state.progress.get(*node);
            progress.is_some_and(|p| p.match_index == last && p.acked_sent_ms.is_some())
        };
        let target = voters.iter().filter(ready).max_by_key(|node| {
            let progress = state.progress.get(*node);
            progress.and_then(|p| p.acked_sent_ms)
        });
        let all_applied = self.applied_index == last;
        match target.cloned() {
            Some(node) if all_applied => {
                self.send(&node, MessageBody::TimeoutNow);
                self.step_down(now);
            }
            _ if now >= transfer.deadline_ms && !self.is_only_voter() => self.step_down(now),
            _ => {}
        }
    }

    /// Starts an election at once, as requested by the leader.
    pub(super) fn handle_timeout_now(&mut self, now: Millis) {
        if self.is_voter() && !self.is_leader() && !self.stopping {
            self.start_election(true, now);
        }
    }
}
