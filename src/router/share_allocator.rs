use std::collections::{BTreeMap, BTreeSet};

use smol_str::{SmolStr, format_smolstr};

use super::announcement_check::check_announcement;
use super::entry_shares::{EntryRecord, ListedEndpoint, is_newer, share_of};
use super::shared_endpoint::{ANNOUNCEMENT_DELAY_MAX_MS, Holder, SharedEndpoint};
use crate::control::{EndpointShare, EndpointUsage, ExchangeRequest, GRANT_MS};
use crate::fleet::{ANNOUNCEMENT_TTL_MS, AnnouncementResponse, EndpointAnnouncement};
use crate::release_note::ClusterConfig;
use crate::units::{EndpointId, EntryId, Incarnation, Millis, Sequence, ServiceName};

/// Interval between an endpoint's announcements when the allocator does not wait for its usage.
const RENEW_MS: Millis = Millis(2_000);
/// Minimum interval between announcements that an endpoint is asked for.
const RENEW_MIN_MS: Millis = Millis(100);
/// How long an endpoint is remembered after its last announcement.
const ENDPOINT_RETENTION_MS: Millis = Millis(60_000);
/// Maximum number of known endpoints.
const ENDPOINTS_MAX: usize = 4_096;

/// Divides the slots and connections of announced endpoints among entries.
///
/// For each endpoint, the usage limits of all entries plus the capacity that lost entries may still
/// use never exceed what the endpoint announced. After an election the new allocator adopts the
/// shares that entries report. The rest is assigned once all grants of earlier leaders have expired
/// and the endpoint reports it free.
///
/// An entry whose grant expires gives up its shares and reports version 0 from then on, because
/// another entry may hold them by the time it reaches the leader again. No assigned version is 0,
/// so the entry always receives new shares.
#[derive(Clone, Debug, Default)]
pub struct ShareAllocator {
    /// When all grants of earlier leaders have expired, which ends the settling period; none until
    /// the first call.
    settles_at_ms: Option<Millis>,
    settled: bool,
    entries: BTreeMap<Holder, EntryRecord>,
    endpoints: BTreeMap<EndpointId, SharedEndpoint>,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
}

impl ShareAllocator {
    /// Creates the allocator of a leader that has just been elected.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes an endpoint's announcement; a refused one has no effect.
    pub fn observe_announcement(
        &mut self,
        announcement: &EndpointAnnouncement,
        in_force: &ClusterConfig,
        now: Millis,
    ) -> AnnouncementResponse {
        self.start_settling(now);
        if let Err(reason) = self.check(announcement, in_force, now) {
            return AnnouncementResponse::Refused { reason };
        }
        match self.endpoints.get_mut(&announcement.endpoint) {
            Some(known) if is_newer(announcement, &known.announcement) => {
                known.renew(announcement, now);
            }
            Some(_) => {}
            None => self.add_endpoint(announcement, now),
        }
        AnnouncementResponse::Accepted {
            renew_ms: self.renew_ms(&announcement.endpoint, now),
        }
    }

    /// Processes an entry's exchange: its usage, and the version of the shares that it
    /// acknowledges.
    ///
    /// An exchange no newer than the last one is ignored.
    pub fn observe_entry(&mut self, request: &ExchangeRequest, now: Millis) {
        self.start_settling(now);
        let holder = Holder {
            entry: request.entry.clone(),
            incarnation: request.incarnation,
        };
        let settled = self.settled;
        let is_new = !self.entries.contains_key(&holder);
        let record = self.entries.entry(holder.clone()).or_insert(EntryRecord {
            sequence: Sequence::ZERO,
            version: request.shares_version,
            leaving: false,
            usage: Vec::new(),
            frozen: true,
        });
        if !is_new && request.sequence <= record.sequence {
            return;
        }
        if request.shares_version > record.version {
            record.version = request.shares_version.saturating_add(1);
        }
        if is_new && (settled || request.shares_version == 0) {
            record.frozen = false;
            record.version = request.shares_version.saturating_add(1);
        }
        record.sequence = request.sequence;
        record.leaving = request.leaving;
        record.usage.clone_from(&request.usage);
        let adopts = is_new && !settled;
        self.apply_usage(&holder, request, adopts, now);
        if request.shares_version == 0 && !is_new {
            self.release_shares(&holder);
        }
        if is_new {
            self.request_rebalance();
        }
    }

    /// Removes an entry whose grant has certainly expired.
    pub fn expire_entry(&mut self, entry: &EntryId, incarnation: Incarnation, now: Millis) {
        self.start_settling(now);
        let holder = Holder {
            entry: entry.clone(),
            incarnation,
        };
        self.entries.remove(&holder);
        for endpoint in self.endpoints.values_mut() {
            endpoint.remove_holder(&holder, now);
        }
    }

