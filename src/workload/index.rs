use std::collections::{BTreeMap, BTreeSet};

use super::job::Job;
use super::{JobNumber, Resources, Step, StepKey, TaskKey};
use crate::units::{JobId, TeamId, WallMs, WorkerId};

/// Lookups derived from the jobs, so that scheduling decisions need not scan all of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Index {
    by_id: BTreeMap<JobId, JobNumber>,
    open: BTreeSet<JobNumber>,
    ended: BTreeSet<(WallMs, JobNumber)>,
    workers: BTreeMap<WorkerId, WorkerLoad>,
    /// The total demand of each team's placed tasks, also of ended jobs.
    team_usage: BTreeMap<TeamId, Resources>,
}

/// The tasks placed on one worker and their total resources.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct WorkerLoad {
    tasks: BTreeSet<TaskKey>,
    allocated: Resources,
}

impl Index {
    pub(super) fn build(jobs: &BTreeMap<JobNumber, Job>) -> Self {
        let mut index = Self::default();
        for (number, job) in jobs {
            index.by_id.insert(job.id.clone(), *number);
            match job.ended_ms {
                Some(ended_ms) => index.ended.insert((ended_ms, *number)),
                None => index.open.insert(*number),
            };
            index.add_placements(*number, job);
        }
        index
    }

    fn add_placements(&mut self, job_number: JobNumber, job: &Job) {
        for (occurrence, state) in &job.occurrences {
            let steps = job.spec.steps.iter().zip(&state.steps).zip(0_u16..);
            for ((step, state), step_number) in steps {
                let key = StepKey {
                    job: job_number,
                    occurrence: *occurrence,
                    step: step_number,
                };
                for (task, index) in state.tasks.iter().zip(0_u32..) {
                    if let Some(placement) = &task.placement {
                        let task = TaskKey { step: key, index };
                        self.add_placement(&placement.worker, task, (job.team.as_ref(), step));
                    }
                }
            }
        }
    }

    pub(super) fn job_number(&self, id: &JobId) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    pub(super) fn open(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.open.iter().copied()
    }

    pub(super) fn insert_open(&mut self, id: &JobId, number: JobNumber) {
        self.by_id.insert(id.clone(), number);
        self.open.insert(number);
    }

    pub(super) fn move_to_ended(&mut self, number: JobNumber, now: WallMs) {
        self.open.remove(&number);
        self.ended.insert((now, number));
    }

    pub(super) fn oldest_ended(&self) -> Option<(WallMs, JobNumber)> {
        self.ended.first().copied()
    }

    pub(super) fn ended_len(&self) -> usize {
        self.ended.len()
    }

    pub(super) fn remove_ended(&mut self, ended_ms: WallMs, number: JobNumber) {
        self.ended.remove(&(ended_ms, number));
    }

    pub(super) fn remove_id(&mut self, id: &JobId, number: JobNumber) {
        if self.by_id.get(id) == Some(&number) {
            self.by_id.remove(id);
        }
    }

    pub(super) fn add_placement(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        (team, step): (Option<&TeamId>, &Step),
    ) {
        let load = self.workers.entry(worker.clone()).or_default();
        if !load.tasks.insert(task) {
            return;
        }
        load.allocated = load.allocated.saturating_add(step.allocation());
        if let Some(team) = team {
            let usage = self.team_usage.entry(team.clone()).or_default();
            *usage = usage.saturating_add(step.demand);
        }
    }

    pub(super) fn remove_placement(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        (team, step): (Option<&TeamId>, &Step),
    ) {
        let Some(load) = self.workers.get_mut(worker) else {
            return;
        };
        if load.tasks.remove(&task) {
            load.allocated = load.allocated.saturating_sub(step.allocation());
            if let Some(usage) = team.and_then(|team| self.team_usage.get_mut(team)) {
                *usage = usage.saturating_sub(step.demand);
            }
            if let Some(team) = team
                && self.team_usage.get(team) == Some(&Resources::ZERO)
            {
                self.team_usage.remove(team);
            }
        }
        if load.tasks.is_empty() {
            self.workers.remove(worker);
        }
    }

    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.keys()
    }

    pub(super) fn tasks_placed_on(&self, worker: &WorkerId) -> impl Iterator<Item = TaskKey> + '_ {
        let load = self.workers.get(worker);
        load.into_iter().flat_map(|load| load.tasks.iter().copied())
    }

    pub(super) fn allocated_on(&self, worker: &WorkerId) -> Resources {
        let load = self.workers.get(worker);
        load.map_or(Resources::ZERO, |load| load.allocated)
    }

    pub(super) fn team_usage(&self, team: &TeamId) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }
}
