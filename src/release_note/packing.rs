use std::rc::Rc;

use super::{Adjacency, ClusterConfig, GuaranteeSpec, RackSpec};
use crate::units::{RackId, TeamId, ZoneId};

/// Maximum number of accelerators per worker.
const WORKER_ACCELERATORS_MAX: usize = 8;
/// Number of placements that the search tries before it reports that the guarantees do not fit.
const SEARCH_STEPS_MAX: u32 = 4_000;
/// Maximum number of candidate placements that the search tries per group.
const BRANCHES_MAX: usize = 8;

/// Identifies a group of cells by its team and its index in the team's guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CellGroupId {
    pub(crate) team: TeamId,
    pub(crate) index: usize,
}

/// The cells of one group that are placed in one rack.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RackAllocation {
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
    pub(crate) cells: u64,
}

/// The groups that could not be placed in the declared racks together with all others; empty if all
/// fit.
///
/// Zones in state `out` count like the others: taking a zone out puts its guarantees at risk but
/// does not make them invalid. The result is empty only if a complete packing was found. The
/// bounded search may miss a packing, but only in clusters that the guarantees fill almost
/// completely.
pub(super) fn unplaced_groups(in_force: &ClusterConfig) -> Vec<CellGroupId> {
    let capacity = FreeCapacity::new(in_force);
    let groups = sorted_groups(in_force);
    place_groups(&capacity, &groups).err().unwrap_or_default()
}

/// The packing of all guarantees that [`unplaced_groups`] found, as the racks of each group in the
/// order in which the groups must be bound; `None` if a group could not be placed.
///
/// In each rack, cells go to the workers with the fewest free accelerators that still fit one
/// (best fit).
pub(crate) fn pack_guarantees(
    in_force: &ClusterConfig,
) -> Option<Vec<(CellGroupId, Vec<RackAllocation>)>> {
    let mut capacity = FreeCapacity::new(in_force);
    let groups = sorted_groups(in_force);
    let placements = place_groups(&capacity, &groups).ok()?;
    let mut packing = Vec::with_capacity(groups.len());
    for (placement, group) in placements.into_iter().zip(groups) {
        let taken = capacity.bind(placement, &group);
        let allocations = taken.into_iter().map(|cells| cells.allocation(in_force));
        packing.push((group.id, allocations.collect::<Option<_>>()?));
    }
    Some(packing)
}

/// Returns a placement for each group, or the groups that greedy placement could not place.
///
/// The bounded search runs only if greedy placement fails and the groups are not certain to exceed
/// the capacity.
fn place_groups(
    capacity: &FreeCapacity,
    groups: &[Group],
) -> Result<Vec<Placement>, Vec<CellGroupId>> {
    let mut greedy = capacity.clone();
    let (mut placements, mut unplaced) = (Vec::new(), Vec::new());
    for group in groups {
        if let Some(placement) = greedy.placements(group).first() {
            greedy.bind(*placement, group);
            placements.push(*placement);
        } else {
            unplaced.push(group.id.clone());
        }
    }
    if unplaced.is_empty() {
        return Ok(placements);
    }
    if !capacity.may_hold_all(groups) {
        return Err(unplaced);
    }
    search(capacity, groups).ok_or(unplaced)
}

#[derive(Clone, Debug)]
struct Group {
    id: CellGroupId,
    count: u64,
    size: usize,
    adjacency: Adjacency,
}

impl Group {
    const fn total(&self) -> u64 {
        self.count.saturating_mul(self.size as u64)
    }
}

/// Sorts groups by tightest adjacency first and larger before smaller, the order in which greedy
/// placement fails least often.
fn sorted_groups(in_force: &ClusterConfig) -> Vec<Group> {
    let mut groups: Vec<Group> = in_force.guarantees.values().flat_map(groups_of).collect();
    groups.sort_by_key(|group| {
        let larger_first = std::cmp::Reverse((group.size, group.total()));
        (group.adjacency, larger_first)
    });
    groups
}

fn groups_of(guarantee: &GuaranteeSpec) -> impl Iterator<Item = Group> {
    guarantee.cells.iter().enumerate().map(|(index, cells)| {
        let team = guarantee.team.clone();
        Group {
            id: CellGroupId { team, index },
            count: u64::from(cells.count),
            size: usize::try_from(cells.accelerators.get()).unwrap_or(usize::MAX),
            adjacency: cells.adjacency,
        }
    })
}

