//! Keeps what each team has placed within the maximum of its declaration.
//!
//! Every run that may still use its worker counts, also one that is being stopped or that is on a
//! silent worker. A team at its maximum holds no other team back: its steps are passed over.

use std::collections::BTreeMap;

use super::Planner;
use crate::units::TeamId;
use crate::workload::{Job, Resources, RunKey, Step, Workload};

/// What each team may still place in one planning pass.
#[derive(Debug, Default)]
pub(super) struct TeamQuotas {
    remaining: BTreeMap<TeamId, Resources>,
}

impl TeamQuotas {
    /// The number of further tasks of a step, at most `most`, that the job's team may place.
    pub(super) fn allowed_tasks(
        &mut self,
        job: &Job,
        step: &Step,
        most: u32,
        state: &Workload,
    ) -> u32 {
        let Some(team) = &job.team else {
            return most;
        };
        let remaining = self.remaining_of(team, state);
        let allowed = step.demand.max_count_in(*remaining, u64::from(most));
        u32::try_from(allowed).unwrap_or(most)
    }

    /// Subtracts placed tasks from what their team may still place.
    pub(super) fn take(&mut self, job: &Job, step: &Step, tasks: usize, state: &Workload) {
        if let Some(team) = &job.team {
            let count = u64::try_from(tasks).unwrap_or(u64::MAX);
            let remaining = self.remaining_of(team, state);
            *remaining = remaining.saturating_sub(step.demand.saturating_mul(count));
        }
    }

    fn remaining_of(&mut self, team: &TeamId, state: &Workload) -> &mut Resources {
        let remaining = self.remaining.entry(team.clone());
        remaining.or_insert_with(|| state.team_headroom(team))
    }
}

impl Planner {
    /// Whether a run that has not started must wait because its team's maximum was lowered below
    /// what the team has placed.
    pub(super) fn is_over_maximum(state: &Workload, run: RunKey) -> bool {
        let job = state.job(run.task.step.job);
        let team = job.and_then(|job| job.team.as_ref());
        team.is_some_and(|team| state.exceeds_maximum(team))
    }
}
