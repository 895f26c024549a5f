//! Chooses workers for tasks by best fit, close to their data and to each other as the step
//! requires.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::Planner;
use super::gang_room::KeptRoom;
use super::speeds::SpeedClass;
use crate::units::{Millis, ServiceName, WorkerId};
use crate::workload::{Resources, Step, StepState, WorkerIncarnation, Workload};

/// A worker that can take tasks now, with its free resources.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) worker: WorkerId,
    pub(super) incarnation: WorkerIncarnation,
    pub(super) service: ServiceName,
    pub(super) rack: Option<SmolStr>,
    pub(super) labels: Vec<SmolStr>,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// Resources still allocated to runs that are being stopped.
    pub(super) releasing: Resources,
    /// Whether its rack is reserved for urgent work.
    pub(super) for_urgent: bool,
    /// The priority of the blocked gang for which the worker is kept.
    pub(super) kept_for: Option<u32>,
    /// Whether gangs are placed on the worker last.
    pub(super) unreliable: bool,
    pub(super) speed: SpeedClass,
    /// The images of its runs that are known to interfere with some other image.
    pub(super) images: Vec<SmolStr>,
}

/// The workers that can take tasks in one planning pass, sorted by id.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates {
    pub(super) all: Vec<Candidate>,
    /// The positions of the candidates of each rack.
    pub(super) racks: BTreeMap<Option<SmolStr>, Vec<usize>>,
    /// Gangs that did not fit in this pass, with the smallest number of members tried.
    pub(super) unfitting: Vec<(GangShape, u32)>,
    /// The resources of all candidates.
    pub(super) capacity: Resources,
    /// What is allocated of `capacity`.
    pub(super) in_use: Resources,
    /// Whether some candidates are slower than others.
    pub(super) has_slow: bool,
}

/// What decides, besides the number of members, whether a gang fits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct GangShape {
    service: ServiceName,
    allocation: Resources,
    label: Option<SmolStr>,
    data_rack: Option<SmolStr>,
    per_worker_max: Option<u32>,
    avoided: BTreeSet<WorkerId>,
    any_location: bool,
    is_urgent: bool,
}

impl GangShape {
    fn of(request: &PlacementRequest<'_>) -> Self {
        Self {
            service: request.service.clone(),
            allocation: request.step.allocation(),
            label: request.step.label.clone(),
            data_rack: request.step.data_rack.clone(),
            per_worker_max: request.step.per_worker_max,
            avoided: request.avoided.clone(),
            any_location: request.any_location,
            is_urgent: request.is_urgent,
        }
    }
}

/// What is to be placed: single tasks of a step or a whole gang.
#[derive(Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) step: &'a Step,
    pub(super) service: &'a ServiceName,
    pub(super) tasks: u32,
    /// The number of tasks of the step on each worker; empty when the step sets no limit per
    /// worker.
    pub(super) tasks_per_worker: BTreeMap<WorkerId, u32>,
    /// Workers on which the step stalled.
    pub(super) avoided: BTreeSet<WorkerId>,
    /// Whether the tasks may run away from their data, or a gang in several racks.
    pub(super) any_location: bool,
    /// Whether the tasks may use racks that are reserved for urgent work.
    pub(super) is_urgent: bool,
    /// The room that single tasks leave to blocked gangs.
    pub(super) kept_room: KeptRoom,
    /// Images that interfere with the step's image, with the slowdown in percent.
    pub(super) slowdowns: BTreeMap<SmolStr, u64>,
}

