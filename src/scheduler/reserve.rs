//! Which cell a blocked gang keeps: the one that is expected to be free first.

use std::collections::BTreeMap;

use super::load::Load;
use super::reclaim::{Claim, ClaimKind};
use super::{RequeueCause, Scheduler};
use crate::release_note::Adjacency;
use crate::units::Millis;

/// How long a gang is blocked before it keeps a cell.
const RESERVE_AFTER_MS: Millis = Millis(10_000);

/// The shortest time between two looks for a cell.
const RESERVE_EVERY_MS: Millis = Millis(1_000);
/// Others are moved at once where they use at most one part in this many of the gang.
const MOVE_PART: u64 = 2;

/// Room for one more task on a worker from a time on.
type Opening = (Millis, u32);

impl Scheduler {
    /// Keeps the cell that frees first for a blocked gang.
    pub(super) fn reserve(&mut self, ordinal: u64, now: Millis) {
        let job = &self.jobs[&ordinal];
        if now.since(job.blocked_ms.unwrap_or(now)) < RESERVE_AFTER_MS {
            return;
        }
        if now.since(self.reserved_ms) < RESERVE_EVERY_MS {
            return;
        }
        self.reserved_ms = now;
        if self.options.defragment && self.move_small_gangs(ordinal, now) {
            return;
        }
        let job = &self.jobs[&ordinal];
        let tasks = job.record.spec.tasks as usize;
        let (load, adjacency) = (job.task_load(), job.record.spec.adjacency);
        let domains = self.reserve_domains(adjacency, load);
        let best = domains
            .iter()
            .filter_map(|domain| self.openings(domain, ordinal, load, tasks, now))
            .min_by_key(|openings| openings.last().copied());
        let Some(openings) = best else {
            if !self.jobs[&ordinal].record.spec.idempotent {
                self.vacate(ordinal, now);
            }
            return;
        };
        let until_ms = openings.last().map_or(now, |(at, _ix)| *at);
        let claim = Claim {
            team: self.jobs[&ordinal].record.spec.key.team.clone(),
            places: openings.into_iter().map(|(_at, ix)| ix).collect(),
            load,
            kind: ClaimKind::Reserve { until_ms },
            since_ms: now,
        };
        self.claims.insert(ordinal, claim, &mut self.pool);
        self.failed.clear();
        let sentence = "No cell holds the gang yet; the one that frees first is kept for it.";
        self.explain_job(ordinal, "reserved", sentence);
    }

    /// Moves gangs that are far smaller out of the cell that is cheapest to clear.
    fn move_small_gangs(&mut self, ordinal: u64, now: Millis) -> bool {
        let job = &self.jobs[&ordinal];
        if !job.record.spec.idempotent {
            return false;
        }
        let limit = job.accelerators() / MOVE_PART;
        let (load, team) = (job.task_load(), job.record.spec.key.team.clone());
        let cost = |s: &Self, ix: u32| {
            let free = s.pool.worker(ix).free().accelerators;
            let full = free >= s.pool.worker(ix).capacity.accelerators;
            if full { 0 } else { s.cost_of_clearing(ix) }
        };
        let choices = self.cheapest_places(ordinal, now, cost);
        let Some((cost, places)) = choices.into_iter().min() else {
            return false;
        };
        if cost > limit || !self.clear_places(ordinal, &places, load, &RequeueCause::Moved, now) {
            return false;
        }
        let claim = Claim {
            team,
            places,
            load,
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

    pub(super) fn reserve_domains(&self, adjacency: Adjacency, load: Load) -> Vec<Vec<u32>> {
        let fitting = |rack: &&u32| {
            let declared = self.pool.racks[**rack as usize].declared;
            declared.is_some_and(|declared| load.fits_in(declared))
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

    /// The earliest openings for all tasks in one domain; none where it is too small.
    fn openings(
        &self,
        domain: &[u32],
        ordinal: u64,
        load: Load,
        tasks: usize,
        now: Millis,
    ) -> Option<Vec<Opening>> {
        let mut openings = Vec::new();
        for ix in domain {
            let worker = self.pool.worker(*ix);
            if worker.usable(now) && self.accepts(*ix, worker, ordinal, now) {
                self.openings_of(*ix, ordinal, load, now, &mut openings);
            }
        }
        if openings.len() < tasks {
            return None;
        }
        openings.sort_unstable();
        openings.truncate(tasks);
        Some(openings)
    }

    fn openings_of(&self, ix: u32, ordinal: u64, load: Load, now: Millis, out: &mut Vec<Opening>) {
        let worker = self.pool.worker(ix);
        let spec = &self.jobs[&ordinal].record.spec;
        let mut limit = worker.capacity.minus(worker.foreign);
        if !spec.idempotent {
            limit = limit.min(worker.room_beside(&spec.key.team));
        }
        let claimed = self.claims.on(ix, ordinal, Millis::MAX, u64::MAX);
        let mut room = limit.minus(worker.used).minus(claimed);
        let mut ends: BTreeMap<(Millis, u64), Load> = BTreeMap::new();
        for (member, _index) in &worker.members {
            if let Some(gang) = self.gang(*member) {
                let held = ends
                    .entry((self.remaining_end(*member, now), *member))
                    .or_default();
                *held = held.plus(gang.load);
            }
        }
        let mut counted = load.times_in(room);
        out.extend((0..counted).map(|_task| (now, ix)));
        for ((at, _member), held) in ends {
            room = room.plus(held).min(limit.minus(claimed));
            let fits = load.times_in(room);
            out.extend((counted..fits).map(|_task| (at, ix)));
            counted = counted.max(fits);
        }
    }

    /// When a running gang is expected to end; one that runs over is expected to run half as long again.
    fn remaining_end(&self, ordinal: u64, now: Millis) -> Millis {
        let Some(gang) = self.gang(ordinal) else {
            return now;
        };
        let ran = if gang.started {
            now.since(gang.started_ms)
        } else {
            Millis::ZERO
        };
        let left = gang.expected_ms.since(ran).max(Millis(ran.0 / 2));
        now.saturating_add(left)
    }
}
