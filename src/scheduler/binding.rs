//! Binds the cells of all guarantees to workers.
//!
//! Each guaranteed cell is bound to a worker where it conflicts neither with other bindings nor with
//! non-preemptible work. The binding proves that every unused guarantee can be reclaimed. Placements are
//! checked against the binding, never the binding against placements.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::packing_binding;
use super::pool::WorkerPool;
use super::resources::Resources;
use crate::release_note::{Adjacency, ClusterConfig, GuaranteedCells};
use crate::units::{Millis, TeamId};

/// Groups examined in one pass; bounds the cost of an event.
const GROUPS_PER_PASS: usize = 48;

/// A group of equal cells of one guarantee.
#[derive(Clone, Debug)]
pub(super) struct CellGroup {
    pub(super) team: TeamId,
    pub(super) spec: GuaranteedCells,
    /// The worker of each bound cell; a worker appears once per cell.
    pub(super) cells: Vec<u32>,
}

impl CellGroup {
    pub(super) const fn missing(&self) -> usize {
        (self.spec.count as usize).saturating_sub(self.cells.len())
    }
}

/// All groups and the workers bound to their cells.
#[derive(Debug, Default)]
pub(super) struct GuaranteeBindings {
    pub(super) groups: Vec<CellGroup>,
    /// The groups of each team, as indices into `groups`.
    pub(super) by_team: BTreeMap<TeamId, Vec<usize>>,
    /// Whether workers or release notes changed since the last refresh.
    pub(super) dirty: bool,
    next_group: usize,
    /// Whether all groups were rebound from scratch since the last change.
    repacked: bool,
}

impl GuaranteeBindings {
    /// Applies the guarantees in force; unchanged groups keep their cells.
    pub(super) fn declare(&mut self, in_force: &ClusterConfig, pool: &mut WorkerPool) {
        let mut old = std::mem::take(&mut self.groups);
        self.by_team.clear();
        for guarantee in in_force.guarantees.values() {
            for spec in &guarantee.cells {
                let same = |group: &CellGroup| group.team == guarantee.team && group.spec == *spec;
                let kept = old.iter().position(same).map(|at| old.swap_remove(at));
                let group = kept.unwrap_or_else(|| CellGroup {
                    team: guarantee.team.clone(),
                    spec: spec.clone(),
                    cells: Vec::new(),
                });
                let positions = self.by_team.entry(group.team.clone()).or_default();
                positions.push(self.groups.len());
                self.groups.push(group);
            }
        }
        for mut group in old {
            unbind_all(&mut group, pool);
        }
        self.dirty = true;
    }

    pub(super) fn of_team(&self, team: &TeamId) -> impl Iterator<Item = &CellGroup> {
        let positions = self.by_team.get(team).into_iter().flatten();
        positions.map(|at| &self.groups[*at])
    }

    /// Racks in which cells of a team are bound.
    pub(super) fn racks_of(&self, team: &TeamId, pool: &WorkerPool) -> BTreeSet<u32> {
        let cells = self.of_team(team).flat_map(|group| &group.cells);
        cells.map(|ix| pool.worker(*ix).rack).collect()
    }

    /// Unbinds cells on unusable workers and binds missing cells.
    pub(super) fn refresh(&mut self, in_force: &ClusterConfig, pool: &mut WorkerPool, now: Millis) {
        if self.dirty {
            self.dirty = false;
            self.repacked = false;
            for group in &mut self.groups {
                unbind_unusable(group, pool, now);
            }
        }
        let missing = self.incomplete_groups();
        let round = missing.iter().filter(|at| **at >= self.next_group);
        let round: Vec<usize> = round.copied().take(GROUPS_PER_PASS).collect();
        self.next_group = round.last().map_or(0, |last| last + 1);
        for at in round {
            bind_group(&mut self.groups[at], pool, now);
        }
        let all_examined = self.next_group == 0;
        if all_examined && !self.repacked && self.accelerators_missing() > 0 {
            self.repacked = true;
            self.repack(in_force, pool, now);
        }
    }