impl Planner {
    /// Returns the workers that can take tasks now.
    pub(super) fn candidates(&self, state: &Workload, now: Millis) -> Candidates {
        let releasing = self.releasing(state);
        let usable = self.workers.iter().filter(|(_id, worker)| {
            !worker.draining
                && worker.deregistered_ms.is_none()
                && !worker
                    .former_life
                    .as_ref()
                    .is_some_and(|former| former.may_hear_answers(now))
                && !worker.has_unknown_runs
                && state.is_zone_open(&worker.zone)
                && self.is_reachable(worker, now)
                && now >= worker.quarantined_until_ms
        });
        let all = usable.map(|(id, worker)| Candidate {
            worker: id.clone(),
            incarnation: worker.incarnation,
            service: worker.service.clone(),
            rack: worker.rack.clone(),
            labels: worker.labels.clone(),
            capacity: worker.capacity,
            free: worker.capacity.saturating_sub(state.allocated_on(id)),
            releasing: releasing.get(id).copied().unwrap_or_default(),
            for_urgent: false,
            kept_for: None,
            unreliable: self.unreliable.contains(id, now),
            speed: worker.speed.class(),
            images: self.pacing.images_on(id),
        });
        Candidates::new(all.collect())
    }

    /// The resources on each worker still allocated to runs that are being stopped.
    fn releasing(&self, state: &Workload) -> BTreeMap<WorkerId, Resources> {
        let mut releasing: BTreeMap<WorkerId, Resources> = BTreeMap::new();
        for run in &self.stopping {
            let (Some((step, _tasks)), Some(task)) =
                (state.step(run.task.step), state.task(run.task))
            else {
                continue;
            };
            if let Some(place) = task.placement.as_ref().filter(|_place| task.run == run.run) {
                let resources = releasing.entry(place.worker.clone()).or_default();
                *resources = resources.saturating_add(step.allocation());
            }
        }
        releasing
    }
}

impl PlacementRequest<'_> {
    /// Counts the step's tasks on each worker if the step limits them.
    pub(super) fn count_tasks_per_worker(&mut self, state: &StepState) {
        if self.step.per_worker_max.is_none() {
            return;
        }
        for place in state
            .tasks
            .iter()
            .filter_map(|task| task.placement.as_ref())
        {
            *self
                .tasks_per_worker
                .entry(place.worker.clone())
                .or_default() += 1;
        }
    }

    pub(super) fn accepts(&self, candidate: &Candidate) -> bool {
        let label = self.step.label.as_ref();
        let avoided = self.avoided.contains(&candidate.worker);
        !avoided
            && candidate.service == *self.service
            && label.is_none_or(|label| candidate.labels.contains(label))
    }

    /// The number of further tasks of the step, up to those requested, that fit into `resources` on
    /// this worker.
    pub(super) fn fitting_tasks(&self, candidate: &Candidate, resources: Resources) -> u32 {
        if !self.accepts(candidate) {
            return 0;
        }
        let already_placed = self
            .tasks_per_worker
            .get(&candidate.worker)
            .copied()
            .unwrap_or(0);
        let allowed = self.step.per_worker_max.unwrap_or(u32::MAX);
        let most = allowed.saturating_sub(already_placed).min(self.tasks);
        let fits = self
            .step
            .allocation()
            .max_count_in(resources, u64::from(most));
        u32::try_from(fits).unwrap_or(most)
    }

    /// The number of tasks that fit into what is free on this worker and open to the step.
    pub(super) fn fitting_now(&self, at: usize, candidates: &Candidates) -> u32 {
        let candidate = &candidates.all[at];
        if !self.is_open(candidate, candidates) {
            return 0;
        }
        self.fitting_tasks(candidate, candidate.free)
    }

    /// Whether the worker is not reserved for more urgent work.
    pub(super) fn is_open(&self, candidate: &Candidate, candidates: &Candidates) -> bool {
        candidate.is_open_to(self.is_urgent, self.step.data_rack.as_ref()) || !candidates.is_busy()
    }

    pub(super) fn is_near_data(&self, candidate: &Candidate) -> bool {
        self.step.data_rack.is_none() || self.step.data_rack == candidate.rack
    }
}

/// The resources left free after placing a task; the smallest remainder is the best fit.
const fn free_after(candidate: &Candidate, demand: Resources) -> (u64, u64, u64) {
    let remaining = candidate.free.saturating_sub(demand);
    (
        remaining.accelerators,
        remaining.cpu_millicores,
        remaining.memory_mb,
    )
}

