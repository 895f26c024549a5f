//! Room that is held for a step for which others leave: it comes free task by task, and whatever is
//! small would take it piece by piece.

use std::collections::BTreeMap;

use super::Planner;
use super::candidates::Candidates;
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

/// What is held on one candidate in one look.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldResources {
    at: usize,
    free: Resources,
    releasing: Resources,
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

    /// Takes the reserved room out of the candidates.
    pub(super) fn hold_reservations(
        &self,
        state: &Workload,
        candidates: &mut Candidates,
    ) -> BTreeMap<StepKey, Vec<HeldResources>> {
        if self.reservations.is_empty() {
            return BTreeMap::new();
        }
        let mut held = BTreeMap::new();
        for (key, reservation) in &self.reservations {
            let Some((step, tasks)) = state.step(*key) else {
                continue;
            };
            let count = reservation.places.len().min(tasks.pending_tasks() as usize);
            held.insert(
                *key,
                candidates.hold_on_workers(&reservation.places[..count], step.allocation()),
            );
        }
        held
    }
}

impl Candidates {
    /// Takes room out of a candidate: first what others are about to leave.
    pub(super) fn hold(&mut self, at: usize, room: Resources) -> HeldResources {
        let candidate = &mut self.all[at];
        let releasing = room.min_each(candidate.releasing);
        let free = room.saturating_sub(releasing).min_each(candidate.free);
        candidate.releasing = candidate.releasing.saturating_sub(releasing);
        candidate.free = candidate.free.saturating_sub(free);
        HeldResources {
            at,
            free,
            releasing,
        }
    }

    /// Takes room for one task out of the candidate of each of these workers.
    pub(super) fn hold_on_workers(
        &mut self,
        workers: &[WorkerId],
        room: Resources,
    ) -> Vec<HeldResources> {
        let positions = workers
            .iter()
            .filter_map(|worker| self.position(worker))
            .collect::<Vec<_>>();
        positions
            .into_iter()
            .map(|at| self.hold(at, room))
            .collect()
    }

    /// Where a worker's candidate is; candidates stand in the order of their workers.
    fn position(&self, worker: &WorkerId) -> Option<usize> {
        let found = self
            .all
            .binary_search_by(|candidate| candidate.worker.cmp(worker));
        found.ok()
    }

    /// Gives held room back.
    pub(super) fn release(&mut self, held: &[HeldResources]) {
        for held in held {
            let candidate = &mut self.all[held.at];
            candidate.free = candidate.free.saturating_add(held.free);
            candidate.releasing = candidate.releasing.saturating_add(held.releasing);
        }
    }
}
