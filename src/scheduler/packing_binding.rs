//! The binding of an idle fleet as the check of the note found it.
//!
//! A note is accepted only with a binding of all guarantees in hand; a greedy order alone may miss
//! it in fleets that are packed to the last cell.

use super::binding::{CellGroup, GuaranteeBindings, bind_cell, unbind_all};
use super::pool::WorkerPool;
use crate::release_note::{Adjacency, GroupAt, InForce, Share, packing};
use crate::units::Millis;

/// Binds all groups as the check of the note did; false where some cell finds no worker, with the
/// groups left as far as they got.
pub(super) fn bind_from_packing(
    bindings: &mut GuaranteeBindings,
    in_force: &InForce,
    pool: &mut WorkerPool,
    now: Millis,
) -> bool {
    let Some(packing) = packing(in_force) else {
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

/// The groups of a team stand in the order of its guarantee.
fn group_position(bindings: &GuaranteeBindings, at: &GroupAt) -> Option<usize> {
    bindings.by_team.get(&at.team)?.get(at.index).copied()
}

/// Binds a group's cells in one rack, on the workers with the least room first.
fn bind_share(group: &mut CellGroup, share: &Share, pool: &mut WorkerPool, now: Millis) -> bool {
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
