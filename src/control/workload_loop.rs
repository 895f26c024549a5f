//! The task that answers calls on the workload. It runs on every replica, and accepts calls only on
//! the leader.
//!
//! Only one batch of changes is being committed at a time; changes that arrive meanwhile go into
//! the next one. Decisions are therefore always made on the applied state.

use std::future::pending;
use std::sync::Arc;

use futures::FutureExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{info, warn};

use super::call_expiry::CallClock;
use super::held_reports::{HeldReport, HeldReports, REPORT_HOLD_MS};
use super::planning_load::PlanningLoad;
use super::workload_batch::{
    AnswerSender, Batch, FinishedBatch, InFlightBatch, PendingAnswer, PendingCall, WorkloadHandle,
    finished_batch, send,
};
use super::workload_calls::{Decision, answer_from_reply, decide_call, log_refusal};
use super::workload_log::BatchLog;
use super::{Command, CommandBody, ControlError, Reply, SharedStateMachine};
use crate::kernel::Clock;
use crate::replica::{Handle, Leadership, ProposeError};
use crate::units::{Millis, Term, WorkerId};
use crate::workload::{
    ANSWER_VALID_MS, Declaration, Planner, PlannerOptions, QueueRequest, WorkAnswer, WorkRequest,
    WorkerOrders, WorkerReport, WorkloadCommand, WorkloadReply,
};

/// How often the loop checks whether a periodic planning pass is due.
const TICK_INTERVAL_MS: Millis = Millis(50);
/// How often waiting tasks are planned again although nothing changed.
const REPLAN_INTERVAL_MS: Millis = Millis(250);
/// The capacity of the queue of calls to the loop.
const CALL_QUEUE_MAX: usize = 4_096;

/// The planner of the current leadership.
struct LeaderPlanner {
    term: Term,
    planner: Planner,
}

/// The state of the task.
pub(super) struct WorkloadLoop {
    handle: Handle,
    leadership: watch::Receiver<Leadership>,
    state_machine: SharedStateMachine,
    options: PlannerOptions,
    clock: Clock,
    call_clock: CallClock,
    leader: Option<LeaderPlanner>,
    next_batch: Batch,
    in_flight: Option<InFlightBatch>,
    held: HeldReports,
    planning: PlanningLoad,
    /// Answers that wait for the next planning pass, which may add orders to them.
    awaiting_plan: Vec<PendingAnswer>,
    replanned_ms: Millis,
    stopping: bool,
}

