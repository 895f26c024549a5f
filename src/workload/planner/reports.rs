use std::collections::BTreeMap;

use derive_more::Display;
use smol_str::SmolStr;
use tracing::{info, warn};

use super::former_life::FormerRun;
use super::reliability::WorkerFault;
use super::run_forecast::ProgressMark;
use super::worker::{RunProgress, UnreportedRun, Worker, on_slow_clock};
use super::{Planner, ReportOutcome};
use crate::telemetry::{record_lost_work, record_unplaced_run};
use crate::units::{Millis, Sequence, WorkerId};
use crate::workload::{
    ANSWER_VALID_MS, ReportedEnd, RunEnd, RunKey, StepKey, Transition, WorkerIncarnation,
    WorkerReport, Workload, WorkloadCommand,
};

/// Why a run that no report lists as ended counts as lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum LossCause {
    /// Its worker has restarted, and the next life can't start it.
    #[display("restarted")]
    Restarted,
    /// The next life of its worker has not started it, and can't any more.
    #[display("not_started")]
    NotStarted,
    /// Its worker's lease is over, or its worker has deregistered.
    #[display("silent")]
    Silent,
    /// It belongs to a gang that has begun to end, and its worker is silent.
    #[display("member")]
    Member,
}

/// Added to the end of a lease, or of a member's wait, for the resolution of the clocks.
pub(super) const LEASE_SLACK_MS: Millis = Millis(20);

impl Planner {
    /// The lease in an answer whose runs the worker's next life may start instead. That life counts it
    /// from the receipt of the answer, up to `ANSWER_VALID_MS` after the report was sent.
    ///
    /// A lease of less than twice that is granted whole, as an answer may be held for most of it;
    /// [`Self::lease_end`] is later in return.
    pub(super) fn start_lease_ms(&self) -> Millis {
        let lease_ms = self.options.lease_ms;
        let shorter_ms = lease_ms.since(ANSWER_VALID_MS);
        if shorter_ms < ANSWER_VALID_MS {
            lease_ms
        } else {
            shorter_ms
        }
    }

    /// The latest time until which a lease granted for a report received at `now` may last, whichever
    /// life of the worker takes the answer.
    pub(super) fn lease_end(&self, now: Millis) -> Millis {
        let of_next_life = ANSWER_VALID_MS.saturating_add(self.start_lease_ms());
        now.saturating_add(on_slow_clock(self.options.lease_ms.max(of_next_life)))
            .saturating_add(LEASE_SLACK_MS)
    }

    /// The latest end of a lease granted by an earlier leader, which may have answered reports
    /// until this leader was elected.
    pub(super) fn inherited_lease_end(&self) -> Millis {
        self.lease_end(self.elected_ms)
    }

    /// Handles a report. Orders that follow from it are given only after its transitions are
    /// committed.
    pub fn handle_report(
        &mut self,
        report: &WorkerReport,
        state: &Workload,
        now: Millis,
    ) -> ReportOutcome {
        let mut transitions = Vec::new();
        let placed = state.runs_placed_on(&report.worker);
        let newest = placed
            .map(|(_run, incarnation)| incarnation)
            .max()
            .unwrap_or_default();
        let lease_until = self.inherited_lease_end();
        let worker = self.workers.get(&report.worker);
        let known = worker.map_or(newest, |worker| worker.incarnation.max(newest));
        let is_late = worker.is_some_and(|worker| {
            worker.incarnation == report.incarnation && report.sequence <= worker.sequence
        });
        if report.incarnation < known || is_late {
            return ReportOutcome::default();
        }
        if worker.is_none_or(|worker| worker.incarnation < report.incarnation) {
            let former_runs = self.former_runs(report, state);
            self.log_new_life(report, former_runs.len(), now);
            // What is recorded here is the silence before this report.
            self.record_worker_fault(&report.worker, WorkerFault::Restarted, now);
            let former_life = self.former_life(report, !former_runs.is_empty());
            self.end_runs_before(report, &former_runs, state, &mut transitions);
            let lease_until = former_life
                .as_ref()
                .map_or(lease_until, |former| former.lease_until_ms.max(lease_until));
            let has_returned = former_life.is_some() || state.is_departed(&report.worker);
            let mut worker = Worker::new(report, lease_until);
            worker.returned_ms = has_returned.then_some(now);
            worker.former_runs = former_runs;
            worker.former_life = former_life;
            let placed = state.runs_placed_on(&report.worker);
            let of_incarnation =
                placed.filter(|(_run, incarnation)| *incarnation == report.incarnation);
            let inherited =
                of_incarnation.map(|(run, _incarnation)| (run, UnreportedRun::Inherited));
            worker.unreported = inherited.collect();
            if state.has_departed(&report.worker, report.incarnation) {
                // The report was sent before the worker deregistered with an earlier leader.
                worker.deregistered_ms = Some(now);
            }
            self.workers.insert(report.worker.clone(), worker);
            self.dirty = true;
        }
        self.apply_report(report, state, now, &mut transitions);
        ReportOutcome {
            is_current: true,
            transitions,
        }
    }

