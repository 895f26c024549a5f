//! Division of endpoint capacity among entries.
//!
//! Entries together must never use more of an endpoint than it announced, whatever exchanges,
//! entries or leaders are lost, and demand must be able to reach all of it.

#[path = "support/shares.rs"]
mod shares;

use marjoramknot::control::{
    EndpointCapacity, EndpointShare, EndpointUsage, ExchangeRequest, GRANT_MS,
};
use marjoramknot::fleet::{AnnouncementResponse, EndpointAnnouncement};
use marjoramknot::release_note::{ClusterConfig, ZoneState};
use marjoramknot::router::ShareAllocator;
use marjoramknot::units::{EndpointId, EntryId, Incarnation, Millis, Revision, Sequence, Slots};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const TICK_MS: u64 = 100;

/// A simulated entry: what it reports to the leader and runs on endpoints.
#[derive(Clone)]
struct Entry {
    id: EntryId,
    incarnation: Incarnation,
    sequence: u64,
    version: u64,
    granted_until_ms: u64,
    last_answer_ms: u64,
    shares: BTreeMap<EndpointId, EndpointShare>,
    running: BTreeMap<EndpointId, u32>,
    abandoned: BTreeMap<EndpointId, u32>,
    waiting: u32,
    connected: bool,
    /// Whether answers of the leader reach the entry.
    answers_arrive: bool,
    leaving: bool,
}

/// A simulated leader with its entries, and endpoints that count the requests that actually run.
struct Cluster {
    allocator: ShareAllocator,
    in_force: ClusterConfig,
    now_ms: u64,
    entries: Vec<Entry>,
    /// Requests still running on endpoints whose entry has abandoned them or is gone.
    orphaned_work: BTreeMap<EndpointId, u32>,
    endpoints: BTreeMap<EndpointId, EndpointAnnouncement>,
}

impl Cluster {
    fn new(entries: u64, endpoints: u16) -> Self {
        let mut cluster = Self {
            allocator: ShareAllocator::new(),
            in_force: shares::in_force(),
            now_ms: 0,
            entries: (0..entries).map(|n| Entry::new(n, 1)).collect(),
            orphaned_work: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        };
        for number in 0..endpoints {
            let announcement = shares::announcement(number);
            cluster
                .endpoints
                .insert(announcement.endpoint.clone(), announcement);
        }
        cluster
    }

    /// Creates a cluster in which the grants of earlier leaders have expired and shares are
    /// assigned.
    fn settled(entries: u64, endpoints: u16) -> Self {
        let mut cluster = Self::new(entries, endpoints);
        cluster.advance(6_000);
        cluster
    }

