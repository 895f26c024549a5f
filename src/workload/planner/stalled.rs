//! Detects tasks that make no progress on workers that report normally. They are stopped and
//! restarted elsewhere, because waiting for them would make their jobs late.
//!
//! Workers report progress in whole percent, so a task of hours shows none for minutes. A run is
//! therefore judged by the time that it needs for a percent, as far as that is known. Where nothing
//! is known yet, each stop of the task doubles the time that its next run gets for its first
//! percent, so that a task of any length ends.
//!
//! Load pattern: tasks on some workers hang while the workers report as usual. A gang with a hung
//! member runs until its other members are done and then waits for it, so a member that shows no
//! progress is judged against the others: once they have progressed without it, it hangs.

use std::collections::{BTreeMap, BTreeSet};

use tracing::warn;

use super::Planner;
use super::worker::RunProgress;
use crate::units::{Millis, WallMs, WorkerId};
use crate::workload::{RunKey, Step, StepKey, TaskKey, Workload};

/// The least time for which a task may show no progress. Tasks of up to a minute show some more
/// often.
const STALL_TIMEOUT_MS: Millis = Millis(1_500);
/// A run has stalled if it shows no progress for this many times the time that it needs for a
/// percent.
const STALL_PERCENTS: u64 = 3;
/// The maximum number of times the time for the first percent is doubled, which covers days.
const DOUBLINGS_MAX: u32 = 20;
/// How long a step avoids a worker on which it stalled.
const AVOID_WORKER_MS: Millis = Millis(8_000);

/// The workers that each step avoids, each with the time until which it does.
#[derive(Debug, Default)]
pub(super) struct AvoidedWorkers {
    by_step: BTreeMap<StepKey, BTreeMap<WorkerId, Millis>>,
}

/// How often each task was stopped before its first percent.
#[derive(Debug, Default)]
pub(super) struct EarlyStalls {
    by_task: BTreeMap<TaskKey, u32>,
}

impl EarlyStalls {
    fn first_percent_timeout(&self, task: TaskKey) -> Millis {
        let doublings = self.by_task.get(&task).copied().unwrap_or(0);
        Millis(STALL_TIMEOUT_MS.get() << doublings.min(DOUBLINGS_MAX))
    }

    fn add(&mut self, task: TaskKey) {
        *self.by_task.entry(task).or_default() += 1;
    }

    fn forget_ended(&mut self, state: &Workload) {
        self.by_task
            .retain(|task, _stops| state.task(*task).is_some_and(|task| !task.done));
    }
}

/// A run to stop because it shows no progress.
#[derive(Clone, Copy, Debug)]
struct Stall {
    run: RunKey,
    /// The time without progress after which it counts as stalled.
    after_ms: Millis,
    /// Whether other members of its gang progress, so that its own worker is at fault.
    hangs_alone: bool,
}

impl RunProgress {
    /// The most time that the run can have needed for each percent so far; zero if it shows none.
    ///
    /// `job_age_ms` bounds the age of a run that an earlier leader started.
    fn ms_per_percent(&self, job_age_ms: Millis) -> u64 {
        let gained = u64::from(self.percent.saturating_sub(self.first_percent));
        let watched_ms = self.last_progress_ms.since(self.first_seen_ms).get();
        if !self.is_inherited {
            return watched_ms / gained.max(1);
        }
        let by_age = job_age_ms
            .get()
            .checked_div(u64::from(self.percent))
            .unwrap_or(0);
        // The first percent was under way when the run was first seen.
        let watched = gained.checked_sub(1).filter(|whole| *whole > 0);
        watched.map_or(by_age, |whole| by_age.min(watched_ms / whole))
    }
}

impl AvoidedWorkers {
    pub(super) fn expire(&mut self, now: Millis) {
        self.by_step.retain(|_step, workers| {
            workers.retain(|_worker, until_ms| now < *until_ms);
            !workers.is_empty()
        });
    }

    /// The workers that a step avoids now.
    pub(super) fn for_step(&self, step: StepKey) -> BTreeSet<WorkerId> {
        let avoided = self.by_step.get(&step);
        avoided
            .map(|workers| workers.keys().cloned().collect())
            .unwrap_or_default()
    }

    fn add(&mut self, step: StepKey, worker: WorkerId, now: Millis) {
        let workers = self.by_step.entry(step).or_default();
        workers.insert(worker, now.saturating_add(AVOID_WORKER_MS));
    }
}

impl Planner {
    /// Stops tasks that show no progress; a gang is stopped as a whole.
    pub(super) fn stop_stalled(&mut self, state: &Workload, now: Millis, wall: WallMs) {
        self.avoided.expire(now);
        self.early_stalls.forget_ended(state);
        for stall in self.stalls(state, now, wall) {
            let run = stall.run;
            let Some((step, tasks)) = state.step(run.task.step) else {
                continue;
            };
            let percent = self.progress(run, state).map(|seen| seen.percent);
            warn!(event = "run_stalled", run = %run, gang = step.gang,
                after_ms = stall.after_ms.get(), percent, hangs_alone = stall.hangs_alone);
            // Members of a gang need not be equal, so a first percent that is late beside others
            // that progress may only need longer.
            if percent == Some(0) {
                self.early_stalls.add(stall_key(run, step));
            }
            let all = 0..u32::try_from(tasks.tasks.len()).unwrap_or_default();
            let own = run.task.index..run.task.index + 1;
            let avoided = if step.gang && !stall.hangs_alone {
                all.clone()
            } else {
                own.clone()
            };
            for (task, index) in tasks.tasks.iter().zip(0_u32..) {
                if let Some(place) = task.placement.as_ref().filter(|_| avoided.contains(&index)) {
                    self.avoided.add(run.task.step, place.worker.clone(), now);
                }
            }
            // A first percent that is late may only mean that the task is long. Once a task has
            // progressed, or others progress beside it, its worker is at fault. Best-effort work
            // also stands still where other tasks use all processor time.
            let is_evidence =
                stall.hangs_alone || (!step.gang && !step.best_effort_cpu && percent > Some(0));
            let place = tasks.tasks.get(run.task.index as usize);
            let place = place.and_then(|task| task.placement.as_ref());
            if let Some(place) = place.filter(|_| is_evidence) {
                self.record_worker_failure(&place.worker, now);
            }
            let stopped = if step.gang { all } else { own };
            self.stopping.extend(stopped.map(|index| RunKey {
                task: TaskKey { index, ..run.task },
                run: run.run,
            }));
        }
    }

