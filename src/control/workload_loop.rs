//! The task on the leader that answers calls on the workload.
//!
//! One batch of changes is on its way at a time and shares a commit; what arrives meanwhile waits for
//! the next. Decisions so always stand on the applied state.

use std::future::pending;
use std::sync::Arc;

use futures::FutureExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use super::workload_batch::{
    Answer, Ask, Batch, InFlight, Landed, Waiting, WorkloadHandle, landed, send,
};
use super::workload_calls::{Decided, answer_of, decide, log_refusal};
use super::workload_log::BatchNotes;
use super::{Command, CommandBody, ControlError, Reply, SharedStateMachine};
use crate::kernel::Clock;
use crate::replica::{Handle, Leadership, ProposeError};
use crate::units::{Millis, Term, WorkerId};
use crate::workload::{
    Declaration, Planner, PlannerOptions, QueueRequest, WorkAnswer, WorkRequest, WorkerOrders,
    WorkerReport, WorkloadCommand, WorkloadReply,
};

/// How often time passes for the planner.
const TICK_MS: Millis = Millis(50);
/// How often waiting tasks are looked at again though nothing changed.
const REVIEW_MS: Millis = Millis(250);
/// Calls that wait for the loop.
const ASKS_MAX: usize = 4_096;

/// What a leadership knows.
struct Lead {
    term: Term,
    planner: Planner,
}

/// The task's state.
pub(super) struct WorkLoop {
    handle: Handle,
    leadership: watch::Receiver<Leadership>,
    machine: SharedStateMachine,
    options: PlannerOptions,
    clock: Clock,
    lead: Option<Lead>,
    next: Batch,
    in_flight: Option<InFlight>,
    reviewed_ms: Millis,
    stopping: bool,
}

impl WorkLoop {
    pub(super) fn new(
        handle: Handle,
        machine: SharedStateMachine,
        options: PlannerOptions,
        clock: Clock,
    ) -> Self {
        Self {
            leadership: handle.leadership(),
            handle,
            machine,
            options,
            clock,
            lead: None,
            next: Batch::default(),
            in_flight: None,
            reviewed_ms: Millis::ZERO,
            stopping: false,
        }
    }

    /// Starts the task; it ends once `stop` is true and the batch on its way is done.
    pub(super) fn start(self, stop: watch::Receiver<bool>) -> (WorkloadHandle, JoinHandle<()>) {
        let (asks, taken) = mpsc::channel(ASKS_MAX);
        let task = tokio::spawn(self.run(taken, stop));
        (WorkloadHandle { asks }, task)
    }

    async fn run(mut self, mut asks: mpsc::Receiver<Ask>, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(TICK_MS.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.follow_leadership();
        while !self.stopping || self.in_flight.is_some() {
            tokio::select! {
                ask = asks.recv(), if !self.stopping => match ask {
                    Some(ask) => self.take(ask),
                    None => self.stopping = true,
                },
                done = landed(&mut self.in_flight) => self.finish(done),
                changed = self.leadership.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.follow_leadership();
                }
                _instant = ticks.tick(), if self.lead.is_some() => self.tick(),
                () = until_true(&mut stop), if !self.stopping => self.stopping = true,
            }
            self.send_batch();
        }
        self.refuse_waiting();
        asks.close();
        while let Ok(ask) = asks.try_recv() {
            send(ask.reply, Err(self.not_leader()));
        }
    }