    /// Whether some groups are still to be examined.
    pub(super) const fn is_unfinished(&self) -> bool {
        self.next_group != 0
    }

    fn incomplete_groups(&self) -> Vec<usize> {
        let groups = self.groups.iter().enumerate();
        let missing = groups.filter(|(_at, group)| group.missing() > 0);
        missing.map(|(at, _group)| at).collect()
    }

    /// Rebinds all unused groups, the hardest to place first, and keeps the old binding unless
    /// fewer accelerators are missing than before.
    ///
    /// If the greedy order leaves cells unbound in a fleet that is idle and complete, the packing
    /// with which the release note was validated is used instead.
    fn repack(&mut self, in_force: &ClusterConfig, pool: &mut WorkerPool, now: Millis) {
        let before: Vec<Vec<u32>> = self
            .groups
            .iter()
            .map(|group| group.cells.clone())
            .collect();
        let missing_before = self.accelerators_missing();
        let mut order: Vec<usize> = (0..self.groups.len()).collect();
        order.sort_by_key(|at| binding_order(&self.groups[*at].spec));
        order.retain(|at| is_unused(&self.groups[*at], pool));
        for at in &order {
            unbind_all(&mut self.groups[*at], pool);
        }
        for at in &order {
            bind_group(&mut self.groups[*at], pool, now);
        }
        let missing = self.accelerators_missing();
        if missing > 0 && order.len() == self.groups.len() && pool.all_declared_workers_usable(now)
        {
            let greedy: Vec<Vec<u32>> = self.groups.iter().map(|g| g.cells.clone()).collect();
            if packing_binding::bind_from_packing(self, in_force, pool, now) {
                return;
            }
            self.restore(&order, &greedy, pool);
        }
        if missing < missing_before {
            return;
        }
        self.restore(&order, &before, pool);
    }

    /// Rebinds a team's unused cells to the workers with the lowest cost. Restores the old binding
    /// if some cells cannot be bound.
    pub(super) fn rebind_at_lowest_cost(
        &mut self,
        team: &TeamId,
        pool: &mut WorkerPool,
        now: Millis,
        cost: impl Fn(&WorkerPool, u32, u32) -> u64,
    ) {
        let positions = self.by_team.get(team).cloned().unwrap_or_default();
        let before: Vec<Vec<u32>> = self.groups.iter().map(|g| g.cells.clone()).collect();
        for at in &positions {
            unbind_unused(&mut self.groups[*at], pool);
        }
        let mut all_bound = true;
        for at in &positions {
            all_bound &= bind_missing(&mut self.groups[*at], pool, now, &cost);
        }
        if !all_bound {
            self.restore(&positions, &before, pool);
        }
    }

    /// Rebinds all cells that other teams have on `workers` elsewhere. Returns false and changes
    /// nothing if there are none or they cannot be moved.
    pub(super) fn rebind_away_from(
        &mut self,
        workers: &BTreeSet<u32>,
        except: &TeamId,
        pool: &mut WorkerPool,
        now: Millis,
    ) -> bool {
        let is_bound_there = |group: &CellGroup| group.cells.iter().any(|ix| workers.contains(ix));
        let groups = self.groups.iter().enumerate();
        let affected = groups.filter(|(_at, g)| g.team != *except && is_bound_there(g));
        let affected: Vec<usize> = affected.map(|(at, _group)| at).collect();
        if affected.is_empty() {
            return false;
        }
        let before: Vec<Vec<u32>> = self.groups.iter().map(|g| g.cells.clone()).collect();
        for ix in workers {
            pool.worker_mut(*ix).binding_blocked = true;
        }
        for at in &affected {
            let group = &mut self.groups[*at];
            let (leaving, staying) = group.cells.iter().partition(|ix| workers.contains(*ix));
            group.cells = staying;
            let leaving: Vec<u32> = leaving;
            for ix in leaving {
                unbind_cell(group, pool, ix);
            }
        }
        let mut moved = true;
        for at in &affected {
            moved &= bind_group(&mut self.groups[*at], pool, now);
        }
        for ix in workers {
            pool.worker_mut(*ix).binding_blocked = false;
        }
        if !moved {
            self.restore(&affected, &before, pool);
        }
        moved
    }