    /// Rebalances shares towards demand.
    ///
    /// Must be called at least every 100 ms and after each release note.
    pub fn tick(&mut self, in_force: &ClusterConfig, now: Millis) {
        self.start_settling(now);
        self.settle(now);
        self.remove_silent(now);
        self.unfreeze();
        let usable = self.usable(in_force, now);
        let endpoints_per_service = self.endpoints_per_service(&usable);
        let active: Vec<Holder> = self
            .entries
            .iter()
            .filter(|(_, record)| !record.leaving && !record.frozen)
            .map(|(holder, _)| holder.clone())
            .collect();
        let mut changed = self.update_listed(&usable);
        for (id, endpoint) in &mut self.endpoints {
            if !usable.contains(id) {
                changed.append(&mut endpoint.withdraw_shares());
            } else if self.settled {
                let endpoints_per_service = endpoints_per_service
                    .get(&endpoint.announcement.service)
                    .copied();
                changed
                    .append(&mut endpoint.rebalance(&active, endpoints_per_service.unwrap_or(1)));
            }
        }
        self.raise_versions(&changed);
    }

    /// Returns the shares of one entry; endpoints that accept no new work are omitted.
    #[must_use]
    pub fn shares_for(&self, entry: &EntryId, incarnation: Incarnation) -> Vec<EndpointShare> {
        let holder = Holder {
            entry: entry.clone(),
            incarnation,
        };
        self.listed
            .keys()
            .filter_map(|id| self.endpoints.get(id))
            .map(|endpoint| share_of(endpoint, &holder))
            .collect()
    }

    /// Returns the version of an entry's shares; 0 if the entry is unknown. An entry that reports
    /// another version must be sent its shares again.
    #[must_use]
    pub fn shares_version(&self, entry: &EntryId, incarnation: Incarnation) -> u64 {
        let holder = Holder {
            entry: entry.clone(),
            incarnation,
        };
        self.entries.get(&holder).map_or(0, |record| record.version)
    }

