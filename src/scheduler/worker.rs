use std::collections::{BTreeMap, BTreeSet};

use super::load::Load;
use crate::fleet::{LEASE_MS, TaskKey, WorkerHealth, WorkerUsage};
use crate::units::{Incarnation, Millis, OrdersVersion, Sequence, TeamId, WorkerId};

/// After this silence a worker's gangs are stopped elsewhere, so that they end within one lease.
pub(super) const SILENT_MS: Millis = Millis(5_000);
/// Releases remembered for usage reports that lag behind.
const RELEASED_MAX: usize = 64;

/// What a team holds of a worker for good.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holding {
    /// Accelerators bound to its guarantee.
    pub(super) bound: u32,
    /// What its gangs use that may not be reclaimed.
    pub(super) firm: Load,
}

/// A worker as the leader knows it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) rack: u32,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: Sequence,
    /// When its last poll arrived.
    pub(super) heard_ms: Millis,
    /// Whether it polled under this leader.
    pub(super) heard: bool,
    /// Whether its zone and rack may run work.
    pub(super) open: bool,
    /// What it says that it has.
    pub(super) offered: Load,
    /// What of that counts.
    pub(super) capacity: Load,
    /// What members of gangs hold.
    pub(super) used: Load,
    /// What it reports in use beyond what was ordered.
    pub(super) foreign: Load,
    pub(super) released: Vec<(Millis, Load)>,
    pub(super) holdings: BTreeMap<TeamId, Holding>,
    pub(super) members: BTreeSet<(u64, u32)>,
    /// Reported tasks that are wanted no more.
    pub(super) strays: Vec<TaskKey>,
    pub(super) version: OrdersVersion,
    pub(super) health: WorkerHealth,
    /// Whether no guarantee may be bound to it just now.
    pub(super) vacating: bool,
}

impl Worker {
    pub(super) const fn new(id: WorkerId, rack: u32) -> Self {
        Self {
            id,
            rack,
            incarnation: Incarnation::ZERO,
            sequence: Sequence::ZERO,
            heard_ms: Millis::ZERO,
            heard: false,
            open: false,
            offered: Load::ZERO,
            capacity: Load::ZERO,
            used: Load::ZERO,
            foreign: Load::ZERO,
            released: Vec::new(),
            holdings: BTreeMap::new(),
            members: BTreeSet::new(),
            strays: Vec::new(),
            version: OrdersVersion::ZERO,
            health: WorkerHealth::new(),
            vacating: false,
        }
    }

    /// Whether it polled of late.
    pub(super) fn alive(&self, now: Millis) -> bool {
        self.heard && now.since(self.heard_ms) < SILENT_MS
    }

    /// Whether nothing that it was ordered can run any more.
    pub(super) fn lease_over(&self, now: Millis) -> bool {
        now.since(self.heard_ms) > LEASE_MS.with_clock_margin()
    }

    /// Whether it is known to stand where no work may start.
    pub(super) const fn is_closed(&self) -> bool {
        self.heard && !self.open
    }

    /// Whether work of any kind may start on it.
    pub(super) fn usable(&self, now: Millis) -> bool {
        self.open && self.alive(now) && self.health.is_up()
    }

    /// What nobody uses.
    pub(super) fn free(&self) -> Load {
        self.capacity.minus(self.used).minus(self.foreign)
    }

    /// What no guarantee and no work that may not be reclaimed has taken, but for `team`'s part.
    pub(super) fn room_beside(&self, team: &TeamId) -> Load {
        let others = self.holdings.iter().filter(|(holder, _h)| *holder != team);
        others.fold(self.capacity, |room, (_holder, holding)| {
            room.minus(self.taken_by(holding))
        })
    }

    /// What no guarantee and no work that may not be reclaimed has taken.
    pub(super) fn slack(&self) -> Load {
        let holdings = self.holdings.values();
        holdings.fold(self.capacity, |room, holding| {
            room.minus(self.taken_by(holding))
        })
    }

    fn taken_by(&self, holding: &Holding) -> Load {
        self.capacity.share_of(holding.bound).max(holding.firm)
    }

    /// What a team may still start on this worker that can't be reclaimed.
    ///
    /// Tasks without accelerators stay out of all bound cells, their own team's too: guarantees are
    /// of accelerators, and those need their cores and memory.
    pub(super) fn firm_room(&self, team: &TeamId, task: Load) -> Load {
        if task.accelerators == 0 {
            return self.slack();
        }
        let own = self.holding(team);
        self.room_beside(team).minus(own.firm)
    }

    /// What a team may still start on the cells that are bound to its guarantee.
    pub(super) fn bound_room(&self, team: &TeamId, task: Load) -> Load {
        let own = self.holding(team);
        let unused = own.bound.saturating_sub(own.firm.accelerators);
        if unused < task.accelerators || task.accelerators == 0 {
            return Load::ZERO;
        }
        let mut room = self.firm_room(team, task);
        room.accelerators = room.accelerators.min(unused);
        room
    }

    /// How many more cells of a size can be bound for a team.
    pub(super) fn cells_that_fit(&self, team: &TeamId, size: u32) -> u32 {
        let own = self.holding(team);
        let room = self.room_beside(team);
        let fits = |cells: &u32| {
            let bound = own.bound.saturating_add(cells.saturating_mul(size));
            let taken = self.capacity.share_of(bound).max(own.firm);
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

    /// Whether all that is bound and held for good still fits.
    pub(super) fn covers_bound(&self) -> bool {
        let bound = self.bound();
        let holdings = self.holdings.values();
        let taken = holdings.fold(Load::ZERO, |sum, h| sum.plus(self.taken_by(h)));
        bound <= self.capacity.accelerators && taken.fits_in(self.capacity)
    }

    pub(super) fn holding(&self, team: &TeamId) -> Holding {
        self.holdings.get(team).copied().unwrap_or_default()
    }

    /// What would be free without the work that may be reclaimed.
    pub(super) fn reclaimable(&self) -> Load {
        let firm = self.holdings.values();
        let firm = firm.fold(Load::ZERO, |sum, holding| sum.plus(holding.firm));
        self.capacity.minus(firm).minus(self.foreign)
    }

    /// Takes over a usage report: what exceeds the orders of that time is foreign.
    ///
    /// Reports lag, so work that was released after the measurement is still in it.
    pub(super) fn measure(&mut self, usage: &WorkerUsage, now: Millis) {
        let sampled_ms = now.since(usage.age_ms);
        self.released.retain(|(when, _load)| *when >= sampled_ms);
        if self.released.len() > RELEASED_MAX {
            self.released.drain(..RELEASED_MAX / 2);
        }
        let ordered = self
            .released
            .iter()
            .fold(self.used, |sum, (_when, load)| sum.plus(*load));
        self.foreign = Load::of_usage(usage).minus(ordered);
    }

    pub(super) fn drop_empty_holdings(&mut self) {
        self.holdings
            .retain(|_team, h| h.bound > 0 || h.firm != Load::ZERO);
    }
}
