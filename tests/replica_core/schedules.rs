//! Random schedules of message loss, delays, crashes, partitions and lost disks on the consensus
//! core.
//!
//! `MARJORAMKNOT_SCHEDULES=100000 cargo test --release --test replica_core schedules` runs more
//! schedules. `MARJORAMKNOT_SEED=17 MARJORAMKNOT_SCHEDULES=1` runs only the one with that seed.

use std::thread;

use crate::simulation::{Faults, Simulation};
use marjoramknot::replica::core::{Core, Event};

/// Default number of schedules of each kind.
const SCHEDULES: u64 = 1_000;
/// Number of threads that share the schedules.
const THREADS: u64 = 4;

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs a schedule for each seed.
fn for_seeds(run: fn(u64)) {
    let first = from_environment("MARJORAMKNOT_SEED", 0);
    let count = from_environment("MARJORAMKNOT_SCHEDULES", SCHEDULES);
    thread::scope(|scope| {
        for part in 0..THREADS {
            scope.spawn(move || {
                let seeds = (first..first + count).filter(|seed| seed % THREADS == part);
                seeds.for_each(run);
            });
        }
    });
}

/// Creates a group with a leader and random faults.
fn with_random_faults(seed: u64) -> Simulation {
    let count = if seed.is_multiple_of(3) { 5 } else { 3 };
    let election_ms = if seed.is_multiple_of(2) { 600 } else { 1_000 };
    let mut sim = Simulation::with_election_timeout(election_ms, count, seed);
    sim.run_until(10_000, "a leader", |s| s.leader().is_some());
    sim.faults = Faults {
        drop_percent: [0, 5, 20][sim.random_below(3)],
        duplicate_percent: [0, 10][sim.random_below(2)],
        max_delay_ms: [5, 60, 400][sim.random_below(3)],
        max_sync_ms: [5, 60, 300][sim.random_below(3)],
    };
    sim
}

/// Occasionally changes which links are blocked.
fn change_partitions(sim: &mut Simulation) {
    let count = sim.replicas.len();
    let (a, b) = (sim.random_below(count), sim.random_below(count));
    match sim.random_below(40) {
        0 if a != b => {
            sim.blocked_links.insert((a, b));
        }
        1 => sim.isolate(a),
        2 => {
            for other in 0..count {
                let left = other <= a;
                (0..count)
                    .filter(|o| (*o <= a) != left)
                    .for_each(|o| sim.disconnect(other, o));
            }
        }
        3..=5 => sim.blocked_links.clear(),
        _ => {}
    }
}

fn propose_randomly(sim: &mut Simulation) {
    let count = sim.replicas.len();
    for position in 0..count {
        let leads = sim.replicas[position]
            .core
            .as_ref()
            .is_some_and(Core::is_leader);
        if leads && sim.chance(30) {
            sim.propose(position);
        }
    }
}

fn crash_randomly(sim: &mut Simulation) {
    let position = sim.random_below(sim.replicas.len());
    if sim.replicas[position].core.is_none() {
        if sim.chance(10) {
            sim.start(position);
        }
    } else if sim.chance(1) {
        sim.crash(position);
    }
}

fn toggle_full_disk(sim: &mut Simulation) {
    let position = sim.random_below(sim.replicas.len());
    if sim.replicas[position].core.is_some() && sim.chance(2) {
        let full = !sim.replicas[position].disk_full;
        sim.replicas[position].disk_full = full;
        sim.handle_event(position, Event::DiskFull(full));
    }
}

fn crashes_and_cuts(seed: u64) {
    let mut sim = with_random_faults(seed);
    for _ in 0..250 {
        propose_randomly(&mut sim);
        change_partitions(&mut sim);
        crash_randomly(&mut sim);
        toggle_full_disk(&mut sim);
        if sim.chance(1) {
            let position = sim.random_below(sim.replicas.len());
            sim.transfer_leadership(position);
        }
        sim.step();
    }
    sim.check_recovery();
}

/// Loses one disk after another, each as soon as the previously affected replica votes again.
fn lost_disks(seed: u64) {
    let mut sim = with_random_faults(seed);
    let count = sim.replicas.len();
    for _ in 0..3 {
        for _ in 0..[0, 5, 50][sim.random_below(3)] {
            propose_randomly(&mut sim);
            change_partitions(&mut sim);
            sim.step();
        }
        sim.blocked_links.clear();
        let position = sim.random_below(count);
        let replaces_damaged_folder = sim.chance(50);
        sim.crash(position);
        sim.lose_disk(position, replaces_damaged_folder);
        let committed = sim.committed.keys().last().copied().unwrap_or_default();
        sim.start(position);
        let delay = sim.faults.max_delay_ms;
        sim.faults.max_delay_ms = delay.min(60);
        sim.run_until(30_000, "the replica to vote again", |s| {
            let node = &s.replicas[position].node;
            s.leader().is_some_and(|p| {
                let core = s.core(p);
                let votes = core.members().is_some_and(|m| m.contains(node));
                votes && core.committed() >= core.members_index()
            })
        });
        let held = sim.replicas[position].disk_index();
        assert!(
            held >= committed,
            "seed {seed}: a voter without the committed entries"
        );
        sim.faults.max_delay_ms = delay;
    }
    sim.check_recovery();
}

/// Isolates the leader at random times, with differing clocks and restarting followers.
fn isolated_leaders(seed: u64) {
    let mut sim = Simulation::started(3, seed);
    sim.faults.max_delay_ms = [0, 0, 30][sim.random_below(3)];
    for _ in 0..4 {
        sim.run_until(10_000, "a leader", |s| s.leader().is_some());
        let leader = sim.leader().expect("the group has a leader");
        let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
        let early = sim.chance(50);
        if early {
            sim.disconnect(leader, one);
            let span = sim.random_below(3_000) as u64;
            sim.run(span);
        }
        sim.isolate(leader);
        if sim.chance(70) {
            sim.crash(other);
            sim.start(other);
        }
        for _ in 0..150 {
            sim.propose(leader);
            sim.step();
        }
        sim.blocked_links.clear();
    }
    sim.check_recovery();
}

#[test]
fn crashes_cuts() {
    for_seeds(crashes_and_cuts);
}

#[test]
fn disk_losses() {
    for_seeds(lost_disks);
}

#[test]
fn leader_cuts() {
    for_seeds(isolated_leaders);
}
