//! Room for work that may not run again: unused guarantees are bound elsewhere.

use std::collections::BTreeSet;

use super::Scheduler;
use super::load::Load;
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
        let job = &self.jobs[&ordinal];
        let (load, tasks) = (job.task_load(), job.record.spec.tasks);
        let team = job.record.spec.key.team.clone();
        let domains = self.reserve_domains(job.record.spec.adjacency);
        let mut choices: Vec<(u32, BTreeSet<u32>)> = domains
            .iter()
            .filter_map(|domain| self.cheapest_set(domain, ordinal, load, tasks, now))
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

    /// The workers of a domain that would hold all tasks with the fewest bound accelerators.
    fn cheapest_set(
        &self,
        domain: &[u32],
        ordinal: u64,
        load: Load,
        tasks: u32,
        now: Millis,
    ) -> Option<(u32, BTreeSet<u32>)> {
        let mut workers: Vec<(u32, u32, u32)> = domain
            .iter()
            .filter_map(|ix| {
                let worker = self.pool.worker(*ix);
                let fits = load.times_in(worker.reclaimable());
                let usable = worker.usable(now) && self.accepts(*ix, worker, ordinal, now);
                (usable && fits > 0).then_some((worker.bound(), *ix, fits))
            })
            .collect();
        workers.sort_unstable();
        let (mut bound, mut held, mut set) = (0, 0, BTreeSet::new());
        for (cells, ix, fits) in workers {
            if held >= tasks {
                break;
            }
            bound += cells;
            held = fits.saturating_add(held);
            set.insert(ix);
        }
        (held >= tasks).then_some((bound, set))
    }
}
