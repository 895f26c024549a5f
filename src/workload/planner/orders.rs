//! Computes the orders that answer a worker's report. Each answer holds the complete set of starts
//! and stops.

use smol_str::SmolStr;
use tracing::info;

use super::Planner;
use super::idle_reports::report_after_held;
use super::reports::is_gang;
use super::worker::{UnreportedRun, Worker, stop_end};
use crate::units::Millis;
use crate::workload::{
    RunEnd, RunKey, StartOrder, Transition, WorkerOrders, WorkerReport, Workload,
};

/// How often a start is ordered. A worker refuses it each time if it has received a stop from an
/// earlier leader, and need not say so.
const START_ATTEMPTS_MAX: u32 = 3;

/// The most bytes of payloads and checkpoints that one answer holds. Workers drop answers of over 4
/// MiB, and JSON may take six bytes for one.
const START_BYTES_MAX: usize = 512 * 1024;
/// How soon a worker reports again whose answer lacks starts for want of room.
const MORE_STARTS_AFTER_MS: Millis = Millis(50);

impl Planner {
    /// Answers a report whose transitions are committed. `held_ms` is how long the answer was held
    /// back for an order.
    pub fn orders_for_report(
        &mut self,
        report: &WorkerReport,
        received_ms: Millis,
        held_ms: Millis,
        state: &Workload,
    ) -> WorkerOrders {
        let lease_until = self.lease_end(received_ms);
        let start_lease_ms = self.start_lease_ms();
        let interval_ms = self.report_interval_ms();
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return WorkerOrders::default();
        };
        if worker.incarnation != report.incarnation || worker.sequence != report.sequence {
            return WorkerOrders::default();
        }
        let was_held = std::mem::take(&mut worker.held_until_ms) != Millis::ZERO;
        let report_after_ms = if was_held {
            report_after_held(interval_ms, held_ms)
        } else {
            interval_ms
        };
        worker.lease_until_ms = worker.lease_until_ms.max(lease_until);
        let mut placed: Vec<RunKey> = state
            .runs_placed_on(&report.worker)
            .filter(|(_run, incarnation)| *incarnation == report.incarnation)
            .map(|(run, _incarnation)| run)
            .collect();
        let priority = |run: &RunKey| state.job(run.task.step.job).map(|job| job.policy.priority);
        placed.sort_by_cached_key(priority);
        let mut start_bytes = 0;
        let may_start = !worker.draining && state.is_zone_open(&worker.zone);
        let mut orders = WorkerOrders {
            lease_ms: Some(self.options.lease_ms),
            acknowledged: report.ended.iter().map(|end| end.number).max().unwrap_or(0),
            term: self.term,
            report_after_ms,
            ..WorkerOrders::default()
        };
        for run in &placed {
            let before = worker.unreported.get(run).copied();
            if worker.running.contains_key(run) || before == Some(UnreportedRun::WasRunning) {
                continue;
            }
            let (attempts, inherited_stop_until_ms) = match before {
                Some(UnreportedRun::StartOrdered {
                    attempts,
                    inherited_stop_until_ms,
                    ..
                }) => (attempts, inherited_stop_until_ms),
                Some(UnreportedRun::Inherited) => {
                    (0, Some(stop_end(received_ms, self.options.stop_ms)))
                }
                _ => (0, None),
            };
            let wanted = may_start
                && attempts < START_ATTEMPTS_MAX
                && !self.stopping.contains(run)
                && !is_obsolete(state, *run)
                && !Self::is_over_maximum(state, *run);
            let start = start_order(state, *run).filter(|_start| wanted);
            let sequence = report.sequence;
            let next = if let Some(start) = start {
                let bytes = start.payload.len() + start.checkpoint.len();
                if start_bytes + bytes > START_BYTES_MAX && !orders.starts.is_empty() {
                    // It is ordered in the answer to the next report.
                    orders.report_after_ms = MORE_STARTS_AFTER_MS;
                    continue;
                }
                start_bytes += bytes;
                info!(event = "run_ordered", job = %start.task.job, task = %start.task, run = run.run,
                    worker = %report.worker, life = %report.incarnation, report = %sequence,
                    attempt = attempts + 1, held_ms = held_ms.get());
                orders.starts.push(start);
                UnreportedRun::StartOrdered {
                    sequence,
                    ordered_ms: received_ms,
                    attempts: attempts + 1,
                    inherited_stop_until_ms,
                }
            } else {
                // A worker that has received a stop refuses the run's start, also one that is still
                // in flight.
                self.stopping.insert(*run);
                let task = state.task_name(run.task);
                orders.stops.extend(task.map(|task| (task, run.run)));
                let since_ms = received_ms;
                match before {
                    Some(UnreportedRun::Inherited) => UnreportedRun::StopOrdered { since_ms },
                    Some(before) => before,
                    None => continue,
                }
            };
            worker.unreported.insert(*run, next);
        }
        if !orders.starts.is_empty() || worker.former_life.is_some() {
            orders.lease_ms = Some(start_lease_ms);
            let renewal_ms = Millis(start_lease_ms.get() / 2);
            orders.report_after_ms = orders.report_after_ms.min(renewal_ms);
        }
        self.add_stops(&mut orders, report, &placed, state);
        self.add_rates(&mut orders, report, state, received_ms);
        orders
    }

    /// Adds stops of the runs that a worker lists although they are not placed on its present life, or
    /// are no longer wanted there.
    fn add_stops(
        &self,
        orders: &mut WorkerOrders,
        report: &WorkerReport,
        placed: &[RunKey],
        state: &Workload,
    ) {
        for reported in &report.running {
            let task = state.task_key(&reported.task);
            let run = task.map(|task| RunKey {
                task,
                run: reported.run,
            });
            let is_wanted = run.is_some_and(|run| {
                placed.contains(&run) && !self.stopping.contains(&run) && !is_obsolete(state, run)
            });
            if !is_wanted {
                orders.stops.push((reported.task.clone(), reported.run));
            }
        }
    }

    /// Withdraws runs that are placed but no longer wanted and cannot have started.
    ///
    /// A run whose start was ordered is withdrawn only after a later report shows that it did not
    /// start.
    pub fn withdraw_unstarted(&mut self, state: &Workload) -> Vec<Transition> {
        let mut transitions = Vec::new();
        for (id, worker) in &mut self.workers {
            let is_unavailable = worker.draining || !state.is_zone_open(&worker.zone);
            for (run, incarnation) in state.runs_placed_on(id) {
                if worker.former_runs.contains_key(&run) {
                    continue;
                }
                if incarnation < worker.incarnation {
                    transitions.push((run, RunEnd::Withdrawn));
                    continue;
                }
                if worker.running.contains_key(&run) {
                    continue;
                }
                let wanted = !is_unavailable
                    && !self.stopping.contains(&run)
                    && !is_obsolete(state, run)
                    && !Self::is_over_maximum(state, run);
                if wanted {
                    continue;
                }
                if may_run(worker, run, self.options.stop_ms) {
                    continue;
                }
                worker.unreported.remove(&run);
                if is_gang(state, run.task.step) {
                    // It did not run when the worker last reported, and will never start.
                    self.presence
                        .member_ended(run, RunEnd::Withdrawn, worker.last_report_ms);
                }
                transitions.push((run, RunEnd::Withdrawn));
            }
        }
        let withdrawn = transitions.into_iter().map(|(run, end)| {
            // Prevents a start order while the withdrawal is being committed.
            self.stopping.insert(run);
            self.dirty = true;
            Transition::Ended {
                run,
                end,
                saved: SmolStr::default(),
            }
        });
        withdrawn.collect()
    }
}

