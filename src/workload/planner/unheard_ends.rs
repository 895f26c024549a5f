//! Decides until when an end that no worker has listed yet may still count as a failed attempt.
//!
//! Load pattern: a worker is partitioned while a member of a gang fails on it, on the last attempt
//! that the gang has. The other members end as broken, so the gang is known to have ended long before
//! the lease of the silent worker, but not how. If it were started again, the failure that the worker
//! lists once it is back would show that start as one too many. See
//! docs/design/unreachable-workers.md.

use tracing::info;

use super::Planner;
use super::reports::DEREGISTER_GRACE_MS;
use crate::units::Millis;
use crate::workload::{Placement, StepKey, Transition, WorkerReport, Workload};

/// Workers list at most this many ends in one report, the oldest first.
const ENDS_PER_REPORT_MAX: usize = 500;

impl Planner {
    /// Settles the ends of which a report says all that there is to hear.
    pub(super) fn hear_ends(
        report: &WorkerReport,
        state: &Workload,
        transitions: &mut Vec<Transition>,
    ) {
        let of_worker = state.unheard_ends().filter(|(_run, place)| {
            place.worker == report.worker && place.incarnation == report.incarnation
        });
        for (run, _place) in of_worker {
            let Some(name) = state.task_name(run.task) else {
                continue;
            };
            let is_it = |task, number| task == &name && number == run.run;
            let mut ended = report.ended.iter();
            let mut running = report.running.iter();
            let is_listed = ended.any(|end| is_it(&end.task, end.run));
            let may_be_left_out = running.any(|other| is_it(&other.task, other.run))
                || report.ended.len() >= ENDS_PER_REPORT_MAX;
            if is_listed || !may_be_left_out {
                info!(event = "unheard_end_settled", task = %name, run = run.run,
                    worker = %report.worker, why = "reported");
                transitions.push(Transition::Heard { run });
            }
        }
    }

    /// Settles the ends that will never be heard, or count no more if they are.
    pub(super) fn settle_unheard_ends(&self, state: &Workload, now: Millis) -> Vec<Transition> {
        let mut settled = Vec::new();
        for (run, place) in state.unheard_ends() {
            let job = state.job(run.task.step.job);
            let step = state.step(run.task.step);
            let is_obsolete = job.is_none_or(|job| job.phase.is_ended())
                || step.is_none_or(|(_step, tasks)| tasks.is_complete());
            if is_obsolete || self.is_out_of_reach(place, now) {
                info!(event = "unheard_end_settled", run = %run, worker = %place.worker,
                    why = if is_obsolete { "obsolete" } else { "lease_over" });
                settled.push(Transition::Heard { run });
            }
        }
        settled
    }

    /// Whether no lease that an end on this worker was covered by can last any more, so that an
    /// acknowledgement comes too late for it to count.
    pub(super) fn is_out_of_reach(&self, place: &Placement, now: Millis) -> bool {
        let Some(worker) = self.workers.get(&place.worker) else {
            return now > self.inherited_lease_end();
        };
        let left_ms = worker.deregistered_ms;
        worker.incarnation > place.incarnation
            || now > worker.lease_until_ms
            || left_ms.is_some_and(|left| now > left.saturating_add(DEREGISTER_GRACE_MS))
    }

    /// Whether the failures that were heard and those that may still be heard are all attempts that a
    /// gang has.
    pub(super) fn may_have_no_attempt_left(state: &Workload, key: StepKey) -> bool {
        let (Some(job), Some((step, tasks))) = (state.job(key.job), state.step(key)) else {
            return false;
        };
        let mut unheard: Vec<u32> = state
            .unheard_ends()
            .filter(|(run, _place)| run.task.step == key && !tasks.failed_runs.contains(&run.run))
            .map(|(run, _place)| run.run)
            .collect();
        unheard.sort_unstable();
        unheard.dedup();
        let attempts = tasks.failed_runs.len() + unheard.len();
        !step.long_running && !unheard.is_empty() && attempts >= job.policy.attempts_max as usize
    }
}
