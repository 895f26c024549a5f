use std::collections::{BTreeMap, BTreeSet};

use super::max_min::max_min_shares;
use crate::control::{EndpointCapacity, EndpointUsage};
use crate::fleet::{ANNOUNCEMENT_TTL_MS, EndpointAnnouncement};
use crate::release_note::ClusterConfig;
use crate::router::check_announcement;
use crate::units::{EntryId, Incarnation, Millis, Slots};

/// Maximum delay of an announcement in transit.
///
/// An announcement received sooner after work was orphaned may have been sent before, so its usage
/// does not show whether that work has ended.
pub(super) const ANNOUNCEMENT_DELAY_MAX_MS: Millis = Millis(500);

/// One incarnation of an entry's process, as the holder of shares.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Holder {
    pub(super) entry: EntryId,
    pub(super) incarnation: Incarnation,
}

/// One entry's share and usage of an endpoint, in slots.
#[derive(Clone, Debug, Default)]
pub(super) struct Holding {
    /// The share in the holder's latest version.
    pub(super) assigned: u32,
    /// Maximum number of slots that the holder may use until it acknowledges a smaller share.
    pub(super) usage_limit: u32,
    /// The share version of the holder in which this share last changed.
    pub(super) assigned_version: u64,
    /// Whether the share has changed since the holder's version was last raised.
    pub(super) unpublished: bool,
    /// Slots and connections in use, as last reported by the holder.
    pub(super) used: EndpointCapacity,
    /// Requests queued for the endpoint's service at the holder.
    pub(super) waiting: u32,
    /// Abandoned slots and connections of the holder that have been deducted from its share.
    pub(super) abandoned_acked: EndpointCapacity,
}

/// An endpoint as known to the leader: its last announcement and the shares of its holders.
///
/// Slots are assigned together with a proportional number of connections each.
#[derive(Clone, Debug)]
pub(super) struct SharedEndpoint {
    pub(super) announcement: EndpointAnnouncement,
    pub(super) heard_ms: Millis,
    pub(super) holdings: BTreeMap<Holder, Holding>,
    /// Slots that may still be in use by work no holder accounts for: that of lost holders, and
    /// work that holders abandoned.
    pub(super) orphaned_slots: u32,
    /// Connections that may still be open in the same way.
    pub(super) orphaned_connections: u32,
    /// When slots or connections were last orphaned.
    pub(super) orphaned_since_ms: Millis,
    /// Whether shares must be rebalanced although no holder lacks a slot.
    pub(super) needs_rebalance: bool,
    /// Index of the holder that wins ties, derived from the endpoint's name to spread remainders.
    pub(super) rotation: usize,
}

impl SharedEndpoint {
    pub(super) fn new(announcement: EndpointAnnouncement, now: Millis) -> Self {
        let orphaned_slots = announcement.slots_used.get();
        let orphaned_connections = announcement.connections_used.get();
        let rotation = announcement
            .endpoint
            .as_str()
            .bytes()
            .fold(0, |sum: usize, byte| {
                sum.wrapping_mul(31).wrapping_add(usize::from(byte))
            });
        Self {
            announcement,
            heard_ms: now,
            holdings: BTreeMap::new(),
            orphaned_slots,
            orphaned_connections,
            orphaned_since_ms: now,
            needs_rebalance: true,
            rotation: rotation % 1_024,
        }
    }

    /// Records a newer announcement and lowers the orphaned slots and connections to those that the
    /// endpoint reports in use.
    pub(super) fn renew(&mut self, announcement: &EndpointAnnouncement, now: Millis) {
        let restarted = announcement.incarnation > self.announcement.incarnation;
        let resized = announcement.slots != self.announcement.slots
            || announcement.connections != self.announcement.connections;
        self.announcement = announcement.clone();
        self.heard_ms = now;
        self.needs_rebalance |= resized;
        if restarted {
            self.reset_usage();
        }
        if restarted || now.since(self.orphaned_since_ms) >= ANNOUNCEMENT_DELAY_MAX_MS {
            self.orphaned_slots = self.orphaned_slots.min(announcement.slots_used.get());
            self.orphaned_connections = self
                .orphaned_connections
                .min(announcement.connections_used.get());
        }
    }