    /// Logs the first report of a worker's life, with what is known of its former one.
    fn log_new_life(&self, report: &WorkerReport, former_runs: usize, now: Millis) {
        let former = self.workers.get(&report.worker);
        let former_life = former.map(|former| former.incarnation).unwrap_or_default();
        let former_report = former.map_or(Sequence::ZERO, |former| former.sequence);
        let silent_ms = former.map_or(0, |former| now.since(former.last_report_ms).get());
        info!(event = "worker_heard", worker = %report.worker, life = %report.incarnation,
            service = %report.service, zone = %report.zone, room = %report.capacity,
            report = %report.sequence, former_life = %former_life, former_report = %former_report,
            silent_ms, former_runs);
    }

    fn apply_report(
        &mut self,
        report: &WorkerReport,
        state: &Workload,
        now: Millis,
        transitions: &mut Vec<Transition>,
    ) {
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return;
        };
        worker.sequence = report.sequence;
        worker.last_report_ms = now;
        worker.available_until_ms = report
            .remaining_ms
            .map(|remaining| now.saturating_add(remaining));
        self.dirty |= worker.update_description(report);
        let is_placed = |run: &RunKey| {
            let task = state.task(run.task);
            task.is_some_and(|task| task.run == run.run && task.placement.is_some())
        };
        worker.unreported.retain(|run, _state| is_placed(run));
        let earlier = std::mem::take(&mut worker.running);
        worker.running = reported_runs(report, state, (&earlier, &worker.unreported), now);
        worker.has_unknown_runs = worker.running.len() < report.running.len();
        log_unplaced_runs(worker, report, state);
        for (run, seen) in &worker.running {
            let before = worker.unreported.insert(*run, UnreportedRun::WasRunning);
            let has_progressed = seen.percent > seen.first_percent;
            if has_progressed && is_gang(state, run.task.step) {
                self.presence.member_progressed(*run);
            }
            let is_inherited = before.is_some_and(UnreportedRun::is_inherited);
            if is_inherited && is_bounded_gang(state, run.task.step) {
                self.presence.inherited_member_running(*run, now);
            }
        }
        self.observe_speed(&report.worker, &earlier, state, now);
        self.observe_interference(report, state, now);
        for end in &report.ended {
            self.handle_end(report, end, &earlier, state, now, transitions);
        }
        self.follow_former_runs(report, state, now, transitions);
        Self::hear_ends(report, state, transitions);
    }

    /// Handles one reported end. Only the end of a current run placed on this worker, or a late
    /// success, changes anything.
    fn handle_end(
        &mut self,
        report: &WorkerReport,
        end: &ReportedEnd,
        earlier: &BTreeMap<RunKey, RunProgress>,
        state: &Workload,
        now: Millis,
        transitions: &mut Vec<Transition>,
    ) {
        let Some(task) = state.task_key(&end.task) else {
            return;
        };
        let run = RunKey { task, run: end.run };
        let worker = self.workers.get(&report.worker);
        let is_former = worker.is_some_and(|worker| worker.former_runs.contains_key(&run));
        let is_here = |(placed, incarnation): (RunKey, WorkerIncarnation)| {
            placed == run && (incarnation == report.incarnation || is_former)
        };
        let is_here = state.runs_placed_on(&report.worker).any(is_here);
        let is_late = state
            .task(task)
            .is_some_and(|task| task.is_late_success(end.run, end.end));
        let is_late_failure = state
            .step(task.step)
            .is_some_and(|(step, tasks)| tasks.is_late_failure(step, task.index, end.run, end.end));
        if !is_here && !is_late && !is_late_failure {
            return;
        }
        let unreported = worker.and_then(|worker| worker.unreported.get(&run));
        let may_be_stopping =
            unreported.is_some_and(|run| run.may_be_stopping(now, self.options.stop_ms));
        // Another answer to the former life may still order the start.
        let may_start = is_former && worker.is_some_and(|worker| worker.former_life.is_some());
        if end.end == RunEnd::Refused && (may_be_stopping || may_start) {
            info!(event = "refusal_ignored", job = %end.task.job, task = %end.task, run = end.run,
                worker = %report.worker, report = %report.sequence);
            return;
        }
        let lost_core_ms = self.lost_core_ms(run, end, earlier.get(&run), state, now);
        info!(event = "run_ended", job = %end.task.job, task = %end.task, run = end.run, end = %end.end,
            worker = %report.worker, report = %report.sequence, lost_core_ms);
        self.stopping.insert(run);
        let is_member = is_gang(state, task.step);
        if is_member {
            self.presence.member_ended(run, end.end, now);
        }
        self.dirty = true;
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return;
        };
        // Until the end is committed, the run must not look as if it had never started: the batch
        // with its end may be refused.
        worker.unreported.insert(run, UnreportedRun::WasRunning);
        match end.end {
            RunEnd::Done => worker.record_success(),
            RunEnd::Failed => self.record_worker_failure(&report.worker, now),
            _ => {}
        }
        if let (RunEnd::Done, Some(seen)) = (end.end, earlier.get(&run)) {
            self.run_times
                .observe(state, task, now.since(seen.first_seen_ms));
            self.observe_speed_at_end(&report.worker, (run, seen), state, now);
        }
        let is_of_earlier_run = state.task(task).is_some_and(|task| task.run > end.run);
        let saved = if is_of_earlier_run {
            // A later run may have saved more since then.
            SmolStr::default()
        } else if is_member {
            self.checkpoints.member_ended(run, end.end, &end.checkpoint)
        } else {
            end.checkpoint.clone()
        };
        transitions.push(Transition::Ended {
            run,
            end: end.end,
            saved,
        });
    }

    /// The work that a run has not saved when it ends, in core-milliseconds; it is also recorded as a
    /// metric.
    fn lost_core_ms(
        &self,
        run: RunKey,
        end: &ReportedEnd,
        seen: Option<&RunProgress>,
        state: &Workload,
        now: Millis,
    ) -> u64 {
        let (Some(seen), Some(job), Some((step, _tasks))) = (
            seen,
            state.job(run.task.step.job),
            state.step(run.task.step),
        ) else {
            return 0;
        };
        let is_saved = step.checkpoints && end.end == RunEnd::Stopped && !end.checkpoint.is_empty();
        if end.end == RunEnd::Done || is_saved {
            return 0;
        }
        let expected_ms = self.run_times.estimate(job, step);
        let unsaved_ms = seen.unsaved_ms(step, expected_ms, now);
        let core_ms = step.demand.weight().saturating_mul(unsaved_ms.get()) / 1_000;
        record_lost_work(end.end, core_ms);
        core_ms
    }

    /// Counts a failure against a worker, which quarantines it after consecutive ones.
    pub(super) fn record_worker_failure(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.record_failure(now);
        if worker.quarantined_until_ms > now {
            warn!(event = "worker_quarantined", worker = %id, failures = worker.failures,
                until_ms = worker.quarantined_until_ms.get());
        }
    }

    /// Ends the runs of a worker's earlier incarnations, none of which survives its restart, but for
    /// those that the new one may start.
    fn end_runs_before(
        &mut self,
        report: &WorkerReport,
        former_runs: &BTreeMap<RunKey, FormerRun>,
        state: &Workload,
        transitions: &mut Vec<Transition>,
    ) {
        let lost: Vec<RunKey> = state
            .runs_placed_on(&report.worker)
            .filter(|(_run, placed_on)| *placed_on < report.incarnation)
            .map(|(run, _placed_on)| run)
            .filter(|run| !former_runs.contains_key(run))
            .collect();
        for run in lost {
            let why = LossCause::Restarted;
            transitions.push(self.end_lost_run(&report.worker, run, RunEnd::Lapsed, why, state));
        }
    }

    /// Ends a run that its worker does not list as ended.
    pub(super) fn end_lost_run(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        end: RunEnd,
        why: LossCause,
        state: &Workload,
    ) -> Transition {
        let known = self.workers.get(worker);
        let life = known.map(|worker| worker.incarnation).unwrap_or_default();
        let was_listed = known.is_some_and(|worker| worker.running.contains_key(&run));
        if let Some(task) = state.task_name(run.task) {
            info!(event = "run_lost", job = %task.job, task = %task, run = run.run, worker = %worker,
                life = %life, end = %end, why = %why, was_listed);
        }
        self.stopping.insert(run);
        self.dirty = true;
        let saved = self.checkpoints.for_lost_member(run);
        let saved = saved.unwrap_or_else(|| self.checkpoint_of(worker, run));
        Transition::Ended { run, end, saved }
    }

    /// The last checkpoint that a worker reported for a run.
    fn checkpoint_of(&self, worker: &WorkerId, run: RunKey) -> SmolStr {
        let worker = self.workers.get(worker);
        let running = worker.and_then(|worker| worker.running.get(&run));
        running
            .map(|running| running.checkpoint.clone())
            .unwrap_or_default()
    }

    /// Handles a worker's deregistration, by which time all of its runs have ended. Reports that it
    /// sent earlier may still arrive through other replicas and tell how they ended.
    ///
    /// A deregistration names no life. Workers announce that they drain, and how long they stay at
    /// least, before they leave. So one that comes while the worker does not drain, or well before the
    /// announced end, is late and meant for a former life. So may be one for a worker that has returned
    /// lately; its runs then wait for the lease.
    ///
    /// Returns the command that tells later leaders; `None` if the worker is not known, does not leave
    /// yet or has returned lately.
    pub fn worker_left(&mut self, id: &WorkerId, now: Millis) -> Option<WorkloadCommand> {
        let worker = self.workers.get_mut(id)?;
        let life = worker.incarnation;
        let has_returned = worker
            .returned_ms
            .is_some_and(|returned| now.since(returned) < WORKER_RETENTION_MS);
        // The report that announced the end may itself have been late.
        let announced = worker.available_until_ms.unwrap_or_default();
        let stays = now.saturating_add(REPORT_DELAY_MAX_MS) < announced;
        if !worker.draining || stays || has_returned {
            info!(event = "worker_left_ignored", worker = %id, life = %life, stays, has_returned);
            return None;
        }
        info!(event = "worker_left", worker = %id, life = %life);
        worker.deregistered_ms.get_or_insert(now);
        self.dirty = true;
        Some(WorkloadCommand::Depart {
            worker: id.clone(),
            incarnation: worker.incarnation,
        })
    }

    /// Ends runs on workers whose lease has certainly expired, and members on silent workers of
    /// gangs that have begun to end.
    pub fn expire_leases(&mut self, state: &Workload, now: Millis) -> Vec<Transition> {
        let inherited = self.inherited_lease_end();
        let silent: Vec<WorkerId> = state
            .workers_with_runs()
            .filter(|id| {
                let worker = self.workers.get(*id);
                // A worker that still reports lists its ends itself, even if no answer reaches it.
                let until = worker.map_or(inherited, |worker| {
                    // A draining worker that reports after its deregistration may be in its next life.
                    let left_ms = worker.deregistered_ms;
                    let left_ms = left_ms.filter(|left| worker.last_report_ms <= *left);
                    if let Some(left_ms) = left_ms {
                        return left_ms.saturating_add(DEREGISTER_GRACE_MS);
                    }
                    let report_timeout = worker.last_report_ms.saturating_add(REPORT_TIMEOUT_MS);
                    worker.lease_until_ms.max(report_timeout)
                });
                now > until
            })
            .cloned()
            .collect();
        self.forget_old_faults(now);
        let mut transitions = self.settle_unheard_ends(state, now);
        transitions.extend(self.end_unreachable_members(state, now));
        for worker in silent {
            warn!(event = "worker_lease_over", worker = %worker);
            self.record_worker_fault(&worker, WorkerFault::Silent, now);
            let runs: Vec<RunKey> = state
                .runs_placed_on(&worker)
                .map(|(run, _incarnation)| run)
                .collect();
            for run in runs {
                let why = LossCause::Silent;
                transitions.push(self.end_lost_run(&worker, run, RunEnd::Lapsed, why, state));
            }
            if let Some(worker) = self.workers.get_mut(&worker) {
                // What was ordered stays known: these runs must not look as if they had never
                // started.
                worker.running.clear();
            }
        }
        self.workers.retain(|_id, worker| {
            now <= worker.lease_until_ms || now.since(worker.last_report_ms) < WORKER_RETENTION_MS
        });
        transitions
    }
}