/// Searches depth first for a placement of all groups, up to [`SEARCH_STEPS_MAX`] steps.
///
/// Candidates are tried in best-fit order, so the first path is the greedy placement.
fn search(capacity: &FreeCapacity, groups: &[Group]) -> Option<Vec<Placement>> {
    let mut stack = Vec::new();
    let mut path = Vec::new();
    push_placements(&mut stack, capacity.clone(), groups, 0);
    for _step in 0..SEARCH_STEPS_MAX {
        let (depth, previous, placement) = stack.pop()?;
        let mut capacity = FreeCapacity::clone(&previous);
        capacity.bind(placement, &groups[depth]);
        path.truncate(depth);
        path.push(placement);
        if depth + 1 == groups.len() {
            return Some(path);
        }
        push_placements(&mut stack, capacity, groups, depth + 1);
    }
    None
}

type SearchNode = (usize, Rc<FreeCapacity>, Placement);

fn push_placements(
    stack: &mut Vec<SearchNode>,
    capacity: FreeCapacity,
    groups: &[Group],
    depth: usize,
) {
    let capacity = Rc::new(capacity);
    let placements = capacity.placements(&groups[depth]);
    let nodes = placements.into_iter().take(BRANCHES_MAX).rev();
    stack.extend(nodes.map(|placement| (depth, Rc::clone(&capacity), placement)));
}

/// Where a group of cells is placed, by index of zone and rack.
#[derive(Clone, Copy, Debug)]
enum Placement {
    Rack { zone: usize, rack: usize },
    Zone { zone: usize },
    Any,
}

/// The number of cells taken from one rack.
#[derive(Clone, Copy, Debug)]
struct RackCells {
    zone: usize,
    rack: usize,
    cells: u64,
}

impl RackCells {
    fn allocation(self, in_force: &ClusterConfig) -> Option<RackAllocation> {
        let zone = in_force.zones.values().nth(self.zone)?;
        Some(RackAllocation {
            zone: zone.name.clone(),
            rack: zone.racks.get(self.rack)?.name.clone(),
            cells: self.cells,
        })
    }
}

/// The free accelerators of a rack, as the number of workers per count of free accelerators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RackCapacity {
    workers_by_free: [u64; WORKER_ACCELERATORS_MAX + 1],
}

impl RackCapacity {
    fn new(spec: &RackSpec) -> Self {
        let mut workers_by_free = [0; WORKER_ACCELERATORS_MAX + 1];
        let free = usize::try_from(spec.accelerators.get()).unwrap_or(usize::MAX);
        if let Some(workers) = workers_by_free.get_mut(free) {
            *workers = u64::from(spec.workers);
        }
        Self { workers_by_free }
    }

    fn free(&self) -> u64 {
        let by_free = self.workers_by_free.iter().zip(0_u64..);
        by_free.fold(0, |sum, (workers, free)| {
            sum.saturating_add(workers.saturating_mul(free))
        })
    }

    /// Takes the cells of a group that must be in one rack or on one worker; returns false if it
    /// does not fit. Cells taken before it ran out are not given back.
    fn take_group(&mut self, group: &Group) -> bool {
        let (count, size) = match group.adjacency {
            Adjacency::Worker => (1, usize::try_from(group.total()).unwrap_or(usize::MAX)),
            _ => (group.count, group.size),
        };
        self.take_cells(count, size) == count
    }

    /// Takes up to `count` cells from the workers with the fewest free accelerators first and
    /// returns how many were taken.
    fn take_cells(&mut self, count: u64, size: usize) -> u64 {
        let mut left = count;
        for free in size.max(1)..=WORKER_ACCELERATORS_MAX {
            while left > 0 && self.workers_by_free[free] > 0 {
                left -= self.take_from_workers(free, size, left);
            }
        }
        count - left
    }

    /// Takes an equal number of cells from as many workers with `free` accelerators as possible, at
    /// most `left` cells in all, and returns how many were taken.
    fn take_from_workers(&mut self, free: usize, size: usize, left: u64) -> u64 {
        let whole = (free / size) as u64;
        let cells = whole.min(left);
        let workers = self.workers_by_free[free].min(left / cells);
        let rest = free - size * usize::try_from(cells).unwrap_or(0);
        self.workers_by_free[free] -= workers;
        self.workers_by_free[rest] += workers;
        cells * workers
    }
}

#[derive(Clone, Debug)]
struct FreeCapacity {
    zones: Vec<Vec<RackCapacity>>,
}

impl FreeCapacity {
    fn new(in_force: &ClusterConfig) -> Self {
        let zones = in_force.zones.values();
        Self {
            zones: zones
                .map(|zone| zone.racks.iter().map(RackCapacity::new).collect())
                .collect(),
        }
    }

