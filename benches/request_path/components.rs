//! Measures how the cost of the router, the request ledger and the share allocator grows with the
//! number of endpoints, teams, records and entries. These components do no I/O.

use std::sync::Arc;
use std::time::Instant;

use marjoramknot::control::{EndpointCapacity, EndpointShare, EndpointUsage, ExchangeRequest};
use marjoramknot::request_ledger::{
    BeginRequest, ContentDigest, FinishRequest, Ledger, RecordState, RequestKey, StoredResponse,
};
use marjoramknot::router::{
    AttemptOutcome, QueuedRequest, Router, RouterAction, RouterEvent, RouterView, ShareAllocator,
    Ticket,
};
use marjoramknot::units::{
    EntryId, Incarnation, Millis, Revision, Sequence, Slots, TeamId, WallMs,
};

use crate::shares;

const ROUNDS: u32 = 20_000;

pub fn print_costs() {
    println!("# pure cores: router by endpoints and teams, ledger by records, share book");
    for (endpoints, teams) in [(10, 4), (50, 4), (500, 4), (4_000, 4), (50, 300)] {
        let us = router_us(endpoints, teams);
        println!("router_us_per_request={us:.2} endpoints={endpoints} teams={teams}");
    }
    for records in [0, 1_000, 4_000, 8_000] {
        let us = ledger_us(records);
        println!("ledger_us_per_request={us:.2} records={records}");
    }
    for (endpoints, entries) in [(50, 9), (500, 9), (4_000, 9), (50, 90)] {
        let us = allocator_us(endpoints, entries);
        println!("share_tick_us={us:.0} endpoints={endpoints} entries={entries}");
    }
}

fn share(number: u16) -> EndpointShare {
    let announced = shares::announcement(number);
    EndpointShare {
        endpoint: announced.endpoint,
        incarnation: announced.incarnation,
        address: announced.address,
        service: announced.service,
        zone: announced.zone,
        slots: Slots(8),
        connections: Slots(64),
        leaving: false,
        abandoned_acked: EndpointCapacity::default(),
    }
}

