//! Status of teams, workers and queued jobs for operators.

use std::collections::BTreeMap;

use super::gang::Stage;
use super::{Scheduler, TeamStatus, WorkerStatus};
use crate::fleet::HealthState;
use crate::release_note::{ZoneSpec, ZoneState};
use crate::units::{Accelerators, TeamId};

impl Scheduler {
    /// The resources of each team, ordered by name.
    #[must_use]
    pub fn teams(&self) -> Vec<TeamStatus> {
        let runs = |stage: &Stage| matches!(stage, Stage::Running | Stage::Checkpointing { .. });
        let mut running: BTreeMap<&TeamId, u32> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.gang.as_ref().is_some_and(|gang| runs(&gang.stage)) {
                *running.entry(&job.record.spec.key.team).or_default() += 1;
            }
        }
        let teams = self.in_force.teams.keys();
        teams
            .map(|team| self.team_status(team, running.get(team).copied().unwrap_or(0)))
            .collect()
    }

    fn team_status(&self, team: &TeamId, running: u32) -> TeamStatus {
        let groups = self.bindings.of_team(team);
        let guaranteed = groups
            .map(|g| g.spec.count.saturating_mul(g.spec.accelerators.0))
            .fold(0, u32::saturating_add);
        // Reclaimable work also counts towards the guarantee, up to its size.
        let held = self.pool.team_usage(team);
        let held = held.non_preemptible.saturating_add(held.borrowed);
        let inside = held.min(u64::from(guaranteed));
        let (at_risk, risk_cause) = self.bindings.at_risk(team);
        TeamStatus {
            team: team.clone(),
            guaranteed: Accelerators(guaranteed),
            used: accelerators(inside),
            borrowed: accelerators(held - inside),
            at_risk: Accelerators(at_risk),
            risk_cause,
            waiting: u32::try_from(self.queue.len(team)).unwrap_or(u32::MAX),
            running,
        }
    }

    /// The state of each worker, ordered by name.
    #[must_use]
    pub fn workers(&self) -> Vec<WorkerStatus> {
        let now = self.now_ms;
        self.pool
            .known()
            .filter_map(|ix| {
                let worker = self.pool.worker(ix);
                let (zone, rack) = self.pool.location(ix)?;
                let (state, remaining_ms) = match worker.health.state {
                    _ if !worker.is_alive(now) => ("lost", None),
                    HealthState::Up => ("up", None),
                    HealthState::Quarantined { .. } => {
                        ("quarantined", worker.health.quarantine_remaining(now))
                    }
                    HealthState::Probing { .. } => ("probing", None),
                };
                Some(WorkerStatus {
                    worker: worker.id.clone(),
                    zone: zone.clone(),
                    rack: rack.clone(),
                    state: state.into(),
                    remaining_ms,
                    accelerators: Accelerators(worker.capacity.accelerators),
                    accelerators_used: Accelerators(worker.used.accelerators),
                    failures: worker.health.failures(),
                })
            })
            .collect()
    }

    /// The stable code and the sentence that explain why a job has no placement.
    pub(super) fn blocked_reason(&self, ordinal: u64) -> (&'static str, &'static str) {
        let spec = &self.jobs[&ordinal].record.spec;
        let out = |zone: &ZoneSpec| zone.state == ZoneState::Out;
        if self.in_force.zones.values().any(out) {
            return (
                "waits_for_zone",
                "No open zone has room; a zone is taken out.",
            );
        }
        if !spec.idempotent {
            let sentence = "It may not run again, so it waits for places that nobody can reclaim.";
            return ("waits_for_lasting_places", sentence);
        }
        if spec.accelerators.0 == 0 {
            return (
                "waits_for_cores",
                "No worker has the cores and memory free.",
            );
        }
        (
            "waits_for_cell",
            "No free cell holds the whole gang as close together as asked.",
        )
    }
}

fn accelerators(count: u64) -> Accelerators {
    Accelerators(u32::try_from(count).unwrap_or(u32::MAX))
}
