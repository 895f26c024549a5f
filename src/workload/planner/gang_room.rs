//! Keeps workers for a blocked gang until enough of them are free.
//!
//! Load pattern: under overload, single tasks of a less urgent queue take each accelerator as it
//! becomes free, and a gang of whole workers never finds enough of them at the same time. The
//! workers with the least in use are therefore left to the gang; beyond these, single tasks run
//! everywhere. A fixed share of the fleet is theirs in any case, so that their queue is not starved
//! either.

use std::collections::BTreeMap;

use super::candidates::{Candidate, Candidates, PlacementRequest};
use super::pending::PendingStep;
use crate::workload::{Resources, Step, Workload};

/// The part of all resources that work of one priority may hold although more urgent gangs are
/// blocked, in percent.
const LOWER_PRIORITY_PERCENT: u64 = 15;
/// The number of blocked gangs for which workers are kept in one pass.
const BLOCKED_GANGS_MAX: usize = 8;

/// The gangs that a planning pass could not place, and what each priority holds.
#[derive(Debug, Default)]
pub(super) struct GangRoom {
    blocked: usize,
    usage: Option<BTreeMap<u32, Resources>>,
}

/// The limits that blocked gangs put on a step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KeptRoom {
    /// The step's priority; workers that are kept for more urgent gangs are closed to it.
    priority: u32,
    /// The number of tasks that may use such workers nevertheless.
    exempt_tasks: u64,
}

impl GangRoom {
    /// Keeps workers for a gang that could not be placed.
    pub(super) fn keep_for(
        &mut self,
        pending: &PendingStep,
        request: &PlacementRequest<'_>,
        candidates: &mut Candidates,
    ) {
        if self.blocked < BLOCKED_GANGS_MAX {
            self.blocked += 1;
            candidates.keep_workers(request, pending.priority);
        }
    }

    /// The limits that more urgent blocked gangs put on a step.
    pub(super) fn kept_from(
        &mut self,
        pending: &PendingStep,
        step: &Step,
        state: &Workload,
        candidates: &Candidates,
    ) -> KeptRoom {
        let priority = pending.priority;
        if self.blocked == 0 {
            return KeptRoom {
                priority,
                ..KeptRoom::default()
            };
        }
        let usage = self.usage.get_or_insert_with(|| usage_by_priority(state));
        let used = usage.get(&priority).copied().unwrap_or_default();
        let share = candidates.capacity.percent(LOWER_PRIORITY_PERCENT);
        let left = share.saturating_sub(used);
        KeptRoom {
            priority,
            exempt_tasks: step.allocation().max_count_in(left, u64::from(step.tasks)),
        }
    }

    /// Counts the placed tasks of a step for its priority.
    pub(super) fn take(&mut self, pending: &PendingStep, step: &Step, tasks: usize) {
        if let Some(usage) = &mut self.usage {
            let used = usage.entry(pending.priority).or_default();
            let count = u64::try_from(tasks).unwrap_or(u64::MAX);
            *used = used.saturating_add(step.allocation().saturating_mul(count));
        }
    }
}

impl KeptRoom {
    /// Whether a worker is kept for a gang that is more urgent.
    pub(super) fn covers(self, candidate: &Candidate) -> bool {
        candidate.kept_for.is_some_and(|kept| kept < self.priority)
    }

    /// Whether further tasks may use kept workers.
    pub(super) const fn allows_exempt_task(self) -> bool {
        self.exempt_tasks > 0
    }

    /// Counts a task that is placed on this worker.
    pub(super) fn place_on(&mut self, candidate: &Candidate) {
        if self.covers(candidate) {
            self.exempt_tasks = self.exempt_tasks.saturating_sub(1);
        }
    }
}

impl Candidates {
    /// Keeps the workers with the least in use that could hold the gang together if they were free,
    /// in one rack where that is possible.
    fn keep_workers(&mut self, request: &PlacementRequest<'_>, priority: u32) {
        let mut chosen: Option<(u64, Vec<usize>)> = None;
        for members in self.racks.values() {
            let choice = self.least_used(members, request);
            chosen = match (chosen, choice) {
                (Some(best), Some(other)) if other.0 < best.0 => Some(other),
                (best, other) => best.or(other),
            };
        }
        if chosen.is_none() {
            let all: Vec<usize> = (0..self.all.len()).collect();
            chosen = self.least_used(&all, request);
        }
        for at in chosen.map(|(_in_use, chosen)| chosen).unwrap_or_default() {
            self.all[at].kept_for = Some(priority);
        }
    }

    /// The workers among these with the least in use that could hold the gang, and what is in use
    /// on them, in percent of a worker each.
    fn least_used(
        &self,
        members: &[usize],
        request: &PlacementRequest<'_>,
    ) -> Option<(u64, Vec<usize>)> {
        let mut usable: Vec<(u64, usize, u32)> = members
            .iter()
            .map(|at| (*at, &self.all[*at]))
            .filter(|(_at, candidate)| {
                candidate.kept_for.is_none() && request.is_open(candidate, self)
            })
            .map(|(at, candidate)| {
                let in_use = candidate.capacity.saturating_sub(candidate.free);
                let tasks = request.fitting_tasks(candidate, candidate.capacity);
                (in_use.percent_of(candidate.capacity), at, tasks)
            })
            .filter(|(_in_use, _at, tasks)| *tasks > 0)
            .collect();
        usable.sort_unstable();
        let mut missing = request.tasks;
        let mut total_in_use = 0;
        let mut chosen = Vec::new();
        for (in_use, at, tasks) in usable {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(tasks);
            total_in_use += in_use;
            chosen.push(at);
        }
        (missing == 0).then_some((total_in_use, chosen))
    }
}

/// What the placed runs of open jobs hold, by priority.
fn usage_by_priority(state: &Workload) -> BTreeMap<u32, Resources> {
    let mut usage: BTreeMap<u32, Resources> = BTreeMap::new();
    for (_number, job) in state.open_jobs() {
        let of_priority = usage.entry(job.policy.priority).or_default();
        for occurrence in job.occurrences.values() {
            for (step, progress) in job.spec.steps.iter().zip(&occurrence.steps) {
                let held = step.allocation().saturating_mul(u64::from(progress.placed));
                *of_priority = of_priority.saturating_add(held);
            }
        }
    }
    usage
}