    /// Advances time. In each tick endpoints announce themselves and connected entries exchange.
    fn advance(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            self.announce_all();
            for index in 0..self.entries.len() {
                if self.entries[index].connected {
                    self.exchange(index, self.entries[index].answers_arrive);
                }
            }
            self.expire_lost();
            self.allocator.tick(&self.in_force, Millis(self.now_ms));
            self.check_capacity();
        }
    }

    fn announce_all(&mut self) {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let (slots, connections) = (self.running(&id), self.running(&id));
            let announcement = self.endpoints.get_mut(&id).expect("the endpoint exists");
            announcement.sequence = announcement.sequence.next();
            announcement.slots_used = Slots(slots);
            announcement.connections_used = Slots(connections);
            let announcement = announcement.clone();
            let now = Millis(self.now_ms);
            self.allocator
                .observe_announcement(&announcement, &self.in_force, now);
        }
    }

    fn exchange(&mut self, index: usize, answer_arrives: bool) {
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        if self.now_ms >= entry.granted_until_ms {
            entry.version = 0;
            entry.take_shares(Vec::new());
        }
        let request = entry.request();
        self.allocator.observe_entry(&request, Millis(self.now_ms));
        entry.last_answer_ms = self.now_ms;
        let version = self.allocator.shares_version(&entry.id, entry.incarnation);
        if !answer_arrives {
            return;
        }
        entry.granted_until_ms = self.now_ms + GRANT_MS.0;
        if version != entry.version {
            let given = self.allocator.shares_for(&entry.id, entry.incarnation);
            entry.version = version;
            entry.take_shares(given);
        }
    }

    fn expire_lost(&mut self) {
        let grant = GRANT_MS.with_clock_margin().0;
        for entry in &self.entries {
            if self.now_ms > entry.last_answer_ms + grant {
                let now = Millis(self.now_ms);
                self.allocator
                    .expire_entry(&entry.id, entry.incarnation, now);
            }
        }
    }

    /// Starts as many requests as the entry's share allows, up to `most`.
    fn start(&mut self, index: usize, endpoint: &EndpointId, most: u32) {
        let now = self.now_ms;
        let entry = &mut self.entries[index];
        let share = entry
            .shares
            .get(endpoint)
            .map_or(0, |share| share.slots.get());
        let used = entry.used(endpoint);
        if now < entry.granted_until_ms {
            let started = share.saturating_sub(used).min(most);
            *entry.running.entry(endpoint.clone()).or_default() += started;
        }
        self.check_capacity();
    }

    fn end(&mut self, index: usize, endpoint: &EndpointId, most: u32) {
        let running = self.entries[index]
            .running
            .entry(endpoint.clone())
            .or_default();
        *running = running.saturating_sub(most);
    }

    /// Abandons one request of the entry, which the endpoint continues to run.
    fn abandon(&mut self, index: usize, endpoint: &EndpointId) {
        let entry = &mut self.entries[index];
        let running = entry.running.entry(endpoint.clone()).or_default();
        if *running > 0 {
            *running -= 1;
            *entry.abandoned.entry(endpoint.clone()).or_default() += 1;
            *self.orphaned_work.entry(endpoint.clone()).or_default() += 1;
        }
    }

    /// Restarts the entry's process while endpoints continue to run its requests.
    fn restart(&mut self, index: usize) {
        let old = &self.entries[index];
        for (endpoint, running) in &old.running {
            *self.orphaned_work.entry(endpoint.clone()).or_default() += running;
        }
        let mut next = Entry::new(index as u64, old.incarnation.get() + 1);
        next.last_answer_ms = self.now_ms;
        let old_run = (old.id.clone(), old.incarnation);
        // The leader removes the old incarnation once its grant has expired.
        self.entries[index] = next;
        let due = self.now_ms + GRANT_MS.with_clock_margin().0;
        while self.now_ms < due {
            self.advance(TICK_MS);
        }
        self.allocator
            .expire_entry(&old_run.0, old_run.1, Millis(self.now_ms));
    }

    fn running(&self, endpoint: &EndpointId) -> u32 {
        let of_entries: u32 = self
            .entries
            .iter()
            .filter_map(|entry| entry.running.get(endpoint))
            .sum();
        of_entries
            + self
                .orphaned_work
                .get(endpoint)
                .copied()
                .unwrap_or_default()
    }

    fn check_capacity(&self) {
        for (id, announcement) in &self.endpoints {
            let running = self.running(id);
            assert!(
                running <= announcement.slots.get(),
                "{running} requests run on {id} at {} ms, more than it announced",
                self.now_ms
            );
        }
    }

    fn share(&self, index: usize, endpoint: u16) -> u32 {
        let endpoint = shares::endpoint_id(endpoint);
        let share = self.entries[index].shares.get(&endpoint);
        share.map_or(0, |share| share.slots.get())
    }

    fn share_sum(&self, endpoint: u16) -> u32 {
        (0..self.entries.len())
            .map(|index| self.share(index, endpoint))
            .sum()
    }
}

impl Entry {
    fn new(number: u64, incarnation: u64) -> Self {
        Self {
            id: format!("entry-{number}")
                .parse()
                .expect("the entry is an id"),
            incarnation: Incarnation(incarnation),
            sequence: 0,
            version: 0,
            granted_until_ms: 0,
            last_answer_ms: 0,
            shares: BTreeMap::new(),
            running: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            waiting: 0,
            connected: true,
            answers_arrive: true,
            leaving: false,
        }
    }

    /// Slots that count as used: those of running requests, and abandoned ones that the leader has
    /// not yet deducted from the share.
    fn used(&self, endpoint: &EndpointId) -> u32 {
        let running = self.running.get(endpoint).copied().unwrap_or_default();
        let abandoned = self.abandoned.get(endpoint).copied().unwrap_or_default();
        let seen = self
            .shares
            .get(endpoint)
            .map_or(0, |share| share.abandoned_acked.slots.get());
        running + abandoned.saturating_sub(seen)
    }

