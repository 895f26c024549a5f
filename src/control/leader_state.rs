use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::info;

use super::entry_registry::{EntryInstance, EntryRegistry};
use super::order_dispatcher::OrderDispatcher;
use super::{
    ExchangeAnswer, ExchangeRequest, GRANT_MS, Grant, ReportAnswer, ReportBatch, StateMachine,
    StateUpdate,
};
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::router::ShareAllocator;
use crate::scheduler::{Action, Event, JobTransition, Scheduler, SchedulerOptions};
use crate::units::{Millis, Revision, Term, WorkerId};

/// The state of a leader beyond the replicated state, created anew at each election. It does no I/O
/// and takes the time as an argument.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) scheduler: Scheduler,
    pub(super) shares: ShareAllocator,
    pub(super) entries: EntryRegistry,
    orders: OrderDispatcher,
    options: SchedulerOptions,
    /// Transitions that the scheduler requested and that are yet to be proposed.
    pending_transitions: Vec<JobTransition>,
}

impl LeaderState {
    /// Creates the leader's state from the replicated state at its election.
    pub(super) fn new(
        term: Term,
        options: &SchedulerOptions,
        state_machine: &StateMachine,
        now: Millis,
    ) -> Self {
        let mut leader = Self {
            term,
            scheduler: Scheduler::new(options.clone()),
            shares: ShareAllocator::new(),
            entries: EntryRegistry::new(now),
            orders: OrderDispatcher::default(),
            options: options.clone(),
            pending_transitions: Vec::new(),
        };
        leader.start_scheduler(state_machine, now);
        leader
    }

    /// Restarts the scheduler from the replicated state, as a new leader would.
    pub(super) fn rebuild(&mut self, state_machine: &StateMachine, now: Millis) {
        self.scheduler = Scheduler::new(self.options.clone());
        self.pending_transitions.clear();
        self.start_scheduler(state_machine, now);
    }

    /// Passes an event to the scheduler, dispatches its orders and collects its transitions.
    pub(super) fn handle_event(&mut self, event: Event, now: Millis) {
        for orders in self.run_scheduler(event, now) {
            self.orders.dispatch(orders);
        }
    }

    /// Takes the transitions to propose, in the order in which the scheduler requested them.
    pub(super) fn take_pending_transitions(&mut self) -> Vec<JobTransition> {
        std::mem::take(&mut self.pending_transitions)
    }

    /// Advances the time: expires silent entries and runs the periodic work of shares and
    /// scheduler.
    pub(super) fn tick(&mut self, state_machine: &StateMachine, now: Millis) {
        for (entry, incarnation) in self.entries.expire(now) {
            info!(event = "entry_expired", %entry, %incarnation);
            self.orders.remove_entry(&(entry.clone(), incarnation));
            self.shares.expire_entry(&entry, incarnation, now);
        }
        self.shares.tick(&state_machine.in_force(), now);
        self.handle_event(Event::Tick, now);
    }

    /// Handles a batch of reports and returns the immediate answer.
    pub(super) fn report(
        &mut self,
        batch: &ReportBatch,
        state_machine: &StateMachine,
        now: Millis,
    ) -> ReportAnswer {
        let instance: EntryInstance = (batch.entry.clone(), batch.incarnation);
        for worker in &batch.released {
            self.orders.release(&instance, worker);
        }
        let mut answer = ReportAnswer::default();
        for poll in &batch.workers {
            self.handle_poll(&instance, poll, &mut answer, now);
        }
        let in_force = state_machine.in_force();
        for announcement in &batch.endpoints {
            let response = self
                .shares
                .observe_announcement(announcement, &in_force, now);
            answer
                .endpoints
                .push((announcement.endpoint.clone(), response));
        }
        if !batch.endpoints.is_empty() {
            self.shares.tick(&in_force, now);
        }
        answer
    }

