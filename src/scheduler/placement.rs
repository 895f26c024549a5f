//! Finds workers for a gang: best fit in the smallest cell, within the requested adjacency.

use super::pool::WorkerPool;
use super::resources::Resources;
use super::worker::Worker;
use crate::release_note::Adjacency;

/// The shape of a gang to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest {
    pub(super) tasks: u32,
    pub(super) resources: Resources,
    pub(super) adjacency: Adjacency,
    /// Whether to search for the best fit instead of the first.
    pub(super) best_fit: bool,
    /// Whether only free resources count, so that full racks can be skipped at once.
    pub(super) free_only: bool,
}

/// A worker that can hold some of the tasks.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: u32,
    fits: u32,
    room: Resources,
}

/// The candidates of one rack.
type RackCandidates = Vec<Candidate>;

/// Finds a worker for each task, or returns `None` if the whole gang fits nowhere.
pub(super) fn find_placement(
    pool: &WorkerPool,
    request: &PlacementRequest,
    room: impl Fn(u32, &Worker) -> Option<Resources>,
) -> Option<Vec<u32>> {
    let zones: Vec<Vec<RackCandidates>> = pool
        .open_zones()
        .map(|zone| {
            let racks = zone
                .racks
                .iter()
                .filter(|rack| pool.may_fit(**rack, request));
            let racks = racks.map(|rack| rack_candidates(pool, *rack, request, &room));
            racks.filter(|candidates| !candidates.is_empty()).collect()
        })
        .collect();
    if let Some(workers) = in_one_worker(&zones, request) {
        return Some(workers);
    }
    if request.adjacency == Adjacency::Worker {
        return None;
    }
    if let Some(workers) = in_one_rack(&zones, request) {
        return Some(workers);
    }
    if request.adjacency == Adjacency::Rack {
        return None;
    }
    if let Some(workers) = in_one_zone(&zones, request) {
        return Some(workers);
    }
    if request.adjacency == Adjacency::Zone {
        return None;
    }
    let all: Vec<RackCandidates> = zones.into_iter().flatten().collect();
    fill(&all, request)
}

fn rack_candidates(
    pool: &WorkerPool,
    rack: u32,
    request: &PlacementRequest,
    room: &impl Fn(u32, &Worker) -> Option<Resources>,
) -> RackCandidates {
    let workers = pool.racks[rack as usize].workers.iter();
    workers
        .filter_map(|ix| {
            let worker = pool.worker(*ix);
            let room = room(*ix, worker)?;
            let fits = request.resources.max_copies_in(room);
            let candidate = Candidate {
                worker: *ix,
                fits,
                room,
            };
            (fits > 0).then_some(candidate)
        })
        .collect()
}

/// The sort key for best fit: the resources available on a candidate, of which fewer are better.
fn best_fit_key(candidate: &Candidate) -> (u32, u32, u64) {
    (
        candidate.room.accelerators,
        candidate.room.cores,
        candidate.room.memory_mb,
    )
}

fn total_tasks(candidates: &[Candidate]) -> u32 {
    candidates
        .iter()
        .map(|candidate| candidate.fits)
        .fold(0, u32::saturating_add)
}

fn total_room(candidates: &[Candidate]) -> (u32, u32) {
    let accelerators = candidates
        .iter()
        .map(|candidate| candidate.room.accelerators);
    let cores = candidates.iter().map(|candidate| candidate.room.cores);
    (
        accelerators.fold(0, u32::saturating_add),
        cores.fold(0, u32::saturating_add),
    )
}

fn in_one_worker(zones: &[Vec<RackCandidates>], request: &PlacementRequest) -> Option<Vec<u32>> {
    let mut candidates = zones.iter().flatten().flatten();
    let holds = |candidate: &&Candidate| candidate.fits >= request.tasks;
    let candidate = if request.best_fit {
        candidates
            .filter(holds)
            .min_by_key(|candidate| best_fit_key(candidate))
    } else {
        candidates.find(holds)
    };
    candidate.map(|candidate| vec![candidate.worker; request.tasks as usize])
}

fn in_one_rack(zones: &[Vec<RackCandidates>], request: &PlacementRequest) -> Option<Vec<u32>> {
    let mut racks = zones.iter().flatten();
    let holds = |candidates: &&RackCandidates| total_tasks(candidates) >= request.tasks;
    let rack = if request.best_fit {
        racks
            .filter(holds)
            .min_by_key(|candidates| total_room(candidates))
    } else {
        racks.find(holds)
    };
    fill(std::slice::from_ref(rack?), request)
}

fn in_one_zone(zones: &[Vec<RackCandidates>], request: &PlacementRequest) -> Option<Vec<u32>> {
    let tasks = |racks: &[RackCandidates]| {
        racks
            .iter()
            .map(|candidates| total_tasks(candidates))
            .fold(0, u32::saturating_add)
    };
    let mut zones = zones.iter();
    let zone = if request.best_fit {
        let holding = zones.filter(|racks| tasks(racks) >= request.tasks);
        holding.min_by_key(|racks| tasks(racks))
    } else {
        zones.find(|racks| tasks(racks) >= request.tasks)
    };
    fill(zone?, request)
}

/// Picks the fewest workers that hold all tasks, and the last of them by best fit.
fn fill(racks: &[RackCandidates], request: &PlacementRequest) -> Option<Vec<u32>> {
    let mut racks: Vec<&RackCandidates> = racks.iter().collect();
    if request.best_fit {
        racks.sort_by_key(|candidates| std::cmp::Reverse(total_tasks(candidates)));
    }
    let mut workers = Vec::with_capacity(request.tasks as usize);
    for candidates in racks {
        fill_from(candidates, request, &mut workers);
        if workers.len() == request.tasks as usize {
            return Some(workers);
        }
    }
    None
}

fn fill_from(candidates: &[Candidate], request: &PlacementRequest, workers: &mut Vec<u32>) {
    let mut candidates = candidates.to_vec();
    if request.best_fit {
        candidates
            .sort_by_key(|candidate| (std::cmp::Reverse(candidate.fits), best_fit_key(candidate)));
    }
    let mut candidates = candidates.into_iter().peekable();
    while let Some(candidate) = candidates.next() {
        let missing = request.tasks as usize - workers.len();
        let fits = candidate.fits as usize;
        if request.best_fit && fits > missing {
            let rest = std::iter::once(candidate).chain(candidates);
            let holding = rest.filter(|candidate| candidate.fits as usize >= missing);
            if let Some(last) = holding.min_by_key(best_fit_key) {
                workers.extend(std::iter::repeat_n(last.worker, missing));
            }
            return;
        }
        workers.extend(std::iter::repeat_n(candidate.worker, fits.min(missing)));
        if workers.len() == request.tasks as usize {
            return;
        }
    }
}