impl Candidates {
    fn new(all: Vec<Candidate>) -> Self {
        let mut candidates = Self::default();
        for (at, candidate) in all.iter().enumerate() {
            let rack = candidates.racks.entry(candidate.rack.clone());
            rack.or_default().push(at);
            let used = candidate.capacity.saturating_sub(candidate.free);
            candidates.has_slow |= candidate.speed == SpeedClass::Slow;
            candidates.capacity = candidates.capacity.saturating_add(candidate.capacity);
            candidates.in_use = candidates.in_use.saturating_add(used);
        }
        candidates.all = all;
        candidates
    }

    /// The candidates that can take a task of the step now, the best one first.
    ///
    /// A task that is placed makes its candidate a still better fit for the next one, so the order
    /// holds for all tasks of the step.
    pub(super) fn in_order_for_tasks(&self, request: &PlacementRequest<'_>) -> Vec<usize> {
        let demand = request.step.allocation();
        let fitting = self.all.iter().enumerate().filter(|(at, candidate)| {
            request.fitting_now(*at, self) > 0
                && (request.any_location || request.is_near_data(candidate))
        });
        let mut in_order: Vec<usize> = fitting.map(|(at, _candidate)| at).collect();
        in_order.sort_by_cached_key(|at| {
            let candidate = &self.all[*at];
            (
                !request.is_near_data(candidate),
                candidate.for_urgent != request.is_urgent,
                request.kept_room.covers(candidate),
                request.prefers_other_speed(candidate),
                self.slowdown_percent(candidate, request),
                free_after(candidate, demand),
            )
        });
        in_order
    }

    /// The largest slowdown between the step's image and those on the candidate, in percent. Not
    /// considered while the fleet is busy: tasks that are kept apart occupy more workers, and gangs
    /// would lack them.
    fn slowdown_percent(&self, candidate: &Candidate, request: &PlacementRequest<'_>) -> u64 {
        if request.slowdowns.is_empty() || self.is_busy() {
            return 0;
        }
        let images = candidate.images.iter();
        let slowdowns = images.filter_map(|image| request.slowdowns.get(image));
        slowdowns.copied().max().unwrap_or(0)
    }

    /// Whether a further task of the step may be placed on this candidate.
    pub(super) fn takes_task(&self, at: usize, request: &PlacementRequest<'_>) -> bool {
        let kept_room = request.kept_room;
        request.fitting_now(at, self) > 0
            && (kept_room.allows_exempt_task() || !kept_room.covers(&self.all[at]))
    }

    /// Returns the position of a candidate for each member of a gang, or `None` if not all members
    /// fit.
    ///
    /// Resources only become fewer during a pass, so a gang is not tried again once one of the same
    /// kind with at most as many members did not fit.
    pub(super) fn find_for_gang(&mut self, request: &PlacementRequest<'_>) -> Option<Vec<usize>> {
        let shape = GangShape::of(request);
        let mut unfitting = self.unfitting.iter();
        let is_known =
            |(known, members): &(GangShape, u32)| *known == shape && *members <= request.tasks;
        if unfitting.any(is_known) {
            return None;
        }
        let places = self.search_for_gang(request);
        if places.is_none() {
            self.unfitting.push((shape, request.tasks));
        }
        places
    }

    fn search_for_gang(&self, request: &PlacementRequest<'_>) -> Option<Vec<usize>> {
        let in_rack = self.find_in_one_rack(request);
        if in_rack.is_some() {
            return in_rack;
        }
        let may_spread = request.any_location
            || (request.step.data_rack.is_none() && !self.fits_some_rack(request));
        if !may_spread {
            return None;
        }
        let all: Vec<usize> = (0..self.all.len()).collect();
        self.pack_like_speed(&all, request)
    }