/// Returns the microseconds that the router takes for one request: arrival, send order and end.
fn router_us(endpoints: u16, teams: u32) -> f64 {
    let mut in_force = shares::in_force();
    in_force.revision = Revision(1);
    let spec = in_force
        .teams
        .values()
        .next()
        .cloned()
        .expect("the configuration has no team");
    let teams: Vec<TeamId> = (0..teams)
        .map(|number| {
            let name: TeamId = format!("team-{number}").parse().expect("an id");
            let mut spec = spec.clone();
            spec.name = name.clone();
            in_force.teams.insert(name.clone(), spec);
            name
        })
        .collect();
    let mut router = Router::new();
    let view = RouterView {
        in_force: Arc::new(in_force),
        shares: Arc::new((0..endpoints).map(share).collect()),
        shares_version: 1,
        granted_until_ms: Millis::MAX,
    };
    router.handle(RouterEvent::ViewChanged(view), Millis(0));
    let started = Instant::now();
    let rounds = ROUNDS / (1 + u32::from(endpoints) / 50);
    for round in 0..rounds {
        let now = Millis(u64::from(round));
        let request = QueuedRequest {
            team: teams[round as usize % teams.len()].clone(),
            service: "booking".parse().expect("an id"),
            idempotent: true,
            deadline_ms: Millis::MAX,
        };
        let ticket = Ticket(u64::from(round));
        let actions = router.handle(RouterEvent::Arrived { ticket, request }, now);
        for action in actions {
            if let RouterAction::Send(order) = action {
                let outcome = AttemptOutcome::Completed { reusable: true };
                let ended = RouterEvent::AttemptEnded {
                    ticket: order.ticket,
                    instance: order.instance,
                    connection: order.connection,
                    outcome,
                };
                router.handle(ended, now);
            }
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Returns the microseconds to begin and finish one request in a ledger of `records` other
/// requests.
fn ledger_us(records: u32) -> f64 {
    let mut ledger = Ledger::default();
    for number in 0..records {
        begin_and_finish(&mut ledger, number);
    }
    let rounds = 2_000;
    let started = Instant::now();
    for number in 0..rounds {
        begin_and_finish(&mut ledger, 1_000_000 + number);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn begin_and_finish(ledger: &mut Ledger, number: u32) {
    let now = WallMs(1_000_000_000);
    let team = if number.is_multiple_of(2) {
        "regatta"
    } else {
        "judges"
    };
    let begin = BeginRequest {
        key: RequestKey {
            team: team.parse().expect("an id"),
            service: "booking".parse().expect("an id"),
            id: format!("r{number}").parse().expect("an id"),
        },
        content: ContentDigest([0; 32]),
        made_ms: Some(now),
        entry: "entry-1".parse().expect("an id"),
        entry_incarnation: Incarnation(1),
        sequence: Sequence(u64::from(number)),
        endpoint: "booking-1".parse().expect("an id"),
        endpoint_incarnation: Incarnation(1),
        deadline_ms: Millis(10_000),
    };
    let finish = FinishRequest {
        key: begin.key.clone(),
        entry: begin.entry.clone(),
        entry_incarnation: begin.entry_incarnation,
        sequence: begin.sequence,
        state: RecordState::Answered(StoredResponse {
            status: 200,
            content_type: "text/plain".into(),
            body: vec![0; 128],
        }),
    };
    ledger.begin(&begin, now);
    ledger.finish(&finish, now);
}

/// Returns the microseconds of one tick of the leader's share allocator while demand changes.
fn allocator_us(endpoints: u16, entries: u32) -> f64 {
    let in_force = shares::in_force();
    let mut allocator = ShareAllocator::new();
    let mut now = Millis(0);
    let exchange = |allocator: &mut ShareAllocator, now: Millis, round: u64| {
        for number in 0..entries {
            let entry: EntryId = format!("entry-{number}").parse().expect("an id");
            let held = allocator.shares_for(&entry, Incarnation(1));
            let waiting = u32::from(u64::from(number) == round % u64::from(entries)) * 50;
            let usage = held.iter().map(|share| usage_of(share, waiting)).collect();
            let request = ExchangeRequest {
                shares_version: allocator.shares_version(&entry, Incarnation(1)),
                entry,
                incarnation: Incarnation(1),
                zone: "Senec".parse().expect("an id"),
                sequence: Sequence(round + 1),
                revision: Revision(1),
                usage,
                leaving: false,
            };
            allocator.observe_entry(&request, now);
        }
    };
    for round in 0..3 {
        for number in 0..endpoints {
            let mut announced = shares::announcement(number);
            announced.sequence = Sequence(round + 1);
            allocator.observe_announcement(&announced, &in_force, now);
        }
        exchange(&mut allocator, now, round);
        allocator.tick(&in_force, now);
        now = now.saturating_add(Millis(2_000));
    }
    let rounds = 5;
    let mut elapsed_s = 0.0;
    for round in 0..rounds {
        exchange(&mut allocator, now, 3 + round);
        let started = Instant::now();
        allocator.tick(&in_force, now);
        elapsed_s += started.elapsed().as_secs_f64();
        now = now.saturating_add(Millis(100));
    }
    elapsed_s * 1e6 / rounds as f64
}

fn usage_of(share: &EndpointShare, waiting: u32) -> EndpointUsage {
    EndpointUsage {
        endpoint: share.endpoint.clone(),
        incarnation: share.incarnation,
        slots: Slots(0),
        connections: Slots(0),
        waiting,
        share: EndpointCapacity {
            slots: share.slots,
            connections: share.connections,
        },
        abandoned: EndpointCapacity::default(),
        abandoned_acked: share.abandoned_acked,
    }
}