    /// Returns the last announcement of each endpoint.
    #[must_use]
    pub fn endpoints(&self) -> Vec<EndpointAnnouncement> {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.announcement.clone())
            .collect()
    }

    fn start_settling(&mut self, now: Millis) {
        self.settles_at_ms
            .get_or_insert_with(|| now.saturating_add(GRANT_MS.with_clock_margin()));
    }

    fn check(
        &self,
        announcement: &EndpointAnnouncement,
        in_force: &ClusterConfig,
        now: Millis,
    ) -> Result<(), SmolStr> {
        check_announcement(announcement, in_force)?;
        let id = &announcement.endpoint;
        if let Some(known) = self.endpoints.get(id) {
            let known = known.announcement.incarnation;
            if announcement.incarnation < known {
                return Err(format_smolstr!(
                    "incarnation {} of {id} has been replaced by {known}",
                    announcement.incarnation
                ));
            }
        } else if self.endpoints.len() >= ENDPOINTS_MAX {
            return Err(format_smolstr!(
                "{ENDPOINTS_MAX} endpoints are known already"
            ));
        }
        let taken = self.endpoints.values().find(|other| {
            other.announcement.address == announcement.address
                && other.announcement.endpoint != *id
                && !other.announcement.leaving
                && now.since(other.heard_ms) <= ANNOUNCEMENT_TTL_MS
        });
        match taken {
            Some(other) => Err(format_smolstr!(
                "address {} belongs to endpoint {}",
                announcement.address,
                other.announcement.endpoint
            )),
            None => Ok(()),
        }
    }

    fn add_endpoint(&mut self, announcement: &EndpointAnnouncement, now: Millis) {
        let id = announcement.endpoint.clone();
        self.endpoints
            .insert(id.clone(), SharedEndpoint::new(announcement.clone(), now));
        if self.settled {
            return;
        }
        for (holder, record) in &mut self.entries {
            let report = record.usage.iter().find(|usage| usage.endpoint == id);
            if let Some((report, endpoint)) = report.zip(self.endpoints.get_mut(&id)) {
                endpoint.adopt(holder, report);
            }
        }
    }

    fn apply_usage(
        &mut self,
        holder: &Holder,
        request: &ExchangeRequest,
        adopts: bool,
        now: Millis,
    ) {
        let mut changed = BTreeSet::new();
        for report in &request.usage {
            let Some(endpoint) = self.endpoints.get_mut(&report.endpoint) else {
                continue;
            };
            if adopts {
                endpoint.adopt(holder, report);
            }
            if endpoint.observe_usage(holder, report, request.shares_version, now) {
                changed.insert(holder.clone());
            }
        }
        self.acknowledge_omitted(holder, request);
        self.raise_versions(&changed);
    }

    /// Releases the shares of an entry that reports version 0 because its grant expired.
    fn release_shares(&mut self, holder: &Holder) {
        let mut changed = BTreeSet::new();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.release_share(holder, self.settled) {
                changed.insert(holder.clone());
            }
        }
        self.raise_versions(&changed);
    }

    /// Counts endpoints that the entry's report omits as unused by it.
    fn acknowledge_omitted(&mut self, holder: &Holder, request: &ExchangeRequest) {
        let reported: BTreeSet<&EndpointId> = request.usage.iter().map(|u| &u.endpoint).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !reported.contains(id) {
                endpoint.acknowledge_unused(holder, request.shares_version);
            }
        }
    }

    /// Ends the settling period once all grants of earlier leaders have expired.
    fn settle(&mut self, now: Millis) {
        let due = self
            .settles_at_ms
            .is_some_and(|settles_at_ms| now >= settles_at_ms);
        if self.settled || !due {
            return;
        }
        self.settled = true;
        for record in self.entries.values_mut().filter(|record| record.frozen) {
            record.frozen = false;
            record.version = record.version.saturating_add(1);
        }
        for endpoint in self.endpoints.values_mut() {
            endpoint.orphan_unheld(now);
        }
    }

    /// Starts to assign shares to entries that kept those of an earlier leader, once all endpoints
    /// that they use have announced themselves to this leader.
    fn unfreeze(&mut self) {
        for record in self.entries.values_mut().filter(|record| record.frozen) {
            let known = |usage: &EndpointUsage| self.endpoints.contains_key(&usage.endpoint);
            if record.usage.iter().all(known) {
                record.frozen = false;
                record.version = record.version.saturating_add(1);
            }
        }
    }

    fn remove_silent(&mut self, now: Millis) {
        self.endpoints
            .retain(|_, endpoint| now.since(endpoint.heard_ms) <= ENDPOINT_RETENTION_MS);
    }

    fn usable(&self, in_force: &ClusterConfig, now: Millis) -> BTreeSet<EndpointId> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_usable(in_force, now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn endpoints_per_service(&self, usable: &BTreeSet<EndpointId>) -> BTreeMap<ServiceName, u32> {
        let mut endpoints_per_service = BTreeMap::new();
        for endpoint in usable.iter().filter_map(|id| self.endpoints.get(id)) {
            *endpoints_per_service
                .entry(endpoint.announcement.service.clone())
                .or_insert(0) += 1;
        }
        endpoints_per_service
    }

    /// Updates the endpoints that are listed to entries; returns all entries if the list changed,
    /// since each needs a new version.
    fn update_listed(&mut self, usable: &BTreeSet<EndpointId>) -> BTreeSet<Holder> {
        let listed: BTreeMap<EndpointId, ListedEndpoint> = usable
            .iter()
            .filter_map(|id| Some((id.clone(), ListedEndpoint::of(self.endpoints.get(id)?))))
            .collect();
        if listed == self.listed {
            return BTreeSet::new();
        }
        self.listed = listed;
        self.entries.keys().cloned().collect()
    }

    /// Raises the share version of holders; until they acknowledge it, their previous shares count
    /// as in use.
    fn raise_versions(&mut self, changed: &BTreeSet<Holder>) {
        for holder in changed {
            let Some(record) = self.entries.get_mut(holder) else {
                continue;
            };
            let next = record.version.saturating_add(1);
            if !record.frozen {
                record.version = next;
            }
            for endpoint in self.endpoints.values_mut() {
                if let Some(holding) = endpoint.holdings.get_mut(holder) {
                    holding.publish(next);
                }
            }
        }
    }

    fn request_rebalance(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.needs_rebalance = true;
        }
    }

    fn renew_ms(&self, id: &EndpointId, now: Millis) -> Millis {
        if !self.settled {
            let settles_at_ms = self.settles_at_ms.unwrap_or(now);
            let wait_ms = settles_at_ms
                .since(now)
                .saturating_add(ANNOUNCEMENT_DELAY_MAX_MS);
            return wait_ms.clamp(RENEW_MIN_MS, RENEW_MS);
        }
        let has_orphans = self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.orphaned_slots > 0 || endpoint.orphaned_connections > 0
        });
        if has_orphans {
            ANNOUNCEMENT_DELAY_MAX_MS
        } else {
            RENEW_MS
        }
    }
}
