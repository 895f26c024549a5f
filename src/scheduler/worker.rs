use std::collections::{BTreeMap, BTreeSet};

use super::resources::Resources;
use crate::fleet::{LEASE_MS, TaskKey, Usage, WorkerHealth};
use crate::units::{Incarnation, Millis, OrdersVersion, Sequence, TeamId, WorkerId};

/// After this silence the remaining tasks of a worker's gangs are stopped, so that they end within
/// one lease.
pub(super) const SILENCE_TIMEOUT_MS: Millis = Millis(5_000);
/// Number of released allocations remembered for usage reports that lag behind.
const RELEASES_MAX: usize = 64;

/// What a team holds on a worker that others cannot reclaim.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holding {
    /// Accelerators bound to the team's guarantee.
    pub(super) bound: u32,
    /// Resources used by gangs that cannot be reclaimed.
    pub(super) non_preemptible: Resources,
}

/// A worker as known to the leader.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) rack: u32,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: Sequence,
    /// When the last poll arrived.
    pub(super) last_poll_ms: Millis,
    /// Whether the worker has polled under this leader.
    pub(super) has_polled: bool,
    /// Whether its zone and rack may run work.
    pub(super) open: bool,
    /// The capacity reported by the worker.
    pub(super) reported_capacity: Resources,
    /// The reported capacity, limited to what the rack declares.
    pub(super) capacity: Resources,
    /// Resources allocated to tasks of gangs.
    pub(super) used: Resources,
    /// Reported usage beyond the allocated resources.
    pub(super) external_usage: Resources,
    pub(super) released: Vec<(Millis, Resources)>,
    pub(super) holdings: BTreeMap<TeamId, Holding>,
    pub(super) members: BTreeSet<(u64, u32)>,
    /// Reported tasks that the scheduler does not know or no longer wants.
    pub(super) unexpected_tasks: Vec<TaskKey>,
    pub(super) version: OrdersVersion,
    pub(super) health: WorkerHealth,
    /// Whether no guarantee may be bound to the worker at the moment.
    pub(super) binding_blocked: bool,
}

impl Worker {
    pub(super) const fn new(id: WorkerId, rack: u32) -> Self {
        Self {
            id,
            rack,
            incarnation: Incarnation::ZERO,
            sequence: Sequence::ZERO,
            last_poll_ms: Millis::ZERO,
            has_polled: false,
            open: false,
            reported_capacity: Resources::ZERO,
            capacity: Resources::ZERO,
            used: Resources::ZERO,
            external_usage: Resources::ZERO,
            released: Vec::new(),
            holdings: BTreeMap::new(),
            members: BTreeSet::new(),
            unexpected_tasks: Vec::new(),
            version: OrdersVersion::ZERO,
            health: WorkerHealth::new(),
            binding_blocked: false,
        }
    }

    /// Whether the worker has polled recently.
    pub(super) fn is_alive(&self, now: Millis) -> bool {
        self.has_polled && now.since(self.last_poll_ms) < SILENCE_TIMEOUT_MS
    }

    /// Whether the worker's lease is over, so that none of its tasks can still run.
    pub(super) fn lease_expired(&self, now: Millis) -> bool {
        now.since(self.last_poll_ms) > LEASE_MS.with_clock_margin()
    }

    /// Whether the worker is known to be in a zone or rack where no work may start.
    pub(super) const fn is_closed(&self) -> bool {
        self.has_polled && !self.open
    }

