//! Reserves reclaimed resources for the step that they were reclaimed for. They become free task by
//! task, and smaller pending tasks would otherwise take them.

use std::collections::BTreeMap;

use super::Planner;
use super::candidates::Candidates;
use crate::units::{Millis, WorkerId};
use crate::workload::{Resources, StepKey, Workload};

/// The workers on which a step waits for resources.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// When the reservation expires, so that other victims can be chosen.
    pub(super) until_ms: Millis,
    /// One entry for each task to place.
    pub(super) workers: Vec<WorkerId>,
}

/// Resources held on one candidate during a planning pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldResources {
    at: usize,
    free: Resources,
    releasing: Resources,
}

impl Planner {
    /// Drops reservations that have expired or whose step has no pending tasks.
    pub(super) fn expire_reservations(&mut self, state: &Workload, now: Millis) {
        self.reservations.retain(|key, reservation| {
            let waits = state
                .step(*key)
                .is_some_and(|(_step, tasks)| tasks.pending_tasks() > 0);
            waits && now < reservation.until_ms
        });
    }

    /// Subtracts the reserved resources from the candidates.
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
            let count = reservation
                .workers
                .len()
                .min(tasks.pending_tasks() as usize);
            held.insert(
                *key,
                candidates.hold_on_workers(&reservation.workers[..count], step.allocation()),
            );
        }
        held
    }
}

impl Candidates {
    /// Holds resources on a candidate, first those that are being released and then free ones.
    pub(super) fn hold(&mut self, at: usize, resources: Resources) -> HeldResources {
        let candidate = &mut self.all[at];
        let releasing = resources.min_each(candidate.releasing);
        let free = resources.saturating_sub(releasing).min_each(candidate.free);
        candidate.releasing = candidate.releasing.saturating_sub(releasing);
        candidate.free = candidate.free.saturating_sub(free);
        HeldResources {
            at,
            free,
            releasing,
        }
    }

    /// Holds resources for one task on each of these workers, which may repeat.
    pub(super) fn hold_on_workers(
        &mut self,
        workers: &[WorkerId],
        resources: Resources,
    ) -> Vec<HeldResources> {
        let positions = workers
            .iter()
            .filter_map(|worker| self.position(worker))
            .collect::<Vec<_>>();
        positions
            .into_iter()
            .map(|at| self.hold(at, resources))
            .collect()
    }

    /// The position of a worker's candidate; candidates are sorted by worker id.
    fn position(&self, worker: &WorkerId) -> Option<usize> {
        let found = self
            .all
            .binary_search_by(|candidate| candidate.worker.cmp(worker));
        found.ok()
    }

    /// Returns held resources to the candidates.
    pub(super) fn release(&mut self, held: &[HeldResources]) {
        if !held.is_empty() {
            self.unfitting.clear();
        }
        for held in held {
            let candidate = &mut self.all[held.at];
            candidate.free = candidate.free.saturating_add(held.free);
            candidate.releasing = candidate.releasing.saturating_add(held.releasing);
        }
    }
}