    /// Places the gang in the rack that can hold it, preferably that of its data, and otherwise the
    /// one that needs no unreliable worker, with the fewest free accelerators.
    fn find_in_one_rack(&self, request: &PlacementRequest<'_>) -> Option<Vec<usize>> {
        let holding = self.racks.iter().filter(|(rack, candidates)| {
            let near = request.step.data_rack.is_none() || request.step.data_rack == **rack;
            let fits = candidates.iter().map(|at| request.fitting_now(*at, self));
            (near || request.any_location) && fits.fold(0, u32::saturating_add) >= request.tasks
        });
        let best = holding.min_by_key(|(rack, candidates)| {
            let far = request.step.data_rack.is_some() && request.step.data_rack != **rack;
            let reserved = candidates.iter().any(|at| self.all[*at].for_urgent);
            let reliable = candidates.iter().filter(|at| !self.all[**at].unreliable);
            let fits = reliable.map(|at| request.fitting_now(*at, self));
            let needs_unreliable = fits.fold(0, u32::saturating_add) < request.tasks;
            let free = candidates.iter().map(|at| self.all[*at].free.accelerators);
            (
                far,
                reserved != request.is_urgent,
                needs_unreliable,
                self.speed_fit(candidates, request).0,
                free.sum::<u64>(),
            )
        });
        let (_rack, candidates) = best?;
        self.pack_like_speed(candidates, request)
    }

    /// Whether what is free now holds a task of the step, or all members of a gang.
    pub(super) fn has_room(&self, request: &PlacementRequest<'_>) -> bool {
        let fits = (0..self.all.len()).map(|at| request.fitting_now(at, self));
        let needed = if request.step.gang { request.tasks } else { 1 };
        fits.fold(0, u32::saturating_add) >= needed
    }

    /// Whether the rack of the step's data could hold it if nothing else ran there. Waiting for a
    /// rack that has lost its workers would never end.
    pub(super) fn can_hold_near_data(&self, request: &PlacementRequest<'_>) -> bool {
        if request.step.data_rack.is_none() {
            return true;
        }
        let members = self.racks.get(&request.step.data_rack);
        let fits = members.into_iter().flatten().map(|at| {
            let candidate = &self.all[*at];
            request.fitting_tasks(candidate, candidate.capacity)
        });
        let needed = if request.step.gang { request.tasks } else { 1 };
        fits.fold(0, u32::saturating_add) >= needed
    }

    /// Whether some rack could hold the gang if nothing else ran there.
    pub(super) fn fits_some_rack(&self, request: &PlacementRequest<'_>) -> bool {
        self.racks.values().any(|candidates| {
            let fits = candidates.iter().map(|at| {
                let candidate = &self.all[*at];
                request.fitting_tasks(candidate, candidate.capacity)
            });
            fits.fold(0, u32::saturating_add) >= request.tasks
        })
    }

    /// Packs the gang onto the reliable candidates that hold the most members first, breaking ties by
    /// best fit, and onto the others last.
    pub(super) fn pack(
        &self,
        candidates: &[usize],
        request: &PlacementRequest<'_>,
    ) -> Option<Vec<usize>> {
        let demand = request.step.allocation();
        let mut counts: Vec<(usize, u32)> = candidates
            .iter()
            .map(|at| (*at, request.fitting_now(*at, self)))
            .filter(|(_at, count)| *count > 0)
            .collect();
        let mut remaining = request.tasks;
        let mut places = Vec::with_capacity(remaining as usize);
        while remaining > 0 {
            let best = counts.iter().enumerate().min_by_key(|(_, (at, count))| {
                let holds = (*count).min(remaining);
                let remaining_free = self.all[*at]
                    .free
                    .saturating_sub(demand.saturating_mul(u64::from(holds)));
                (
                    self.all[*at].unreliable,
                    u32::MAX - holds,
                    remaining_free.accelerators,
                    remaining_free.cpu_millicores,
                )
            });
            let (position, (at, count)) =
                best.map(|(position, candidate)| (position, *candidate))?;
            let takes = count.min(remaining);
            places.extend(std::iter::repeat_n(at, takes as usize));
            remaining -= takes;
            counts.swap_remove(position);
        }
        Some(places)
    }

    /// Subtracts the resources of a task from a candidate.
    pub(super) fn allocate(&mut self, at: usize, demand: Resources) {
        let candidate = &mut self.all[at];
        candidate.free = candidate.free.saturating_sub(demand);
        self.in_use = self.in_use.saturating_add(demand);
    }
}
