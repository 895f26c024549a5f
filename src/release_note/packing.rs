use std::rc::Rc;

use super::{Adjacency, ClusterConfig, GuaranteeSpec, RackSpec};
use crate::units::{RackId, TeamId, ZoneId};

/// The largest number of accelerators of one worker.
const WORKER_MAX: usize = 8;
/// How many placements the search tries before it takes a guarantee for one that does not fit.
const SEARCH_STEPS: u32 = 4_000;
/// How many places of one group the search tries.
const BRANCHES_MAX: usize = 8;

/// A group of cells of one guarantee, by its place in the guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CellGroupId {
    pub(crate) team: TeamId,
    pub(crate) index: usize,
}

/// Cells of one group in one rack.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RackAllocation {
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
    pub(crate) cells: u64,
}

/// The groups that could not be bound into the declared racks beside all others; empty where all
/// were bound.
///
/// Whether a zone is in or out does not count: a zone that is out puts a guarantee at risk, it does
/// not make it invalid. An empty answer comes only with a binding in hand; a bounded search may miss
/// a binding that exists only in fleets packed to the last cell.
pub(super) fn unplaced_groups(in_force: &ClusterConfig) -> Vec<CellGroupId> {
    let fleet = Fleet::new(in_force);
    let groups = sorted_groups(in_force);
    place_all(&fleet, &groups).err().unwrap_or_default()
}

/// The binding of all guarantees by which [`unplaced_groups`] found nothing missing: the racks of
/// each group, in the order in which the groups are to be bound; none where some group was missed.
///
/// In each rack the cells stand on the workers with the least room that still holds one.
pub(crate) fn pack_guarantees(
    in_force: &ClusterConfig,
) -> Option<Vec<(CellGroupId, Vec<RackAllocation>)>> {
    let mut fleet = Fleet::new(in_force);
    let groups = sorted_groups(in_force);
    let places = place_all(&fleet, &groups).ok()?;
    let mut packing = Vec::with_capacity(groups.len());
    for (place, group) in places.into_iter().zip(groups) {
        let taken = fleet.bind(place, &group);
        let shares = taken.into_iter().map(|part| part.share(in_force));
        packing.push((group.at, shares.collect::<Option<_>>()?));
    }
    Some(packing)
}

/// A place for each group, else the groups that the greedy binding missed.
fn place_all(fleet: &Fleet, groups: &[Group]) -> Result<Vec<Place>, Vec<CellGroupId>> {
    let mut greedy = fleet.clone();
    let (mut places, mut missed) = (Vec::new(), Vec::new());
    for group in groups {
        if let Some(place) = greedy.places(group).first() {
            greedy.bind(*place, group);
            places.push(*place);
        } else {
            missed.push(group.at.clone());
        }
    }
    if missed.is_empty() {
        return Ok(places);
    }
    if !fleet.could_hold_all(groups) {
        return Err(missed);
    }
    search(fleet, groups).ok_or(missed)
}

#[derive(Clone, Debug)]
struct Group {
    at: CellGroupId,
    count: u64,
    size: usize,
    adjacency: Adjacency,
}

impl Group {
    const fn total(&self) -> u64 {
        self.count.saturating_mul(self.size as u64)
    }
}

/// Tightest groups first, larger before smaller: the order in which greedy placement fails least.
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
            at: CellGroupId { team, index },
            count: u64::from(cells.count),
            size: usize::try_from(cells.accelerators.get()).unwrap_or(usize::MAX),
            adjacency: cells.adjacency,
        }
    })
}

/// Depth first with the tightest place first, so that its first path is the greedy one.
fn search(fleet: &Fleet, groups: &[Group]) -> Option<Vec<Place>> {
    let mut open = Vec::new();
    let mut path = Vec::new();
    push_places(&mut open, fleet.clone(), groups, 0);
    for _step in 0..SEARCH_STEPS {
        let (depth, before, place) = open.pop()?;
        let mut fleet = Fleet::clone(&before);
        fleet.bind(place, &groups[depth]);
        path.truncate(depth);
        path.push(place);
        if depth + 1 == groups.len() {
            return Some(path);
        }
        push_places(&mut open, fleet, groups, depth + 1);
    }
    None
}

type Branch = (usize, Rc<Fleet>, Place);

fn push_places(open: &mut Vec<Branch>, fleet: Fleet, groups: &[Group], depth: usize) {
    let fleet = Rc::new(fleet);
    let places = fleet.places(&groups[depth]);
    let branches = places.into_iter().take(BRANCHES_MAX).rev();
    open.extend(branches.map(|place| (depth, Rc::clone(&fleet), place)));
}

/// Where a group of cells is bound.
#[derive(Clone, Copy, Debug)]
enum Place {
    Rack { zone: usize, rack: usize },
    Zone { zone: usize },
    Any,
}

/// How many cells were taken from one rack.
#[derive(Clone, Copy, Debug)]
struct Part {
    zone: usize,
    rack: usize,
    cells: u64,
}

impl Part {
    fn share(self, in_force: &ClusterConfig) -> Option<RackAllocation> {
        let zone = in_force.zones.values().nth(self.zone)?;
        Some(RackAllocation {
            zone: zone.name.clone(),
            rack: zone.racks.get(self.rack)?.name.clone(),
            cells: self.cells,
        })
    }
}

/// Free accelerators, as the number of workers for each count of free accelerators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rack {
    workers_by_free: [u64; WORKER_MAX + 1],
}

