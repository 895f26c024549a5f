//! Where tasks go: best fit, as close to their data and each other as they ask.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::Planner;
use crate::units::{Millis, ServiceName, WorkerId};
use crate::workload::{Resources, Step, StepState, WorkerIncarnation, Workload};

/// A worker that may get tasks now, with its free room.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) worker: WorkerId,
    pub(super) incarnation: WorkerIncarnation,
    pub(super) service: ServiceName,
    pub(super) rack: Option<SmolStr>,
    pub(super) labels: Vec<SmolStr>,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// What runs that are being stopped still hold.
    pub(super) coming: Resources,
}

/// All workers that may get tasks in one look at the queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    pub(super) all: Vec<Slot>,
}

/// What is placed: one task or a whole gang.
#[derive(Debug)]
pub(super) struct Ask<'a> {
    pub(super) step: &'a Step,
    pub(super) service: &'a ServiceName,
    pub(super) tasks: u32,
    /// How many tasks of the step each worker holds, where that is limited.
    pub(super) held: BTreeMap<WorkerId, u32>,
    /// Workers on which the step stood still.
    pub(super) avoided: BTreeSet<WorkerId>,
    /// Whether a place far from the data, or in several racks, will do.
    pub(super) anywhere: bool,
}

impl Planner {
    /// The workers that may get tasks now.
    pub(super) fn slots(&self, state: &Workload, now: Millis) -> Slots {
        let coming = self.coming(state);
        let usable = self.workers.iter().filter(|(_id, worker)| {
            !worker.draining
                && worker.left_ms.is_none()
                && !worker.runs_others
                && state.is_zone_open(&worker.zone)
                && now.since(worker.heard_ms) <= self.options.fresh_ms
                && now >= worker.quarantined_until_ms
        });
        let all = usable.map(|(id, worker)| Slot {
            worker: id.clone(),
            incarnation: worker.incarnation,
            service: worker.service.clone(),
            rack: worker.rack.clone(),
            labels: worker.labels.clone(),
            capacity: worker.capacity,
            free: worker.capacity.saturating_sub(state.allocated_on(id)),
            coming: coming.get(id).copied().unwrap_or_default(),
        });
        Slots { all: all.collect() }
    }

    /// What runs that are being stopped still hold on each worker.
    fn coming(&self, state: &Workload) -> BTreeMap<WorkerId, Resources> {
        let mut coming: BTreeMap<WorkerId, Resources> = BTreeMap::new();
        for run in &self.stopping {
            let (Some((step, _tasks)), Some(task)) =
                (state.step(run.task.step), state.task(run.task))
            else {
                continue;
            };
            if let Some(place) = task.placement.as_ref().filter(|_place| task.run == run.run) {
                let room = coming.entry(place.worker.clone()).or_default();
                *room = room.saturating_add(step.allocation());
            }
        }
        coming
    }
}

impl Ask<'_> {
    /// Counts the tasks that each worker holds, where the step limits them.
    pub(super) fn count_held(&mut self, state: &StepState) {
        if self.step.per_worker_max.is_none() {
            return;
        }
        for place in state
            .tasks
            .iter()
            .filter_map(|task| task.placement.as_ref())
        {
            *self.held.entry(place.worker.clone()).or_default() += 1;
        }
    }

    pub(super) fn allows(&self, slot: &Slot) -> bool {
        let label = self.step.label.as_ref();
        let avoided = self.avoided.contains(&slot.worker);
        !avoided
            && slot.service == *self.service
            && label.is_none_or(|label| slot.labels.contains(label))
    }

    /// How many more tasks a worker may hold.
    pub(super) fn count_on(&self, slot: &Slot, room: Resources) -> u32 {
        if !self.allows(slot) {
            return 0;
        }
        let held = self.held.get(&slot.worker).copied().unwrap_or(0);
        let allowed = self.step.per_worker_max.unwrap_or(u32::MAX);
        let most = allowed.saturating_sub(held).min(self.tasks);
        let fits = self.step.allocation().max_count_in(room, u64::from(most));
        u32::try_from(fits).unwrap_or(most)
    }

    pub(super) fn is_near(&self, slot: &Slot) -> bool {
        self.step.data_rack.is_none() || self.step.data_rack == slot.rack
    }
}

