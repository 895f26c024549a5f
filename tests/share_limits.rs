//! Entries together never use more of an endpoint than it announced, and all of it when asked.

#[path = "support/shares.rs"]
mod shares;

use marjoramknot::control::{
    EndpointCapacity, EndpointShare, EndpointUsage, ExchangeRequest, GRANT_MS,
};
use marjoramknot::fleet::{AnnouncementResponse, EndpointAnnouncement};
use marjoramknot::release_note::{InForce, ZoneState};
use marjoramknot::router::ShareAllocator;
use marjoramknot::units::{EndpointId, EntryId, Incarnation, Millis, Revision, Sequence, Slots};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const TICK_MS: u64 = 100;

/// An entry as the leader and an endpoint see it.
#[derive(Clone)]
struct Entry {
    id: EntryId,
    incarnation: Incarnation,
    sequence: u64,
    version: u64,
    granted_until: u64,
    last_answer: u64,
    shares: BTreeMap<EndpointId, EndpointShare>,
    running: BTreeMap<EndpointId, u32>,
    abandoned: BTreeMap<EndpointId, u32>,
    waiting: u32,
    connected: bool,
    /// Whether answers of the leader arrive.
    answered: bool,
    leaving: bool,
}

/// A leader, its entries and endpoints that count what really runs.
struct World {
    book: ShareAllocator,
    state: InForce,
    now: u64,
    entries: Vec<Entry>,
    /// Work that runs although its entry has given it up or is gone.
    orphans: BTreeMap<EndpointId, u32>,
    endpoints: BTreeMap<EndpointId, EndpointAnnouncement>,
}

impl World {
    fn new(entries: u64, endpoints: u16) -> Self {
        let mut world = Self {
            book: ShareAllocator::new(),
            state: shares::in_force(),
            now: 0,
            entries: (0..entries).map(|n| Entry::new(n, 1)).collect(),
            orphans: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        };
        for number in 0..endpoints {
            let announced = shares::announcement(number);
            world
                .endpoints
                .insert(announced.endpoint.clone(), announced);
        }
        world
    }

    /// A world whose shares have settled.
    fn settled(entries: u64, endpoints: u16) -> Self {
        let mut world = Self::new(entries, endpoints);
        world.pass(6_000);
        world
    }

