//! A slow check of what must hold after every event, for tests.

use std::collections::BTreeMap;

use super::Scheduler;
use super::gang::Seen;
use super::load::Load;
use crate::units::{Millis, TeamId};

impl Scheduler {
    /// Checks all books against the jobs, and that every bound guarantee can be reclaimed.
    ///
    /// It recounts everything from the gangs and is far slower than a decision.
    ///
    /// # Errors
    /// The first thing that does not hold, in words.
    pub fn check_invariants(&self) -> std::result::Result<(), String> {
        self.check_books()?;
        self.check_bindings(self.now_ms)
    }

    /// What workers hold is what members of gangs hold.
    fn check_books(&self) -> std::result::Result<(), String> {
        let mut used: BTreeMap<u32, Load> = BTreeMap::new();
        let mut firm: BTreeMap<(u32, &TeamId), Load> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(gang) = &job.gang else {
                continue;
            };
            for place in gang.places.iter().filter(|place| place.seen != Seen::Gone) {
                let sum = used.entry(place.worker).or_default();
                *sum = sum.plus(gang.load);
                if gang.firm {
                    let sum = firm
                        .entry((place.worker, &job.record.spec.key.team))
                        .or_default();
                    *sum = sum.plus(gang.load);
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
                let counted = firm.get(&(ix, team)).copied().unwrap_or_default();
                if holding.firm != counted {
                    return Err(format!(
                        "{}: {team} holds {holding:?}, not {counted:?}",
                        worker.id
                    ));
                }
            }
            let overfull = worker.used.accelerators > worker.offered.accelerators;
            let mut gangs = worker
                .members
                .iter()
                .filter_map(|member| self.gang(member.0));
            let adopted = gangs.any(|gang| gang.adopted);
            if worker.heard && worker.open && overfull && !adopted {
                return Err(format!(
                    "{}: {:?} of {:?} held",
                    worker.id, worker.used, worker.offered
                ));
            }
        }
        Ok(())
    }

    /// Each bound cell stands on capacity that only work which may be reclaimed uses.
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
            if worker.usable(now) && !self.bindings.dirty && !worker.covers_bound() {
                return Err(format!("{}: bound cells can't be reclaimed", worker.id));
            }
        }
        Ok(())
    }
}