impl WorkloadLoop {
    pub(super) fn new(
        handle: Handle,
        state_machine: SharedStateMachine,
        options: PlannerOptions,
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
            next_batch: Batch::default(),
            in_flight: None,
            held: HeldReports::default(),
            planning: PlanningLoad::default(),
            awaiting_plan: Vec::new(),
            replanned_ms: Millis::ZERO,
            stopping: false,
        }
    }

    /// Starts the task, which ends once `stop` is true and the batch in flight is done.
    pub(super) fn start(self, stop: watch::Receiver<bool>) -> (WorkloadHandle, JoinHandle<()>) {
        let (calls, receiver) = mpsc::channel(CALL_QUEUE_MAX);
        let task = tokio::spawn(self.run(receiver, stop));
        (WorkloadHandle { calls }, task)
    }

    async fn run(
        mut self,
        mut calls: mpsc::Receiver<PendingCall>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut ticks = interval(TICK_INTERVAL_MS.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.follow_leadership();
        while !self.stopping || self.in_flight.is_some() {
            tokio::select! {
                call = calls.recv(), if !self.stopping => match call {
                    Some(call) => self.handle_call(call),
                    None => self.stopping = true,
                },
                done = finished_batch(&mut self.in_flight) => self.finish(done),
                changed = self.leadership.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.follow_leadership();
                }
                _instant = ticks.tick(), if self.leader.is_some() => self.tick(),
                () = until_true(&mut stop), if !self.stopping => self.stopping = true,
            }
            self.send_batch();
        }
        self.reject_pending();
        calls.close();
        while let Ok(call) = calls.try_recv() {
            send(call.reply, Err(self.not_leader()));
        }
    }

    fn follow_leadership(&mut self) {
        let leadership = self.leadership.borrow_and_update().clone();
        if !leadership.is_ready_leader {
            self.leader = None;
            self.reject_pending();
            return;
        }
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term == leadership.term)
        {
            return;
        }
        // What was accepted in an earlier term must not follow what another leader committed since.
        self.reject_pending();
        let now = self.clock.now();
        let planner = Planner::new(self.options.clone(), leadership.term, now);
        info!(event = "planner_began", term = %leadership.term);
        self.leader = Some(LeaderPlanner {
            term: leadership.term,
            planner,
        });
    }

    /// Whether this replica may give orders and answers now.
    fn may_act(&self) -> bool {
        let term = self.leadership.borrow().term;
        let same_term = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term == term);
        self.handle.has_quorum() && same_term
    }

    fn not_leader(&self) -> ControlError {
        let leadership = self.leadership.borrow();
        let leader = leadership
            .leader_address
            .filter(|_address| !leadership.is_ready_leader);
        ControlError::NotLeader { leader }
    }

    /// Rejects the calls that wait for changes that were never proposed, and the held reports.
    fn reject_pending(&mut self) {
        for held in self.held.take_all() {
            send(held.reply, Err(self.not_leader()));
        }
        let awaiting_plan = std::mem::take(&mut self.awaiting_plan);
        let waiting = std::mem::take(&mut self.next_batch).waiting;
        for waiting in waiting.into_iter().chain(awaiting_plan) {
            send(waiting.into_reply(), Err(self.not_leader()));
        }
    }

    fn handle_call(&mut self, call: PendingCall) {
        let expired = call.expires.filter(|at| self.call_clock.has_passed(*at));
        if let Some(expired) = expired {
            info!(event = "call_expired", request = call.request.name(), expired_ms = %expired);
            send(call.reply, Err(ControlError::Expired));
            return;
        }
        if !self.may_act() {
            send(call.reply, Err(self.not_leader()));
            return;
        }
        match call.request {
            WorkRequest::CheckLeader => send(call.reply, Ok(WorkAnswer::Done)),
            WorkRequest::GetDeclaration => {
                let declaration = self
                    .state_machine
                    .read(|m| m.workload().declaration().cloned());
                send(call.reply, Ok(WorkAnswer::Declaration(declaration)));
            }
            WorkRequest::Call(caller_call) => self.handle_caller_call(&caller_call, call.reply),
            WorkRequest::Report(report) => self.handle_report(report, call.reply),
            WorkRequest::Deregister { worker } => self.handle_worker_left(&worker, call.reply),
            WorkRequest::Declare(declaration) => self.handle_declaration(declaration, call.reply),
            WorkRequest::SetZone { zone, closed } => {
                info!(event = "zone_change_asked", zone = %zone, closed);
                self.queue_change(WorkloadCommand::SetZone { zone, closed }, call.reply);
            }
        }
    }

    fn queue_change(&mut self, command: WorkloadCommand, reply: AnswerSender) {
        let index = self.next_batch.commands.len();
        self.next_batch.commands.push(command);
        self.next_batch
            .waiting
            .push(PendingAnswer::Change { index, reply });
    }

    fn handle_declaration(&mut self, declaration: Arc<Declaration>, reply: AnswerSender) {
        if let Err(fault) = declaration.check() {
            warn!(event = "declaration_refused", version = declaration.version, cause = %fault);
            send(reply, Ok(WorkAnswer::Invalid(fault)));
            return;
        }
        self.queue_change(WorkloadCommand::Declare(declaration), reply);
    }

    fn handle_caller_call(&mut self, call: &QueueRequest, reply: AnswerSender) {
        let decided = self
            .state_machine
            .read(|state_machine| decide_call(call, state_machine.workload()));
        match decided {
            Decision::Answer(answer) => {
                log_refusal(call, &answer);
                send(reply, Ok(WorkAnswer::Call(answer)));
            }
            Decision::Change(command) => self.queue_change(command, reply),
        }
    }

    fn handle_report(&mut self, report: Box<WorkerReport>, reply: AnswerSender) {
        let now = self.clock.now();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let planner = &mut leader.planner;
        let reported = self
            .state_machine
            .read(|state_machine| planner.handle_report(&report, state_machine.workload(), now));
        if !reported.is_current {
            let orders = Box::default();
            send(reply, Ok(WorkAnswer::Orders(orders)));
            return;
        }
        let waits = !reported.transitions.is_empty();
        let may_hold = !waits
            && self
                .state_machine
                .read(|state_machine| planner.may_hold(&report, state_machine.workload()));
        if may_hold && !self.stopping {
            planner.report_held(&report, now.saturating_add(REPORT_HOLD_MS));
            let held = HeldReport {
                report,
                received_ms: now,
                reply,
            };
            if let Some(replaced) = self.held.hold(held) {
                self.answer_held(replaced);
            }
            return;
        }
        self.next_batch.transitions.extend(reported.transitions);
        let waiting = PendingAnswer::Report(HeldReport {
            report,
            received_ms: now,
            reply,
        });
        if waits {
            self.next_batch.waiting.push(waiting);
        } else {
            self.answer(waiting, &[]);
        }
    }

    /// Answers a report that was held back for an order.
    fn answer_held(&mut self, held: HeldReport) {
        self.answer(PendingAnswer::Report(held), &[]);
    }

    fn handle_worker_left(&mut self, worker: &WorkerId, reply: AnswerSender) {
        let now = self.clock.now();
        let leader = self.leader.as_mut();
        match leader.and_then(|leader| leader.planner.worker_left(worker, now)) {
            Some(command) => self.queue_change(command, reply),
            None => send(reply, Ok(WorkAnswer::Done)),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        for held in self.held.take_due(now) {
            self.answer_held(held);
        }
        if now.since(self.replanned_ms) < REPLAN_INTERVAL_MS {
            return;
        }
        self.replanned_ms = now;
        if let Some(leader) = &mut self.leader {
            leader.planner.mark_dirty();
        }
    }

    /// Proposes the collected changes, unless another batch is in flight.
    fn send_batch(&mut self) {
        if self.in_flight.is_some() || !self.may_act() {
            return;
        }
        self.plan_transitions();
        let mut batch = std::mem::take(&mut self.next_batch);
        let placed_on = batch.workers_placed_on();
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
        let log = self
            .state_machine
            .read(|state_machine| BatchLog::collect(&batch.commands, state_machine.workload()));
        let command = Command {
            wall_ms: self.clock.wall(),
            body: CommandBody::Workload(batch.commands),
        };
        let bytes = postcard::to_allocvec(&command).expect("a command always encodes");
        let handle = self.handle.clone();
        let proposal = async move { handle.propose(bytes).await }.boxed();
        self.in_flight = Some(InFlightBatch {
            proposal,
            waiting: batch.waiting,
            placed_on,
            log,
        });
    }

    /// Adds the planner's decisions to the next batch.
    fn plan_transitions(&mut self) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let Some(leader) = &mut self.leader else {
            return;
        };
        let planner = &mut leader.planner;
        if !planner.is_dirty() || self.next_batch.planned {
            return;
        }
        if !self.planning.may_start(now) {
            return;
        }
        self.next_batch.planned = true;
        let transitions = &mut self.next_batch.transitions;
        self.state_machine.read(|state_machine| {
            let state = state_machine.workload();
            transitions.extend(planner.expire_leases(state, now));
            transitions.extend(planner.due_occurrences(state, wall));
            transitions.extend(planner.plan(state, now, wall));
            transitions.extend(planner.withdraw_unstarted(state));
        });
        self.planning.record(now, self.clock.now());
        self.answer_planned();
    }

    /// Answers the reports that waited for a planning pass. The report of a worker that is assigned
    /// new runs waits for the next batch, so that its answer includes those runs.
    fn answer_planned(&mut self) {
        let placed_on = self.next_batch.workers_placed_on();
        for waiting in std::mem::take(&mut self.awaiting_plan) {
            match waiting {
                PendingAnswer::Report(ref held) if placed_on.contains(&held.report.worker) => {
                    self.next_batch.waiting.push(waiting);
                }
                waiting => self.answer(waiting, &[]),
            }
        }
    }

    fn finish(&mut self, finished: FinishedBatch) {
        let FinishedBatch {
            result,
            waiting,
            placed_on: newly_placed_on,
            log,
        } = finished;
        let applied = match result {
            Ok(applied) => applied,
            Err(cause) => {
                warn!(event = "batch_not_committed", cause = %cause, waiting = waiting.len());
                let error = self.to_control_error(&cause);
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
        self.state_machine
            .read(|state_machine| log.write(&replies, state_machine.workload(), wall));
        if let Some(leader) = &mut self.leader {
            leader.planner.mark_dirty();
        }
        for held in self.held.take(&newly_placed_on) {
            self.answer_held(held);
        }
        for waiting in waiting {
            match waiting {
                PendingAnswer::Report(_) => self.awaiting_plan.push(waiting),
                waiting @ PendingAnswer::Change { .. } => self.answer(waiting, &replies),
            }
        }
        self.plan_transitions();
    }

    fn to_control_error(&self, cause: &ProposeError) -> ControlError {
        match cause {
            ProposeError::NotLeader | ProposeError::Stopped => self.not_leader(),
            ProposeError::Uncertain => ControlError::Uncertain,
            ProposeError::Refused { reason } => ControlError::Refused {
                reason: reason.as_str().into(),
            },
        }
    }

    /// Answers a call. Orders are given only under the quorum lease; a committed change is answered
    /// also after the lease is lost.
    fn answer(&mut self, waiting: PendingAnswer, replies: &[WorkloadReply]) {
        match waiting {
            PendingAnswer::Change { index, reply } => {
                let answer = replies.get(index).map(answer_from_reply);
                send(reply, answer.ok_or(ControlError::Uncertain));
            }
            PendingAnswer::Report(HeldReport {
                report,
                received_ms,
                reply,
            }) => {
                if reply.is_closed() {
                    // Nobody gets the answer. Its orders would count as given.
                    return;
                }
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
        let Some(leader) = &mut self.leader else {
            return WorkerOrders::default();
        };
        let planner = &mut leader.planner;
        let held_ms = self.clock.now().since(received_ms);
        if held_ms >= ANSWER_VALID_MS {
            // The worker drops the answer, and its orders would count as given.
            return WorkerOrders::default();
        }
        self.state_machine.read(|state_machine| {
            planner.orders_for_report(report, received_ms, held_ms, state_machine.workload())
        })
    }
}

async fn until_true(receiver: &mut watch::Receiver<bool>) {
    if receiver.wait_for(|stop| *stop).await.is_err() {
        pending::<()>().await;
    }
}
