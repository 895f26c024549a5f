use std::collections::{BTreeMap, BTreeSet};

use super::max_min::max_min_shares;
use crate::control::{EndpointCapacity, EndpointUsage};
use crate::fleet::{ANNOUNCEMENT_TTL_MS, EndpointAnnouncement};
use crate::release_note::InForce;
use crate::router::check_announcement;
use crate::units::{EntryId, Incarnation, Millis, Slots};

/// How long an announcement may have travelled; an older one says nothing about work given up since.
pub(super) const ANNOUNCEMENT_DELAY_MAX_MS: Millis = Millis(500);

/// One run of an entry's process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Holder {
    pub(super) entry: EntryId,
    pub(super) incarnation: Incarnation,
}

/// What one entry holds of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Holding {
    /// The share in the holder's newest version.
    pub(super) assigned: u32,
    /// The most slots that it may use until it acknowledges a smaller share.
    pub(super) usage_limit: u32,
    /// The holder's version in which the share last changed.
    pub(super) assigned_version: u64,
    /// Whether the share changed since the holder's version was last raised.
    pub(super) unpublished: bool,
    pub(super) used: EndpointCapacity,
    pub(super) waiting: u32,
    pub(super) abandoned_acked: EndpointCapacity,
}

/// An endpoint on the leader: what it announced and who holds how much of it.
///
/// Slots are divided in bundles of one slot with its part of the connections.
#[derive(Clone, Debug)]
pub(super) struct SharedEndpoint {
    pub(super) announcement: EndpointAnnouncement,
    pub(super) heard_ms: Millis,
    pub(super) holdings: BTreeMap<Holder, Holding>,
    /// Slots that lost holders may still use.
    pub(super) orphaned_slots: u32,
    /// Connections that lost holders may still have open.
    pub(super) orphaned_connections: u32,
    pub(super) orphaned_since_ms: Millis,
    /// Whether holdings must be evened out although nobody lacks a slot.
    pub(super) needs_rebalance: bool,
    /// Where equal shares start to be handed out.
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

    /// Takes a newer announcement; what lost holders may still use falls to what is in use.
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

    /// The work of an earlier process has ended with it.
    fn reset_usage(&mut self) {
        for holding in self.holdings.values_mut() {
            holding.used = EndpointCapacity::default();
            holding.abandoned_acked = EndpointCapacity::default();
        }
    }

    /// Takes an entry's report; true where its share changed.
    pub(super) fn observe_use(
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

    /// Takes over the share that an earlier leader gave.
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

    /// An endpoint that an entry no longer names has nothing of it in progress.
    pub(super) fn acknowledge_unused(&mut self, holder: &Holder, acknowledged: u64) {
        if let Some(holding) = self.holdings.get_mut(holder) {
            holding.used = EndpointCapacity::default();
            holding.waiting = 0;
        }
        self.acknowledge(holder, acknowledged);
    }

    /// Moves what an entry gave up from its share to what lost holders may still use.
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

    /// From its acknowledgement on a holder uses no more than its share and what is in progress.
    fn acknowledge(&mut self, holder: &Holder, acknowledged: u64) {
        if let Some(holding) = self.holdings.get_mut(holder)
            && acknowledged >= holding.assigned_version
            && !holding.unpublished
        {
            holding.usage_limit = holding.assigned.max(holding.used.slots.get());
        }
    }

    /// A lost holder's slots return only as the endpoint shows them free.
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

    /// Slots that nobody else can account for: what an earlier leader may have given to holders
    /// that were never heard of counts as in use until the endpoint shows it free.
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

    /// Whether new work may go there at all.
    pub(super) fn is_usable(&self, in_force: &InForce, now: Millis) -> bool {
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

    /// Slots that have a connection each.
    pub(super) fn slots(&self) -> u32 {
        let announced = &self.announcement;
        announced.slots.get().min(announced.connections.get())
    }

    pub(super) fn connections_per_slot(&self) -> u32 {
        let slots = self.announcement.slots.get().max(1);
        (self.announcement.connections.get() / slots).max(1)
    }

    /// Slots that may be handed out now.
    fn free_slots(&self) -> u32 {
        let per_slot = self.connections_per_slot();
        let mut slots = self.orphaned_slots;
        let mut connections = self.orphaned_connections;
        for holding in self.holdings.values() {
            let of_slots = holding.usage_limit.saturating_mul(per_slot);
            slots = slots.saturating_add(holding.usage_limit);
            connections = connections.saturating_add(of_slots.max(holding.used.connections.get()));
        }
        let free_connections = self
            .announcement
            .connections
            .get()
            .saturating_sub(connections);
        let free = self.slots().saturating_sub(slots);
        free.min(free_connections / per_slot)
    }

    /// Notes that a holder has dropped its share; true where it cannot have all of it again.
    ///
    /// It takes no answer to an earlier exchange any more, so only what it has in progress counts.
    /// Until a new leader knows all holders (`settled`), it gives back nothing of what it adopted.
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

    /// Takes all shares away and gives those who had one.
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

    /// Moves shares towards the needs of `active` holders and gives those whose share changed.
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

    /// Hands out free slots, those most behind their target first, then the smallest.
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
    /// Changes the share; it counts from the holder's next version on.
    fn assign(&mut self, assigned: u32) {
        self.assigned = assigned;
        self.unpublished = true;
    }

    /// Notes the version in which a changed share stands for the first time.
    pub(super) const fn publish(&mut self, version: u64) {
        if self.unpublished {
            self.assigned_version = version;
            self.unpublished = false;
        }
    }

    /// Slots that the holder could use now, counting its part of what waits for the service.
    fn demand(&self, service_endpoints: u32) -> u32 {
        let waiting = self.waiting.div_ceil(service_endpoints.max(1));
        self.used.slots.get().saturating_add(waiting)
    }
}