/// Whether a placed run that its worker does not report may be running, or may still start.
fn may_run(worker: &Worker, run: RunKey, stop_ms: Millis) -> bool {
    match worker.unreported.get(&run) {
        None => false,
        Some(UnreportedRun::WasRunning) => true,
        Some(UnreportedRun::StartOrdered { sequence, .. }) if worker.sequence <= *sequence => true,
        Some(unreported) => unreported.may_be_stopping(worker.last_report_ms, stop_ms),
    }
}

/// Whether a placed run is no longer wanted: its job or task has ended, or its gang lacks a member
/// and the others would wait until their timeout.
fn is_obsolete(state: &Workload, run: RunKey) -> bool {
    let job = state.job(run.task.step.job);
    let Some((step, tasks)) = state.step(run.task.step) else {
        return true;
    };
    let task = tasks.tasks.get(run.task.index as usize);
    let is_broken = step.gang && (tasks.placed as usize) < tasks.tasks.len();
    job.is_none_or(|job| job.phase.is_ended()) || task.is_none_or(|task| task.done) || is_broken
}

fn start_order(state: &Workload, run: RunKey) -> Option<StartOrder> {
    let job = state.job(run.task.step.job)?;
    let (step, step_state) = state.step(run.task.step)?;
    Some(StartOrder {
        task: state.task_name(run.task)?,
        run: run.run,
        payload: job.spec.payload.clone(),
        checkpoint: step_state.checkpoint_for(step, run.task.index),
    })
}
