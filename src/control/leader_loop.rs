use std::collections::BTreeMap;
use std::future::pending;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tracing::info;

use super::entry_registry::EntryRun;
use super::leader_request::{Ask, Held, Proposed, Proposer};
use super::leader_state::Lead;
use super::{
    CommandBody, ControlError, EXCHANGE_LONG_POLL_MS, ExchangeAnswer, ExchangeRequest,
    ReportAnswer, ReportBatch, Result, SharedStateMachine, StateMachine, Status,
};
use crate::kernel::Clock;
use crate::release_note::ZoneState;
use crate::replica::{Handle, Leadership};
use crate::scheduler::SchedulerOptions;
use crate::units::{LogIndex, Millis};

/// How often time passes for the scheduler and the shares.
const TICK_MS: Millis = Millis(100);
/// How often the state's clock moves on when nothing else does.
const CLOCK_MS: Millis = Millis(10_000);
/// How long a stop waits for changes in progress.
const DRAIN_MS: Millis = Millis(3_000);

/// The one task that owns what a leadership knows; it runs on every replica and acts on the leader.
pub(super) struct LeadLoop {
    pub(super) handle: Handle,
    pub(super) leadership: watch::Receiver<Leadership>,
    pub(super) machine: SharedStateMachine,
    pub(super) options: SchedulerOptions,
    pub(super) clock: Clock,
    pub(super) lead: Option<Lead>,
    pub(super) held: BTreeMap<EntryRun, Held>,
    pub(super) changes: FuturesUnordered<BoxFuture<'static, Proposed>>,
    pub(super) clock_moved_ms: Millis,
    /// Transitions of this leadership's scheduler that are in progress.
    pub(super) transitions: usize,
    /// Whether the scheduler's view differs from the replicated state and must be built anew.
    pub(super) rebuild_due: bool,
    pub(super) stopping: bool,
}

impl LeadLoop {
    pub(super) fn new(
        handle: Handle,
        machine: SharedStateMachine,
        options: SchedulerOptions,
        clock: Clock,
    ) -> Self {
        Self {
            leadership: handle.leadership(),
            handle,
            machine,
            options,
            clock,
            lead: None,
            held: BTreeMap::new(),
            changes: FuturesUnordered::new(),
            clock_moved_ms: Millis::ZERO,
            transitions: 0,
            rebuild_due: false,
            stopping: false,
        }
    }

    /// Runs until `asks` closes or `stop` turns true, then finishes the changes in progress.
    pub(super) async fn run(
        mut self,
        mut asks: mpsc::Receiver<Ask>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut applied = self.machine.changes();
        let mut ticks = interval(TICK_MS.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.follow_leadership();
        loop {
            tokio::select! {
                ask = asks.recv() => match ask {
                    Some(ask) => self.take(ask),
                    None => break,
                },
                Some(done) = self.changes.next() => self.finish(done),
                () = changed(&mut self.leadership) => self.follow_leadership(),
                () = changed(&mut applied) => {}
                _instant = ticks.tick() => self.tick(),
                () = until_true(&mut stop) => break,
            }
            self.propose_wanted();
            self.answer_held();
        }
        self.drain(asks, applied).await;
    }

    /// Sends entries away and finishes what was proposed; what was only asked is refused, so that
    /// nobody is left in doubt about a change that was never begun.
    async fn drain(mut self, mut asks: mpsc::Receiver<Ask>, applied: watch::Receiver<LogIndex>) {
        self.stopping = true;
        asks.close();
        while let Some(ask) = asks.recv().await {
            self.take(ask);
        }
        self.answer_held();
        let deadline = Instant::now() + DRAIN_MS.duration();
        while !self.changes.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(Some(done)) = timeout(left, self.changes.next()).await else {
                break;
            };
            self.finish(done);
        }
        info!(event = "leader_loop_stopped", applied = %*applied.borrow());
    }

    fn follow_leadership(&mut self) {
        let seen = self.leadership.borrow_and_update().clone();
        if !seen.is_ready_leader {
            if self.lead.take().is_some() {
                info!(event = "leadership_ended", term = %seen.term);
            }
            return;
        }
        if self
            .lead
            .as_ref()
            .is_some_and(|lead| lead.term == seen.term)
        {
            return;
        }
        let now = self.clock.now();
        let lead = self
            .machine
            .read(|machine| Lead::new(seen.term, &self.options, machine, now));
        info!(event = "leadership_began", term = %seen.term);
        self.lead = Some(lead);
        self.transitions = 0;
        self.rebuild_due = false;
    }

