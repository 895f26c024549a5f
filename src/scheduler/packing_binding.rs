//! Binds an idle fleet according to the packing found when its release note was validated.
//!
//! A note is accepted only if a packing of all guarantees exists. In a fleet without slack a greedy
//! order alone may fail to find one.

use super::binding::{CellGroup, GuaranteeBindings, bind_cell, unbind_all};
use super::pool::WorkerPool;
use crate::release_note::{Adjacency, CellGroupId, ClusterConfig, RackAllocation, pack_guarantees};
use crate::units::Millis;

/// Binds all groups according to the packing. Returns false if some cell finds no worker; cells
/// bound so far stay bound.
pub(super) fn bind_from_packing(
    bindings: &mut GuaranteeBindings,
    in_force: &ClusterConfig,
    pool: &mut WorkerPool,
    now: Millis,
) -> bool {
    let Some(packing) = pack_guarantees(in_force) else {
        return false;
    };
    for group in &mut bindings.groups {
        unbind_all(group, pool);
    }
    packing.iter().all(|(at, shares)| {
        let Some(at) = group_position(bindings, at) else {
            return false;
        };
        let group = &mut bindings.groups[at];
        let bound = shares
            .iter()
            .all(|share| bind_share(group, share, pool, now));
        bound && group.missing() == 0
    })
}

/// The groups of a team are in the order of its guarantee.
fn group_position(bindings: &GuaranteeBindings, at: &CellGroupId) -> Option<usize> {
    bindings.by_team.get(&at.team)?.get(at.index).copied()
}

/// Binds cells of a group in one rack, on the workers with the least room first.
fn bind_share(
    group: &mut CellGroup,
    share: &RackAllocation,
    pool: &mut WorkerPool,
    now: Millis,
) -> bool {
    let Some(rack) = pool.find_rack(&share.zone, &share.rack) else {
        return false;
    };
    let size = group.spec.accelerators.0;
    let together = group.spec.adjacency == Adjacency::Worker;
    let mut workers: Vec<(u32, u32, u32)> = Vec::new();
    for ix in &pool.racks[rack as usize].workers {
        let worker = pool.worker(*ix);
        let fits = worker.bindable_cells(&group.team, size);
        let is_enough = fits > 0 && (!together || u64::from(fits) >= share.cells);
        if worker.is_usable(now) && is_enough {
            workers.push((worker.unreserved_room().accelerators, *ix, fits));
        }
    }
    workers.sort_unstable();
    let mut remaining = share.cells;
    for (_room, ix, fits) in workers {
        let taken = u64::from(fits).min(remaining);
        for _cell in 0..taken {
            bind_cell(group, pool, ix);
        }
        remaining -= taken;
    }
    remaining == 0
}
