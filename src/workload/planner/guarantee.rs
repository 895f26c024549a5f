//! Determines which urgent jobs may claim guaranteed accelerators: those of teams whose urgent jobs
//! together need no more than the team's guarantee.

use std::collections::{BTreeMap, BTreeSet};

use crate::units::TeamId;
use crate::workload::{Job, Workload};

/// The teams whose open urgent jobs all fit into their guarantee.
#[derive(Debug, Default)]
pub(super) struct GuaranteeCoverage {
    covered: BTreeSet<TeamId>,
}

impl GuaranteeCoverage {
    pub(super) fn of(state: &Workload) -> Self {
        let Some(declaration) = state.declaration() else {
            return Self::default();
        };
        let mut needed: BTreeMap<&TeamId, u64> = BTreeMap::new();
        for (_number, job) in state.open_jobs() {
            let Some(team) = job.team.as_ref().filter(|_team| is_urgent(job)) else {
                continue;
            };
            let steps = job.spec.steps.iter();
            let accelerators = steps.map(|step| {
                step.demand
                    .saturating_mul(u64::from(step.tasks))
                    .accelerators
            });
            let of_team = needed.entry(team).or_default();
            *of_team = of_team.saturating_add(accelerators.fold(0, u64::saturating_add));
        }
        let covered = needed
            .into_iter()
            .filter(|(team, needed)| *needed <= declaration.guaranteed_accelerators(team));
        Self {
            covered: covered.map(|(team, _needed)| team.clone()).collect(),
        }
    }

    /// Whether the job is urgent and its team's guarantee covers it.
    pub(super) fn covers(&self, job: &Job) -> bool {
        let team = job.team.as_ref();
        is_urgent(job) && team.is_some_and(|team| self.covered.contains(team))
    }
}

/// Whether the job has the highest priority.
pub(super) const fn is_urgent(job: &Job) -> bool {
    job.policy.priority == 0
}
