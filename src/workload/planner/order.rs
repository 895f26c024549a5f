//! Which waiting step comes first: load in which more waits than there is room for.

use std::collections::BTreeMap;

use crate::units::{Millis, WallMs};
use crate::workload::{Job, QueuePath, Step, StepKey, TaskKey, Workload};

/// Weight of the newest run time in the running mean, as one part of this many.
const LEARN_PARTS: u64 = 8;
/// A job is late for good after this many times its objective.
const LATE_FACTOR: u64 = 3;

/// Mean run times of tasks, learned from what ran: declared ones are far off.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    of_queue: BTreeMap<QueuePath, Millis>,
}

impl RunTimes {
    pub(super) fn learn(&mut self, state: &Workload, task: TaskKey, took: Millis) {
        let Some(job) = state.job(task.step.job) else {
            return;
        };
        let mean = self.of_queue.entry(job.queue.clone()).or_insert(took);
        let parts = mean.get() * (LEARN_PARTS - 1) + took.get();
        *mean = Millis(parts / LEARN_PARTS);
    }

    /// How long a task of this step takes: what its queue's tasks took, else the declared time.
    pub(super) fn of(&self, job: &Job, step: &Step) -> Millis {
        let learned = self.of_queue.get(&job.queue).copied();
        learned.unwrap_or(step.estimate_ms)
    }
}

/// A step with tasks that wait, in the order in which room is given out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Waiting {
    /// The queue's priority.
    pub(super) priority: u32,
    /// Whether the job can earn its caller nothing any more.
    pub(super) is_hopeless: bool,
    /// When the job has to be done.
    pub(super) due_ms: WallMs,
    /// The step.
    pub(super) key: StepKey,
}

/// All steps that have waiting tasks and may run, first the one that comes first.
pub(super) fn waiting(state: &Workload, times: &RunTimes, now: WallMs) -> Vec<Waiting> {
    let mut all = Vec::new();
    for (number, job) in state.open_jobs() {
        let target = job.terms.target_ms.get();
        let chain = job.spec.chain_ms(|step| times.of(job, step)).get();
        let objective = target + chain.saturating_mul(job.terms.stretch_percent) / 100;
        for (occurrence, of) in &job.occurrences {
            let from = job.due_ms(*occurrence);
            let due_ms = WallMs(from.0.saturating_add(objective));
            let late_ms = from.0.saturating_add(objective.saturating_mul(LATE_FACTOR));
            for (step, spec, at) in job.ready_steps(of) {
                let tasks = &of.steps[at];
                let idle = tasks.waiting();
                let whole = u32::try_from(tasks.tasks.len()).unwrap_or(u32::MAX);
                // The members of a gang start together, so all of them must be free.
                if idle == 0 || (spec.gang && idle < whole) {
                    continue;
                }
                all.push(Waiting {
                    priority: job.terms.priority,
                    is_hopeless: now.0 > late_ms,
                    due_ms,
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