/// How late a report may be that is carried on by another replica.
const REPORT_DELAY_MAX_MS: Millis = Millis(1_000);
/// How long reports that a worker sent before its deregistration may still arrive.
pub(super) const DEREGISTER_GRACE_MS: Millis = Millis(1_000);
/// How long after its last report a worker's runs are kept even without a lease: two report
/// intervals and a lost answer.
const REPORT_TIMEOUT_MS: Millis = Millis(3_000);
/// How long a worker without a lease is remembered, along with its failures. No message of a former life
/// is on its way for longer.
const WORKER_RETENTION_MS: Millis = Millis(60_000);

/// Whether the tasks of a step run as a gang.
pub(super) fn is_gang(state: &Workload, step: StepKey) -> bool {
    state.step(step).is_some_and(|(step, _tasks)| step.gang)
}

/// Whether the tasks of a step run as a gang that ends by itself, so that progress can be expected.
fn is_bounded_gang(state: &Workload, step: StepKey) -> bool {
    state
        .step(step)
        .is_some_and(|(step, _tasks)| step.gang && !step.long_running)
}

/// Logs the runs that a worker lists although they are not placed on its present life, each once.
fn log_unplaced_runs(worker: &mut Worker, report: &WorkerReport, state: &Workload) {
    let earlier = std::mem::take(&mut worker.unplaced);
    if !worker.has_unknown_runs {
        return;
    }
    for listed in &report.running {
        let task = state.task_key(&listed.task);
        let run = task.map(|task| RunKey {
            task,
            run: listed.run,
        });
        if run.is_some_and(|run| worker.running.contains_key(&run)) {
            continue;
        }
        let key = (listed.task.clone(), listed.run);
        if !earlier.contains(&key) {
            let task = task.and_then(|task| state.task(task));
            let place = task.and_then(|task| task.placement.as_ref());
            info!(event = "unplaced_run_listed", job = %listed.task.job, task = %listed.task,
                run = listed.run, worker = %report.worker, life = %report.incarnation,
                report = %report.sequence, percent = listed.percent,
                newest_run = task.map_or(0, |task| task.run),
                placed_on = place.map_or("none", |place| place.worker.as_str()),
                placed_life = place.map_or(0, |place| place.incarnation.0));
            record_unplaced_run();
        }
        worker.unplaced.insert(key);
    }
}

