//! Reserves for a blocked gang the cell that is expected to become free first.

use std::collections::BTreeMap;

use super::reclaim::{Claim, ClaimKind};
use super::resources::Resources;
use super::{RequeueCause, Scheduler};
use crate::release_note::Adjacency;
use crate::units::Millis;

/// How long a gang must be blocked before a cell is reserved for it.
const RESERVATION_DELAY_MS: Millis = Millis(10_000);

/// The minimum time between two searches for a cell to reserve.
const RESERVATION_INTERVAL_MS: Millis = Millis(1_000);
/// Other gangs are moved at once if together they use at most the blocked gang's accelerators
/// divided by this.
const SMALL_GANG_FRACTION: u64 = 2;

/// The time from which one more task fits on a worker.
type Opening = (Millis, u32);

impl Scheduler {
    /// Reserves the cell that becomes free first for a blocked gang.
    pub(super) fn reserve_cell(&mut self, ordinal: u64, now: Millis) {
        let job = &self.jobs[&ordinal];
        if now.since(job.blocked_since_ms.unwrap_or(now)) < RESERVATION_DELAY_MS {
            return;
        }
        if now.since(self.last_reservation_ms) < RESERVATION_INTERVAL_MS {
            return;
        }
        self.last_reservation_ms = now;
        if self.options.defragment && self.move_small_gangs(ordinal, now) {
            return;
        }
        let job = &self.jobs[&ordinal];
        let tasks = job.record.spec.tasks as usize;
        let (resources, adjacency) = (job.task_resources(), job.record.spec.adjacency);
        let domains = self.candidate_domains(adjacency, resources);
        let best = domains
            .iter()
            .filter_map(|domain| self.openings(domain, ordinal, resources, tasks, now))
            .min_by_key(|openings| openings.last().copied());
        let Some(openings) = best else {
            if !self.jobs[&ordinal].record.spec.idempotent {
                self.rebind_to_make_room(ordinal, now);
            }
            return;
        };
        let until_ms = openings.last().map_or(now, |(at, _ix)| *at);
        let claim = Claim {
            team: self.jobs[&ordinal].record.spec.key.team.clone(),
            workers: openings.into_iter().map(|(_at, ix)| ix).collect(),
            resources,
            kind: ClaimKind::Reserve { until_ms },
            since_ms: now,
        };
        self.claims.insert(ordinal, claim, &mut self.pool);
        self.unplaceable.clear();
        let sentence = "No cell holds the gang yet; the one that frees first is kept for it.";
        self.explain_job(ordinal, "reserved", sentence);
    }

    /// Moves much smaller gangs out of the workers that are cheapest to clear. Returns false if the
    /// cost is too high or room cannot be made.
    fn move_small_gangs(&mut self, ordinal: u64, now: Millis) -> bool {
        let job = &self.jobs[&ordinal];
        if !job.record.spec.idempotent {
            return false;
        }
        let limit = job.accelerators() / SMALL_GANG_FRACTION;
        let (resources, team) = (job.task_resources(), job.record.spec.key.team.clone());
        let cost = |s: &Self, ix: u32| {
            let free = s.pool.worker(ix).free().accelerators;
            let full = free >= s.pool.worker(ix).capacity.accelerators;
            if full { 0 } else { s.eviction_cost(ix) }
        };
        let choices = self.cheapest_workers(ordinal, now, cost);
        let Some((cost, workers)) = choices.into_iter().min() else {
            return false;
        };
        if cost > limit
            || !self.evict_borrowers(ordinal, &workers, resources, &RequeueCause::Moved, now)
        {
            return false;
        }
        let claim = Claim {
            team,
            workers,
            resources,
            kind: ClaimKind::Move,
            since_ms: now,
        };
        self.claims.insert(ordinal, claim, &mut self.pool);
        self.dirty = true;
        self.explain_job(
            ordinal,
            "moving",
            "Small gangs are moved so that the gang fits.",
        );
        true
    }

    pub(super) fn candidate_domains(
        &self,
        adjacency: Adjacency,
        resources: Resources,
    ) -> Vec<Vec<u32>> {
        let fitting = |rack: &&u32| {
            let declared = self.pool.racks[**rack as usize].declared;
            declared.is_some_and(|declared| resources.fits_in(declared))
        };
        let racks = || {
            self.pool
                .open_zones()
                .flat_map(|zone| &zone.racks)
                .filter(fitting)
        };
        let workers = |rack: &u32| self.pool.racks[*rack as usize].workers.clone();
        match adjacency {
            Adjacency::Worker => racks().flat_map(workers).map(|ix| vec![ix]).collect(),
            Adjacency::Rack => racks().map(workers).collect(),
            Adjacency::Zone => self
                .pool
                .open_zones()
                .map(|zone| {
                    zone.racks
                        .iter()
                        .filter(fitting)
                        .flat_map(workers)
                        .collect()
                })
                .collect(),
            Adjacency::Any => vec![racks().flat_map(workers).collect()],
        }
    }

    /// The earliest openings for all tasks in one domain, or `None` if the domain is too small.
    fn openings(
        &self,
        domain: &[u32],
        ordinal: u64,
        resources: Resources,
        tasks: usize,
        now: Millis,
    ) -> Option<Vec<Opening>> {
        let mut openings = Vec::new();
        for ix in domain {
            let worker = self.pool.worker(*ix);
            if worker.is_usable(now) && self.is_eligible(*ix, worker, ordinal, now) {
                self.openings_of(*ix, ordinal, resources, now, &mut openings);
            }
        }
        if openings.len() < tasks {
            return None;
        }
        openings.sort_unstable();
        openings.truncate(tasks);
        Some(openings)
    }

    fn openings_of(
        &self,
        ix: u32,
        ordinal: u64,
        resources: Resources,
        now: Millis,
        openings: &mut Vec<Opening>,
    ) {
        let worker = self.pool.worker(ix);
        let spec = &self.jobs[&ordinal].record.spec;
        let mut limit = worker.capacity.saturating_sub(worker.external_usage);
        if !spec.idempotent {
            limit = limit.min(worker.room_for_team(&spec.key.team));
        }
        let claimed = self.claims.claimed_on(ix, ordinal, Millis::MAX, u64::MAX);
        let mut room = limit.saturating_sub(worker.used).saturating_sub(claimed);
        let mut ends: BTreeMap<(Millis, u64), Resources> = BTreeMap::new();
        for (member, _index) in &worker.members {
            if let Some(gang) = self.gang(*member) {
                let held = ends
                    .entry((self.expected_end_of_running(*member, now), *member))
                    .or_default();
                *held = held.saturating_add(gang.resources);
            }
        }
        let mut counted = resources.max_copies_in(room);
        openings.extend((0..counted).map(|_task| (now, ix)));
        for ((at, _member), held) in ends {
            room = room.saturating_add(held).min(limit.saturating_sub(claimed));
            let fits = resources.max_copies_in(room);
            openings.extend((counted..fits).map(|_task| (at, ix)));
            counted = counted.max(fits);
        }
    }

    /// When a gang is expected to end. A gang that exceeds its expected run time is expected to run
    /// half as long again.
    fn expected_end_of_running(&self, ordinal: u64, now: Millis) -> Millis {
        let Some(gang) = self.gang(ordinal) else {
            return now;
        };
        let ran = if gang.started {
            now.since(gang.started_ms)
        } else {
            Millis::ZERO
        };
        let left = gang.expected_run_ms.since(ran).max(Millis(ran.0 / 2));
        now.saturating_add(left)
    }
}