    /// Whether work of any kind may start on the worker.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.open && self.is_alive(now) && self.health.is_up()
    }

    /// Resources that nobody uses.
    pub(super) fn free(&self) -> Resources {
        self.capacity
            .saturating_sub(self.used)
            .saturating_sub(self.external_usage)
    }

    /// Resources not taken by the guarantees and non-preemptible work of teams other than `team`.
    pub(super) fn room_for_team(&self, team: &TeamId) -> Resources {
        let others = self.holdings.iter().filter(|(holder, _h)| *holder != team);
        others.fold(self.capacity, |room, (_holder, holding)| {
            room.saturating_sub(self.reserved_by(holding))
        })
    }

    /// Resources not taken by any guarantee or non-preemptible work.
    pub(super) fn unreserved_room(&self) -> Resources {
        let holdings = self.holdings.values();
        holdings.fold(self.capacity, |room, holding| {
            room.saturating_sub(self.reserved_by(holding))
        })
    }

    fn reserved_by(&self, holding: &Holding) -> Resources {
        self.capacity
            .proportional_share(holding.bound)
            .max(holding.non_preemptible)
    }

    /// Resources in which a team may start further non-preemptible work.
    ///
    /// Tasks without accelerators stay out of all bound cells, even those of their own team:
    /// guarantees are for accelerators, which need their share of cores and memory.
    pub(super) fn non_preemptible_room(&self, team: &TeamId, task: Resources) -> Resources {
        if task.accelerators == 0 {
            return self.unreserved_room();
        }
        let own = self.holding(team);
        self.room_for_team(team).saturating_sub(own.non_preemptible)
    }

    /// Resources in the cells bound to the team's guarantee in which it may start further work.
    pub(super) fn unused_bound_room(&self, team: &TeamId, task: Resources) -> Resources {
        let own = self.holding(team);
        let unused = own.bound.saturating_sub(own.non_preemptible.accelerators);
        if unused < task.accelerators || task.accelerators == 0 {
            return Resources::ZERO;
        }
        let mut room = self.non_preemptible_room(team, task);
        room.accelerators = room.accelerators.min(unused);
        room
    }

    /// How many more cells of `size` accelerators can be bound for a team.
    pub(super) fn bindable_cells(&self, team: &TeamId, size: u32) -> u32 {
        let own = self.holding(team);
        let room = self.room_for_team(team);
        let fits = |cells: &u32| {
            let bound = own.bound.saturating_add(cells.saturating_mul(size));
            let taken = self
                .capacity
                .proportional_share(bound)
                .max(own.non_preemptible);
            bound <= self.capacity.accelerators && taken.fits_in(room)
        };
        let most = self.capacity.accelerators.checked_div(size).unwrap_or(0);
        (1..=most).take_while(fits).last().unwrap_or(0)
    }

    /// Accelerators bound to guarantees.
    pub(super) fn bound(&self) -> u32 {
        let bound = self.holdings.values().map(|holding| holding.bound);
        bound.fold(0, u32::saturating_add)
    }

    /// Whether all bound cells and non-preemptible work fit into the worker's capacity.
    pub(super) fn fits_reserved(&self) -> bool {
        let bound = self.bound();
        let holdings = self.holdings.values();
        let taken = holdings.fold(Resources::ZERO, |sum, h| {
            sum.saturating_add(self.reserved_by(h))
        });
        bound <= self.capacity.accelerators && taken.fits_in(self.capacity)
    }

    pub(super) fn holding(&self, team: &TeamId) -> Holding {
        self.holdings.get(team).copied().unwrap_or_default()
    }

    /// Resources that would be free without the work that can be reclaimed.
    pub(super) fn room_after_reclaim(&self) -> Resources {
        let non_preemptible = self.holdings.values();
        let non_preemptible = non_preemptible.fold(Resources::ZERO, |sum, holding| {
            sum.saturating_add(holding.non_preemptible)
        });
        self.capacity
            .saturating_sub(non_preemptible)
            .saturating_sub(self.external_usage)
    }

    /// Applies a usage report. Usage beyond what was allocated at the time of measurement is
    /// external.
    ///
    /// Reports lag behind, so they may still include work that was released after the measurement.
    pub(super) fn record_usage(&mut self, usage: &Usage, now: Millis) {
        let sampled_ms = now.since(usage.age_ms);
        self.released
            .retain(|(when, _resources)| *when >= sampled_ms);
        if self.released.len() > RELEASES_MAX {
            self.released.drain(..RELEASES_MAX / 2);
        }
        let allocated = self
            .released
            .iter()
            .fold(self.used, |sum, (_when, resources)| {
                sum.saturating_add(*resources)
            });
        self.external_usage = Resources::from_usage(usage).saturating_sub(allocated);
    }

    pub(super) fn drop_empty_holdings(&mut self) {
        self.holdings
            .retain(|_team, h| h.bound > 0 || h.non_preemptible != Resources::ZERO);
    }
}