    /// Returns the runs without progress, one for each gang.
    fn stalls(&self, state: &Workload, now: Millis, wall: WallMs) -> Vec<Stall> {
        let mut stalled = Vec::new();
        let mut gangs = BTreeSet::new();
        for (id, worker) in &self.workers {
            for (run, seen) in &worker.running {
                let silent_ms = worker.last_report_ms.since(seen.last_progress_ms);
                if silent_ms < STALL_TIMEOUT_MS || self.stopping.contains(run) {
                    continue;
                }
                let Some((step, _tasks)) = state.step(run.task.step) else {
                    continue;
                };
                let timeout_ms = self.stall_timeout(*run, seen, state, now, wall);
                if silent_ms < timeout_ms {
                    continue;
                }
                let gang = (run.task.step, run.run);
                if step.long_running || self.starting_gangs.contains_key(&gang) {
                    continue;
                }
                if step.best_effort_cpu && self.pacing.is_paced_lately(id, now) {
                    continue;
                }
                let hangs_alone = self.hangs_alone(*run, seen, timeout_ms, state);
                let is_stalled = hangs_alone || self.is_whole_run_stalled(*run, state, now, wall);
                if is_stalled && (!step.gang || gangs.insert(gang)) {
                    stalled.push(Stall {
                        run: *run,
                        after_ms: timeout_ms,
                        hangs_alone,
                    });
                }
            }
        }
        stalled
    }

    /// Whether other members of the gang have progressed for half of the time-out or longer after
    /// this one last did, so that it does not wait for any of them. A member that has reached 100
    /// percent waits for the others.
    fn hangs_alone(
        &self,
        run: RunKey,
        seen: &RunProgress,
        timeout_ms: Millis,
        state: &Workload,
    ) -> bool {
        let Some((step, tasks)) = state.step(run.task.step) else {
            return false;
        };
        if !step.gang || seen.percent >= 100 {
            return false;
        }
        let since_ms = seen
            .last_progress_ms
            .saturating_add(Millis(timeout_ms.get() / 2));
        let members = 0..u32::try_from(tasks.tasks.len()).unwrap_or_default();
        members.into_iter().any(|index| {
            let member = RunKey {
                task: TaskKey { index, ..run.task },
                run: run.run,
            };
            self.progress(member, state).is_some_and(|other| {
                other.percent > other.first_percent && other.last_progress_ms >= since_ms
            })
        })
    }

    /// How long a run may show no progress.
    pub(super) fn stall_timeout(
        &self,
        run: RunKey,
        seen: &RunProgress,
        state: &Workload,
        now: Millis,
        wall: WallMs,
    ) -> Millis {
        let (Some(job), Some((step, _tasks))) =
            (state.job(run.task.step.job), state.step(run.task.step))
        else {
            return STALL_TIMEOUT_MS;
        };
        let age_ms = wall.since(job.due_ms(run.task.step.occurrence));
        let age_ms = age_ms.since(now.since(seen.last_progress_ms));
        let expected = self.run_times.estimate(job, step).get() / 100;
        let per_percent = expected.max(seen.ms_per_percent(age_ms));
        let known = Millis(per_percent.saturating_mul(STALL_PERCENTS));
        let least = if seen.percent == 0 {
            self.early_stalls
                .first_percent_timeout(stall_key(run, step))
        } else {
            STALL_TIMEOUT_MS
        };
        least.max(known)
    }

    /// The progress of a placed run, if its worker lists it.
    pub(super) fn progress(&self, run: RunKey, state: &Workload) -> Option<&RunProgress> {
        let place = state.task(run.task)?.placement.as_ref()?;
        self.workers.get(&place.worker)?.running.get(&run)
    }

    /// Whether all members of a gang have stalled, so that none was just waiting for another;
    /// always true for a single task.
    fn is_whole_run_stalled(
        &self,
        run: RunKey,
        state: &Workload,
        now: Millis,
        wall: WallMs,
    ) -> bool {
        let Some((step, tasks)) = state.step(run.task.step) else {
            return false;
        };
        if !step.gang {
            return true;
        }
        let members = 0..u32::try_from(tasks.tasks.len()).unwrap_or_default();
        members.into_iter().all(|index| {
            let key = RunKey {
                task: TaskKey {
                    step: run.task.step,
                    index,
                },
                run: run.run,
            };
            self.progress(key, state).is_some_and(|seen| {
                let timeout_ms = self.stall_timeout(key, seen, state, now, wall);
                now.since(seen.last_progress_ms) >= timeout_ms
            })
        })
    }
}

/// The task by which the stops of a run are counted; the members of a gang share one.
const fn stall_key(run: RunKey, step: &Step) -> TaskKey {
    TaskKey {
        index: if step.gang { 0 } else { run.task.index },
        ..run.task
    }
}
