//! All guarantees that note validation accepts are bound once every declared worker has polled.

#[path = "support/gang_driver.rs"]
mod gang_driver;
#[path = "support/notes.rs"]
mod notes;

use std::fmt::Write;
use std::sync::Arc;

use gang_driver::id;
use marjoramknot::fleet::{Usage, WorkerCapacity, WorkerPoll};
use marjoramknot::release_note::{ClusterConfig, RackSpec};
use marjoramknot::scheduler::{Event, Scheduler, SchedulerOptions};
use marjoramknot::units::{Incarnation, Millis, OrdersVersion, Revision, Sequence, Term, ZoneId};
use proptest::prelude::*;

/// Number of workers, accelerators per worker, cores per worker.
type Rack = (u32, u32, u32);
/// Number of cells, accelerators per cell, adjacency.
type Cells = (u32, u32, &'static str);
/// The index of a team and the cells of one of its guarantees.
type GuaranteeRequest = (usize, Cells);

const TEAMS: usize = 4;
/// Long enough for several polls of every worker and for the first pass of a new leader.
const SETTLED_MS: u64 = 6_000;

fn racks() -> impl Strategy<Value = Vec<Vec<Rack>>> {
    let accelerators = prop::sample::select(vec![0_u32, 1, 2, 4, 8, 8, 8]);
    let rack = (1_u32..5, accelerators, 1_u32..65);
    prop::collection::vec(prop::collection::vec(rack, 1..4), 1..4)
}

fn requests() -> impl Strategy<Value = Vec<GuaranteeRequest>> {
    let adjacency = prop::sample::select(vec!["worker", "rack", "zone", "any"]);
    let size = prop::sample::select(vec![1_u32, 2, 4, 8]);
    prop::collection::vec((0..TEAMS, (1_u32..9, size, adjacency)), 1..24)
}

fn note_of(zones: &[Vec<Rack>], requests: &[GuaranteeRequest]) -> String {
    let mut text = String::from("version = 1\n");
    for (zone, racks) in zones.iter().enumerate() {
        let racks = racks
            .iter()
            .enumerate()
            .map(|(at, (workers, size, cores))| {
                format!(
                    "{{ name = \"r{at}\", workers = {workers}, accelerators = {size}, \
                 cores = {cores}, memory_mb = 65536 }}"
                )
            });
        let racks: Vec<String> = racks.collect();
        write!(
            text,
            "[[added.zones]]\nname = \"z{zone}\"\nracks = [{}]\n",
            racks.join(", ")
        )
        .expect("writing to a string cannot fail");
    }
    for team in 0..TEAMS {
        write!(text, "[[added.teams]]\nname = \"t{team}\"\n")
            .expect("writing to a string cannot fail");
        let own = requests.iter().filter(|(holder, _cells)| *holder == team);
        let own = own.map(|(_holder, (count, size, adjacency))| {
            format!("{{ count = {count}, accelerators = {size}, adjacency = \"{adjacency}\" }}")
        });
        let own: Vec<String> = own.collect();
        if !own.is_empty() {
            write!(
                text,
                "[[added.guarantees]]\nteam = \"t{team}\"\ncells = [{}]\n",
                own.join(", ")
            )
            .expect("writing to a string cannot fail");
        }
    }
    text
}

/// The state with the requested guarantees, skipping each one that note validation rejects together
/// with those accepted before.
fn accepted(zones: &[Vec<Rack>], requests: &[GuaranteeRequest]) -> ClusterConfig {
    let mut kept = Vec::new();
    let mut state = ClusterConfig::default();
    for request in requests {
        kept.push(*request);
        let note = notes::note(&note_of(zones, &kept));
        if ClusterConfig::default().validate(&note).is_empty() {
            state = ClusterConfig::default();
            state.apply(&note, Revision(1));
        } else {
            kept.pop();
        }
    }
    state
}

fn poll(zone: &ZoneId, rack: &RackSpec, at: u32, sequence: u64) -> WorkerPoll {
    WorkerPoll {
        worker: id(&format!("{zone}-{}-{at}", rack.name)),
        zone: zone.clone(),
        rack: rack.name.clone(),
        incarnation: Incarnation(1),
        sequence: Sequence(sequence),
        capacity: WorkerCapacity {
            accelerators: rack.accelerators,
            cores: rack.cores,
            memory_mb: rack.memory_mb,
        },
        usage: Usage::default(),
        tasks: Vec::new(),
        orders_version: OrdersVersion::ZERO,
        term: Term::ZERO,
    }
}

/// One poll of each declared worker, in an order determined by the seed.
fn polls(state: &ClusterConfig, sequence: u64, seed: u64) -> Vec<WorkerPoll> {
    let zones = state.zones.values();
    let racks = zones.flat_map(|zone| zone.racks.iter().map(|rack| (&zone.name, rack)));
    let workers = racks.flat_map(|(zone, rack)| (0..rack.workers).map(move |at| (zone, rack, at)));
    let polls = workers.map(|(zone, rack, at)| poll(zone, rack, at, sequence));
    let spread = (seed | 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let scatter = |at: u64| (at + 1).wrapping_mul(spread);
    let mut order: Vec<(u64, WorkerPoll)> = (0..).map(scatter).zip(polls).collect();
    order.sort_by_key(|(place, _poll)| *place);
    order.into_iter().map(|(_place, poll)| poll).collect()
}

/// A leader of an idle fleet after several polls of all workers.
fn settled(state: &ClusterConfig, seed: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default());
    let elected = Event::Elected {
        term: Term(1),
        in_force: Arc::new(state.clone()),
        jobs: Vec::new(),
    };
    scheduler.handle(elected, Millis(1_000));
    for step in 1..=SETTLED_MS / 500 {
        let now = Millis(1_000 + step * 500);
        for poll in polls(state, step, seed) {
            scheduler.handle(Event::Polled { poll }, now);
            scheduler.handle(Event::Tick, now);
        }
        scheduler
            .check_invariants()
            .expect("the scheduler's invariants hold");
    }
    scheduler
}

fn at_risk(scheduler: &Scheduler) -> Vec<String> {
    let teams = scheduler.teams().into_iter();
    let at_risk = teams.filter(|team| team.at_risk.get() > 0);
    at_risk
        .map(|team| format!("{} {} {:?}", team.team, team.at_risk, team.risk_cause))
        .collect()
}

/// Guards against binding small cells in the only rack that can hold the large group, whichever
/// workers poll first.
#[test]
fn rack_kept_for_large_group() {
    let zones = vec![vec![(1, 8, 8)], vec![(4, 8, 8)]];
    let requests = vec![
        (0, (1, 1, "any")),
        (1, (1, 1, "worker")),
        (1, (8, 4, "rack")),
    ];
    let state = accepted(&zones, &requests);
    assert_eq!(state.guarantees.len(), 2);
    for seed in 0..16 {
        let scheduler = settled(&state, seed);
        assert_eq!(at_risk(&scheduler), Vec::<String>::new(), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn accepted_are_bound(zones in racks(), requests in requests(), seed in any::<u64>()) {
        let state = accepted(&zones, &requests);
        let scheduler = settled(&state, seed);
        prop_assert_eq!(at_risk(&scheduler), Vec::<String>::new(), "{:?}", state.guarantees);
    }
}
