//! An unused guarantee can always be reclaimed, and every job that can run starts.

#[path = "support/gang_driver.rs"]
mod gang_driver;

use gang_driver::{Driver, ONE_LEASE_MS, add_team, in_force, job};
use marjoramknot::release_note::{Adjacency, ClusterConfig, ZoneState};
use marjoramknot::scheduler::{JobKey, SchedulerOptions};
use marjoramknot::units::{Accelerators, Millis};
use rstest::rstest;

const CHECKPOINT_BOUND_MS: u64 = 30_000;
const POLL_MS: u64 = 2_200;
const ZONES: [&str; 3] = ["Senec", "Trnava", "Nitra"];

fn fleet() -> ClusterConfig {
    let mut state = in_force(&ZONES.map(|zone| (zone, 2)), 3);
    add_team(
        &mut state,
        "ponds",
        &[(3, 8, Adjacency::Rack), (2, 4, Adjacency::Any)],
    );
    add_team(
        &mut state,
        "maps",
        &[(2, 8, Adjacency::Zone), (4, 1, Adjacency::Worker)],
    );
    add_team(&mut state, "heats", &[(4, 2, Adjacency::Rack)]);
    add_team(&mut state, "guests", &[]);
    state
}

/// Fills the whole fleet with long-running borrowed work.
fn fill_fleet(driver: &mut Driver, tasks: u32, accelerators: u32) -> Vec<JobKey> {
    let each = tasks * accelerators;
    let count = u32::try_from(driver.slots.len()).expect("a small fleet") * 8 / each;
    let keys = (0..count)
        .map(|at| {
            driver.submit(job(
                "guests",
                &format!("fill{at}"),
                tasks,
                accelerators,
                900_000,
            ))
        })
        .collect();
    driver.run_for(5_000);
    keys
}

fn owner_jobs(driver: &mut Driver, urgent: bool) -> Vec<JobKey> {
    let shapes = [
        ("ponds", 3, 8, Adjacency::Rack),
        ("ponds", 2, 4, Adjacency::Any),
        ("maps", 2, 8, Adjacency::Zone),
        ("maps", 4, 1, Adjacency::Worker),
        ("heats", 4, 2, Adjacency::Rack),
    ];
    let mut keys = Vec::new();
    for (at, (team, tasks, accelerators, adjacency)) in shapes.into_iter().enumerate() {
        let mut spec = job(team, &format!("own{at}"), tasks, accelerators, 60_000);
        spec.adjacency = adjacency;
        spec.urgent = urgent;
        keys.push(driver.submit(spec));
    }
    keys
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
enum Borrowers {
    Obey,
    IgnoreCheckpoint,
    LoseWorker,
    LeaderChanges,
}

/// Owners start within the checkpoint time-out plus two polls, urgent ones within 5.8 s, also if
/// borrowers write no checkpoints. The loss of a worker or of the leader may add 8 s.
#[rstest]
fn reclaim_in_bound(
    #[values(
        Borrowers::Obey,
        Borrowers::IgnoreCheckpoint,
        Borrowers::LoseWorker,
        Borrowers::LeaderChanges
    )]
    borrowers: Borrowers,
    #[values((1, 8), (4, 8), (8, 1), (1, 2))] filler: (u32, u32),
    #[values(false, true)] urgent: bool,
) {
    let mut driver = Driver::ready(fleet(), 7);
    fill_fleet(&mut driver, filler.0, filler.1);
    let ignore = borrowers != Borrowers::Obey;
    for slot in &mut driver.slots {
        slot.worker.spec.faults.ignores_checkpoint = ignore;
    }
    let since = driver.now;
    let owners = owner_jobs(&mut driver, urgent);
    driver.run_for(1_000);
    match borrowers {
        Borrowers::LoseWorker => driver.slots[0].partitioned = true,
        Borrowers::LeaderChanges => driver.elect(),
        Borrowers::Obey | Borrowers::IgnoreCheckpoint => {}
    }
    let lease = if borrowers >= Borrowers::LoseWorker {
        8_000
    } else {
        0
    };
    let bound = if urgent {
        5_800
    } else {
        CHECKPOINT_BOUND_MS + 2 * POLL_MS
    } + lease;
    let started = |d: &Driver| {
        owners
            .iter()
            .filter(|key| d.started_ms.contains_key(key))
            .count()
    };
    let left = bound - driver.now.since(since).0;
    driver.run_until(left, |d| started(d) == owners.len());
    let waiting: Vec<_> = owners
        .iter()
        .filter(|k| !driver.started_ms.contains_key(k))
        .collect();
    let why: Vec<_> = waiting
        .iter()
        .map(|key| driver.scheduler.explain(key))
        .collect();
    assert!(waiting.is_empty(), "not started: {waiting:?}, {why:?}");
    driver.check_history(ONE_LEASE_MS);
}

