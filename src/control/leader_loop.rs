use std::collections::BTreeMap;
use std::future::pending;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tracing::info;

use super::call_expiry::CallClock;
use super::entry_registry::EntryInstance;
use super::leader_request::{FinishedProposal, HeldExchange, LeaderRequest, Proposer};
use super::leader_state::LeaderState;
use super::{
    CommandBody, ControlError, EXCHANGE_LONG_POLL_MS, ExchangeAnswer, ExchangeRequest,
    ReportAnswer, ReportBatch, Result, SharedStateMachine, StateMachine, Status,
};
use crate::kernel::Clock;
use crate::release_note::ZoneState;
use crate::replica::{Handle, Leadership};
use crate::scheduler::SchedulerOptions;
use crate::units::{LogIndex, Millis};

/// How often the scheduler and the shares are advanced in time.
const TICK_INTERVAL_MS: Millis = Millis(100);
/// How often a clock command is proposed, so that the state machine's clock advances and old
/// records expire while nothing else is committed.
const CLOCK_INTERVAL_MS: Millis = Millis(10_000);
/// How long a stop waits for proposals in progress.
const DRAIN_TIMEOUT_MS: Millis = Millis(3_000);

/// The task that owns the leader's state. It runs on every replica, and acts only on the leader.
pub(super) struct LeaderLoop {
    pub(super) handle: Handle,
    pub(super) leadership: watch::Receiver<Leadership>,
    pub(super) state_machine: SharedStateMachine,
    pub(super) options: SchedulerOptions,
    pub(super) clock: Clock,
    pub(super) call_clock: CallClock,
    pub(super) leader: Option<LeaderState>,
    pub(super) held_exchanges: BTreeMap<EntryInstance, HeldExchange>,
    pub(super) proposals: FuturesUnordered<BoxFuture<'static, FinishedProposal>>,
    pub(super) clock_proposed_ms: Millis,
    /// Number of transitions proposed by this leader's scheduler that are in progress.
    pub(super) transitions_in_flight: usize,
    /// Whether the scheduler's view differs from the replicated state and must be rebuilt.
    pub(super) scheduler_stale: bool,
    pub(super) stopping: bool,
}

impl LeaderLoop {
    pub(super) fn new(
        handle: Handle,
        state_machine: SharedStateMachine,
        options: SchedulerOptions,
        clock: Clock,
        call_clock: CallClock,
    ) -> Self {
        Self {
            leadership: handle.leadership(),
            handle,
            state_machine,
            options,
            clock,
            call_clock,
            leader: None,
            held_exchanges: BTreeMap::new(),
            proposals: FuturesUnordered::new(),
            clock_proposed_ms: Millis::ZERO,
            transitions_in_flight: 0,
            scheduler_stale: false,
            stopping: false,
        }
    }