    fn request(&self) -> ExchangeRequest {
        let usage = self
            .shares
            .values()
            .map(|share| self.report(share))
            .collect();
        ExchangeRequest {
            entry: self.id.clone(),
            incarnation: self.incarnation,
            zone: "Senec".parse().expect("the zone is an id"),
            sequence: Sequence(self.sequence),
            revision: Revision(0),
            usage,
            shares_version: self.version,
            leaving: self.leaving,
        }
    }

    fn report(&self, share: &EndpointShare) -> EndpointUsage {
        let id = &share.endpoint;
        let abandoned = self.abandoned.get(id).copied().unwrap_or_default();
        EndpointUsage {
            endpoint: id.clone(),
            incarnation: share.incarnation,
            slots: Slots(self.used(id)),
            connections: Slots(self.used(id)),
            waiting: self.waiting,
            share: EndpointCapacity {
                slots: share.slots,
                connections: share.connections,
            },
            abandoned: EndpointCapacity {
                slots: Slots(abandoned),
                connections: Slots(abandoned),
            },
            abandoned_acked: share.abandoned_acked,
        }
    }

    /// Replaces the shares, but keeps removed ones at zero while requests are in progress on them.
    fn take_shares(&mut self, given: Vec<EndpointShare>) {
        let mut shares: BTreeMap<EndpointId, EndpointShare> = given
            .into_iter()
            .map(|share| (share.endpoint.clone(), share))
            .collect();
        for (id, old) in &self.shares {
            if !shares.contains_key(id) && self.used(id) > 0 {
                let mut old = old.clone();
                old.slots = Slots::ZERO;
                old.connections = Slots::ZERO;
                shares.insert(id.clone(), old);
            }
        }
        self.shares = shares;
    }
}

#[test]
fn single_demand_gets_all() {
    let mut cluster = Cluster::settled(6, 1);
    assert_eq!(cluster.share_sum(0), 8);
    cluster.entries[2].waiting = 20;
    cluster.advance(500);
    assert_eq!(cluster.share(2, 0), 8);
    cluster.entries[2].waiting = 0;
    cluster.entries[4].waiting = 20;
    cluster.advance(500);
    assert_eq!(cluster.share(4, 0), 8);
}

#[test]
fn even_demand() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].waiting = 100;
    cluster.advance(500);
    cluster.start(0, &shares::endpoint_id(0), 8);
    cluster.entries[1].waiting = 100;
    cluster.advance(500);
    // The first entry's requests in progress are kept; it gives up slots as they end.
    assert_eq!((cluster.share(0, 0), cluster.share(1, 0)), (4, 0));
    cluster.end(0, &shares::endpoint_id(0), 4);
    cluster.advance(500);
    assert_eq!((cluster.share(0, 0), cluster.share(1, 0)), (4, 4));
}

#[test]
fn steady_without_demand() {
    let mut cluster = Cluster::settled(5, 4);
    let before: Vec<u64> = cluster.entries.iter().map(|entry| entry.version).collect();
    cluster.advance(5_000);
    let after: Vec<u64> = cluster.entries.iter().map(|entry| entry.version).collect();
    assert_eq!(before, after);
}

#[test]
fn steady_below_share() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].waiting = 6;
    cluster.advance(500);
    cluster.entries[0].waiting = 0;
    let before = cluster.entries[0].version;
    cluster.advance(2_000);
    assert_eq!(cluster.entries[0].version, before);
    assert_eq!((cluster.share(0, 0), cluster.share(1, 0)), (6, 2));
}

#[test]
fn lost_answers() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].waiting = 40;
    cluster.advance(500);
    // The leader reduces the share, but its answers to the entry are lost.
    cluster.entries[0].answers_arrive = false;
    cluster.entries[0].waiting = 0;
    cluster.entries[1].waiting = 40;
    cluster.advance(1_000);
    let endpoint = shares::endpoint_id(0);
    cluster.start(1, &endpoint, 8);
    cluster.start(0, &endpoint, 8);
    assert_eq!((cluster.share(0, 0), cluster.share(1, 0)), (8, 0));
    cluster.advance(2_500);
    cluster.end(0, &endpoint, 8);
    cluster.advance(1_000);
    assert_eq!(cluster.share(1, 0), 8);
}