    fn restore(&mut self, positions: &[usize], cells: &[Vec<u32>], pool: &mut WorkerPool) {
        for at in positions {
            unbind_all(&mut self.groups[*at], pool);
        }
        for at in positions {
            for ix in &cells[*at] {
                bind_cell(&mut self.groups[*at], pool, *ix);
            }
        }
    }

    fn accelerators_missing(&self) -> u64 {
        let missing = self.groups.iter();
        let missing = missing.map(|g| g.missing() as u64 * u64::from(g.spec.accelerators.0));
        missing.sum()
    }

    /// The number of guaranteed accelerators that are not bound, and why.
    pub(super) fn at_risk(&self, team: &TeamId) -> (u32, Option<SmolStr>) {
        let cells = self.of_team(team);
        let missing = cells.filter(|group| group.missing() > 0);
        let mut sum = 0_u64;
        let mut cause = None;
        for group in missing {
            sum += group.missing() as u64 * u64::from(group.spec.accelerators.0);
            let text = format!(
                "{} of {} cells of {} accelerators have no usable worker that others leave free",
                group.missing(),
                group.spec.count,
                group.spec.accelerators
            );
            cause.get_or_insert_with(|| SmolStr::new(text));
        }
        (u32::try_from(sum).unwrap_or(u32::MAX), cause)
    }
}

/// Orders groups from hard to easy to place: tighter adjacency first, then larger size.
const fn binding_order(spec: &GuaranteedCells) -> (Adjacency, std::cmp::Reverse<u64>) {
    let size = spec.count as u64 * spec.accelerators.0 as u64;
    (spec.adjacency, std::cmp::Reverse(size))
}

fn unbind_unusable(group: &mut CellGroup, pool: &mut WorkerPool, now: Millis) {
    let cells = std::mem::take(&mut group.cells);
    for ix in cells {
        if pool.worker(ix).is_usable(now) && pool.worker(ix).fits_reserved() {
            group.cells.push(ix);
        } else {
            unbind_cell(group, pool, ix);
        }
    }
}

/// Unbinds cells in which the team runs no non-preemptible work.
fn unbind_unused(group: &mut CellGroup, pool: &mut WorkerPool) {
    for ix in std::mem::take(&mut group.cells) {
        let held = pool.worker(ix).holding(&group.team);
        let unused = held.bound.saturating_sub(held.non_preemptible.accelerators);
        if unused >= group.spec.accelerators.0 {
            unbind_cell(group, pool, ix);
        } else {
            group.cells.push(ix);
        }
    }
}

pub(super) fn unbind_all(group: &mut CellGroup, pool: &mut WorkerPool) {
    for ix in std::mem::take(&mut group.cells) {
        unbind_cell(group, pool, ix);
    }
}

fn unbind_cell(group: &CellGroup, pool: &mut WorkerPool, ix: u32) {
    let worker = pool.worker_mut(ix);
    if let Some(holding) = worker.holdings.get_mut(&group.team) {
        holding.bound = holding.bound.saturating_sub(group.spec.accelerators.0);
    }
    worker.drop_empty_holdings();
}

pub(super) fn bind_cell(group: &mut CellGroup, pool: &mut WorkerPool, ix: u32) {
    let holdings = &mut pool.worker_mut(ix).holdings;
    holdings.entry(group.team.clone()).or_default().bound += group.spec.accelerators.0;
    group.cells.push(ix);
}