/// What stays free beside a task; the smallest is the best fit.
const fn left_over(slot: &Slot, demand: Resources) -> (u64, u64, u64) {
    let left = slot.free.saturating_sub(demand);
    (left.accelerators, left.cpu_millicores, left.memory_mb)
}

impl Slots {
    /// The slot of one task, by its position.
    pub(super) fn for_task(&self, ask: &Ask<'_>) -> Option<usize> {
        let demand = ask.step.allocation();
        let fitting = self.all.iter().enumerate().filter(|(_at, slot)| {
            ask.count_on(slot, slot.free) > 0 && (ask.anywhere || ask.is_near(slot))
        });
        let best = fitting.min_by_key(|(_at, slot)| (!ask.is_near(slot), left_over(slot, demand)));
        best.map(|(at, _slot)| at)
    }

    /// A slot for each member of a gang; none where it does not fit as a whole.
    pub(super) fn for_gang(&self, ask: &Ask<'_>) -> Option<Vec<usize>> {
        let in_rack = self.in_one_rack(ask);
        if in_rack.is_some() {
            return in_rack;
        }
        let may_spread =
            ask.anywhere || (ask.step.data_rack.is_none() && !self.fits_some_rack(ask));
        if !may_spread {
            return None;
        }
        let all: Vec<usize> = (0..self.all.len()).collect();
        self.fill(&all, ask)
    }

    /// The positions of a service's slots by rack.
    fn racks(&self, ask: &Ask<'_>) -> BTreeMap<Option<SmolStr>, Vec<usize>> {
        let mut racks: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        for (at, slot) in self.all.iter().enumerate() {
            if ask.allows(slot) {
                racks.entry(slot.rack.clone()).or_default().push(at);
            }
        }
        racks
    }

    /// The rack that holds the gang and keeps the least room beside it.
    fn in_one_rack(&self, ask: &Ask<'_>) -> Option<Vec<usize>> {
        let racks = self.racks(ask);
        let holding = racks.into_iter().filter(|(rack, slots)| {
            let near = ask.step.data_rack.is_none() || ask.step.data_rack == *rack;
            let fits = slots.iter().map(|at| {
                let slot = &self.all[*at];
                ask.count_on(slot, slot.free)
            });
            (near || ask.anywhere) && fits.fold(0, u32::saturating_add) >= ask.tasks
        });
        let best = holding.min_by_key(|(rack, slots)| {
            let far = ask.step.data_rack.is_some() && ask.step.data_rack != *rack;
            let free = slots.iter().map(|at| self.all[*at].free.accelerators);
            (far, free.sum::<u64>())
        });
        let (_rack, slots) = best?;
        self.fill(&slots, ask)
    }

    /// Whether some rack could hold the gang if it were empty.
    pub(super) fn fits_some_rack(&self, ask: &Ask<'_>) -> bool {
        let racks = self.racks(ask);
        racks.values().any(|slots| {
            let fits = slots.iter().map(|at| {
                let slot = &self.all[*at];
                ask.count_on(slot, slot.capacity)
            });
            fits.fold(0, u32::saturating_add) >= ask.tasks
        })
    }

    /// Fills the workers that hold the most members first, the last one by best fit.
    fn fill(&self, slots: &[usize], ask: &Ask<'_>) -> Option<Vec<usize>> {
        let demand = ask.step.allocation();
        let mut counts: Vec<(usize, u32)> = slots
            .iter()
            .map(|at| (*at, ask.count_on(&self.all[*at], self.all[*at].free)))
            .filter(|(_at, count)| *count > 0)
            .collect();
        let mut left = ask.tasks;
        let mut places = Vec::with_capacity(left as usize);
        while left > 0 {
            let best = counts.iter().enumerate().min_by_key(|(_, (at, count))| {
                let holds = (*count).min(left);
                let beside = self.all[*at]
                    .free
                    .saturating_sub(demand.saturating_mul(u64::from(holds)));
                (u32::MAX - holds, beside.accelerators, beside.cpu_millicores)
            });
            let (position, (at, count)) = best.map(|(position, slot)| (position, *slot))?;
            let takes = count.min(left);
            places.extend(std::iter::repeat_n(at, takes as usize));
            left -= takes;
            counts.swap_remove(position);
        }
        Some(places)
    }

    /// Takes the room of a task.
    pub(super) fn take(&mut self, at: usize, demand: Resources) {
        let slot = &mut self.all[at];
        slot.free = slot.free.saturating_sub(demand);
    }
}