#[test]
fn endpoint_leaves_after_election() {
    let mut cluster = Cluster::settled(2, 2);
    cluster.allocator = ShareAllocator::new();
    let endpoint = cluster.endpoints.get_mut(&shares::endpoint_id(0));
    endpoint.expect("the endpoint exists").leaving = true;
    cluster.advance(300);
    assert_eq!(cluster.share_sum(0), 0);
    assert!(cluster.share_sum(1) > 0);
}

#[test]
fn cut_off_entry() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].waiting = 20;
    cluster.advance(500);
    let endpoint = shares::endpoint_id(0);
    cluster.start(0, &endpoint, 8);
    cluster.entries[0].connected = false;
    cluster.entries[1].waiting = 20;
    cluster.advance(10_000);
    assert_eq!(
        cluster.share(1, 0),
        0,
        "the disconnected entry's requests still run"
    );
    cluster.end(0, &endpoint, 5);
    cluster.advance(1_000);
    assert_eq!(cluster.share(1, 0), 5);
    cluster.entries[0].connected = true;
    cluster.start(0, &endpoint, 8);
    cluster.advance(1_000);
    cluster.end(0, &endpoint, 8);
    cluster.entries[0].waiting = 0;
    cluster.advance(1_000);
    assert_eq!(cluster.share(1, 0), 8);
}

#[test]
fn abandoned_work() {
    let mut cluster = Cluster::settled(1, 1);
    let endpoint = shares::endpoint_id(0);
    cluster.start(0, &endpoint, 8);
    cluster.abandon(0, &endpoint);
    cluster.abandon(0, &endpoint);
    cluster.entries[0].waiting = 20;
    cluster.advance(1_000);
    assert_eq!(cluster.share(0, 0), 6);
    cluster.end(0, &endpoint, 6);
    cluster.advance(1_000);
    cluster.orphaned_work.clear();
    cluster.advance(1_000);
    assert_eq!(cluster.share(0, 0), 8);
}

#[test]
fn new_leader_adopts_shares() {
    let mut cluster = Cluster::settled(2, 2);
    cluster.entries[0].waiting = 40;
    cluster.advance(1_000);
    let endpoint = shares::endpoint_id(0);
    cluster.start(0, &endpoint, 8);
    cluster.allocator = ShareAllocator::new();
    let before = cluster.share(0, 0);
    cluster.advance(TICK_MS);
    assert_eq!(
        cluster.share(0, 0),
        before,
        "the new leader must adopt the shares"
    );
    cluster.advance(10_000);
    assert_eq!(cluster.share(0, 0) + cluster.share(0, 1), 16);
}

#[test]
fn new_leader_reserves_unknown_shares() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].waiting = 40;
    cluster.advance(1_000);
    let endpoint = shares::endpoint_id(0);
    // The entry that holds all slots is disconnected, so the new leader never learns of it.
    cluster.entries[0].connected = false;
    cluster.entries[1].waiting = 40;
    cluster.allocator = ShareAllocator::new();
    cluster.advance(2_500);
    cluster.start(0, &endpoint, 8);
    cluster.start(1, &endpoint, 8);
    cluster.advance(5_000);
    assert_eq!(cluster.share(1, 0), 0);
    cluster.end(0, &endpoint, 8);
    cluster.advance(1_000);
    assert_eq!(cluster.share(1, 0), 8);
}

#[test]
fn entry_returns_after_expiry() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].connected = false;
    cluster.entries[1].waiting = 40;
    cluster.advance(4_500);
    // The first entry's share was meanwhile assigned to the second, so a new leader must not adopt
    // it from both.
    cluster.entries[0].connected = true;
    cluster.allocator = ShareAllocator::new();
    let endpoint = shares::endpoint_id(0);
    cluster.advance(TICK_MS);
    cluster.start(0, &endpoint, 8);
    cluster.advance(TICK_MS);
    cluster.start(1, &endpoint, 8);
    assert_eq!(cluster.running(&endpoint), 8);
}

