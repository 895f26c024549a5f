use std::collections::BTreeMap;

use smol_str::SmolStr;
use tracing::{info, warn};

use super::worker::{RunProgress, UnreportedRun, Worker};
use super::{Planner, ReportOutcome};
use crate::units::{Millis, WorkerId};
use crate::workload::{
    ReportedEnd, RunEnd, RunKey, Transition, WorkerIncarnation, WorkerReport, Workload,
};

/// How much slower a worker's clock may be, in percent; from the platform's description of leases.
const CLOCK_MARGIN_PERCENT: u64 = 3;
/// What is added to the end of a lease for the resolution of the clocks.
const LEASE_SLACK_MS: Millis = Millis(20);

impl Planner {
    /// Until when a lease that was granted for a report received at `now` may last.
    pub(super) fn lease_end(&self, now: Millis) -> Millis {
        let lease = self.options.lease_ms.get();
        let margin = lease.saturating_mul(CLOCK_MARGIN_PERCENT) / 100;
        now.saturating_add(Millis(lease + margin))
            .saturating_add(LEASE_SLACK_MS)
    }

    /// The end of the lease of a worker that has not reported to this leader: an earlier leader may
    /// have answered it until this one was elected.
    pub(super) fn inherited_lease_end(&self) -> Millis {
        self.lease_end(self.elected_ms)
    }

    /// Takes a report; nothing is ordered before its transitions are committed.
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
            info!(event = "worker_heard", worker = %report.worker, life = %report.incarnation,
                service = %report.service, zone = %report.zone, room = %report.capacity);
            self.end_runs_before(report.incarnation, &report.worker, state, &mut transitions);
            let mut worker = Worker::new(report, lease_until);
            let placed = state.runs_placed_on(&report.worker);
            let of_incarnation =
                placed.filter(|(_run, incarnation)| *incarnation == report.incarnation);
            let inherited =
                of_incarnation.map(|(run, _incarnation)| (run, UnreportedRun::Inherited));
            worker.unreported = inherited.collect();
            self.workers.insert(report.worker.clone(), worker);
            self.dirty = true;
        }
        self.apply_report(report, state, now, &mut transitions);
        ReportOutcome {
            is_current: true,
            transitions,
        }
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
        worker.available_until_ms = report.remaining_ms.map(|stays| now.saturating_add(stays));
        self.dirty |= worker.update_description(report);
        let earlier = std::mem::take(&mut worker.running);
        worker.running = reported_runs(report, state, &earlier, now);
        worker.has_unknown_runs = worker.running.len() < report.running.len();
        for run in worker.running.keys() {
            worker.unreported.insert(*run, UnreportedRun::WasRunning);
            if let Some((step, tasks)) = state
                .step(run.task.step)
                .filter(|_| !earlier.contains_key(run))
                && step.gang
            {
                self.presence.member_running(*run, tasks.tasks.len());
            }
        }
        for end in &report.ended {
            self.handle_end(report, end, &earlier, state, now, transitions);
        }
    }

    /// Takes one listed end; an end of anything but a present run changes nothing.
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
        let is_here = |(placed, incarnation): (RunKey, WorkerIncarnation)| {
            placed == run && incarnation == report.incarnation
        };
        let is_here = state.runs_placed_on(&report.worker).any(is_here);
        let is_late = state
            .task(task)
            .is_some_and(|task| task.is_late_success(end.run, end.end));
        if !is_here && !is_late {
            return;
        }
        info!(event = "run_ended", job = %end.task.job, task = %end.task, run = end.run, end = %end.end,
            worker = %report.worker, report = %report.sequence);
        self.stopping.insert(run);
        self.presence.member_ended(run, now);
        self.dirty = true;
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return;
        };
        worker.unreported.remove(&run);
        match end.end {
            RunEnd::Done => worker.record_success(),
            RunEnd::Failed => worker.record_failure(now),
            _ => {}
        }
        if worker.quarantined_until_ms > now && end.end == RunEnd::Failed {
            warn!(event = "worker_quarantined", worker = %report.worker, failures = worker.failures,
                until_ms = worker.quarantined_until_ms.get());
        }
        if let (RunEnd::Done, Some(seen)) = (end.end, earlier.get(&run)) {
            self.run_times
                .observe(state, task, now.since(seen.first_seen_ms));
        }
        transitions.push(Transition::Ended {
            run,
            end: end.end,
            saved: end.checkpoint.clone(),
        });
    }

    /// A worker that began anew runs nothing of what it ran before.
    fn end_runs_before(
        &mut self,
        incarnation: WorkerIncarnation,
        worker: &WorkerId,
        state: &Workload,
        transitions: &mut Vec<Transition>,
    ) {
        let lost: Vec<RunKey> = state
            .runs_placed_on(worker)
            .filter(|(_run, of)| *of < incarnation)
            .map(|(run, _of)| run)
            .collect();
        for run in lost {
            transitions.push(self.end_lost_run(worker, run, RunEnd::Lapsed));
        }
    }

    pub(super) fn end_lost_run(
        &mut self,
        worker: &WorkerId,
        run: RunKey,
        end: RunEnd,
    ) -> Transition {
        info!(event = "run_lost", run = %run, worker = %worker, end = %end);
        self.stopping.insert(run);
        self.dirty = true;
        let saved = self.checkpoint_of(worker, run);
        Transition::Ended { run, end, saved }
    }

    /// The progress that a worker last reported of a run.
    fn checkpoint_of(&self, worker: &WorkerId, run: RunKey) -> SmolStr {
        let worker = self.workers.get(worker);
        let running = worker.and_then(|worker| worker.running.get(&run));
        running
            .map(|running| running.checkpoint.clone())
            .unwrap_or_default()
    }

    /// A worker deregistered: all that it ran has ended. Reports that it sent before may still arrive
    /// through other replicas and list how.
    pub fn worker_left(&mut self, worker: &WorkerId, now: Millis) {
        info!(event = "worker_left", worker = %worker);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.draining = true;
            worker.deregistered_ms.get_or_insert(now);
            self.dirty = true;
        }
    }

    /// Runs on workers whose lease has surely ended, and starts that will not be carried out.
    pub fn expire_leases(&mut self, state: &Workload, now: Millis) -> Vec<Transition> {
        let unheard = self.inherited_lease_end();
        let silent: Vec<WorkerId> = state
            .workers_with_runs()
            .filter(|id| {
                let worker = self.workers.get(*id);
                // A worker that reports tells itself what has ended, also where no answer reached it.
                let until = worker.map_or(unheard, |worker| {
                    if let Some(deregistered_ms) = worker.deregistered_ms {
                        return deregistered_ms.saturating_add(DEREGISTER_GRACE_MS);
                    }
                    let heard = worker.last_report_ms.saturating_add(REPORT_TIMEOUT_MS);
                    worker.lease_until_ms.max(heard)
                });
                now > until
            })
            .cloned()
            .collect();
        let mut transitions = self.end_unreachable_members(state, now);
        for worker in silent {
            warn!(event = "worker_lease_over", worker = %worker);
            let runs: Vec<RunKey> = state
                .runs_placed_on(&worker)
                .map(|(run, _incarnation)| run)
                .collect();
            for run in runs {
                transitions.push(self.end_lost_run(&worker, run, RunEnd::Lapsed));
            }
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.running.clear();
                worker.unreported.clear();
            }
        }
        self.workers.retain(|_id, worker| {
            now <= worker.lease_until_ms || now.since(worker.last_report_ms) < WORKER_RETENTION_MS
        });
        transitions
    }
}