    /// Checks necessary conditions: each group fits alone, and all together need no more
    /// accelerators than are free.
    fn may_hold_all(&self, groups: &[Group]) -> bool {
        let wanted = groups
            .iter()
            .fold(0_u64, |sum, group| sum.saturating_add(group.total()));
        let free = self.zones.iter().flatten().map(RackCapacity::free);
        wanted <= free.fold(0, u64::saturating_add)
            && groups
                .iter()
                .all(|group| !self.placements(group).is_empty())
    }

    /// The placements that fit the group, those that leave the fewest free accelerators first.
    /// Consecutive equal racks of a zone are listed once.
    fn placements(&self, group: &Group) -> Vec<Placement> {
        match group.adjacency {
            Adjacency::Worker | Adjacency::Rack => self.rack_placements(group),
            Adjacency::Zone => self.zone_placements(group),
            Adjacency::Any => {
                let mut trial = self.clone();
                let fits = take_from_racks(trial.racks_mut(None), group);
                fits.map(|_cells| Placement::Any).into_iter().collect()
            }
        }
    }

    fn rack_placements(&self, group: &Group) -> Vec<Placement> {
        let mut found: Vec<(u64, usize, usize)> = Vec::new();
        for (zone, racks) in self.zones.iter().enumerate() {
            for (index, rack) in racks.iter().enumerate() {
                let mut trial = *rack;
                if rack.free() >= group.total() && trial.take_group(group) {
                    found.push((trial.free(), zone, index));
                }
            }
        }
        found.sort_unstable();
        found.dedup_by_key(|(_, zone, rack)| (*zone, self.zones[*zone][*rack]));
        let placements = found.into_iter();
        placements
            .map(|(_, zone, rack)| Placement::Rack { zone, rack })
            .collect()
    }

    fn zone_placements(&self, group: &Group) -> Vec<Placement> {
        let mut found: Vec<(u64, usize)> = Vec::new();
        for (zone, racks) in self.zones.iter().enumerate() {
            let mut trial = racks.clone();
            let racks = trial.iter_mut().enumerate();
            let racks = racks.map(|(at, rack)| (zone, at, rack));
            if take_from_racks(racks, group).is_some() {
                let free = trial.iter().map(RackCapacity::free);
                found.push((free.fold(0, u64::saturating_add), zone));
            }
        }
        found.sort_unstable();
        let placements = found.into_iter();
        placements
            .map(|(_, zone)| Placement::Zone { zone })
            .collect()
    }

    /// Takes the group's cells at a placement that [`FreeCapacity::placements`] returned for this
    /// state of the capacity.
    fn bind(&mut self, placement: Placement, group: &Group) -> Vec<RackCells> {
        let rack_cells = match placement {
            Placement::Rack { zone, rack } => self.zones[zone][rack].take_group(group).then(|| {
                let cells = group.count;
                vec![RackCells { zone, rack, cells }]
            }),
            Placement::Zone { zone } => take_from_racks(self.racks_mut(Some(zone)), group),
            Placement::Any => take_from_racks(self.racks_mut(None), group),
        };
        rack_cells.expect("a placement returned by placements() fits the group")
    }

    /// The racks of one zone or of all zones, each with the index of its zone and its own index.
    fn racks_mut(
        &mut self,
        only: Option<usize>,
    ) -> impl Iterator<Item = (usize, usize, &mut RackCapacity)> {
        let zones = self.zones.iter_mut().enumerate();
        let zones = zones.filter(move |(zone, _racks)| only.is_none_or(|only| only == *zone));
        zones.flat_map(|(zone, racks)| {
            let racks = racks.iter_mut().enumerate();
            racks.map(move |(at, rack)| (zone, at, rack))
        })
    }
}

/// Takes a group's cells from several racks, those with the fewest free accelerators first; returns
/// `None` if they do not fit.
fn take_from_racks<'a>(
    racks: impl Iterator<Item = (usize, usize, &'a mut RackCapacity)>,
    group: &Group,
) -> Option<Vec<RackCells>> {
    let mut racks: Vec<_> = racks.collect();
    racks.sort_by_key(|(_zone, _at, rack)| rack.free());
    let mut left = group.count;
    let mut rack_cells = Vec::new();
    for (zone, at, rack) in racks {
        if left == 0 {
            break;
        }
        let cells = rack.take_cells(left, group.size);
        left -= cells;
        if cells > 0 {
            let rack = at;
            rack_cells.push(RackCells { zone, rack, cells });
        }
    }
    (left == 0).then_some(rack_cells)
}