/// Selects the reported runs that are placed on this incarnation of the worker.
fn reported_runs(
    report: &WorkerReport,
    state: &Workload,
    (earlier, unreported): (
        &BTreeMap<RunKey, RunProgress>,
        &BTreeMap<RunKey, UnreportedRun>,
    ),
    now: Millis,
) -> BTreeMap<RunKey, RunProgress> {
    let runs = report.running.iter().filter_map(|reported| {
        let task = state.task_key(&reported.task)?;
        let run = RunKey {
            task,
            run: reported.run,
        };
        let task_state = state.task(task)?;
        let is_here = task_state.run == reported.run
            && task_state.placement.as_ref().is_some_and(|place| {
                place.worker == report.worker && place.incarnation == report.incarnation
            });
        if !is_here {
            return None;
        }
        let before = earlier.get(&run);
        let unchanged = before.filter(|before| {
            before.percent == reported.percent && before.checkpoint == reported.checkpoint
        });
        let rise = before.filter(|before| reported.percent > before.first_percent);
        let rise = rise.map(|_before| ProgressMark {
            at_ms: now,
            percent: reported.percent,
        });
        let is_first_inherited = matches!(
            unreported.get(&run),
            Some(UnreportedRun::Inherited | UnreportedRun::StopOrdered { .. })
        );
        let seen = RunProgress {
            first_seen_ms: before.map_or(now, |before| before.first_seen_ms),
            first_percent: before.map_or(reported.percent, |before| before.first_percent),
            first_rise: before.and_then(|before| before.first_rise).or(rise),
            is_inherited: before.map_or(is_first_inherited, |before| before.is_inherited),
            checkpoint: reported.checkpoint.clone(),
            saved_ms: before
                .filter(|before| before.checkpoint == reported.checkpoint)
                .map_or(now, |before| before.saved_ms),
            percent: reported.percent,
            last_progress_ms: unchanged.map_or(now, |before| before.last_progress_ms),
        };
        Some((run, seen))
    });
    runs.collect()
}