    /// Resets the usage of all holders after a restart, since all work ended with the old process.
    fn reset_usage(&mut self) {
        for holding in self.holdings.values_mut() {
            holding.used = EndpointCapacity::default();
            holding.abandoned_acked = EndpointCapacity::default();
        }
    }

    /// Records an entry's usage report; returns true if its share changed.
    pub(super) fn observe_usage(
        &mut self,
        holder: &Holder,
        report: &EndpointUsage,
        acknowledged: u64,
        now: Millis,
    ) -> bool {
        if report.incarnation != self.announcement.incarnation {
            return false;
        }
        let holding = self.holdings.entry(holder.clone()).or_default();
        holding.used = EndpointCapacity {
            slots: report.slots,
            connections: report.connections,
        };
        holding.waiting = report.waiting;
        let changed = self.orphan_abandoned(holder, report, now);
        self.acknowledge(holder, acknowledged);
        changed
    }

    /// Adopts the share that an earlier leader assigned.
    pub(super) fn adopt(&mut self, holder: &Holder, report: &EndpointUsage) {
        if report.incarnation != self.announcement.incarnation {
            return;
        }
        let holding = self.holdings.entry(holder.clone()).or_default();
        holding.assigned = report.share.slots.get();
        holding.usage_limit = holding.assigned.max(report.slots.get());
        holding.used = EndpointCapacity {
            slots: report.slots,
            connections: report.connections,
        };
        holding.waiting = report.waiting;
        holding.abandoned_acked = report.abandoned_acked;
    }

    /// Records that an entry's report omits this endpoint, so that it has nothing in progress
    /// there.
    pub(super) fn acknowledge_unused(&mut self, holder: &Holder, acknowledged: u64) {
        if let Some(holding) = self.holdings.get_mut(holder) {
            holding.used = EndpointCapacity::default();
            holding.waiting = 0;
        }
        self.acknowledge(holder, acknowledged);
    }

    /// Moves newly abandoned slots and connections from the holder's share to the orphaned ones;
    /// returns true if there were any.
    fn orphan_abandoned(&mut self, holder: &Holder, report: &EndpointUsage, now: Millis) -> bool {
        let Some(holding) = self.holdings.get_mut(holder) else {
            return false;
        };
        let slots = report
            .abandoned
            .slots
            .saturating_sub(holding.abandoned_acked.slots);
        let connections = report
            .abandoned
            .connections
            .saturating_sub(holding.abandoned_acked.connections);
        if slots == Slots::ZERO && connections == Slots::ZERO {
            return false;
        }
        holding.abandoned_acked = report.abandoned;
        holding.assign(holding.assigned.saturating_sub(slots.get()));
        holding.usage_limit = holding.usage_limit.saturating_sub(slots.get());
        holding.used.slots = holding.used.slots.saturating_sub(slots);
        self.orphaned_slots = self.orphaned_slots.saturating_add(slots.get());
        self.orphaned_connections = self.orphaned_connections.saturating_add(connections.get());
        self.orphaned_since_ms = now;
        true
    }

    /// Lowers the usage limit to the share, or to what is in progress if that is more, once the
    /// holder acknowledges a version that contains the latest share.
    fn acknowledge(&mut self, holder: &Holder, acknowledged: u64) {
        if let Some(holding) = self.holdings.get_mut(holder)
            && acknowledged >= holding.assigned_version
            && !holding.unpublished
        {
            holding.usage_limit = holding.assigned.max(holding.used.slots.get());
        }
    }