    /// Lets time pass; everybody connected exchanges and announces each tick.
    fn pass(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_MS;
            self.announce_all();
            for index in 0..self.entries.len() {
                if self.entries[index].connected {
                    self.exchange(index, self.entries[index].answered);
                }
            }
            self.expire_lost();
            self.book.tick(&self.state, Millis(self.now));
            self.check();
        }
    }

    fn announce_all(&mut self) {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let (slots, connections) = (self.running(&id), self.running(&id));
            let announced = self.endpoints.get_mut(&id).expect("the endpoint is there");
            announced.sequence = announced.sequence.next();
            announced.slots_used = Slots(slots);
            announced.connections_used = Slots(connections);
            let announced = announced.clone();
            let now = Millis(self.now);
            self.book.observe_announcement(&announced, &self.state, now);
        }
    }

    fn exchange(&mut self, index: usize, answer_arrives: bool) {
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        if self.now >= entry.granted_until {
            entry.version = 0;
            entry.take_shares(Vec::new());
        }
        let request = entry.request();
        self.book.observe_entry(&request, Millis(self.now));
        entry.last_answer = self.now;
        let version = self.book.shares_version(&entry.id, entry.incarnation);
        if !answer_arrives {
            return;
        }
        entry.granted_until = self.now + GRANT_MS.0;
        if version != entry.version {
            let given = self.book.shares_for(&entry.id, entry.incarnation);
            entry.version = version;
            entry.take_shares(given);
        }
    }

    fn expire_lost(&mut self) {
        let grant = GRANT_MS.with_clock_margin().0;
        for entry in &self.entries {
            if self.now > entry.last_answer + grant {
                let now = Millis(self.now);
                self.book.expire_entry(&entry.id, entry.incarnation, now);
            }
        }
    }

    /// The entry starts as many requests as its share allows, up to `most`.
    fn start(&mut self, index: usize, endpoint: &EndpointId, most: u32) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let share = entry
            .shares
            .get(endpoint)
            .map_or(0, |share| share.slots.get());
        let used = entry.used(endpoint);
        if now < entry.granted_until {
            let started = share.saturating_sub(used).min(most);
            *entry.running.entry(endpoint.clone()).or_default() += started;
        }
        self.check();
    }

    fn end(&mut self, index: usize, endpoint: &EndpointId, most: u32) {
        let running = self.entries[index]
            .running
            .entry(endpoint.clone())
            .or_default();
        *running = running.saturating_sub(most);
    }

    /// The entry gives up on one request that the endpoint goes on with.
    fn abandon(&mut self, index: usize, endpoint: &EndpointId) {
        let entry = &mut self.entries[index];
        let running = entry.running.entry(endpoint.clone()).or_default();
        if *running > 0 {
            *running -= 1;
            *entry.abandoned.entry(endpoint.clone()).or_default() += 1;
            *self.orphans.entry(endpoint.clone()).or_default() += 1;
        }
    }

    /// The entry's process dies and comes back; the endpoint goes on with its work.
    fn restart(&mut self, index: usize) {
        let old = &self.entries[index];
        for (endpoint, running) in &old.running {
            *self.orphans.entry(endpoint.clone()).or_default() += running;
        }
        let mut next = Entry::new(index as u64, old.incarnation.get() + 1);
        next.last_answer = self.now;
        let ghost = (old.id.clone(), old.incarnation);
        // The leader learns of the death when the old grant has run out.
        self.entries[index] = next;
        let due = self.now + GRANT_MS.with_clock_margin().0;
        while self.now < due {
            self.pass(TICK_MS);
        }
        self.book.expire_entry(&ghost.0, ghost.1, Millis(self.now));
    }

    fn running(&self, endpoint: &EndpointId) -> u32 {
        let of_entries: u32 = self
            .entries
            .iter()
            .filter_map(|entry| entry.running.get(endpoint))
            .sum();
        of_entries + self.orphans.get(endpoint).copied().unwrap_or_default()
    }

    fn check(&self) {
        for (id, announced) in &self.endpoints {
            let running = self.running(id);
            assert!(
                running <= announced.slots.get(),
                "{running} requests run on {id} at {}",
                self.now
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
            granted_until: 0,
            last_answer: 0,
            shares: BTreeMap::new(),
            running: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            waiting: 0,
            connected: true,
            answered: true,
            leaving: false,
        }
    }

    /// Slots that count as used: those that run, and those given up and not yet taken over.
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

    /// Shares that are gone stay known while something of them is in progress.
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
fn one_has_all() {
    let mut world = World::settled(6, 1);
    assert_eq!(world.share_sum(0), 8);
    world.entries[2].waiting = 20;
    world.pass(500);
    assert_eq!(world.share(2, 0), 8);
    world.entries[2].waiting = 0;
    world.entries[4].waiting = 20;
    world.pass(500);
    assert_eq!(world.share(4, 0), 8);
}

#[test]
fn even_demand() {
    let mut world = World::settled(2, 1);
    world.entries[0].waiting = 100;
    world.pass(500);
    world.start(0, &shares::endpoint_id(0), 8);
    world.entries[1].waiting = 100;
    world.pass(500);
    // What the first has in progress is not cut; it gives slots as they fall free.
    assert_eq!((world.share(0, 0), world.share(1, 0)), (4, 0));
    world.end(0, &shares::endpoint_id(0), 4);
    world.pass(500);
    assert_eq!((world.share(0, 0), world.share(1, 0)), (4, 4));
}

#[test]
fn steady_without_demand() {
    let mut world = World::settled(5, 4);
    let before: Vec<u64> = world.entries.iter().map(|entry| entry.version).collect();
    world.pass(5_000);
    let after: Vec<u64> = world.entries.iter().map(|entry| entry.version).collect();
    assert_eq!(before, after);
}

#[test]
fn steady_below_share() {
    let mut world = World::settled(2, 1);
    world.entries[0].waiting = 6;
    world.pass(500);
    world.entries[0].waiting = 0;
    let before = world.entries[0].version;
    world.pass(2_000);
    assert_eq!(world.entries[0].version, before);
    assert_eq!((world.share(0, 0), world.share(1, 0)), (6, 2));
}

#[test]
fn lost_answers() {
    let mut world = World::settled(2, 1);
    world.entries[0].waiting = 40;
    world.pass(500);
    // The leader takes the share back, and its answers to the entry are lost.
    world.entries[0].answered = false;
    world.entries[0].waiting = 0;
    world.entries[1].waiting = 40;
    world.pass(1_000);
    let endpoint = shares::endpoint_id(0);
    world.start(1, &endpoint, 8);
    world.start(0, &endpoint, 8);
    assert_eq!((world.share(0, 0), world.share(1, 0)), (8, 0));
    world.pass(2_500);
    world.end(0, &endpoint, 8);
    world.pass(1_000);
    assert_eq!(world.share(1, 0), 8);
}

#[test]
fn leaving_after_election() {
    let mut world = World::settled(2, 2);
    world.book = ShareAllocator::new();
    let leaver = world.endpoints.get_mut(&shares::endpoint_id(0));
    leaver.expect("it is there").leaving = true;
    world.pass(300);
    assert_eq!(world.share_sum(0), 0);
    assert!(world.share_sum(1) > 0);
}

#[test]
fn cut_off_entry() {
    let mut world = World::settled(2, 1);
    world.entries[0].waiting = 20;
    world.pass(500);
    let endpoint = shares::endpoint_id(0);
    world.start(0, &endpoint, 8);
    world.entries[0].connected = false;
    world.entries[1].waiting = 20;
    world.pass(10_000);
    assert_eq!(
        world.share(1, 0),
        0,
        "the cut-off entry's requests still run"
    );
    world.end(0, &endpoint, 5);
    world.pass(1_000);
    assert_eq!(world.share(1, 0), 5);
    world.entries[0].connected = true;
    world.start(0, &endpoint, 8);
    world.pass(1_000);
    world.end(0, &endpoint, 8);
    world.entries[0].waiting = 0;
    world.pass(1_000);
    assert_eq!(world.share(1, 0), 8);
}

#[test]
fn abandoned_work() {
    let mut world = World::settled(1, 1);
    let endpoint = shares::endpoint_id(0);
    world.start(0, &endpoint, 8);
    world.abandon(0, &endpoint);
    world.abandon(0, &endpoint);
    world.entries[0].waiting = 20;
    world.pass(1_000);
    assert_eq!(world.share(0, 0), 6);
    world.end(0, &endpoint, 6);
    world.pass(1_000);
    world.orphans.clear();
    world.pass(1_000);
    assert_eq!(world.share(0, 0), 8);
}

#[test]
fn new_leader_adopts() {
    let mut world = World::settled(2, 2);
    world.entries[0].waiting = 40;
    world.pass(1_000);
    let endpoint = shares::endpoint_id(0);
    world.start(0, &endpoint, 8);
    world.book = ShareAllocator::new();
    let before = world.share(0, 0);
    world.pass(TICK_MS);
    assert_eq!(
        world.share(0, 0),
        before,
        "shares go on under the new leader"
    );
    world.pass(10_000);
    assert_eq!(world.share(0, 0) + world.share(0, 1), 16);
}

#[test]
fn new_leader_distrusts() {
    let mut world = World::settled(2, 1);
    world.entries[0].waiting = 40;
    world.pass(1_000);
    let endpoint = shares::endpoint_id(0);
    // The entry that holds all is cut off; the new leader never hears of it.
    world.entries[0].connected = false;
    world.entries[1].waiting = 40;
    world.book = ShareAllocator::new();
    world.pass(2_500);
    world.start(0, &endpoint, 8);
    world.start(1, &endpoint, 8);
    world.pass(5_000);
    assert_eq!(world.share(1, 0), 0);
    world.end(0, &endpoint, 8);
    world.pass(1_000);
    assert_eq!(world.share(1, 0), 8);
}

#[test]
fn late_return() {
    let mut world = World::settled(2, 1);
    world.entries[0].connected = false;
    world.entries[1].waiting = 40;
    world.pass(4_500);
    // The share of the first went to the second meanwhile; a new leader must not adopt it again.
    world.entries[0].connected = true;
    world.book = ShareAllocator::new();
    let endpoint = shares::endpoint_id(0);
    world.pass(TICK_MS);
    world.start(0, &endpoint, 8);
    world.pass(TICK_MS);
    world.start(1, &endpoint, 8);
    assert_eq!(world.running(&endpoint), 8);
}

#[test]
fn leaving_entry() {
    let mut world = World::settled(2, 1);
    world.entries[0].leaving = true;
    world.pass(1_000);
    assert_eq!((world.share(0, 0), world.share(1, 0)), (0, 8));
}

type Change = fn(&mut World);

#[rstest]
#[case::leaving(|w: &mut World| w.endpoints.get_mut(&shares::endpoint_id(0)).expect("it is there").leaving = true)]
#[case::zone_out(|w: &mut World| w.state.zones.get_mut("Senec").expect("it is there").state = ZoneState::Out)]
#[case::zone_gone(|w: &mut World| { w.state.zones.remove("Senec"); })]
#[case::rule_gone(|w: &mut World| { w.state.endpoint_rules.remove("runners"); })]
#[case::name_refused(|w: &mut World| { w.state.refused_endpoints.insert(shares::endpoint_id(0)); })]
#[case::silent(|w: &mut World| { w.endpoints.remove(&shares::endpoint_id(0)); w.pass(6_000); })]
fn withdrawn_endpoint(#[case] change: Change) {
    let mut world = World::settled(2, 1);
    world.start(0, &shares::endpoint_id(0), 2);
    change(&mut world);
    world.pass(300);
    assert_eq!(world.share_sum(0), 0);
    let listed = world.book.shares_for(&world.entries[0].id, Incarnation(1));
    assert_eq!(
        listed,
        Vec::new(),
        "an endpoint without new work is not listed"
    );
}

#[test]
fn zone_returns() {
    let mut world = World::settled(2, 1);
    let zone = |world: &mut World, state| {
        world
            .state
            .zones
            .get_mut("Senec")
            .expect("it is there")
            .state = state;
    };
    zone(&mut world, ZoneState::Out);
    world.pass(300);
    zone(&mut world, ZoneState::In);
    world.pass(300);
    assert_eq!(world.share_sum(0), 8);
}

#[test]
fn restarted_endpoint() {
    let mut world = World::settled(1, 1);
    let endpoint = shares::endpoint_id(0);
    world.start(0, &endpoint, 8);
    let announced = world.endpoints.get_mut(&endpoint).expect("it is there");
    announced.incarnation = Incarnation(2);
    announced.sequence = Sequence(0);
    world.entries[0].running.clear();
    world.pass(1_000);
    let share = &world.entries[0].shares[&endpoint];
    assert_eq!((share.incarnation, share.slots), (Incarnation(2), Slots(8)));
    let mut old = world.endpoints[&endpoint].clone();
    old.incarnation = Incarnation(1);
    let answer = world
        .book
        .observe_announcement(&old, &world.state, Millis(world.now));
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
    let mut world = World::settled(1, 1);
    shares::add_rule(&mut world.state, "tests", "booking-test-");
    let rule = world
        .state
        .endpoint_rules
        .get_mut("tests")
        .expect("it is there");
    rule.zones = vec!["Nitra".parse().expect("an id")];
    let mut announced = shares::announcement(9);
    change(&mut announced);
    let answer = world
        .book
        .observe_announcement(&announced, &world.state, Millis(world.now));
    let reason = reason.into();
    assert_eq!(answer, AnnouncementResponse::Refused { reason });
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Exchange(usize, bool),
    Start(usize, u16, u32),
    End(usize, u16, u32),
    Abandon(usize, u16),
    EndOrphans(u16),
    Connect(usize, bool),
    Answer(usize, bool),
    Demand(usize, u32),
    Restart(usize),
    NewLeader,
}

fn step() -> impl Strategy<Value = Step> {
    let (entry, endpoint) = (0..3_usize, 0..2_u16);
    prop_oneof![
        4 => (1..30_u64).prop_map(|ticks| Step::Pass(ticks * TICK_MS)),
        2 => (entry.clone(), any::<bool>()).prop_map(|(e, arrives)| Step::Exchange(e, arrives)),
        6 => (entry.clone(), endpoint.clone(), 1..9_u32).prop_map(|(e, p, n)| Step::Start(e, p, n)),
        3 => (entry.clone(), endpoint.clone(), 1..9_u32).prop_map(|(e, p, n)| Step::End(e, p, n)),
        1 => (entry.clone(), endpoint.clone()).prop_map(|(e, p)| Step::Abandon(e, p)),
        1 => endpoint.prop_map(Step::EndOrphans),
        2 => (entry.clone(), any::<bool>()).prop_map(|(e, on)| Step::Connect(e, on)),
        1 => (entry.clone(), any::<bool>()).prop_map(|(e, on)| Step::Answer(e, on)),
        3 => (entry.clone(), 0..30_u32).prop_map(|(e, n)| Step::Demand(e, n)),
        1 => entry.prop_map(Step::Restart),
        1 => Just(Step::NewLeader),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]

    /// `World::check` holds after every step of any history, and afterwards all slots are usable.
    #[test]
    fn never_more(steps in prop::collection::vec(step(), 1..50)) {
        let mut world = World::settled(3, 2);
        for step in steps {
            match step {
                Step::Pass(span) => world.pass(span),
                Step::Exchange(entry, arrives) if world.entries[entry].connected => {
                    world.exchange(entry, arrives);
                }
                Step::Exchange(..) => {}
                Step::Start(entry, endpoint, most) => {
                    world.start(entry, &shares::endpoint_id(endpoint), most);
                }
                Step::End(entry, endpoint, most) => {
                    world.end(entry, &shares::endpoint_id(endpoint), most);
                }
                Step::Abandon(entry, endpoint) => {
                    world.abandon(entry, &shares::endpoint_id(endpoint));
                }
                Step::EndOrphans(endpoint) => {
                    world.orphans.remove(&shares::endpoint_id(endpoint));
                }
                Step::Connect(entry, connected) => world.entries[entry].connected = connected,
                Step::Answer(entry, answered) => world.entries[entry].answered = answered,
                Step::Demand(entry, waiting) => world.entries[entry].waiting = waiting,
                Step::Restart(entry) => world.restart(entry),
                Step::NewLeader => world.book = ShareAllocator::new(),
            }
        }
        for entry in &mut world.entries {
            entry.connected = true;
            entry.answered = true;
            entry.waiting = 0;
            entry.running.clear();
        }
        world.orphans.clear();
        world.entries[0].waiting = 100;
        world.pass(8_000);
        prop_assert_eq!((world.share(0, 0), world.share(0, 1)), (8, 8));
    }
}
