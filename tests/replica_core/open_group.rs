use marjoramknot::replica::core::Event;

use crate::world::World;

/// How long a change of the voters may take beyond the time after which a voter counts as gone.
const CHANGE_MS: u64 = 4_000;
/// The time after which a silent voter's place is given to another; the core's default.
const GONE_MS: u64 = 8_000;

fn with_leader(count: usize, seed: u64) -> (World, usize) {
    let mut world = World::open(count, 3, 3, seed);
    world.run_until(5_000, "a leader", |w| w.leader().is_some());
    world.run(1_000);
    let leader = world.leader().expect("the group has a leader");
    (world, leader)
}

fn commit(world: &mut World) {
    let before = world.acknowledged.len();
    let leader = world.leader().expect("the group has a leader");
    assert!(world.propose(leader));
    world.run_until(1_000, "a commit", |w| w.acknowledged.len() > before);
}

#[test]
fn later_replicas_stand_by() {
    for seed in 0..20 {
        let (mut world, _leader) = with_leader(5, seed);
        commit(&mut world);
        world.run(1_000);
        let votes: Vec<bool> = (0..5).map(|position| world.votes(position)).collect();
        assert_eq!(votes, [true, true, true, false, false], "seed {seed}");
        assert_eq!(world.replicas[4].applied.len(), 1, "a standby follows");
    }
}

#[test]
fn standby_takes_the_place_of_a_lost_voter() {
    for seed in 0..20 {
        let (mut world, leader) = with_leader(4, seed);
        let lost = (leader + 1) % 3;
        world.crash(lost);
        world.run_until(GONE_MS + CHANGE_MS, "the standby votes", |w| w.votes(3));
        assert!(!world.votes(lost));
        // A second loss is borne now.
        let other = (0..3)
            .find(|p| *p != lost && *p != leader)
            .expect("there are three");
        world.crash(other);
        world.run_until(3_000, "a leader", |w| w.leader().is_some());
        commit(&mut world);
    }
}

#[test]
fn short_silence_costs_no_vote() {
    let (mut world, leader) = with_leader(4, 7);
    let away = (leader + 1) % 3;
    world.isolate(away);
    world.run(GONE_MS / 2);
    world.cuts.clear();
    world.run(CHANGE_MS);
    assert!(world.votes(away));
    assert!(!world.votes(3));
}

#[test]
fn wiped_founder_never_founds_again() {
    for seed in 0..20 {
        let (mut world, leader) = with_leader(3, seed);
        commit(&mut world);
        let group = world.core(leader).group().cloned();
        let wiped = (leader + 1) % 3;
        world.crash(wiped);
        world.lose_disk(wiped, false);
        world.start(wiped);
        world.run_until(CHANGE_MS, "the wiped replica votes", |w| w.votes(wiped));
        assert_eq!(world.core(wiped).group().cloned(), group, "seed {seed}");
    }
}

#[test]
fn later_replicas_alone_form_nothing() {
    let mut world = World::new(5, 3);
    world.open = Some((3, 3));
    world.start(3);
    world.start(4);
    world.run(10_000);
    assert!(world.leader().is_none());
    assert!(world.core(3).group().is_none());
}

/// A joiner asks the members that it was told of, as the seeds of its settings may be gone.
#[test]
fn joiner_finds_members_that_are_no_seeds() {
    let (mut world, leader) = with_leader(5, 11);
    let founders = (0..3).filter(|p| *p != leader);
    for (founder, standbys) in founders.zip(1..) {
        world.crash(founder);
        let within = GONE_MS + CHANGE_MS;
        world.run_until(within, "a standby votes", |w| {
            (3..5).filter(|p| w.votes(*p)).count() == standbys
        });
    }
    commit(&mut world);
    // The last founder goes too: what is left are replicas that were no seeds.
    world.crash(leader);
    world.run_until(3_000, "a leader", |w| w.leader().is_some());
    commit(&mut world);
}

/// A leader that can write no more makes way for one that can.
#[test]
fn leader_with_a_full_disk_hands_over() {
    for seed in 0..20 {
        let (mut world, leader) = with_leader(3, seed);
        world.replicas[leader].disk_full = true;
        world.event(leader, Event::DiskFull(true));
        world.run_until(3_000, "another leader", |w| {
            w.leader().is_some_and(|l| l != leader)
        });
        commit(&mut world);
        assert!(world.leader() != Some(leader), "seed {seed}");
    }
}
