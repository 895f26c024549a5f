//! Room for work that may not run again: unused guarantees are bound elsewhere.

use std::collections::BTreeSet;

use super::Scheduler;
use crate::units::Millis;

/// The shortest time between two tries.
const VACATE_EVERY_MS: Millis = Millis(1_000);

impl Scheduler {
    /// Binds unused guarantees elsewhere so that a gang which can't be reclaimed fits beside them.
    pub(super) fn vacate(&mut self, ordinal: u64, now: Millis) -> bool {
        if now.since(self.vacated_ms) < VACATE_EVERY_MS {
            return false;
        }
        self.vacated_ms = now;
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let bound = |s: &Self, ix: u32| u64::from(s.pool.worker(ix).bound());
        let mut choices: Vec<(u64, BTreeSet<u32>)> = self
            .cheapest_places(ordinal, now, bound)
            .into_iter()
            .map(|(cost, places)| (cost, places.into_iter().collect()))
            .collect();
        choices.sort();
        let moved = choices
            .into_iter()
            .any(|(_bound, set)| self.bindings.vacate(&set, &team, &mut self.pool, now));
        if moved {
            self.freed();
        }
        moved
    }

    /// For each domain that could hold the whole gang, its cheapest places and what they cost.
    pub(super) fn cheapest_places(
        &self,
        ordinal: u64,
        now: Millis,
        cost: impl Fn(&Self, u32) -> u64,
    ) -> Vec<(u64, Vec<u32>)> {
        let job = &self.jobs[&ordinal];
        let (load, tasks) = (job.task_load(), job.record.spec.tasks as usize);
        let domains = self.reserve_domains(job.record.spec.adjacency, load);
        let places_in = |domain: &Vec<u32>| {
            let mut workers: Vec<(u64, u32, u32)> = domain
                .iter()
                .filter_map(|ix| {
                    let worker = self.pool.worker(*ix);
                    let room =
                        worker
                            .reclaimable()
                            .minus(self.claims.on(*ix, ordinal, now, u64::MAX));
                    let fits = load.times_in(room);
                    let usable = worker.usable(now) && self.accepts(*ix, worker, ordinal, now);
                    (usable && fits > 0).then(|| (cost(self, *ix), *ix, fits))
                })
                .collect();
            workers.sort_unstable();
            let (mut total, mut places) = (0, Vec::new());
            for (cost, ix, fits) in workers {
                let taken = (fits as usize).min(tasks - places.len());
                if taken == 0 {
                    break;
                }
                places.extend(std::iter::repeat_n(ix, taken));
                total += cost;
            }
            (places.len() == tasks).then_some((total, places))
        };
        domains.iter().filter_map(places_in).collect()
    }
}
