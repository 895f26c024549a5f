//! Orders pending steps for placement when not all of them fit.

use super::run_times::RunTimeEstimates;
use crate::units::{Millis, WallMs};
use crate::workload::{Job, StepKey, Workload};

/// A job expires when it takes this many times its objective.
const EXPIRY_FACTOR: u64 = 3;

/// The completion times by which a job is judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Objective {
    /// A job that completes by this time is on time.
    pub(super) due_ms: WallMs,
    /// A job that completes after this time is of no use to its caller.
    pub(super) expires_ms: WallMs,
}

impl RunTimeEstimates {
    /// Computes the objective of one occurrence of a job.
    pub(super) fn objective(&self, job: &Job, occurrence: u32) -> Objective {
        let critical_path = job
            .spec
            .critical_path_ms(|step| self.estimate(job, step))
            .get();
        let stretched = critical_path.saturating_mul(job.policy.stretch_percent) / 100;
        let span = stretched.saturating_add(job.policy.target_ms.get());
        let from = job.due_ms(occurrence).0;
        Objective {
            due_ms: WallMs(from.saturating_add(span)),
            expires_ms: WallMs(from.saturating_add(span.saturating_mul(EXPIRY_FACTOR))),
        }
    }
}

/// Whether a pending job can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum DeadlineStatus {
    /// The job can complete on time.
    OnTime,
    /// The job can complete, but only late.
    Late,
    /// The job is so late that its result is of no use.
    Expired,
}

/// A step with pending tasks. The derived order is the order of placement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PendingStep {
    /// The queue's priority; 0 is the highest.
    pub(super) priority: u32,
    /// Under overload, jobs that can still be on time go before jobs that are late in any case.
    pub(super) deadline_status: DeadlineStatus,
    /// When the job should be complete.
    pub(super) due_ms: WallMs,
    pub(super) key: StepKey,
}

/// Returns all ready steps with pending tasks in the order of placement.
pub(super) fn pending_steps(
    state: &Workload,
    times: &RunTimeEstimates,
    now: WallMs,
) -> Vec<PendingStep> {
    let mut all = Vec::new();
    for (number, job) in state.open_jobs() {
        for (occurrence, progress) in &job.occurrences {
            let objective = times.objective(job, *occurrence);
            for (step, spec, at) in job.ready_steps(progress) {
                let tasks = &progress.steps[at];
                let pending = tasks.pending_tasks();
                let total = u32::try_from(tasks.tasks.len()).unwrap_or(u32::MAX);
                // The members of a gang start together, so all of them must be pending.
                if pending == 0 || (spec.gang && pending < total) {
                    continue;
                }
                all.push(PendingStep {
                    priority: job.policy.priority,
                    deadline_status: deadline_status(&objective, now, times.estimate(job, spec)),
                    due_ms: objective.due_ms,
                    key: StepKey {
                        job: number,
                        occurrence: *occurrence,
                        step,
                    },
                });
            }
        }
    }
    all.sort_unstable();
    all
}

/// The status of a job if the step starts now and is its last one.
fn deadline_status(objective: &Objective, now: WallMs, run_ms: Millis) -> DeadlineStatus {
    let done_ms = WallMs(now.0.saturating_add(run_ms.get()));
    if done_ms <= objective.due_ms {
        DeadlineStatus::OnTime
    } else if now <= objective.expires_ms {
        DeadlineStatus::Late
    } else {
        DeadlineStatus::Expired
    }
}
