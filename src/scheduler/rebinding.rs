//! Makes room for non-preemptible work by rebinding unused guarantees elsewhere.

use std::collections::BTreeSet;

use super::Scheduler;
use crate::units::Millis;

/// The minimum time between two attempts.
const REBINDING_INTERVAL_MS: Millis = Millis(1_000);

impl Scheduler {
    /// Rebinds unused guarantees of other teams so that a non-preemptible gang fits.
    pub(super) fn rebind_to_make_room(&mut self, ordinal: u64, now: Millis) -> bool {
        if now.since(self.last_rebinding_ms) < REBINDING_INTERVAL_MS {
            return false;
        }
        self.last_rebinding_ms = now;
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let bound = |s: &Self, ix: u32| u64::from(s.pool.worker(ix).bound());
        let mut choices: Vec<(u64, BTreeSet<u32>)> = self
            .cheapest_workers(ordinal, now, bound)
            .into_iter()
            .map(|(cost, workers)| (cost, workers.into_iter().collect()))
            .collect();
        choices.sort();
        let moved = choices.into_iter().any(|(_bound, set)| {
            self.bindings
                .rebind_away_from(&set, &team, &mut self.pool, now)
        });
        if moved {
            self.capacity_freed();
        }
        moved
    }

    /// For each domain that could hold the whole gang: the total cost and the cheapest workers.
    pub(super) fn cheapest_workers(
        &self,
        ordinal: u64,
        now: Millis,
        cost: impl Fn(&Self, u32) -> u64,
    ) -> Vec<(u64, Vec<u32>)> {
        let job = &self.jobs[&ordinal];
        let (resources, tasks) = (job.task_resources(), job.record.spec.tasks as usize);
        let domains = self.candidate_domains(job.record.spec.adjacency, resources);
        let workers_in = |domain: &Vec<u32>| {
            let mut candidates: Vec<(u64, u32, u32)> = domain
                .iter()
                .filter_map(|ix| {
                    let worker = self.pool.worker(*ix);
                    let room = worker
                        .room_after_reclaim()
                        .saturating_sub(self.claims.claimed_on(*ix, ordinal, now, u64::MAX));
                    let fits = resources.max_copies_in(room);
                    let is_usable =
                        worker.is_usable(now) && self.is_eligible(*ix, worker, ordinal, now);
                    (is_usable && fits > 0).then(|| (cost(self, *ix), *ix, fits))
                })
                .collect();
            candidates.sort_unstable();
            let (mut total, mut workers) = (0, Vec::new());
            for (cost, ix, fits) in candidates {
                let taken = (fits as usize).min(tasks - workers.len());
                if taken == 0 {
                    break;
                }
                workers.extend(std::iter::repeat_n(ix, taken));
                total += cost;
            }
            (workers.len() == tasks).then_some((total, workers))
        };
        domains.iter().filter_map(workers_in).collect()
    }
}