/// Applies one random action of a user or an operator, or one random fault.
fn random_event(driver: &mut Driver, at: u32) {
    let teams = ["ponds", "maps", "heats", "guests"];
    let team = teams[driver.random(4) as usize];
    match driver.random(20) {
        0..=11 => {
            let accelerators = [0, 1, 2, 4, 8][driver.random(5) as usize];
            let tasks = [1, 1, 2, 3, 4, 6][driver.random(6) as usize];
            let run = u64::from(500 + driver.random(40_000));
            let mut spec = job(team, &format!("j{at}"), tasks, accelerators, run);
            spec.idempotent = driver.random(4) > 0;
            spec.urgent = driver.random(8) == 0;
            let adjacency = [
                Adjacency::Worker,
                Adjacency::Rack,
                Adjacency::Zone,
                Adjacency::Any,
            ];
            spec.adjacency = adjacency[driver.random(4) as usize];
            let admitted = marjoramknot::scheduler::admit(&spec, &driver.in_force, 0);
            if admitted.is_ok() {
                driver.submit(spec);
            }
        }
        12..=13 => {
            let keys: Vec<JobKey> = driver.records.keys().cloned().collect();
            if !keys.is_empty() {
                let at = driver.random(u32::try_from(keys.len()).expect("few jobs"));
                driver.cancel(&keys[at as usize]);
            }
        }
        14 => {
            let zone = ZONES[driver.random(3) as usize];
            if driver.in_force.zones[zone].state == ZoneState::In {
                driver.set_zone(zone, ZoneState::Out);
            } else {
                driver.set_zone(zone, ZoneState::In);
            }
        }
        15 | 16 => {
            let at = driver.random(18) as usize;
            driver.slots[at].partitioned = !driver.slots[at].partitioned;
        }
        17 => {
            let at = driver.random(18) as usize;
            let now = driver.now;
            driver.restart_worker(at, now);
        }
        18 => {
            let cells = [
                (2, 8, Adjacency::Rack),
                (1, 4, Adjacency::Any),
                (8, 1, Adjacency::Zone),
            ];
            let pick = cells[driver.random(3) as usize];
            let mut state = driver.in_force.clone();
            add_team(&mut state, "heats", &[pick]);
            driver.in_force = state;
            driver.apply_release_note();
        }
        _ => driver.elect(),
    }
}

/// After any random history, once all faults are over, every job ends and every guarantee is bound.
#[rstest]
#[case::calm(0)]
#[case::rough(30)]
fn random_histories(#[case] lost_permille: u32) {
    for seed in 0..12 {
        let mut driver = Driver::ready(fleet(), seed);
        driver.network.lost_permille = lost_permille;
        driver.network.delay_max_ms = 200;
        for at in 0..150 {
            random_event(&mut driver, at);
            let pause = u64::from(driver.random(1_500));
            driver.run_for(pause);
        }
        driver.network.lost_permille = 0;
        driver
            .slots
            .iter_mut()
            .for_each(|slot| slot.partitioned = false);
        for zone in ZONES {
            if driver.in_force.zones[zone].state == ZoneState::Out {
                driver.set_zone(zone, ZoneState::In);
            }
        }
        let count = driver.records.len();
        let all = driver.run_until(900_000, |d| d.ended_ms.len() == count);
        let left: Vec<_> = driver
            .records
            .values()
            .filter(|r| !driver.ended_ms.contains_key(&r.spec.key))
            .map(|r| (&r.spec, driver.scheduler.explain(&r.spec.key)))
            .collect();
        assert!(all, "seed {seed}: {left:#?}");
        driver.run_for(10_000);
        let at_risk: u32 = driver.scheduler.teams().iter().map(|t| t.at_risk.0).sum();
        assert_eq!(at_risk, 0, "seed {seed}: {:#?}", driver.scheduler.teams());
        driver.check_history(Millis(2 * ONE_LEASE_MS.0));
    }
}