/// How long reports that a worker sent before it deregistered may still arrive.
const DEREGISTER_GRACE_MS: Millis = Millis(1_000);
/// How long a worker that reports may be silent before it counts as silent: two reports and a lost
/// answer.
const REPORT_TIMEOUT_MS: Millis = Millis(3_000);
/// How long a worker without a lease is remembered, with its failures.
const WORKER_RETENTION_MS: Millis = Millis(60_000);

/// The listed runs that have a place on this life of the worker.
fn reported_runs(
    report: &WorkerReport,
    state: &Workload,
    earlier: &BTreeMap<RunKey, RunProgress>,
    now: Millis,
) -> BTreeMap<RunKey, RunProgress> {
    let listed = report.running.iter().filter_map(|listed| {
        let task = state.task_key(&listed.task)?;
        let run = RunKey {
            task,
            run: listed.run,
        };
        let place = state.task(task)?;
        let is_here = place.run == listed.run
            && place.placement.as_ref().is_some_and(|place| {
                place.worker == report.worker && place.incarnation == report.incarnation
            });
        if !is_here {
            return None;
        }
        let before = earlier.get(&run);
        let still = before.filter(|before| before.percent == listed.percent);
        let seen = RunProgress {
            first_seen_ms: before.map_or(now, |before| before.first_seen_ms),
            checkpoint: listed.checkpoint.clone(),
            percent: listed.percent,
            last_progress_ms: still.map_or(now, |still| still.last_progress_ms),
        };
        Some((run, seen))
    });
    listed.collect()
}