    /// Removes a lost holder. Its slots become free only once the endpoint reports them unused.
    pub(super) fn remove_holder(&mut self, holder: &Holder, now: Millis) {
        let per_slot = self.connections_per_slot();
        let Some(holding) = self.holdings.remove(holder) else {
            return;
        };
        let slots = holding.usage_limit;
        let connections = slots
            .saturating_mul(per_slot)
            .max(holding.used.connections.get());
        if slots == 0 && connections == 0 {
            return;
        }
        self.orphaned_slots = self.orphaned_slots.saturating_add(slots);
        self.orphaned_connections = self.orphaned_connections.saturating_add(connections);
        self.orphaned_since_ms = now;
        self.needs_rebalance = true;
    }

    /// Counts all slots that no known holder accounts for as orphaned.
    ///
    /// An earlier leader may have assigned them to entries that this leader has never heard from,
    /// so they count as in use until the endpoint reports them free.
    pub(super) fn orphan_unheld(&mut self, now: Millis) {
        let held: u32 = self
            .holdings
            .values()
            .map(|holding| holding.usage_limit)
            .sum();
        self.orphaned_slots = self.slots().saturating_sub(held);
        self.orphaned_connections = self
            .orphaned_slots
            .saturating_mul(self.connections_per_slot());
        self.orphaned_since_ms = now;
    }

    /// Whether new work may be sent to it: it announced itself recently, is not leaving, and the
    /// state in force accepts it.
    pub(super) fn is_usable(&self, in_force: &ClusterConfig, now: Millis) -> bool {
        let zone_in = crate::router::accepts_new_work(
            &self.announcement.endpoint,
            &self.announcement.zone,
            in_force,
        );
        let heard = now.since(self.heard_ms) <= ANNOUNCEMENT_TTL_MS;
        heard
            && zone_in
            && !self.announcement.leaving
            && check_announcement(&self.announcement, in_force).is_ok()
    }

    /// Slots that can have at least one connection each.
    pub(super) fn slots(&self) -> u32 {
        let announced = &self.announcement;
        announced.slots.get().min(announced.connections.get())
    }

    pub(super) fn connections_per_slot(&self) -> u32 {
        let slots = self.announcement.slots.get().max(1);
        (self.announcement.connections.get() / slots).max(1)
    }

    /// Slots that can be assigned now.
    fn free_slots(&self) -> u32 {
        let per_slot = self.connections_per_slot();
        let mut slots = self.orphaned_slots;
        let mut connections = self.orphaned_connections;
        for holding in self.holdings.values() {
            let reserved = holding.usage_limit.saturating_mul(per_slot);
            slots = slots.saturating_add(holding.usage_limit);
            connections = connections.saturating_add(reserved.max(holding.used.connections.get()));
        }
        let free_connections = self
            .announcement
            .connections
            .get()
            .saturating_sub(connections);
        let free = self.slots().saturating_sub(slots);
        free.min(free_connections / per_slot)
    }

    /// Records that a holder gave up its share; returns true if its share had to be reduced.
    ///
    /// The holder ignores answers to earlier exchanges, so only its work in progress counts as
    /// used, and it keeps as much of the share as is free. Before the allocator has `settled`,
    /// other holders may be unknown, so none of an adopted share is assigned again.
    pub(super) fn release_share(&mut self, holder: &Holder, settled: bool) -> bool {
        let Some(holding) = self.holdings.get_mut(holder) else {
            return false;
        };
        let (used, assigned) = (holding.used.slots.get(), holding.assigned);
        holding.usage_limit = used;
        let kept = if settled {
            assigned.min(used.saturating_add(self.free_slots()))
        } else {
            0
        };
        if let Some(holding) = self.holdings.get_mut(holder) {
            holding.usage_limit = kept.max(used);
            if kept < assigned {
                holding.assign(kept);
            }
        }
        kept < assigned
    }