/// A steady stream of small jobs does not keep large gangs from starting within four minutes.
#[test]
fn no_starvation() {
    let options = SchedulerOptions::builder()
        .max_overtake_ms(Millis(60_000))
        .defragment_after_ms(Millis(30_000))
        .build();
    for seed in 0..4 {
        let mut driver = Driver::new(fleet(), options.clone(), seed);
        driver.check_each_step = false;
        driver.run_for(8_000);
        for at in 0..300_u32 {
            for burst in 0..4 + driver.random(4) {
                let team = ["guests", "heats", "ponds"][driver.random(3) as usize];
                let accelerators = [1, 2, 4][driver.random(3) as usize];
                let run = u64::from(1_000 + driver.random(9_000));
                driver.submit(job(team, &format!("s{at}-{burst}"), 1, accelerators, run));
            }
            if at % 25 == 0 {
                let mut spec = job("guests", &format!("large{at}"), 3, 8, 5_000);
                spec.adjacency = Adjacency::Rack;
                driver.submit(spec);
                driver.submit(job("maps", &format!("wide{at}"), 5, 8, 5_000));
            }
            driver.run_for(1_000);
        }
        driver.run_for(60_000);
        let bound_ms = Millis(240_000);
        for (key, since) in &driver.submitted_ms {
            let started = driver.started_ms.get(key);
            let started = started.unwrap_or_else(|| panic!("seed {seed}: {key} never started"));
            let waited = started.since(*since);
            assert!(waited <= bound_ms, "seed {seed}: {key} waited {waited}");
        }
    }
}

#[test]
fn unbound_guarantees_are_reported() {
    let mut driver = Driver::ready(fleet(), 3);
    for zone in ["Senec", "Trnava"] {
        driver.set_zone(zone, ZoneState::Out);
    }
    let shrunk = |d: &mut Driver| {
        let zone = d.in_force.zones.get_mut("Nitra").expect("declared");
        zone.racks.truncate(1);
        d.apply_release_note();
        d.run_for(1_000);
    };
    shrunk(&mut driver);
    let teams = driver.scheduler.teams();
    let at_risk = teams
        .iter()
        .filter(|team| team.at_risk > Accelerators::ZERO);
    assert!(at_risk.clone().count() > 0);
    assert!(at_risk.clone().all(|team| team.risk_cause.is_some()));
    driver.set_zone("Senec", ZoneState::In);
    driver.set_zone("Trnava", ZoneState::In);
    driver.run_for(3_000);
    assert!(
        driver
            .scheduler
            .teams()
            .iter()
            .all(|team| team.at_risk == Accelerators::ZERO)
    );
}

/// Urgent jobs start first, then jobs with a deadline, then the others by arrival. A waiting job
/// has a stable explanation code.
#[test]
fn start_order() {
    let mut driver = Driver::ready(fleet(), 4);
    fill_fleet(&mut driver, 1, 8);
    let mut early = job("guests", "early", 1, 8, 20_000);
    early.declared_run_ms = Millis(600_000);
    let early = driver.submit(early);
    let mut due = job("guests", "due", 1, 8, 20_000);
    due.declared_run_ms = Millis(600_000);
    due.deadline_ms = Some(Millis(1_300_000));
    let due = driver.submit(due);
    let mut urgent = job("guests", "urgent", 1, 8, 20_000);
    urgent.urgent = true;
    let urgent = driver.submit(urgent);
    driver.run_for(2_000);
    let why = driver.scheduler.explain(&early).expect("it waits");
    assert_eq!(why.code, "waits_for_cell");
    for at in 0..3 {
        let key = JobKey {
            team: early.team.clone(),
            id: format!("fill{at}").parse().expect("a valid id"),
        };
        driver.cancel(&key);
        driver.run_for(3_000);
    }
    let order: Vec<_> = driver
        .starts
        .iter()
        .map(|(key, _attempt, _at)| key.clone())
        .collect();
    assert!(order.ends_with(&[urgent, due, early]), "{order:?}");
}
