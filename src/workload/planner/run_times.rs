//! Estimates how long tasks run.

use std::collections::BTreeMap;

use crate::units::Millis;
use crate::workload::{Job, QueuePath, Step, TaskKey, Workload};

/// The weight of the newest run time in the running mean is one divided by this.
const MEAN_WEIGHT_DIVISOR: u64 = 8;

/// Mean run times of tasks by queue, learned from completed runs because declared estimates are far
/// off.
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

    /// The expected run time of a task of this step: the learned mean of its queue, or the declared
    /// estimate when nothing has completed yet.
    pub(super) fn estimate(&self, job: &Job, step: &Step) -> Millis {
        let learned = self.by_queue.get(&job.queue).copied();
        learned.unwrap_or(step.estimate_ms)
    }
}
