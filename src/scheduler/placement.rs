//! Which workers hold a gang: best fit in the smallest cell, as close together as asked.

use super::load::Load;
use super::pool::Pool;
use super::worker::Worker;
use crate::release_note::Adjacency;

/// What a gang asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) tasks: u32,
    pub(super) load: Load,
    pub(super) adjacency: Adjacency,
    /// Whether to look for the best place rather than the first.
    pub(super) best_fit: bool,
    /// Whether only what is free counts, so that full racks can be left out at once.
    pub(super) free_only: bool,
}

/// A worker that can hold some of the tasks.
#[derive(Clone, Copy, Debug)]
struct Slot {
    worker: u32,
    fits: u32,
    room: Load,
}

/// Slots of one rack.
type RackSlots = Vec<Slot>;

/// Finds a worker for each task, or none where the gang fits nowhere as a whole.
pub(super) fn find(
    pool: &Pool,
    ask: &Ask,
    room: impl Fn(u32, &Worker) -> Option<Load>,
) -> Option<Vec<u32>> {
    let zones: Vec<Vec<RackSlots>> = pool
        .open_zones()
        .map(|zone| {
            let racks = zone.racks.iter().filter(|rack| pool.may_hold(**rack, ask));
            let racks = racks.map(|rack| rack_slots(pool, *rack, ask, &room));
            racks.filter(|slots| !slots.is_empty()).collect()
        })
        .collect();
    if let Some(places) = in_one_worker(&zones, ask) {
        return Some(places);
    }
    if ask.adjacency == Adjacency::Worker {
        return None;
    }
    if let Some(places) = in_one_rack(&zones, ask) {
        return Some(places);
    }
    if ask.adjacency == Adjacency::Rack {
        return None;
    }
    if let Some(places) = in_one_zone(&zones, ask) {
        return Some(places);
    }
    if ask.adjacency == Adjacency::Zone {
        return None;
    }
    let all: Vec<RackSlots> = zones.into_iter().flatten().collect();
    fill(&all, ask)
}

fn rack_slots(
    pool: &Pool,
    rack: u32,
    ask: &Ask,
    room: &impl Fn(u32, &Worker) -> Option<Load>,
) -> RackSlots {
    let workers = pool.racks[rack as usize].workers.iter();
    workers
        .filter_map(|ix| {
            let worker = pool.worker(*ix);
            let room = room(*ix, worker)?;
            let fits = ask.load.times_in(room);
            let slot = Slot {
                worker: *ix,
                fits,
                room,
            };
            (fits > 0).then_some(slot)
        })
        .collect()
}

/// What stays unused in a slot; smaller is the better fit.
fn leftover(slot: &Slot) -> (u32, u32, u64) {
    (slot.room.accelerators, slot.room.cores, slot.room.memory_mb)
}

fn sum(slots: &[Slot]) -> u32 {
    slots
        .iter()
        .map(|slot| slot.fits)
        .fold(0, u32::saturating_add)
}

fn room_of(slots: &[Slot]) -> (u32, u32) {
    let accelerators = slots.iter().map(|slot| slot.room.accelerators);
    let cores = slots.iter().map(|slot| slot.room.cores);
    (
        accelerators.fold(0, u32::saturating_add),
        cores.fold(0, u32::saturating_add),
    )
}

fn in_one_worker(zones: &[Vec<RackSlots>], ask: &Ask) -> Option<Vec<u32>> {
    let mut slots = zones.iter().flatten().flatten();
    let holds = |slot: &&Slot| slot.fits >= ask.tasks;
    let slot = if ask.best_fit {
        slots.filter(holds).min_by_key(|slot| leftover(slot))
    } else {
        slots.find(holds)
    };
    slot.map(|slot| vec![slot.worker; ask.tasks as usize])
}

fn in_one_rack(zones: &[Vec<RackSlots>], ask: &Ask) -> Option<Vec<u32>> {
    let mut racks = zones.iter().flatten();
    let holds = |slots: &&RackSlots| sum(slots) >= ask.tasks;
    let rack = if ask.best_fit {
        racks.filter(holds).min_by_key(|slots| room_of(slots))
    } else {
        racks.find(holds)
    };
    fill(std::slice::from_ref(rack?), ask)
}

fn in_one_zone(zones: &[Vec<RackSlots>], ask: &Ask) -> Option<Vec<u32>> {
    let tasks = |racks: &[RackSlots]| {
        racks
            .iter()
            .map(|slots| sum(slots))
            .fold(0, u32::saturating_add)
    };
    let mut zones = zones.iter();
    let zone = if ask.best_fit {
        let holding = zones.filter(|racks| tasks(racks) >= ask.tasks);
        holding.min_by_key(|racks| tasks(racks))
    } else {
        zones.find(|racks| tasks(racks) >= ask.tasks)
    };
    fill(zone?, ask)
}

/// Takes the fewest workers that hold all tasks, the last one by best fit.
fn fill(racks: &[RackSlots], ask: &Ask) -> Option<Vec<u32>> {
    let mut racks: Vec<&RackSlots> = racks.iter().collect();
    if ask.best_fit {
        racks.sort_by_key(|slots| std::cmp::Reverse(sum(slots)));
    }
    let mut places = Vec::with_capacity(ask.tasks as usize);
    for slots in racks {
        fill_from(slots, ask, &mut places);
        if places.len() == ask.tasks as usize {
            return Some(places);
        }
    }
    None
}

fn fill_from(slots: &[Slot], ask: &Ask, places: &mut Vec<u32>) {
    let mut slots = slots.to_vec();
    if ask.best_fit {
        slots.sort_by_key(|slot| (std::cmp::Reverse(slot.fits), leftover(slot)));
    }
    let mut slots = slots.into_iter().peekable();
    while let Some(slot) = slots.next() {
        let missing = ask.tasks as usize - places.len();
        let fits = slot.fits as usize;
        if ask.best_fit && fits > missing {
            let rest = std::iter::once(slot).chain(slots);
            let holding = rest.filter(|slot| slot.fits as usize >= missing);
            if let Some(last) = holding.min_by_key(leftover) {
                places.extend(std::iter::repeat_n(last.worker, missing));
            }
            return;
        }
        places.extend(std::iter::repeat_n(slot.worker, fits.min(missing)));
        if places.len() == ask.tasks as usize {
            return;
        }
    }
}
