use std::collections::BTreeMap;

use super::placement::PlacementRequest;
use super::resources::Resources;
use super::worker::Worker;
use crate::fleet::WorkerPoll;
use crate::release_note::{ClusterConfig, ZoneState};
use crate::units::{Accelerators, Cores, MemoryMb, Millis, RackId, TeamId, WorkerId, ZoneId};

/// The maximum number of known workers; further workers get no work.
const WORKERS_MAX: usize = 20_000;
/// How long a silent worker without tasks is remembered, together with its health.
const WORKER_RETENTION_MS: Millis = Millis(24 * 3_600_000);

/// A rack and its known workers.
#[derive(Debug)]
pub(super) struct Rack {
    pub(super) zone: u32,
    pub(super) workers: Vec<u32>,
    /// Resources that the release notes declare for each worker; `None` if the rack is not
    /// declared.
    pub(super) declared: Option<Resources>,
    /// Number of workers that the release notes declare.
    declared_worker_count: u32,
    /// Upper bound, per resource, of what is free on any one worker.
    free_max: Resources,
    /// Whether `free_max` must be recomputed because resources may have been freed.
    stale: bool,
}

/// An availability zone.
#[derive(Debug)]
pub(super) struct Zone {
    pub(super) id: ZoneId,
    pub(super) racks: Vec<u32>,
    /// Whether work may start in the zone.
    pub(super) open: bool,
}

/// All known workers with their allocations, by rack and zone.
#[derive(Debug, Default)]
pub(super) struct WorkerPool {
    pub(super) workers: Vec<Worker>,
    pub(super) racks: Vec<Rack>,
    pub(super) zones: Vec<Zone>,
    by_id: BTreeMap<WorkerId, u32>,
    rack_index: BTreeMap<(ZoneId, RackId), u32>,
    vacant_indices: Vec<u32>,
    team_usages: BTreeMap<TeamId, TeamUsage>,
}

/// Accelerators held by a team's gangs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamUsage {
    /// Accelerators that cannot be reclaimed.
    pub(super) non_preemptible: u64,
    /// Accelerators that can be reclaimed.
    pub(super) borrowed: u64,
}

impl TeamUsage {
    const fn counter(&mut self, non_preemptible: bool) -> &mut u64 {
        if non_preemptible {
            &mut self.non_preemptible
        } else {
            &mut self.borrowed
        }
    }
}

impl WorkerPool {
    pub(super) fn find(&self, id: &WorkerId) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    pub(super) fn worker(&self, ix: u32) -> &Worker {
        &self.workers[ix as usize]
    }

    pub(super) fn worker_mut(&mut self, ix: u32) -> &mut Worker {
        &mut self.workers[ix as usize]
    }

    pub(super) fn known(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_id.values().copied()
    }

    /// Applies the declared zones and racks.
    pub(super) fn declare(&mut self, in_force: &ClusterConfig) {
        for zone in &mut self.zones {
            zone.open = false;
        }
        for rack in &mut self.racks {
            rack.declared = None;
        }
        for (zone, spec) in &in_force.zones {
            for rack in &spec.racks {
                let ix = self.ensure_rack(zone, &rack.name);
                self.racks[ix as usize].declared = Some(Resources {
                    accelerators: rack.accelerators.0,
                    cores: rack.cores.0,
                    memory_mb: rack.memory_mb.0,
                });
                self.racks[ix as usize].declared_worker_count = rack.workers;
                let zone_ix = self.racks[ix as usize].zone as usize;
                self.zones[zone_ix].open = spec.state == ZoneState::In;
            }
        }
        for ix in 0..self.workers.len() {
            self.limit_capacity(ix);
        }
        for rack in &mut self.racks {
            rack.stale = true;
        }
    }

    /// Limits a worker's capacity to what its rack declares.
    fn limit_capacity(&mut self, ix: usize) {
        let worker = &mut self.workers[ix];
        let rack = &self.racks[worker.rack as usize];
        let zone = &self.zones[rack.zone as usize];
        worker.open = zone.open && rack.declared.is_some();
        worker.capacity = worker
            .reported_capacity
            .min(rack.declared.unwrap_or(Resources::ZERO));
    }