    fn follow_leadership(&mut self) {
        let seen = self.leadership.borrow_and_update().clone();
        if !seen.is_ready_leader {
            self.lead = None;
            self.refuse_waiting();
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
        let planner = Planner::new(self.options.clone(), seen.term, now);
        info!(event = "planner_began", term = %seen.term);
        self.lead = Some(Lead {
            term: seen.term,
            planner,
        });
    }

    /// Whether this replica may order and answer now.
    fn may_act(&self) -> bool {
        let term = self.leadership.borrow().term;
        let same_term = self.lead.as_ref().is_some_and(|lead| lead.term == term);
        self.handle.has_quorum() && same_term
    }

    fn not_leader(&self) -> ControlError {
        let seen = self.leadership.borrow();
        let leader = seen.leader_address.filter(|_address| !seen.is_ready_leader);
        ControlError::NotLeader { leader }
    }

    /// Tells those who wait for changes that were never proposed.
    fn refuse_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.next).waiting {
            send(waiting.into_reply(), Err(self.not_leader()));
        }
    }

    fn take(&mut self, ask: Ask) {
        if !self.may_act() {
            send(ask.reply, Err(self.not_leader()));
            return;
        }
        match ask.request {
            WorkRequest::CheckLeader => send(ask.reply, Ok(WorkAnswer::Done)),
            WorkRequest::GetDeclaration => {
                let held = self.machine.read(|m| m.workload().declaration().cloned());
                send(ask.reply, Ok(WorkAnswer::Declaration(held)));
            }
            WorkRequest::Call(call) => self.take_call(&call, ask.reply),
            WorkRequest::Report(report) => self.take_report(report, ask.reply),
            WorkRequest::Deregister { worker } => self.take_left(&worker, ask.reply),
            WorkRequest::Declare(declaration) => self.take_declaration(declaration, ask.reply),
            WorkRequest::SetZone { zone, closed } => {
                info!(event = "zone_change_asked", zone = %zone, closed);
                self.change(WorkloadCommand::SetZone { zone, closed }, ask.reply);
            }
        }
    }

    fn change(&mut self, command: WorkloadCommand, reply: Answer) {
        let at = self.next.commands.len();
        self.next.commands.push(command);
        self.next.waiting.push(Waiting::Change { at, reply });
    }

    fn take_declaration(&mut self, declaration: Arc<Declaration>, reply: Answer) {
        if let Err(fault) = declaration.check() {
            warn!(event = "declaration_refused", version = declaration.version, cause = %fault);
            send(reply, Ok(WorkAnswer::Invalid(fault)));
            return;
        }
        self.change(WorkloadCommand::Declare(declaration), reply);
    }

    fn take_call(&mut self, call: &QueueRequest, reply: Answer) {
        let decided = self
            .machine
            .read(|machine| decide(call, machine.workload()));
        match decided {
            Decided::Answer(answer) => {
                log_refusal(call, &answer);
                send(reply, Ok(WorkAnswer::Call(answer)));
            }
            Decided::Change(command) => self.change(command, reply),
        }
    }

    fn take_report(&mut self, report: Box<WorkerReport>, reply: Answer) {
        let now = self.clock.now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let planner = &mut lead.planner;
        let reported = self
            .machine
            .read(|machine| planner.handle_report(&report, machine.workload(), now));
        if !reported.is_current {
            let orders = Box::default();
            send(reply, Ok(WorkAnswer::Orders(orders)));
            return;
        }
        let waits = !reported.transitions.is_empty();
        self.next.transitions.extend(reported.transitions);
        let waiting = Waiting::Report {
            report,
            received_ms: now,
            reply,
        };
        if waits {
            self.next.waiting.push(waiting);
        } else {
            self.answer(waiting, &[]);
        }
    }

    fn take_left(&mut self, worker: &WorkerId, reply: Answer) {
        let now = self.clock.now();
        if let Some(lead) = &mut self.lead {
            lead.planner.worker_left(worker, now);
        }
        send(reply, Ok(WorkAnswer::Done));
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now.since(self.reviewed_ms) < REVIEW_MS {
            return;
        }
        self.reviewed_ms = now;
        if let Some(lead) = &mut self.lead {
            lead.planner.mark_dirty();
        }
    }

    /// Proposes what has gathered, where nothing else is on its way.
    fn send_batch(&mut self) {
        if self.in_flight.is_some() || !self.may_act() {
            return;
        }
        self.decide_runs();
        let mut batch = std::mem::take(&mut self.next);
        if !batch.transitions.is_empty() {
            let transitions = std::mem::take(&mut batch.transitions);
            batch
                .commands
                .push(WorkloadCommand::Transitions(transitions));
        }
        if batch.commands.is_empty() {
            for waiting in batch.waiting {
                self.answer(waiting, &[]);
            }
            return;
        }
        let notes = self
            .machine
            .read(|machine| BatchNotes::of(&batch.commands, machine.workload()));
        let command = Command {
            wall_ms: self.clock.wall(),
            body: CommandBody::Workload(batch.commands),
        };
        let bytes = postcard::to_allocvec(&command).expect("a command always encodes");
        let handle = self.handle.clone();
        let proposal = async move { handle.propose(bytes).await }.boxed();
        self.in_flight = Some(InFlight {
            proposal,
            waiting: batch.waiting,
            notes,
        });
    }

    /// Adds what the planner decides to the next batch.
    fn decide_runs(&mut self) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let Some(lead) = &mut self.lead else {
            return;
        };
        let planner = &mut lead.planner;
        if !planner.is_dirty() || self.next.planned {
            return;
        }
        self.next.planned = true;
        let transitions = &mut self.next.transitions;
        self.machine.read(|machine| {
            let state = machine.workload();
            transitions.extend(planner.expire_leases(state, now));
            transitions.extend(planner.due_occurrences(state, wall));
            transitions.extend(planner.plan(state, now, wall));
            transitions.extend(planner.withdraw_unstarted(state));
        });
    }

    fn finish(&mut self, (result, waiting, notes): Landed) {
        let applied = match result {
            Ok(applied) => applied,
            Err(cause) => {
                warn!(event = "batch_not_committed", cause = %cause, waiting = waiting.len());
                let error = self.error_of(&cause);
                for waiting in waiting {
                    send(waiting.into_reply(), Err(error.clone()));
                }
                return;
            }
        };
        let replies = match postcard::from_bytes(&applied.reply) {
            Ok(Reply::Workload(replies)) => replies,
            _ => Vec::new(),
        };
        let wall = self.clock.wall();
        self.machine
            .read(|machine| notes.log(&replies, machine.workload(), wall));
        if let Some(lead) = &mut self.lead {
            lead.planner.mark_dirty();
        }
        // Starts that follow from the ends of this batch go out with the same answers.
        self.decide_runs();
        let placed_on = self.next.workers_placed_on();
        for waiting in waiting {
            match waiting {
                Waiting::Report { ref report, .. } if placed_on.contains(&report.worker) => {
                    self.next.waiting.push(waiting);
                }
                waiting => self.answer(waiting, &replies),
            }
        }
    }

    fn error_of(&self, cause: &ProposeError) -> ControlError {
        match cause {
            ProposeError::NotLeader | ProposeError::Stopped => self.not_leader(),
            ProposeError::Uncertain => ControlError::Uncertain,
            ProposeError::Refused { reason } => ControlError::Refused {
                reason: reason.as_str().into(),
            },
        }
    }

    /// Answers under the quorum lease; what was committed is also answered after the lease was lost.
    fn answer(&mut self, waiting: Waiting, replies: &[WorkloadReply]) {
        match waiting {
            Waiting::Change { at, reply } => {
                let answer = replies.get(at).map(answer_of);
                send(reply, answer.ok_or(ControlError::Uncertain));
            }
            Waiting::Report {
                report,
                received_ms,
                reply,
            } => {
                let answer = if self.may_act() {
                    let orders = self.orders(&report, received_ms);
                    Ok(WorkAnswer::Orders(Box::new(orders)))
                } else {
                    Err(self.not_leader())
                };
                send(reply, answer);
            }
        }
    }

    fn orders(&mut self, report: &WorkerReport, received_ms: Millis) -> WorkerOrders {
        let Some(lead) = &mut self.lead else {
            return WorkerOrders::default();
        };
        let planner = &mut lead.planner;
        self.machine
            .read(|machine| planner.orders_for_report(report, received_ms, machine.workload()))
    }
}

async fn until_true(receiver: &mut watch::Receiver<bool>) {
    if receiver.wait_for(|stop| *stop).await.is_err() {
        pending::<()>().await;
    }
}