#[test]
fn leaving_entry() {
    let mut cluster = Cluster::settled(2, 1);
    cluster.entries[0].leaving = true;
    cluster.advance(1_000);
    assert_eq!((cluster.share(0, 0), cluster.share(1, 0)), (0, 8));
}

type Change = fn(&mut Cluster);

#[rstest]
#[case::leaving(|c: &mut Cluster| c.endpoints.get_mut(&shares::endpoint_id(0)).expect("the endpoint exists").leaving = true)]
#[case::zone_out(|c: &mut Cluster| c.in_force.zones.get_mut("Senec").expect("the zone exists").state = ZoneState::Out)]
#[case::zone_gone(|c: &mut Cluster| { c.in_force.zones.remove("Senec"); })]
#[case::rule_gone(|c: &mut Cluster| { c.in_force.endpoint_rules.remove("runners"); })]
#[case::name_refused(|c: &mut Cluster| { c.in_force.refused_endpoints.insert(shares::endpoint_id(0)); })]
#[case::silent(|c: &mut Cluster| { c.endpoints.remove(&shares::endpoint_id(0)); c.advance(6_000); })]
fn withdrawn_endpoint(#[case] change: Change) {
    let mut cluster = Cluster::settled(2, 1);
    cluster.start(0, &shares::endpoint_id(0), 2);
    change(&mut cluster);
    cluster.advance(300);
    assert_eq!(cluster.share_sum(0), 0);
    let listed = cluster
        .allocator
        .shares_for(&cluster.entries[0].id, Incarnation(1));
    assert_eq!(
        listed,
        Vec::new(),
        "an endpoint that accepts no new work must not be listed"
    );
}

#[test]
fn zone_returns() {
    let mut cluster = Cluster::settled(2, 1);
    let zone = |cluster: &mut Cluster, state| {
        cluster
            .in_force
            .zones
            .get_mut("Senec")
            .expect("the zone exists")
            .state = state;
    };
    zone(&mut cluster, ZoneState::Out);
    cluster.advance(300);
    zone(&mut cluster, ZoneState::In);
    cluster.advance(300);
    assert_eq!(cluster.share_sum(0), 8);
}

#[test]
fn restarted_endpoint() {
    let mut cluster = Cluster::settled(1, 1);
    let endpoint = shares::endpoint_id(0);
    cluster.start(0, &endpoint, 8);
    let announcement = cluster
        .endpoints
        .get_mut(&endpoint)
        .expect("the endpoint exists");
    announcement.incarnation = Incarnation(2);
    announcement.sequence = Sequence(0);
    cluster.entries[0].running.clear();
    cluster.advance(1_000);
    let share = &cluster.entries[0].shares[&endpoint];
    assert_eq!((share.incarnation, share.slots), (Incarnation(2), Slots(8)));
    let mut old = cluster.endpoints[&endpoint].clone();
    old.incarnation = Incarnation(1);
    let answer =
        cluster
            .allocator
            .observe_announcement(&old, &cluster.in_force, Millis(cluster.now_ms));
    let reason = "incarnation 1 of booking-0 has been replaced by 2".into();
    assert_eq!(answer, AnnouncementResponse::Refused { reason });
}

#[rstest]
#[case(|a: &mut EndpointAnnouncement| a.endpoint = "maps-1".parse().expect("an id"), "no endpoint rule accepts maps-1")]
#[case(|a: &mut EndpointAnnouncement| a.endpoint = "booking-test-1".parse().expect("an id"), "rule tests does not accept availability zone Senec")]
#[case(|a: &mut EndpointAnnouncement| a.service = "maps".parse().expect("an id"), "rule runners accepts booking-9 for service booking only")]
#[case(|a: &mut EndpointAnnouncement| a.zone = "Trnava".parse().expect("an id"), "availability zone Trnava does not exist")]
#[case(|a: &mut EndpointAnnouncement| a.slots = Slots(9), "9 slots were announced, from 1 to 8 are accepted")]
#[case(|a: &mut EndpointAnnouncement| a.connections = Slots(0), "0 connections were announced, from 1 to 64 are accepted")]
#[case(|a: &mut EndpointAnnouncement| a.address = shares::announcement(0).address, "address 127.0.0.1:9000 belongs to endpoint booking-0")]
fn refused_announcement(#[case] change: fn(&mut EndpointAnnouncement), #[case] reason: &str) {
    let mut cluster = Cluster::settled(1, 1);
    shares::add_rule(&mut cluster.in_force, "tests", "booking-test-");
    let rule = cluster
        .in_force
        .endpoint_rules
        .get_mut("tests")
        .expect("the rule exists");
    rule.zones = vec!["Nitra".parse().expect("an id")];
    let mut announcement = shares::announcement(9);
    change(&mut announcement);
    let answer = cluster.allocator.observe_announcement(
        &announcement,
        &cluster.in_force,
        Millis(cluster.now_ms),
    );
    let reason = reason.into();
    assert_eq!(answer, AnnouncementResponse::Refused { reason });
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Exchange(usize, bool),
    Start(usize, u16, u32),
    End(usize, u16, u32),
    Abandon(usize, u16),
    EndOrphanedWork(u16),
    Connect(usize, bool),
    Answer(usize, bool),
    Demand(usize, u32),
    Restart(usize),
    NewLeader,
}

