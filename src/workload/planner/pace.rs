//! Work that fills idle processor time beside lasting tasks that serve their own users: it is slowed down
//! while they miss their latency target, and speeded up again bit by bit.

use std::collections::BTreeMap;

use tracing::info;

use super::fleet::{Running, Worker};
use crate::units::Millis;
use crate::workload::{RunKey, TaskName, WorkerReport, Workload};

/// How long a change is left to show: reports tell of the last half second.
const SETTLE_MS: Millis = Millis(600);
/// From this share of the target on the filling work is slowed down.
const HIGH_PERCENT: u64 = 85;
/// Below this share it is speeded up.
const LOW_PERCENT: u64 = 60;
/// What a speed-up adds, in percent of the full speed.
const REGAIN_PERCENT: u32 = 5;
/// Below this share of the full speed filling work stands still.
const LEAST_PERCENT: u32 = 4;

/// The speed of all filling work on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    percent: u32,
    changed_ms: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_ms: Millis::ZERO,
        }
    }
}

impl Pace {
    /// Takes the worst latency of the worker's lasting tasks, in percent of their target.
    fn adjust(&mut self, worst_percent: Option<u64>, now: Millis) {
        let Some(worst) = worst_percent else {
            *self = Self::default();
            return;
        };
        if now.since(self.changed_ms) < SETTLE_MS {
            return;
        }
        let next = if worst >= 100 {
            self.percent / 4
        } else if worst >= HIGH_PERCENT {
            self.percent * 3 / 4
        } else if worst < LOW_PERCENT {
            (self.percent + REGAIN_PERCENT).min(100)
        } else {
            self.percent
        };
        let next = if next < LEAST_PERCENT { 0 } else { next };
        if next != self.percent {
            self.percent = next;
            self.changed_ms = now;
        }
    }
}

impl Worker {
    /// Takes the latencies that a report tells.
    pub(super) fn take_latencies(&mut self, report: &WorkerReport, state: &Workload, now: Millis) {
        let before = self.pace.percent;
        self.pace.adjust(worst_latency(&self.running, state), now);
        if self.pace.percent != before {
            info!(event = "filling_work_paced", worker = %report.worker, percent = self.pace.percent, before);
        }
    }

    /// The speed of each filling run beside lasting tasks with a target.
    pub(super) fn paces(&self, state: &Workload) -> Vec<(TaskName, u32, u32)> {
        if worst_latency(&self.running, state).is_none() {
            return Vec::new();
        }
        let filling = self.running.keys().filter(|run| {
            state
                .step(run.task.step)
                .is_some_and(|(step, _tasks)| step.fills)
        });
        let paces = filling.filter_map(|run| {
            let task = state.name_of(run.task)?;
            Some((task, run.run, self.pace.percent))
        });
        paces.collect()
    }
}

/// The worst latency among lasting tasks with a target, in percent of it; none where there is no such task.
fn worst_latency(running: &BTreeMap<RunKey, Running>, state: &Workload) -> Option<u64> {
    let latencies = running.iter().filter_map(|(run, seen)| {
        let (step, _tasks) = state.step(run.task.step)?;
        let target = step.latency_target_ms.filter(|_target| step.lasting)?;
        Some(seen.load?.saturating_mul(100) / target.get().max(1))
    });
    latencies.max()
}
