//! Consistency checks for tests, to be run after every event.

use std::collections::BTreeMap;

use super::Scheduler;
use super::gang::TaskStatus;
use super::resources::Resources;
use crate::units::{Millis, TeamId};

impl Scheduler {
    /// Checks all allocations against the jobs, and that every bound guarantee can be reclaimed.
    ///
    /// It recounts everything from the gangs and is far slower than a scheduling decision.
    ///
    /// # Errors
    /// Describes the first violation.
    pub fn check_invariants(&self) -> std::result::Result<(), String> {
        self.check_allocations()?;
        self.check_bindings(self.now_ms)
    }

    /// Checks that the allocations of each worker equal the sum over the tasks of all gangs.
    fn check_allocations(&self) -> std::result::Result<(), String> {
        let mut used: BTreeMap<u32, Resources> = BTreeMap::new();
        let mut non_preemptible: BTreeMap<(u32, &TeamId), Resources> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(gang) = &job.gang else {
                continue;
            };
            for assignment in gang
                .assignments
                .iter()
                .filter(|assignment| assignment.status != TaskStatus::Gone)
            {
                let sum = used.entry(assignment.worker).or_default();
                *sum = sum.saturating_add(gang.resources);
                if gang.non_preemptible {
                    let sum = non_preemptible
                        .entry((assignment.worker, &job.record.spec.key.team))
                        .or_default();
                    *sum = sum.saturating_add(gang.resources);
                }
            }
        }
        for ix in self.pool.known() {
            let worker = self.pool.worker(ix);
            let counted = used.get(&ix).copied().unwrap_or_default();
            if worker.used != counted {
                return Err(format!(
                    "{}: {:?} held, {counted:?} counted",
                    worker.id, worker.used
                ));
            }
            for (team, holding) in &worker.holdings {
                let counted = non_preemptible
                    .get(&(ix, team))
                    .copied()
                    .unwrap_or_default();
                if holding.non_preemptible != counted {
                    return Err(format!(
                        "{}: {team} holds {holding:?}, not {counted:?}",
                        worker.id
                    ));
                }
            }
            let overfull = worker.used.accelerators > worker.reported_capacity.accelerators;
            let mut gangs = worker
                .members
                .iter()
                .filter_map(|member| self.gang(member.0));
            let adopted = gangs.any(|gang| gang.adopted);
            if worker.has_polled && worker.open && overfull && !adopted {
                return Err(format!(
                    "{}: {:?} of {:?} held",
                    worker.id, worker.used, worker.reported_capacity
                ));
            }
        }
        Ok(())
    }

    /// Checks that bound cells are on capacity which only reclaimable work uses.
    fn check_bindings(&self, now: Millis) -> std::result::Result<(), String> {
        let mut bound: BTreeMap<(u32, &TeamId), u32> = BTreeMap::new();
        for group in &self.bindings.groups {
            if group.cells.len() > group.spec.count as usize {
                return Err(format!("{}: more cells bound than guaranteed", group.team));
            }
            for ix in &group.cells {
                *bound.entry((*ix, &group.team)).or_default() += group.spec.accelerators.0;
            }
        }
        for ix in self.pool.known() {
            let worker = self.pool.worker(ix);
            for (team, holding) in &worker.holdings {
                let counted = bound.get(&(ix, team)).copied().unwrap_or(0);
                if holding.bound != counted {
                    return Err(format!(
                        "{}: {team} bound {counted}, not {holding:?}",
                        worker.id
                    ));
                }
            }
            if worker.is_usable(now) && !self.bindings.dirty && !worker.fits_reserved() {
                return Err(format!("{}: bound cells can't be reclaimed", worker.id));
            }
        }
        Ok(())
    }
}
