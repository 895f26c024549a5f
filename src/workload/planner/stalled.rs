//! Detects tasks that make no progress on workers that report normally. They are stopped and
//! restarted elsewhere, because waiting for them would make their jobs late.

use std::collections::{BTreeMap, BTreeSet};

use tracing::warn;

use super::Planner;
use crate::units::{Millis, WorkerId};
use crate::workload::{RunKey, StepKey, TaskKey, Workload};

/// How long a task may show no progress; the slowest healthy tasks show some within a second.
const STALL_TIMEOUT_MS: Millis = Millis(1_500);
/// How long a step avoids the workers on which it stalled.
const AVOID_WORKER_MS: Millis = Millis(8_000);

/// The workers that each step avoids, and until when.
#[derive(Debug, Default)]
pub(super) struct AvoidedWorkers {
    by_step: BTreeMap<StepKey, (BTreeSet<WorkerId>, Millis)>,
}

impl AvoidedWorkers {
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_step.retain(|_step, (_workers, until)| now < *until);
    }

    /// The workers that a step avoids now.
    pub(super) fn for_step(&self, step: StepKey) -> BTreeSet<WorkerId> {
        let avoided = self.by_step.get(&step);
        avoided
            .map(|(workers, _until)| workers.clone())
            .unwrap_or_default()
    }

    fn add(&mut self, step: StepKey, worker: WorkerId, now: Millis) {
        let (workers, until) = self.by_step.entry(step).or_default();
        workers.insert(worker);
        *until = now.saturating_add(AVOID_WORKER_MS);
    }
}

impl Planner {
    /// Stops tasks that show no progress; a gang is stopped as a whole.
    pub(super) fn stop_stalled(&mut self, state: &Workload, now: Millis) {
        self.avoided.expire(now);
        for run in self.stalled_runs(state, now) {
            let Some((step, tasks)) = state.step(run.task.step) else {
                continue;
            };
            let indices = if step.gang {
                0..u32::try_from(tasks.tasks.len()).unwrap_or_default()
            } else {
                run.task.index..run.task.index + 1
            };
            warn!(event = "run_stalled", run = %run, gang = step.gang,
                after_ms = STALL_TIMEOUT_MS.get());
            for index in indices {
                let task = tasks.tasks.get(index as usize);
                if let Some(place) = task.and_then(|task| task.placement.as_ref()) {
                    self.avoided.add(run.task.step, place.worker.clone(), now);
                }
                let step = run.task.step;
                self.stopping.insert(RunKey {
                    task: TaskKey { step, index },
                    run: run.run,
                });
            }
        }
    }

    /// Returns the runs without progress, one for each gang.
    fn stalled_runs(&self, state: &Workload, now: Millis) -> Vec<RunKey> {
        let mut stalled = Vec::new();
        let mut gangs = BTreeSet::new();
        for worker in self.workers.values() {
            for (run, seen) in &worker.running {
                let is_stalled =
                    worker.last_report_ms.since(seen.last_progress_ms) >= STALL_TIMEOUT_MS;
                if !is_stalled || self.stopping.contains(run) {
                    continue;
                }
                let Some((step, _tasks)) = state.step(run.task.step) else {
                    continue;
                };
                let is_starting = self.starting_gangs.contains_key(&(run.task.step, run.run));
                let is_first = !step.gang || gangs.insert((run.task.step, run.run));
                if !step.long_running && !is_starting && is_first {
                    stalled.push(*run);
                }
            }
        }
        stalled.retain(|run| self.is_whole_run_stalled(*run, state, now));
        stalled
    }

    /// Whether all members of a gang have stalled, so that none was just waiting for another;
    /// always true for a single task.
    fn is_whole_run_stalled(&self, run: RunKey, state: &Workload, now: Millis) -> bool {
        let Some((step, tasks)) = state.step(run.task.step) else {
            return false;
        };
        if !step.gang {
            return true;
        }
        tasks.tasks.iter().zip(0_u32..).all(|(task, index)| {
            let key = RunKey {
                task: TaskKey {
                    step: run.task.step,
                    index,
                },
                run: run.run,
            };
            let worker = task
                .placement
                .as_ref()
                .and_then(|place| self.workers.get(&place.worker));
            let seen = worker.and_then(|worker| worker.running.get(&key));
            seen.is_some_and(|seen| now.since(seen.last_progress_ms) >= STALL_TIMEOUT_MS)
        })
    }
}