    /// Records the contents of an exchange. Returns false if it is late or comes from a replaced
    /// process.
    pub(super) fn observe(&mut self, request: &ExchangeRequest, now: Millis) -> bool {
        let is_new = self.entries.observe(request, now);
        if is_new {
            self.shares.observe_entry(request, now);
        }
        is_new
    }

    /// Whether an exchange must be answered now: there is an update for the entry, the entry is
    /// leaving, or the exchange may not be held open.
    pub(super) fn answer_due(&self, request: &ExchangeRequest, in_force: Revision) -> bool {
        let instance = (request.entry.clone(), request.incarnation);
        request.revision != in_force
            || self
                .shares
                .shares_version(&request.entry, request.incarnation)
                != request.shares_version
            || self.orders.has_orders(&instance)
            || request.leaving
            || !self.entries.may_hold(request)
    }

    /// Builds the answer to an exchange. A grant is sent only together with the state for which it
    /// is given.
    pub(super) fn answer(
        &mut self,
        request: &ExchangeRequest,
        state_machine: &StateMachine,
        received_ms: Millis,
    ) -> ExchangeAnswer {
        let instance = (request.entry.clone(), request.incarnation);
        let update = state_machine.update_since(request.revision);
        let is_ahead = request.revision > state_machine.in_force().revision;
        let grant = (!request.leaving && !is_ahead).then_some(Grant {
            term: self.term,
            length_ms: GRANT_MS,
        });
        if grant.is_some() {
            self.entries.grant(request, received_ms);
        }
        let shares_version = self
            .shares
            .shares_version(&request.entry, request.incarnation);
        let shares = (shares_version != request.shares_version)
            .then(|| self.shares.shares_for(&request.entry, request.incarnation));
        ExchangeAnswer {
            sequence: request.sequence,
            grant,
            update: if is_ahead {
                StateUpdate::Current
            } else {
                update
            },
            orders: self.orders.take(&instance),
            shares_version,
            shares,
        }
    }

    fn start_scheduler(&mut self, state_machine: &StateMachine, now: Millis) {
        let elected = Event::Elected {
            term: self.term,
            in_force: state_machine.in_force(),
            jobs: state_machine.unended_jobs(),
        };
        self.handle_event(elected, now);
    }

    fn handle_poll(
        &mut self,
        instance: &EntryInstance,
        poll: &WorkerPoll,
        answer: &mut ReportAnswer,
        now: Millis,
    ) {
        self.orders.hold(instance, poll);
        let polled = Event::Polled { poll: poll.clone() };
        let mut orders_by_worker: BTreeMap<WorkerId, WorkerOrders> = BTreeMap::new();
        for orders in self.run_scheduler(polled, now) {
            orders_by_worker.insert(orders.worker.clone(), orders);
        }
        let own = orders_by_worker.remove(&poll.worker);
        for orders in orders_by_worker.into_values() {
            self.orders.dispatch(orders);
        }
        let Some(own) = own.filter(|own| own.incarnation == poll.incarnation) else {
            return;
        };
        let is_unchanged = own.version == poll.orders_version
            && own.term == poll.term
            && (own.version.get() != 0 || own.tasks.is_empty());
        if is_unchanged {
            answer.unchanged.push(own);
        } else {
            self.orders.release(instance, &poll.worker);
            answer.orders.push(own);
        }
    }

    fn run_scheduler(&mut self, event: Event, now: Millis) -> Vec<WorkerOrders> {
        let mut issued = Vec::new();
        for action in self.scheduler.handle(event, now) {
            match action {
                Action::Commit(transition) => self.pending_transitions.push(transition),
                Action::Order(orders) => issued.push(orders),
                Action::Explain { job, explanation } => {
                    let (code, sentence) = (explanation.code, explanation.sentence);
                    info!(event = "decision", %job, %code, sentence = sentence.as_str());
                }
            }
        }
        issued
    }
}

/// Returns the event that informs the scheduler of a committed release note.
pub(super) fn release_note_applied_event(state_machine: &StateMachine) -> Event {
    Event::ReleaseNoteApplied {
        in_force: Arc::clone(&state_machine.in_force()),
    }
}