    /// Sets all shares to zero and returns the holders that had one.
    pub(super) fn withdraw_shares(&mut self) -> BTreeSet<Holder> {
        let mut changed = BTreeSet::new();
        for (holder, holding) in &mut self.holdings {
            if holding.assigned > 0 {
                holding.assign(0);
                changed.insert(holder.clone());
            }
        }
        changed
    }

    /// Moves shares towards the demand of the `active` holders and returns those whose share
    /// changed.
    ///
    /// `service_endpoints` is the number of usable endpoints of the same service.
    pub(super) fn rebalance(
        &mut self,
        active: &[Holder],
        service_endpoints: u32,
    ) -> BTreeSet<Holder> {
        for holder in active {
            self.holdings.entry(holder.clone()).or_default();
        }
        let mut changed = BTreeSet::new();
        self.withdraw_inactive(active, &mut changed);
        if active.is_empty() {
            return changed;
        }
        let total = self.slots().saturating_sub(self.orphaned_slots);
        let demands: Vec<u32> = active
            .iter()
            .map(|h| self.holdings[h].demand(service_endpoints))
            .collect();
        let assigned: Vec<u32> = active.iter().map(|h| self.holdings[h].assigned).collect();
        let lacking = demands
            .iter()
            .zip(&assigned)
            .any(|(demand, assigned)| demand > assigned);
        let over = assigned.iter().sum::<u32>() > total;
        let target = max_min_shares(total, &demands, self.rotation % active.len());
        if lacking || over || self.needs_rebalance {
            self.lower_shares(active, &target, &mut changed);
        }
        self.needs_rebalance = false;
        self.raise_shares(active, &target, &mut changed);
        changed
    }

    fn withdraw_inactive(&mut self, active: &[Holder], changed: &mut BTreeSet<Holder>) {
        for (holder, holding) in &mut self.holdings {
            if holding.assigned > 0 && !active.contains(holder) {
                holding.assign(0);
                changed.insert(holder.clone());
            }
        }
    }

    fn lower_shares(&mut self, active: &[Holder], target: &[u32], changed: &mut BTreeSet<Holder>) {
        for (holder, &wanted) in active.iter().zip(target) {
            if let Some(holding) = self.holdings.get_mut(holder)
                && wanted < holding.assigned
            {
                holding.assign(wanted);
                changed.insert(holder.clone());
            }
        }
    }

    /// Assigns free slots, first to the shares furthest below their target, then to the smallest.
    fn raise_shares(&mut self, active: &[Holder], target: &[u32], changed: &mut BTreeSet<Holder>) {
        let mut free = self.free_slots();
        while free > 0 {
            let count = active.len();
            let next = (0..count)
                .map(|offset| (self.rotation + offset) % count)
                .max_by_key(|&index| {
                    let assigned = self.holdings[&active[index]].assigned;
                    let behind = target[index].saturating_sub(assigned);
                    (behind, u32::MAX - assigned, count - index)
                });
            let Some(index) = next else {
                return;
            };
            let Some(holding) = self.holdings.get_mut(&active[index]) else {
                return;
            };
            holding.assign(holding.assigned + 1);
            if holding.assigned > holding.usage_limit {
                holding.usage_limit = holding.assigned;
                free -= 1;
            }
            changed.insert(active[index].clone());
        }
    }
}

impl Holding {
    /// Changes the share; it takes effect with the holder's next version.
    fn assign(&mut self, assigned: u32) {
        self.assigned = assigned;
        self.unpublished = true;
    }

    /// Records the first version that contains the changed share.
    pub(super) const fn publish(&mut self, version: u64) {
        if self.unpublished {
            self.assigned_version = version;
            self.unpublished = false;
        }
    }

    /// Slots that the holder can use now: those in use, and this endpoint's part of the requests
    /// that are queued for the service.
    fn demand(&self, service_endpoints: u32) -> u32 {
        let waiting = self.waiting.div_ceil(service_endpoints.max(1));
        self.used.slots.get().saturating_add(waiting)
    }
}