    fn ensure_rack(&mut self, zone: &ZoneId, rack: &RackId) -> u32 {
        let key = (zone.clone(), rack.clone());
        if let Some(ix) = self.rack_index.get(&key) {
            return *ix;
        }
        let zone_ix = self.ensure_zone(zone);
        let ix = index(self.racks.len());
        self.racks.push(Rack {
            zone: zone_ix,
            workers: Vec::new(),
            declared: None,
            declared_worker_count: 0,
            free_max: Resources::ZERO,
            stale: true,
        });
        self.zones[zone_ix as usize].racks.push(ix);
        self.rack_index.insert(key, ix);
        ix
    }

    fn ensure_zone(&mut self, zone: &ZoneId) -> u32 {
        if let Some(at) = self.zones.iter().position(|known| known.id == *zone) {
            return index(at);
        }
        self.zones.push(Zone {
            id: zone.clone(),
            racks: Vec::new(),
            open: false,
        });
        index(self.zones.len() - 1)
    }

    /// Returns the worker of a poll, adding it if it is new. Returns `None` if its rack is not
    /// declared or the pool is full.
    pub(super) fn register(&mut self, poll: &WorkerPoll) -> Option<u32> {
        let key = (poll.zone.clone(), poll.rack.clone());
        let rack = self.rack_index.get(&key).copied();
        if let Some(ix) = self.by_id.get(&poll.worker).copied() {
            if let Some(rack) = rack {
                self.move_to_rack(ix, rack);
            }
            return Some(ix);
        }
        if self.by_id.len() >= WORKERS_MAX {
            return None;
        }
        Some(self.add(poll.worker.clone(), rack?))
    }

    /// Returns the index of a known rack.
    pub(super) fn find_rack(&self, zone: &ZoneId, rack: &RackId) -> Option<u32> {
        let key = (zone.clone(), rack.clone());
        self.rack_index.get(&key).copied()
    }

    /// Whether every declared worker is usable and offers what is declared for it.
    pub(super) fn all_declared_workers_usable(&self, now: Millis) -> bool {
        self.racks.iter().all(|rack| {
            let Some(declared) = rack.declared else {
                return true;
            };
            let workers = rack.workers.iter().map(|ix| self.worker(*ix));
            let complete = workers.filter(|w| w.is_usable(now) && w.capacity == declared);
            complete.count() >= rack.declared_worker_count as usize
        })
    }

    /// Returns the index of a worker known from the durable state, adding it if it has not polled
    /// yet.
    pub(super) fn ensure_worker(&mut self, id: &WorkerId) -> u32 {
        if let Some(ix) = self.find(id) {
            return ix;
        }
        let undeclared_zone = "undeclared".parse().expect("the name is a valid id");
        let undeclared_rack = "undeclared".parse().expect("the name is a valid id");
        let rack = self.ensure_rack(&undeclared_zone, &undeclared_rack);
        self.add(id.clone(), rack)
    }

    fn add(&mut self, id: WorkerId, rack: u32) -> u32 {
        let worker = Worker::new(id.clone(), rack);
        let ix = if let Some(ix) = self.vacant_indices.pop() {
            self.workers[ix as usize] = worker;
            ix
        } else {
            self.workers.push(worker);
            index(self.workers.len() - 1)
        };
        self.by_id.insert(id, ix);
        self.racks[rack as usize].workers.push(ix);
        self.limit_capacity(ix as usize);
        ix
    }

    fn move_to_rack(&mut self, ix: u32, rack: u32) {
        let old = self.worker(ix).rack;
        if old == rack {
            return;
        }
        self.racks[old as usize].workers.retain(|w| *w != ix);
        self.racks[rack as usize].workers.push(ix);
        self.worker_mut(ix).rack = rack;
        self.limit_capacity(ix as usize);
    }

    /// Marks the upper bounds of a worker's rack for recomputation after a change in the worker's
    /// allocations or usage.
    pub(super) fn mark_rack_stale(&mut self, ix: u32) {
        let rack = self.worker(ix).rack as usize;
        self.racks[rack].stale = true;
    }

    /// Recomputes the upper bounds of changed racks. During a pass free resources only shrink, so
    /// the bounds stay valid.
    pub(super) fn refresh_racks(&mut self) {
        for rack in self.racks.iter_mut().filter(|rack| rack.stale) {
            rack.stale = false;
            let free = rack
                .workers
                .iter()
                .map(|ix| self.workers[*ix as usize].free());
            rack.free_max = free.fold(Resources::ZERO, Resources::max);
        }
    }