    /// Whether this replica may grant and answer reads now.
    pub(super) fn may_act(&self) -> bool {
        let term = self.leadership.borrow().term;
        let same_term = self.lead.as_ref().is_some_and(|lead| lead.term == term);
        self.handle.has_quorum() && same_term && !self.stopping
    }

    pub(super) fn not_leader(&self) -> ControlError {
        let seen = self.leadership.borrow();
        let leader = if seen.is_ready_leader {
            None
        } else {
            seen.leader_address
        };
        ControlError::NotLeader { leader }
    }

    fn take(&mut self, ask: Ask) {
        match ask {
            Ask::Exchange { request, reply } => self.take_exchange(request, reply),
            Ask::Report { batch, reply } => {
                drop(reply.send(self.report(&batch)));
            }
            Ask::Propose { body, reply } => self.take_change(body, reply),
            Ask::Explain { jobs, reply } => {
                let explain = |job| {
                    self.lead
                        .as_ref()
                        .and_then(|lead| lead.scheduler.explain(job))
                };
                drop(reply.send(jobs.iter().map(explain).collect()));
            }
            Ask::Status { reply } => {
                drop(reply.send(self.status()));
            }
        }
    }

    fn take_exchange(
        &mut self,
        request: ExchangeRequest,
        reply: oneshot::Sender<Result<ExchangeAnswer>>,
    ) {
        let now = self.clock.now();
        let may_act = self.may_act();
        let Some(lead) = self.lead.as_mut().filter(|_| may_act) else {
            drop(reply.send(Err(self.not_leader())));
            return;
        };
        if !lead.observe(&request, now) {
            let reason = "the exchange is late, or a newer process of this entry is known".into();
            drop(reply.send(Err(ControlError::Refused { reason })));
            return;
        }
        let run = (request.entry.clone(), request.incarnation);
        let held = Held {
            request,
            received_ms: now,
            reply,
        };
        self.held.insert(run, held);
    }

    fn report(&mut self, batch: &ReportBatch) -> Result<ReportAnswer> {
        let now = self.clock.now();
        let may_act = self.may_act();
        let Some(lead) = self.lead.as_mut().filter(|_| may_act) else {
            return Err(self.not_leader());
        };
        Ok(self
            .machine
            .read(|machine| lead.report(batch, machine, now)))
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if let Some(lead) = &mut self.lead {
            self.machine.read(|machine| lead.tick(machine, now));
        }
        if self.may_act() && now.since(self.clock_moved_ms) >= CLOCK_MS {
            self.clock_moved_ms = now;
            self.propose(CommandBody::Clock, Proposer::Clock);
        }
    }

    /// Answers held exchanges that have news, or were held long enough.
    fn answer_held(&mut self) {
        let now = self.clock.now();
        let may_act = self.may_act();
        let Some(lead) = self.lead.as_mut().filter(|_| may_act) else {
            let error = self.not_leader();
            for held in std::mem::take(&mut self.held).into_values() {
                drop(held.reply.send(Err(error.clone())));
            }
            return;
        };
        let due: Vec<EntryRun> = self.machine.read(|machine| {
            let in_force = machine.in_force().revision;
            let is_due = |held: &Held| {
                let held_ms = now.since(held.received_ms);
                held_ms >= EXCHANGE_LONG_POLL_MS || lead.has_news(&held.request, in_force)
            };
            let due = self.held.iter().filter(|(_, held)| is_due(held));
            due.map(|(run, _)| run.clone()).collect()
        });
        for held in due.iter().filter_map(|run| self.held.remove(run)) {
            if held.reply.is_closed() {
                continue;
            }
            let answer = self
                .machine
                .read(|machine| lead.answer(&held.request, machine, held.received_ms));
            drop(held.reply.send(Ok(answer)));
        }
    }

    fn status(&self) -> Result<Status> {
        let Some(lead) = self.lead.as_ref().filter(|_| self.may_act()) else {
            return Err(self.not_leader());
        };
        let now = self.clock.now();
        let in_force = self.machine.read(StateMachine::in_force);
        let zones = in_force.zones.values();
        let everywhere = lead.entries.in_force_everywhere(in_force.revision, now);
        Ok(Status {
            group: self.handle.status(),
            revision: in_force.revision,
            in_force_everywhere: everywhere,
            entries: lead.entries.statuses(now),
            zones: zones
                .map(|zone| (zone.name.clone(), zone.state == ZoneState::In))
                .collect(),
            services: in_force.services.keys().cloned().collect(),
            teams: lead.scheduler.teams(),
            endpoints: lead.shares.endpoints(),
            workers: lead.scheduler.workers(),
        })
    }
}

/// Waits for a change; for ever where none can come any more.
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
