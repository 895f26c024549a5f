//! Gangs whose members do not all come to run: a worker fell silent between the decision and the order.

use tracing::warn;

use super::Planner;
use crate::units::Millis;
use crate::workload::{RunKey, StepKey, TaskKey, Workload};

/// How much of the members' waiting time may pass before the others are stopped, in percent.
const GATHER_PERCENT: u64 = 60;

impl Planner {
    /// Stops the members of gangs that have waited too long for one of theirs, before the workers
    /// give up by themselves.
    pub(super) fn stop_incomplete_gangs(&mut self, state: &Workload, now: Millis) {
        let patience = Millis(self.options.gang_wait_ms.get() * GATHER_PERCENT / 100);
        let gathering = std::mem::take(&mut self.gathering);
        for ((step, run), since_ms) in gathering {
            let missing = self.missing_members(step, run, state);
            match missing {
                Some(0) | None => {}
                Some(missing) if now.since(since_ms) >= patience => {
                    warn!(event = "gang_incomplete", step = %step, run, missing,
                        waited_ms = now.since(since_ms).get());
                    self.stop_run(step, run, state);
                }
                Some(_) => {
                    self.gathering.insert((step, run), since_ms);
                }
            }
        }
    }

    /// How many members are not known to run; none where the run is over.
    fn missing_members(&self, step: StepKey, run: u32, state: &Workload) -> Option<usize> {
        let (_step, tasks) = state.step(step)?;
        let is_present = tasks.placed as usize == tasks.tasks.len();
        let members = tasks.tasks.iter().zip(0_u32..);
        let missing = members.filter(|(task, index)| {
            let key = RunKey {
                task: TaskKey {
                    step,
                    index: *index,
                },
                run,
            };
            let worker = task.place.as_ref().map(|place| &place.worker);
            let worker = worker.and_then(|worker| self.workers.get(worker));
            !worker.is_some_and(|worker| worker.running.contains_key(&key))
        });
        let is_current = tasks.tasks.first().is_some_and(|task| task.run == run);
        (is_present && is_current).then(|| missing.count())
    }

    fn stop_run(&mut self, step: StepKey, run: u32, state: &Workload) {
        let Some((_step, tasks)) = state.step(step) else {
            return;
        };
        let indices = 0..u32::try_from(tasks.tasks.len()).unwrap_or_default();
        self.stopping.extend(indices.map(|index| RunKey {
            task: TaskKey { step, index },
            run,
        }));
    }
}