/// Whether the team runs no non-preemptible work on the group's workers.
fn is_unused(group: &CellGroup, pool: &WorkerPool) -> bool {
    let mut cells = group.cells.iter();
    cells.all(|ix| pool.worker(*ix).holding(&group.team).non_preemptible == Resources::ZERO)
}

/// Binds the missing cells. If they do not fit next to the bound ones, an unused group is rebound
/// as a whole.
fn bind_group(group: &mut CellGroup, pool: &mut WorkerPool, now: Millis) -> bool {
    let by_unreserved_room = |pool: &WorkerPool, ix: u32, _size: u32| {
        u64::from(pool.worker(ix).unreserved_room().accelerators)
    };
    if bind_missing(group, pool, now, by_unreserved_room) {
        return true;
    }
    if !is_unused(group, pool) {
        return false;
    }
    unbind_all(group, pool);
    bind_missing(group, pool, now, by_unreserved_room)
}

/// Binds missing cells in the domain that holds the most of them, and among equals at the lowest
/// cost.
fn bind_missing(
    group: &mut CellGroup,
    pool: &mut WorkerPool,
    now: Millis,
    cost: impl Fn(&WorkerPool, u32, u32) -> u64,
) -> bool {
    let missing = group.missing();
    let mut best: Vec<u32> = Vec::new();
    let mut best_cost = u64::MAX;
    for domain in domains(group, pool) {
        let (cells, total) = cheapest_cells(group, pool, &domain, now, &cost);
        let better = cells.len() > best.len() || (cells.len() == best.len() && total < best_cost);
        if better {
            (best, best_cost) = (cells, total);
        }
    }
    best.truncate(missing);
    for ix in best {
        bind_cell(group, pool, ix);
    }
    group.missing() == 0
}

/// The sets of workers to which the missing cells may be bound.
fn domains(group: &CellGroup, pool: &WorkerPool) -> Vec<Vec<u32>> {
    let first = group.cells.first().copied();
    let racks = || pool.open_zones().flat_map(|zone| &zone.racks);
    let workers = |rack: &u32| pool.racks[*rack as usize].workers.clone();
    match (group.spec.adjacency, first) {
        (Adjacency::Worker, Some(ix)) => vec![vec![ix]],
        (Adjacency::Worker, None) => racks().flat_map(workers).map(|ix| vec![ix]).collect(),
        (Adjacency::Rack, Some(ix)) => vec![workers(&pool.worker(ix).rack)],
        (Adjacency::Rack, None) => racks().map(workers).collect(),
        (Adjacency::Zone, Some(ix)) => {
            vec![pool.zone(ix).racks.iter().flat_map(workers).collect()]
        }
        (Adjacency::Zone, None) => pool
            .open_zones()
            .map(|zone| zone.racks.iter().flat_map(workers).collect())
            .collect(),
        (Adjacency::Any, _) => vec![racks().flat_map(workers).collect()],
    }
}

/// The cheapest workers for the missing cells in one domain, and their total cost.
fn cheapest_cells(
    group: &CellGroup,
    pool: &WorkerPool,
    domain: &[u32],
    now: Millis,
    cost: &impl Fn(&WorkerPool, u32, u32) -> u64,
) -> (Vec<u32>, u64) {
    let size = group.spec.accelerators.0;
    let mut slots = Vec::new();
    for ix in domain {
        let worker = pool.worker(*ix);
        if worker.binding_blocked || !worker.is_usable(now) || worker.capacity.accelerators < size {
            continue;
        }
        let fits = worker.bindable_cells(&group.team, size);
        if fits > 0 {
            slots.push((cost(pool, *ix, size), *ix, fits));
        }
    }
    slots.sort_unstable();
    let (mut cells, mut total) = (Vec::new(), 0_u64);
    for (cost, ix, fits) in slots {
        let taken = (fits as usize).min(group.missing() - cells.len());
        if taken == 0 {
            break;
        }
        cells.extend(std::iter::repeat_n(ix, taken));
        total = total.saturating_add(cost);
    }
    (cells, total)
}
