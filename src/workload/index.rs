use std::collections::{BTreeMap, BTreeSet};

use super::job::Job;
use super::{JobNumber, Resources, StepKey, TaskKey};
use crate::units::{JobId, WallMs, WorkerId};

/// What is derived from the jobs, so that no decision has to read all of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Index {
    by_id: BTreeMap<JobId, JobNumber>,
    open: BTreeSet<JobNumber>,
    ended: BTreeSet<(WallMs, JobNumber)>,
    workers: BTreeMap<WorkerId, Placed>,
}

/// What has a place on one worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Placed {
    tasks: BTreeSet<TaskKey>,
    used: Resources,
}

impl Index {
    pub(super) fn of(jobs: &BTreeMap<JobNumber, Job>) -> Self {
        let mut index = Self::default();
        for (number, job) in jobs {
            index.by_id.insert(job.id.clone(), *number);
            match job.ended_ms {
                Some(ended_ms) => index.ended.insert((ended_ms, *number)),
                None => index.open.insert(*number),
            };
            index.add_places(*number, job);
        }
        index
    }

    fn add_places(&mut self, job_number: JobNumber, job: &Job) {
        for (occurrence, state) in &job.occurrences {
            let steps = job.spec.steps.iter().zip(&state.steps).zip(0_u16..);
            for ((step, state), step_number) in steps {
                let key = StepKey {
                    job: job_number,
                    occurrence: *occurrence,
                    step: step_number,
                };
                for (task, index) in state.tasks.iter().zip(0_u32..) {
                    if let Some(place) = &task.placement {
                        let task = TaskKey { step: key, index };
                        self.placed(&place.worker, task, step.allocation());
                    }
                }
            }
        }
    }

    pub(super) fn number_of(&self, id: &JobId) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    pub(super) fn open(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.open.iter().copied()
    }

    pub(super) fn accepted(&mut self, id: &JobId, number: JobNumber) {
        self.by_id.insert(id.clone(), number);
        self.open.insert(number);
    }

    pub(super) fn closed(&mut self, number: JobNumber, now: WallMs) {
        self.open.remove(&number);
        self.ended.insert((now, number));
    }

    pub(super) fn oldest_ended(&self) -> Option<(WallMs, JobNumber)> {
        self.ended.first().copied()
    }

    pub(super) fn ended_len(&self) -> usize {
        self.ended.len()
    }

    pub(super) fn forget(&mut self, ended_ms: WallMs, number: JobNumber) {
        self.ended.remove(&(ended_ms, number));
    }

    pub(super) fn forget_id(&mut self, id: &JobId, number: JobNumber) {
        if self.by_id.get(id) == Some(&number) {
            self.by_id.remove(id);
        }
    }

    pub(super) fn placed(&mut self, worker: &WorkerId, task: TaskKey, room: Resources) {
        let placed = self.workers.entry(worker.clone()).or_default();
        if placed.tasks.insert(task) {
            placed.used = placed.used.saturating_add(room);
        }
    }

    pub(super) fn ended(&mut self, worker: &WorkerId, task: TaskKey, room: Resources) {
        let Some(placed) = self.workers.get_mut(worker) else {
            return;
        };
        if placed.tasks.remove(&task) {
            placed.used = placed.used.saturating_sub(room);
        }
        if placed.tasks.is_empty() {
            self.workers.remove(worker);
        }
    }

    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.keys()
    }

    pub(super) fn placed_on(&self, worker: &WorkerId) -> impl Iterator<Item = TaskKey> + '_ {
        let placed = self.workers.get(worker);
        placed
            .into_iter()
            .flat_map(|placed| placed.tasks.iter().copied())
    }

    pub(super) fn used_on(&self, worker: &WorkerId) -> Resources {
        let placed = self.workers.get(worker);
        placed.map_or(Resources::ZERO, |placed| placed.used)
    }
}
