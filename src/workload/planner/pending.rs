//! Which waiting step comes first: load in which more waits than there is room for.

use std::collections::BTreeMap;

use crate::units::{Millis, WallMs};
use crate::workload::{Job, QueuePath, Step, StepKey, TaskKey, Workload};

/// Weight of the newest run time in the running mean, as one part of this many.
const MEAN_WEIGHT_DIVISOR: u64 = 8;
/// A job is late for good after this many times its objective.
const EXPIRY_FACTOR: u64 = 3;

/// Mean run times of tasks, learned from what ran: declared ones are far off.
#[derive(Debug, Default)]
pub(super) struct RunTimeEstimates {
    by_queue: BTreeMap<QueuePath, Millis>,
}

impl RunTimeEstimates {
    pub(super) fn observe(&mut self, state: &Workload, task: TaskKey, took: Millis) {
        let Some(job) = state.job(task.step.job) else {
            return;
        };
        let mean = self.by_queue.entry(job.queue.clone()).or_insert(took);
        let parts = mean.get() * (MEAN_WEIGHT_DIVISOR - 1) + took.get();
        *mean = Millis(parts / MEAN_WEIGHT_DIVISOR);
    }

    /// How long a task of this step takes: what its queue's tasks took, else the declared time.
    pub(super) fn estimate(&self, job: &Job, step: &Step) -> Millis {
        let learned = self.by_queue.get(&job.queue).copied();
        learned.unwrap_or(step.estimate_ms)
    }
}

/// By when a job has to be done.
#[derive(Clone, Copy, Debug)]
pub(super) struct Objective {
    /// Done by then it is in time.
    pub(super) due_ms: WallMs,
    /// Done later than this it is of no use any more.
    pub(super) expires_ms: WallMs,
}

impl RunTimeEstimates {
    /// The objective of one occurrence of a job.
    pub(super) fn objective(&self, job: &Job, occurrence: u32) -> Objective {
        let chain = job
            .spec
            .critical_path_ms(|step| self.estimate(job, step))
            .get();
        let stretched = chain.saturating_mul(job.policy.stretch_percent) / 100;
        let span = stretched.saturating_add(job.policy.target_ms.get());
        let from = job.due_ms(occurrence).0;
        Objective {
            due_ms: WallMs(from.saturating_add(span)),
            expires_ms: WallMs(from.saturating_add(span.saturating_mul(EXPIRY_FACTOR))),
        }
    }
}

/// What a job that waits can still reach.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum DeadlineStatus {
    /// It can be done in time.
    OnTime,
    /// It can be done, but late.
    Late,
    /// It is of no use any more.
    Expired,
}

/// A step with tasks that wait, in the order in which room is given out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PendingStep {
    /// The queue's priority.
    pub(super) priority: u32,
    /// What the job can still reach: under more load than there is room for, those that can be in time
    /// go before those that are late anyway.
    pub(super) deadline_status: DeadlineStatus,
    /// When the job has to be done.
    pub(super) due_ms: WallMs,
    /// The step.
    pub(super) key: StepKey,
}

/// All steps that have waiting tasks and may run, first the one that comes first.
pub(super) fn pending_steps(
    state: &Workload,
    times: &RunTimeEstimates,
    now: WallMs,
) -> Vec<PendingStep> {
    let mut all = Vec::new();
    for (number, job) in state.open_jobs() {
        for (occurrence, of) in &job.occurrences {
            let objective = times.objective(job, *occurrence);
            for (step, spec, at) in job.ready_steps(of) {
                let tasks = &of.steps[at];
                let idle = tasks.pending_tasks();
                let whole = u32::try_from(tasks.tasks.len()).unwrap_or(u32::MAX);
                // The members of a gang start together, so all of them must be free.
                if idle == 0 || (spec.gang && idle < whole) {
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

/// What a job reaches whose step starts now and is its last.
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