    /// Whether some worker of a rack may hold a task, judging by upper bounds only.
    pub(super) fn may_fit(&self, rack: u32, request: &PlacementRequest) -> bool {
        let rack = &self.racks[rack as usize];
        let may_fit_free = !request.free_only || request.resources.fits_in(rack.free_max);
        may_fit_free
            && rack
                .declared
                .is_some_and(|declared| request.resources.fits_in(declared))
    }

    /// Stores the capacity that a worker reported.
    pub(super) fn set_reported_capacity(&mut self, ix: u32, reported_capacity: Resources) {
        self.worker_mut(ix).reported_capacity = reported_capacity;
        self.mark_rack_stale(ix);
        self.limit_capacity(ix as usize);
    }

    /// Removes workers that have been silent for long and hold nothing.
    pub(super) fn remove_silent_workers(&mut self, now: Millis) {
        let silent: Vec<u32> = self
            .known()
            .filter(|ix| {
                let worker = self.worker(*ix);
                worker.members.is_empty() && now.since(worker.last_poll_ms) > WORKER_RETENTION_MS
            })
            .collect();
        for ix in silent {
            let (id, rack) = (self.worker(ix).id.clone(), self.worker(ix).rack);
            self.by_id.remove(&id);
            self.racks[rack as usize].workers.retain(|w| *w != ix);
            self.vacant_indices.push(ix);
        }
    }

    /// Allocates a task's resources on a worker.
    pub(super) fn allocate(
        &mut self,
        ix: u32,
        member: (u64, u32),
        team: &TeamId,
        allocation: Allocation,
    ) {
        let worker = self.worker_mut(ix);
        worker.used = worker.used.saturating_add(allocation.resources);
        worker.members.insert(member);
        if allocation.non_preemptible {
            let holding = worker.holdings.entry(team.clone()).or_default();
            holding.non_preemptible = holding.non_preemptible.saturating_add(allocation.resources);
        }
        let team_usage = self.team_usages.entry(team.clone()).or_default();
        *team_usage.counter(allocation.non_preemptible) +=
            u64::from(allocation.resources.accelerators);
    }

    /// Releases the resources of a task that is gone.
    pub(super) fn release(
        &mut self,
        ix: u32,
        member: (u64, u32),
        team: &TeamId,
        allocation: Allocation,
        now: Millis,
    ) {
        self.mark_rack_stale(ix);
        let worker = self.worker_mut(ix);
        if !worker.members.remove(&member) {
            return;
        }
        worker.used = worker.used.saturating_sub(allocation.resources);
        worker.released.push((now, allocation.resources));
        if let Some(team_usage) = self.team_usages.get_mut(team) {
            let counter = team_usage.counter(allocation.non_preemptible);
            *counter = counter.saturating_sub(u64::from(allocation.resources.accelerators));
        }
        let worker = &mut self.workers[ix as usize];
        if !allocation.non_preemptible {
            return;
        }
        if let Some(holding) = worker.holdings.get_mut(team) {
            holding.non_preemptible = holding.non_preemptible.saturating_sub(allocation.resources);
        }
        worker.drop_empty_holdings();
    }

    pub(super) fn team_usage(&self, team: &TeamId) -> TeamUsage {
        self.team_usages.get(team).copied().unwrap_or_default()
    }

    /// Zones in which work may start.
    pub(super) fn open_zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.iter().filter(|zone| zone.open)
    }

    /// The zone of a worker.
    pub(super) fn zone(&self, ix: u32) -> &Zone {
        let rack = self.worker(ix).rack as usize;
        &self.zones[self.racks[rack].zone as usize]
    }

    /// The names of a worker's zone and rack.
    pub(super) fn location(&self, ix: u32) -> Option<(&ZoneId, &RackId)> {
        let rack = self.worker(ix).rack;
        self.rack_index
            .iter()
            .find(|(_names, rack_ix)| **rack_ix == rack)
            .map(|((zone, rack), _ix)| (zone, rack))
    }
}

/// Resources allocated to one task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allocation {
    pub(super) resources: Resources,
    pub(super) non_preemptible: bool,
}

/// Converts a position to an index. The numbers of workers, racks and zones are limited far below
/// 2^32.
pub(super) fn index(at: usize) -> u32 {
    u32::try_from(at).expect("there are fewer than 2^32 slots")
}

impl From<Resources> for crate::fleet::WorkerCapacity {
    fn from(resources: Resources) -> Self {
        Self {
            accelerators: Accelerators(resources.accelerators),
            cores: Cores(resources.cores),
            memory_mb: MemoryMb(resources.memory_mb),
        }
    }
}
