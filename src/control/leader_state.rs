use std::collections::BTreeMap;
use std::sync::Arc;

use tracing::info;

use super::entry_registry::{EntryBook, EntryRun};
use super::order_dispatcher::OrderBook;
use super::{
    ExchangeAnswer, ExchangeRequest, GRANT_MS, Grant, ReportAnswer, ReportBatch, StateMachine,
    StateUpdate,
};
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::router::ShareAllocator;
use crate::scheduler::{Action, Event, JobTransition, Scheduler, SchedulerOptions};
use crate::units::{Millis, Revision, Term, WorkerId};

/// What one leadership knows beyond the replicated state: a pure core, built anew at each election.
#[derive(Debug)]
pub(super) struct Lead {
    pub(super) term: Term,
    pub(super) scheduler: Scheduler,
    pub(super) shares: ShareAllocator,
    pub(super) entries: EntryBook,
    orders: OrderBook,
    options: SchedulerOptions,
    /// Transitions that the scheduler asked for and that are still to be proposed.
    wanted: Vec<JobTransition>,
}

impl Lead {
    /// Starts a leadership from the state as of its election.
    pub(super) fn new(
        term: Term,
        options: &SchedulerOptions,
        machine: &StateMachine,
        now: Millis,
    ) -> Self {
        let mut lead = Self {
            term,
            scheduler: Scheduler::new(options.clone()),
            shares: ShareAllocator::new(),
            entries: EntryBook::new(now),
            orders: OrderBook::default(),
            options: options.clone(),
            wanted: Vec::new(),
        };
        lead.elect(machine, now);
        lead
    }

    /// Starts the scheduler anew from the replicated state, as the next leader would.
    pub(super) fn rebuild(&mut self, machine: &StateMachine, now: Millis) {
        self.scheduler = Scheduler::new(self.options.clone());
        self.wanted.clear();
        self.elect(machine, now);
    }

    /// Tells the scheduler of an event and keeps what it asks for.
    pub(super) fn tell(&mut self, event: Event, now: Millis) {
        for orders in self.handle(event, now) {
            self.orders.route(orders);
        }
    }

    /// Transitions to propose, in the order in which they were asked for.
    pub(super) fn take_wanted(&mut self) -> Vec<JobTransition> {
        std::mem::take(&mut self.wanted)
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self, machine: &StateMachine, now: Millis) {
        for (entry, incarnation) in self.entries.expire(now) {
            info!(event = "entry_expired", %entry, %incarnation);
            self.orders.drop_entry(&(entry.clone(), incarnation));
            self.shares.expire_entry(&entry, incarnation, now);
        }
        self.shares.tick(&machine.in_force(), now);
        self.tell(Event::Tick, now);
    }

    /// Takes a batch of reports and answers it at once.
    pub(super) fn report(
        &mut self,
        batch: &ReportBatch,
        machine: &StateMachine,
        now: Millis,
    ) -> ReportAnswer {
        let run: EntryRun = (batch.entry.clone(), batch.incarnation);
        for worker in &batch.released {
            self.orders.release(&run, worker);
        }
        let mut answer = ReportAnswer::default();
        for poll in &batch.workers {
            self.take_poll(&run, poll, &mut answer, now);
        }
        let in_force = machine.in_force();
        for announcement in &batch.endpoints {
            let given = self
                .shares
                .observe_announcement(announcement, &in_force, now);
            answer
                .endpoints
                .push((announcement.endpoint.clone(), given));
        }
        if !batch.endpoints.is_empty() {
            self.shares.tick(&in_force, now);
        }
        answer
    }

    /// Takes an exchange; false where it is late or of a process that was replaced.
    pub(super) fn observe(&mut self, request: &ExchangeRequest, now: Millis) -> bool {
        let is_new = self.entries.observe(request, now);
        if is_new {
            self.shares.observe_entry(request, now);
        }
        is_new
    }

    /// Whether an exchange has something to tell, or may not be held.
    pub(super) fn has_news(&self, request: &ExchangeRequest, in_force: Revision) -> bool {
        let run = (request.entry.clone(), request.incarnation);
        request.revision != in_force
            || self
                .shares
                .shares_version(&request.entry, request.incarnation)
                != request.shares_version
            || self.orders.has_orders(&run)
            || request.leaving
            || !self.entries.may_hold(request)
    }

    /// Answers an exchange: the grant goes out only together with the state that it is given for.
    pub(super) fn answer(
        &mut self,
        request: &ExchangeRequest,
        machine: &StateMachine,
        received_ms: Millis,
    ) -> ExchangeAnswer {
        let run = (request.entry.clone(), request.incarnation);
        let update = machine.update_since(request.revision);
        let is_ahead = request.revision > machine.in_force().revision;
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
            orders: self.orders.take(&run),
            shares_version,
            shares,
        }
    }

    fn elect(&mut self, machine: &StateMachine, now: Millis) {
        let elected = Event::Elected {
            term: self.term,
            in_force: machine.in_force(),
            jobs: machine.unended_jobs(),
        };
        self.tell(elected, now);
    }

    fn take_poll(
        &mut self,
        run: &EntryRun,
        poll: &WorkerPoll,
        answer: &mut ReportAnswer,
        now: Millis,
    ) {
        self.orders.hold(run, poll);
        let polled = Event::Polled { poll: poll.clone() };
        let mut given: BTreeMap<WorkerId, WorkerOrders> = BTreeMap::new();
        for orders in self.handle(polled, now) {
            given.insert(orders.worker.clone(), orders);
        }
        let own = given.remove(&poll.worker);
        for orders in given.into_values() {
            self.orders.route(orders);
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
            self.orders.release(run, &poll.worker);
            answer.orders.push(own);
        }
    }

    fn handle(&mut self, event: Event, now: Millis) -> Vec<WorkerOrders> {
        let mut given = Vec::new();
        for action in self.scheduler.handle(event, now) {
            match action {
                Action::Commit(transition) => self.wanted.push(transition),
                Action::Order(orders) => given.push(orders),
                Action::Explain { job, explanation } => {
                    let (code, sentence) = (explanation.code, explanation.sentence);
                    info!(event = "decision", %job, %code, sentence = sentence.as_str());
                }
            }
        }
        given
    }
}

/// The event that tells the scheduler of a committed note.
pub(super) fn note_event(machine: &StateMachine) -> Event {
    Event::NoteInForce {
        in_force: Arc::clone(&machine.in_force()),
    }
}
