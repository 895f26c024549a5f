//! Seeded schedules of losses, delays, crashes, cuts and lost disks on the pure consensus core.
//!
//! `MARJORAMKNOT_SCHEDULES=100000 cargo test --release --test replica_core schedules` runs more of them;
//! `MARJORAMKNOT_SEED=17 MARJORAMKNOT_SCHEDULES=1` runs just the one that failed.

use std::thread;

use crate::world::{Faults, World};
use marjoramknot::replica::core::{Core, Event};

/// Schedules of each kind when the environment says nothing.
const SCHEDULES: u64 = 1_000;
/// Threads that share them.
const THREADS: u64 = 4;

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs one function for many seeds.
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

/// A group that has formed, under faults that the seed chooses.
fn troubled(seed: u64) -> World {
    let count = if seed.is_multiple_of(3) { 5 } else { 3 };
    let election_ms = if seed.is_multiple_of(2) { 600 } else { 1_000 };
    let mut world = World::with_elections(election_ms, count, seed);
    world.run_until(10_000, "a group", |w| w.leader().is_some());
    world.faults = Faults {
        drop_percent: [0, 5, 20][world.pick(3)],
        double_percent: [0, 10][world.pick(2)],
        max_delay_ms: [5, 60, 400][world.pick(3)],
        max_sync_ms: [5, 60, 300][world.pick(3)],
    };
    world
}

/// Changes the cuts between replicas now and then.
fn change_cuts(world: &mut World) {
    let count = world.replicas.len();
    let (a, b) = (world.pick(count), world.pick(count));
    match world.pick(40) {
        0 if a != b => {
            world.cuts.insert((a, b));
        }
        1 => world.isolate(a),
        2 => {
            for other in 0..count {
                let left = other <= a;
                (0..count)
                    .filter(|o| (*o <= a) != left)
                    .for_each(|o| world.cut(other, o));
            }
        }
        3..=5 => world.cuts.clear(),
        _ => {}
    }
}

fn propose_somewhere(world: &mut World) {
    let count = world.replicas.len();
    for position in 0..count {
        let leads = world.replicas[position]
            .core
            .as_ref()
            .is_some_and(Core::is_leader);
        if leads && world.chance(30) {
            world.propose(position);
        }
    }
}

fn crash_somewhere(world: &mut World) {
    let position = world.pick(world.replicas.len());
    if world.replicas[position].core.is_none() {
        if world.chance(10) {
            world.start(position);
        }
    } else if world.chance(1) {
        world.crash(position);
    }
}

fn fill_disks(world: &mut World) {
    let position = world.pick(world.replicas.len());
    if world.replicas[position].core.is_some() && world.chance(2) {
        let full = !world.replicas[position].disk_full;
        world.replicas[position].disk_full = full;
        world.event(position, Event::DiskFull(full));
    }
}

fn crashes_and_cuts(seed: u64) {
    let mut world = troubled(seed);
    for _ in 0..250 {
        propose_somewhere(&mut world);
        change_cuts(&mut world);
        crash_somewhere(&mut world);
        fill_disks(&mut world);
        if world.chance(1) {
            let position = world.pick(world.replicas.len());
            world.hand_over(position);
        }
        world.step();
    }
    world.check_end();
}

/// Loses disks one after the other, each as soon as the voter before it is replaced.
fn lost_disks(seed: u64) {
    let mut world = troubled(seed);
    let count = world.replicas.len();
    for _ in 0..3 {
        for _ in 0..[0, 5, 50][world.pick(3)] {
            propose_somewhere(&mut world);
            change_cuts(&mut world);
            world.step();
        }
        world.cuts.clear();
        let position = world.pick(count);
        let after_damage = world.chance(50);
        world.crash(position);
        world.lose_disk(position, after_damage);
        let committed = world.committed.keys().last().copied().unwrap_or_default();
        world.start(position);
        let delay = world.faults.max_delay_ms;
        world.faults.max_delay_ms = delay.min(60);
        world.run_until(30_000, "the repaired voter", |w| {
            let node = &w.replicas[position].node;
            w.leader().is_some_and(|p| {
                let core = w.core(p);
                let votes = core.members().is_some_and(|m| m.contains(node));
                votes && core.committed() >= core.members_index()
            })
        });
        let held = world.replicas[position].disk_index();
        assert!(held >= committed, "seed {seed}: a voter without the state");
        world.faults.max_delay_ms = delay;
    }
    world.check_end();
}

/// Cuts the leader off at any moment, with clocks that differ and followers that restart.
fn isolated_leaders(seed: u64) {
    let mut world = World::started(3, seed);
    world.faults.max_delay_ms = [0, 0, 30][world.pick(3)];
    for _ in 0..4 {
        world.run_until(10_000, "a leader", |w| w.leader().is_some());
        let leader = world.leader().expect("the group has a leader");
        let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
        let early = world.chance(50);
        if early {
            world.cut(leader, one);
            let span = world.pick(3_000) as u64;
            world.run(span);
        }
        world.isolate(leader);
        if world.chance(70) {
            world.crash(other);
            world.start(other);
        }
        for _ in 0..150 {
            world.propose(leader);
            world.step();
        }
        world.cuts.clear();
    }
    world.check_end();
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