impl Rack {
    fn new(spec: &RackSpec) -> Self {
        let mut workers_by_free = [0; WORKER_MAX + 1];
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

    /// Takes a group that stands in one rack or on one worker; false where it does not fit.
    fn hold(&mut self, group: &Group) -> bool {
        let (count, size) = match group.adjacency {
            Adjacency::Worker => (1, usize::try_from(group.total()).unwrap_or(usize::MAX)),
            _ => (group.count, group.size),
        };
        self.take(count, size) == count
    }

    /// Takes up to `count` cells, from the workers with the least room first; gives how many.
    fn take(&mut self, count: u64, size: usize) -> u64 {
        let mut left = count;
        for free in size.max(1)..=WORKER_MAX {
            while left > 0 && self.workers_by_free[free] > 0 {
                left -= self.take_from(free, size, left);
            }
        }
        count - left
    }

    /// Takes cells from as many workers with `free` accelerators as can be filled alike.
    fn take_from(&mut self, free: usize, size: usize, left: u64) -> u64 {
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
struct Fleet {
    zones: Vec<Vec<Rack>>,
}

impl Fleet {
    fn new(in_force: &ClusterConfig) -> Self {
        let zones = in_force.zones.values();
        Self {
            zones: zones
                .map(|zone| zone.racks.iter().map(Rack::new).collect())
                .collect(),
        }
    }

    /// Whether each group fits an empty fleet and all fit by their number of accelerators.
    fn could_hold_all(&self, groups: &[Group]) -> bool {
        let wanted = groups
            .iter()
            .fold(0_u64, |sum, group| sum.saturating_add(group.total()));
        let free = self.zones.iter().flatten().map(Rack::free);
        wanted <= free.fold(0, u64::saturating_add)
            && groups.iter().all(|group| !self.places(group).is_empty())
    }

    /// The places that can hold the group, the tightest first and equal ones once.
    fn places(&self, group: &Group) -> Vec<Place> {
        match group.adjacency {
            Adjacency::Worker | Adjacency::Rack => self.racks_for(group),
            Adjacency::Zone => self.zones_for(group),
            Adjacency::Any => {
                let mut trial = self.clone();
                let fits = take_from_racks(trial.racks_mut(None), group);
                fits.map(|_parts| Place::Any).into_iter().collect()
            }
        }
    }

    fn racks_for(&self, group: &Group) -> Vec<Place> {
        let mut found: Vec<(u64, usize, usize)> = Vec::new();
        for (zone, racks) in self.zones.iter().enumerate() {
            for (index, rack) in racks.iter().enumerate() {
                let mut trial = *rack;
                if rack.free() >= group.total() && trial.hold(group) {
                    found.push((trial.free(), zone, index));
                }
            }
        }
        found.sort_unstable();
        found.dedup_by_key(|(_, zone, rack)| (*zone, self.zones[*zone][*rack]));
        let places = found.into_iter();
        places
            .map(|(_, zone, rack)| Place::Rack { zone, rack })
            .collect()
    }

    fn zones_for(&self, group: &Group) -> Vec<Place> {
        let mut found: Vec<(u64, usize)> = Vec::new();
        for (zone, racks) in self.zones.iter().enumerate() {
            let mut trial = racks.clone();
            let racks = trial.iter_mut().enumerate();
            let racks = racks.map(|(at, rack)| (zone, at, rack));
            if take_from_racks(racks, group).is_some() {
                let free = trial.iter().map(Rack::free);
                found.push((free.fold(0, u64::saturating_add), zone));
            }
        }
        found.sort_unstable();
        let places = found.into_iter();
        places.map(|(_, zone)| Place::Zone { zone }).collect()
    }

    /// Takes the group's cells at a place that [`Fleet::places`] gave for this very fleet.
    fn bind(&mut self, place: Place, group: &Group) -> Vec<Part> {
        let parts = match place {
            Place::Rack { zone, rack } => self.zones[zone][rack].hold(group).then(|| {
                let cells = group.count;
                vec![Part { zone, rack, cells }]
            }),
            Place::Zone { zone } => take_from_racks(self.racks_mut(Some(zone)), group),
            Place::Any => take_from_racks(self.racks_mut(None), group),
        };
        parts.expect("a place that was found holds the group")
    }

    /// The racks of one zone or of all, with their positions.
    fn racks_mut(
        &mut self,
        only: Option<usize>,
    ) -> impl Iterator<Item = (usize, usize, &mut Rack)> {
        let zones = self.zones.iter_mut().enumerate();
        let zones = zones.filter(move |(zone, _racks)| only.is_none_or(|only| only == *zone));
        zones.flat_map(|(zone, racks)| {
            let racks = racks.iter_mut().enumerate();
            racks.map(move |(at, rack)| (zone, at, rack))
        })
    }
}

/// Takes a group's cells from several racks, those with the least room first; none where they do
/// not fit.
fn take_from_racks<'a>(
    racks: impl Iterator<Item = (usize, usize, &'a mut Rack)>,
    group: &Group,
) -> Option<Vec<Part>> {
    let mut racks: Vec<_> = racks.collect();
    racks.sort_by_key(|(_zone, _at, rack)| rack.free());
    let mut left = group.count;
    let mut parts = Vec::new();
    for (zone, at, rack) in racks {
        if left == 0 {
            break;
        }
        let cells = rack.take(left, group.size);
        left -= cells;
        if cells > 0 {
            let rack = at;
            parts.push(Part { zone, rack, cells });
        }
    }
    (left == 0).then_some(parts)
}
