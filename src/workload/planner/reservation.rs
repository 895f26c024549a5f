//! Room that is kept for a step for which others leave: it comes free task by task, and whatever is
//! small would take it piece by piece.

use std::collections::BTreeMap;

use super::Planner;
use super::candidates::Slots;
use crate::units::{Millis, WorkerId};
use crate::workload::{Resources, StepKey, Workload};

/// The places that a step waits for.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Until when the room has come free, or others must leave too.
    pub(super) until_ms: Millis,
    /// A worker for each task.
    pub(super) places: Vec<WorkerId>,
}

/// What is kept on one slot in one look.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    at: usize,
    free: Resources,
    coming: Resources,
}

impl Planner {
    /// Forgets reservations that are over or whose step waits no more.
    pub(super) fn expire_reservations(&mut self, state: &Workload, now: Millis) {
        self.reservations.retain(|key, reservation| {
            let waits = state
                .step(*key)
                .is_some_and(|(_step, tasks)| tasks.pending_tasks() > 0);
            waits && now < reservation.until_ms
        });
    }

    /// Takes the reserved room out of the slots.
    pub(super) fn keep_reserved(
        &self,
        state: &Workload,
        slots: &mut Slots,
    ) -> BTreeMap<StepKey, Vec<Kept>> {
        if self.reservations.is_empty() {
            return BTreeMap::new();
        }
        let mut kept = BTreeMap::new();
        for (key, reservation) in &self.reservations {
            let Some((step, tasks)) = state.step(*key) else {
                continue;
            };
            let count = reservation.places.len().min(tasks.pending_tasks() as usize);
            kept.insert(
                *key,
                slots.keep_all(&reservation.places[..count], step.allocation()),
            );
        }
        kept
    }
}

impl Slots {
    /// Takes room out of a slot: first what others are about to leave.
    pub(super) fn keep(&mut self, at: usize, room: Resources) -> Kept {
        let slot = &mut self.all[at];
        let coming = room.min_each(slot.coming);
        let free = room.saturating_sub(coming).min_each(slot.free);
        slot.coming = slot.coming.saturating_sub(coming);
        slot.free = slot.free.saturating_sub(free);
        Kept { at, free, coming }
    }

    /// Takes room for one task out of the slot of each of these workers.
    pub(super) fn keep_all(&mut self, workers: &[WorkerId], room: Resources) -> Vec<Kept> {
        let positions = workers
            .iter()
            .filter_map(|worker| self.position(worker))
            .collect::<Vec<_>>();
        positions
            .into_iter()
            .map(|at| self.keep(at, room))
            .collect()
    }

    /// Where a worker's slot is; slots stand in the order of their workers.
    fn position(&self, worker: &WorkerId) -> Option<usize> {
        let found = self.all.binary_search_by(|slot| slot.worker.cmp(worker));
        found.ok()
    }

    /// Gives kept room back.
    pub(super) fn give_back(&mut self, kept: &[Kept]) {
        for kept in kept {
            let slot = &mut self.all[kept.at];
            slot.free = slot.free.saturating_add(kept.free);
            slot.coming = slot.coming.saturating_add(kept.coming);
        }
    }
}