fn step() -> impl Strategy<Value = Step> {
    let (entry, endpoint) = (0..3_usize, 0..2_u16);
    prop_oneof![
        4 => (1..30_u64).prop_map(|ticks| Step::Advance(ticks * TICK_MS)),
        2 => (entry.clone(), any::<bool>()).prop_map(|(e, arrives)| Step::Exchange(e, arrives)),
        6 => (entry.clone(), endpoint.clone(), 1..9_u32).prop_map(|(e, p, n)| Step::Start(e, p, n)),
        3 => (entry.clone(), endpoint.clone(), 1..9_u32).prop_map(|(e, p, n)| Step::End(e, p, n)),
        1 => (entry.clone(), endpoint.clone()).prop_map(|(e, p)| Step::Abandon(e, p)),
        1 => endpoint.prop_map(Step::EndOrphanedWork),
        2 => (entry.clone(), any::<bool>()).prop_map(|(e, on)| Step::Connect(e, on)),
        1 => (entry.clone(), any::<bool>()).prop_map(|(e, on)| Step::Answer(e, on)),
        3 => (entry.clone(), 0..30_u32).prop_map(|(e, n)| Step::Demand(e, n)),
        1 => entry.prop_map(Step::Restart),
        1 => Just(Step::NewLeader),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]

    /// `Cluster::check_capacity` holds after every step of any history. After all work has ended, a
    /// single entry with demand gets all slots again.
    #[test]
    fn usage_never_exceeds_capacity(steps in prop::collection::vec(step(), 1..50)) {
        let mut cluster = Cluster::settled(3, 2);
        for step in steps {
            match step {
                Step::Advance(span_ms) => cluster.advance(span_ms),
                Step::Exchange(entry, arrives) if cluster.entries[entry].connected => {
                    cluster.exchange(entry, arrives);
                }
                Step::Exchange(..) => {}
                Step::Start(entry, endpoint, most) => {
                    cluster.start(entry, &shares::endpoint_id(endpoint), most);
                }
                Step::End(entry, endpoint, most) => {
                    cluster.end(entry, &shares::endpoint_id(endpoint), most);
                }
                Step::Abandon(entry, endpoint) => {
                    cluster.abandon(entry, &shares::endpoint_id(endpoint));
                }
                Step::EndOrphanedWork(endpoint) => {
                    cluster.orphaned_work.remove(&shares::endpoint_id(endpoint));
                }
                Step::Connect(entry, connected) => cluster.entries[entry].connected = connected,
                Step::Answer(entry, arrive) => cluster.entries[entry].answers_arrive = arrive,
                Step::Demand(entry, waiting) => cluster.entries[entry].waiting = waiting,
                Step::Restart(entry) => cluster.restart(entry),
                Step::NewLeader => cluster.allocator = ShareAllocator::new(),
            }
        }
        for entry in &mut cluster.entries {
            entry.connected = true;
            entry.answers_arrive = true;
            entry.waiting = 0;
            entry.running.clear();
        }
        cluster.orphaned_work.clear();
        cluster.entries[0].waiting = 100;
        cluster.advance(8_000);
        prop_assert_eq!((cluster.share(0, 0), cluster.share(0, 1)), (8, 8));
    }
}