    /// Runs until `requests` closes or `stop` becomes true, then finishes the proposals in
    /// progress.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<LeaderRequest>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut applied = self.state_machine.subscribe_applied();
        let mut ticks = interval(TICK_INTERVAL_MS.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.follow_leadership();
        loop {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => break,
                },
                Some(done) = self.proposals.next() => self.finish(done),
                () = changed(&mut self.leadership) => self.follow_leadership(),
                () = changed(&mut applied) => {}
                _instant = ticks.tick() => self.tick(),
                () = until_true(&mut stop) => break,
            }
            self.propose_transitions();
            self.answer_due_exchanges();
        }
        self.drain(requests, applied).await;
    }

    /// Redirects entries and finishes the proposals in progress. Requests that were not proposed
    /// yet are refused, so that their callers know that they had no effect.
    async fn drain(
        mut self,
        mut requests: mpsc::Receiver<LeaderRequest>,
        applied: watch::Receiver<LogIndex>,
    ) {
        self.stopping = true;
        requests.close();
        while let Some(request) = requests.recv().await {
            self.handle_request(request);
        }
        self.answer_due_exchanges();
        let deadline = Instant::now() + DRAIN_TIMEOUT_MS.duration();
        while !self.proposals.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(Some(done)) = timeout(left, self.proposals.next()).await else {
                break;
            };
            self.finish(done);
        }
        info!(event = "leader_loop_stopped", applied = %*applied.borrow());
    }

    fn follow_leadership(&mut self) {
        let leadership = self.leadership.borrow_and_update().clone();
        if !leadership.is_ready_leader {
            if self.leader.take().is_some() {
                info!(event = "leadership_ended", term = %leadership.term);
            }
            return;
        }
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term == leadership.term)
        {
            return;
        }
        let now = self.clock.now();
        let leader = self.state_machine.read(|state_machine| {
            LeaderState::new(leadership.term, &self.options, state_machine, now)
        });
        info!(event = "leadership_began", term = %leadership.term);
        self.leader = Some(leader);
        self.transitions_in_flight = 0;
        self.scheduler_stale = false;
    }

    /// Whether this replica may issue grants and answer reads now.
    pub(super) fn may_act(&self) -> bool {
        let term = self.leadership.borrow().term;
        let same_term = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term == term);
        self.handle.has_quorum() && same_term && !self.stopping
    }

    pub(super) fn not_leader(&self) -> ControlError {
        let leadership = self.leadership.borrow();
        let leader = if leadership.is_ready_leader {
            None
        } else {
            leadership.leader_address
        };
        ControlError::NotLeader { leader }
    }

    fn handle_request(&mut self, request: LeaderRequest) {
        match request {
            LeaderRequest::Exchange { request, reply } => self.handle_exchange(request, reply),
            LeaderRequest::Report { batch, reply } => {
                drop(reply.send(self.report(&batch)));
            }
            LeaderRequest::Propose {
                expires,
                body,
                reply,
            } => self.handle_proposal(expires, body, reply),
            LeaderRequest::Explain { jobs, reply } => {
                let explain = |job| {
                    self.leader
                        .as_ref()
                        .and_then(|leader| leader.scheduler.explain(job))
                };
                drop(reply.send(jobs.iter().map(explain).collect()));
            }
            LeaderRequest::Status { reply } => {
                drop(reply.send(self.status()));
            }
        }
    }

    fn handle_exchange(
        &mut self,
        request: ExchangeRequest,
        reply: oneshot::Sender<Result<ExchangeAnswer>>,
    ) {
        let now = self.clock.now();
        let may_act = self.may_act();
        let Some(leader) = self.leader.as_mut().filter(|_| may_act) else {
            drop(reply.send(Err(self.not_leader())));
            return;
        };
        if !leader.observe(&request, now) {
            let reason = "the exchange is late, or a newer process of this entry is known".into();
            drop(reply.send(Err(ControlError::Refused { reason })));
            return;
        }
        let instance = (request.entry.clone(), request.incarnation);
        let held = HeldExchange {
            request,
            received_ms: now,
            reply,
        };
        self.held_exchanges.insert(instance, held);
    }

    fn report(&mut self, batch: &ReportBatch) -> Result<ReportAnswer> {
        let now = self.clock.now();
        let may_act = self.may_act();
        let Some(leader) = self.leader.as_mut().filter(|_| may_act) else {
            return Err(self.not_leader());
        };
        Ok(self
            .state_machine
            .read(|state_machine| leader.report(batch, state_machine, now)))
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if let Some(leader) = &mut self.leader {
            self.state_machine
                .read(|state_machine| leader.tick(state_machine, now));
        }
        if self.may_act() && now.since(self.clock_proposed_ms) >= CLOCK_INTERVAL_MS {
            self.clock_proposed_ms = now;
            self.propose(CommandBody::Clock, Proposer::Clock);
        }
    }

    /// Answers held exchanges for which there is an update, or that were held long enough.
    fn answer_due_exchanges(&mut self) {
        let now = self.clock.now();
        let may_act = self.may_act();
        let Some(leader) = self.leader.as_mut().filter(|_| may_act) else {
            let error = self.not_leader();
            for held in std::mem::take(&mut self.held_exchanges).into_values() {
                drop(held.reply.send(Err(error.clone())));
            }
            return;
        };
        let due: Vec<EntryInstance> = self.state_machine.read(|state_machine| {
            let in_force = state_machine.in_force().revision;
            let is_due = |held: &HeldExchange| {
                let held_ms = now.since(held.received_ms);
                held_ms >= EXCHANGE_LONG_POLL_MS || leader.answer_due(&held.request, in_force)
            };
            let due = self.held_exchanges.iter().filter(|(_, held)| is_due(held));
            due.map(|(instance, _)| instance.clone()).collect()
        });
        for held in due
            .iter()
            .filter_map(|instance| self.held_exchanges.remove(instance))
        {
            if held.reply.is_closed() {
                continue;
            }
            let answer = self.state_machine.read(|state_machine| {
                leader.answer(&held.request, state_machine, held.received_ms)
            });
            drop(held.reply.send(Ok(answer)));
        }
    }

    fn status(&self) -> Result<Status> {
        let Some(leader) = self.leader.as_ref().filter(|_| self.may_act()) else {
            return Err(self.not_leader());
        };
        let now = self.clock.now();
        let in_force = self.state_machine.read(StateMachine::in_force);
        let zones = in_force.zones.values();
        let everywhere = leader.entries.in_force_everywhere(in_force.revision, now);
        Ok(Status {
            group: self.handle.status(),
            revision: in_force.revision,
            in_force_everywhere: everywhere,
            entries: leader.entries.statuses(now),
            zones: zones
                .map(|zone| (zone.name.clone(), zone.state == ZoneState::In))
                .collect(),
            services: in_force.services.keys().cloned().collect(),
            teams: leader.scheduler.teams(),
            endpoints: leader.shares.endpoints(),
            workers: leader.scheduler.workers(),
        })
    }
}

/// Waits for a change; never returns if the sender is gone.
async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        pending::<()>().await;
    }
}

async fn until_true(receiver: &mut watch::Receiver<bool>) {
    if receiver.wait_for(|stop| *stop).await.is_err() {
        pending::<()>().await;
    }
}
