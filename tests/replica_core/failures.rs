use marjoramknot::replica::core::Event;
use rstest::rstest;

use crate::world::World;

/// The longest time without a leader that the group is allowed.
const FAILOVER_MS: u64 = 2_000;

fn with_leader(count: usize, seed: u64) -> (World, usize) {
    let mut world = World::started(count, seed);
    world.faults.max_delay_ms = 5;
    world.faults.max_sync_ms = 5;
    world.run_until(5_000, "a leader", |w| w.leader().is_some());
    world.run(500);
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
fn killed_leader() {
    for seed in 0..100 {
        let (mut world, leader) = with_leader(3, seed);
        commit(&mut world);
        world.crash(leader);
        world.run_until(FAILOVER_MS, "a new leader", |w| w.leader().is_some());
        world.check_end();
    }
}

/// Kills the leader at each step between a proposal and its commit everywhere, and starts it again.
#[test]
fn killed_while_accepting() {
    let mut acknowledged = 0;
    for steps in 0..16 {
        for seed in 0..10 {
            let (mut world, leader) = with_leader(3, seed);
            world.faults.max_delay_ms = 80;
            world.faults.max_sync_ms = 80;
            world.faults.double_percent = 30;
            assert!(world.propose(leader));
            (0..steps).for_each(|_| world.step());
            acknowledged += world.acknowledged.len();
            world.crash(leader);
            world.run(500);
            world.start(leader);
            world.check_end();
        }
    }
    assert!(acknowledged > 20, "some are killed after the answer");
    assert!(acknowledged < 140, "some are killed before the answer");
}

#[rstest]
fn isolated_leader(#[values(1, 2, 3)] seed: u64, #[values(2_000, 60_000)] cut_ms: u64) {
    let (mut world, leader) = with_leader(3, seed);
    commit(&mut world);
    world.isolate(leader);
    let taken = world.propose(leader);
    let acknowledged = world.acknowledged.len();
    world.run_until(1_040, "the old leader steps down", |w| {
        !w.core(leader).is_leader()
    });
    world.run(cut_ms);
    assert!(!world.propose(leader), "a deposed leader takes nothing");
    assert!(taken && world.acknowledged.len() == acknowledged);
    commit(&mut world);
    let term = world
        .core(world.leader().expect("the others have a leader"))
        .term();
    world.cuts.clear();
    world.run(3_000);
    let present = world.leader().expect("the group has a leader");
    assert_eq!(
        world.core(present).term(),
        term,
        "the return causes no election"
    );
    world.check_end();
}

#[rstest]
fn returning_follower(#[values(1, 2, 3)] seed: u64, #[values(500, 1_400, 30_000)] cut_ms: u64) {
    let (mut world, leader) = with_leader(3, seed);
    let term = world.core(leader).term();
    world.isolate((leader + 1) % 3);
    for _ in 0..40 {
        commit(&mut world);
    }
    world.run(cut_ms);
    world.cuts.clear();
    world.run_until(3_000, "the follower has caught up", World::is_whole);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.core(leader).term(), term);
    world.check_end();
}

/// A follower that is gone costs no pieces of a snapshot that nobody takes.
#[test]
fn lost_follower() {
    let (mut world, leader) = with_leader(3, 7);
    let follower = (leader + 1) % 3;
    world.crash(follower);
    for _ in 0..40 {
        commit(&mut world);
    }
    world.run(2_000);
    let before = world.chunk_bytes;
    world.run(60_000);
    assert_eq!(world.chunk_bytes, before);
    world.start(follower);
    world.run_until(5_000, "a whole group", World::is_whole);
    world.check_end();
}

/// Which messages a silent cut swallows.
#[derive(Clone, Copy, Debug)]
enum Cut {
    LeaderMute,
    LeaderDeaf,
    FollowerMute,
    FollowerDeaf,
    OneWay,
    Halves,
}

#[rstest]
fn silent_cuts(
    #[values(
        Cut::LeaderMute,
        Cut::LeaderDeaf,
        Cut::FollowerMute,
        Cut::FollowerDeaf,
        Cut::OneWay,
        Cut::Halves
    )]
    cut: Cut,
    #[values(3, 5)] count: usize,
    #[values(1, 2)] seed: u64,
) {
    let (mut world, leader) = with_leader(count, seed);
    let term = world.core(leader).term();
    let follower = (leader + 1) % count;
    for other in 0..count {
        let ways = match cut {
            Cut::LeaderMute => vec![(leader, other)],
            Cut::LeaderDeaf => vec![(other, leader)],
            Cut::FollowerMute => vec![(follower, other)],
            Cut::FollowerDeaf => vec![(other, follower)],
            Cut::OneWay => vec![(leader, follower)],
            // The leader and its next neighbours are the smaller half.
            Cut::Halves => {
                let minority = |p: usize| (p + count - leader) % count < count / 2;
                let across = (0..count).filter(|o| minority(*o) != minority(other));
                across.map(|o| (other, o)).collect()
            }
        };
        world.cuts.extend(ways.into_iter().filter(|(a, b)| a != b));
    }
    world.run(4_000);
    world.run_until(1_000, "a leader beside the cut", |w| w.leader().is_some());
    commit(&mut world);
    if matches!(cut, Cut::FollowerMute | Cut::FollowerDeaf | Cut::OneWay) {
        assert_eq!(
            world.core(leader).term(),
            term,
            "a cut follower deposes nobody"
        );
        world.cuts.clear();
        world.run(3_000);
        assert_eq!(world.leader(), Some(leader));
        assert_eq!(world.core(leader).term(), term, "its return deposes nobody");
    }
    world.check_end();
}

#[rstest]
fn first_start(
    #[values([0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0])] order: [usize; 3],
    #[values(0, 10_000)] late_ms: u64,
    #[values(false, true)] silent: bool,
) {
    let mut world = World::new(3, 5);
    let late = order[2];
    for position in order {
        if position == late && silent {
            world.isolate(late);
        } else if position == late {
            world.run(late_ms);
        }
        world.start(position);
        world.run(300);
    }
    if silent {
        world.run(late_ms);
        let formed = |p: usize| world.core(p).group().is_some();
        assert!(!(0..3).any(formed), "no group forms without the silent one");
        world.cuts.clear();
    }
    world.run_until(5_000, "a whole group", World::is_whole);
    let groups: Vec<_> = (0..3).map(|p| world.core(p).group().cloned()).collect();
    assert!(
        groups
            .iter()
            .all(|group| *group == groups[0] && group.is_some())
    );
    world.check_end();
}

#[rstest]
fn no_second_group(#[values(false, true)] after_damage: bool) {
    let (mut world, leader) = with_leader(3, 3);
    commit(&mut world);
    let group = world.core(leader).group().cloned();
    for position in 0..3 {
        world.crash(position);
        if after_damage || position != 1 {
            world.lose_disk(position, after_damage);
        }
        world.start(position);
    }
    world.run(20_000);
    for position in 0..3 {
        assert_eq!(world.core(position).group(), group.as_ref());
        assert!(
            !world.core(position).is_leader(),
            "two blank replicas decide nothing"
        );
    }
}

/// A replica whose identity was damaged does not know its group, but knows that there was one.
#[rstest]
fn damage_forms_nothing(#[values(0, 1, 2)] damaged: usize) {
    let mut world = World::new(3, 9);
    world.replicas[damaged].disk.after_damage = true;
    for position in 0..3 {
        world.start(position);
    }
    world.run(20_000);
    let formed = (0..3).any(|p| world.core(p).group().is_some());
    assert!(
        !formed,
        "the others may only be blank because they were lost as well"
    );
}

/// The replica that formed the group loses its disk before all the others heard of the group.
#[test]
fn lost_founder() {
    let mut world = World::started(3, 8);
    // It tells the others only after its own sync.
    world.faults.max_sync_ms = 500;
    world.run_until(5_000, "a founder", |w| w.core(0).group().is_some());
    world.isolate(2);
    world.run_until(5_000, "a group of two", |w| w.core(1).group().is_some());
    assert!(world.core(2).group().is_none());
    world.crash(0);
    world.lose_disk(0, false);
    world.start(0);
    world.cuts.clear();
    world.run_until(10_000, "a whole group", World::is_whole);
    world.check_end();
}

/// An operator puts back the folder that a voter had before it was replaced.
#[test]
fn restored_folder() {
    let (mut world, leader) = with_leader(3, 2);
    let position = (leader + 1) % 3;
    commit(&mut world);
    world.crash(position);
    let old = (
        world.replicas[position].node.clone(),
        world.replicas[position].disk.clone(),
    );
    world.lose_disk(position, false);
    world.start(position);
    world.run_until(5_000, "the repair", World::is_whole);
    commit(&mut world);
    let term = world.core(leader).term();
    world.crash(position);
    (world.replicas[position].node, world.replicas[position].disk) = old;
    world.start(position);
    world.run_until(20_000, "the second repair", World::is_whole);
    assert_eq!(
        world.core(leader).term(),
        term,
        "the old folder deposes nobody"
    );
    world.check_end();
}

#[test]
fn second_loss() {
    for seed in 0..20 {
        let (mut world, leader) = with_leader(3, seed);
        for _ in 0..30 {
            commit(&mut world);
        }
        let side = usize::from(seed % 2 == 0);
        let first = (leader + 1 + side) % 3;
        world.crash(first);
        world.lose_disk(first, seed % 3 == 0);
        world.start(first);
        world.run_until(5_000, "the repair", |w| {
            let node = &w.replicas[first].node;
            let core = w.core(leader);
            let votes = core.members().is_some_and(|m| m.contains(node));
            votes && core.committed() >= core.members_index()
        });
        let second = if seed % 2 == 0 {
            leader
        } else {
            3 - leader - first
        };
        world.crash(second);
        world.lose_disk(second, false);
        world.run_until(5_000, "a leader of the rest", |w| w.leader().is_some());
        world.start(second);
        world.check_end();
        assert!(world.acknowledged.len() >= 30);
    }
}

#[rstest]
fn planned_stop(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut world, leader) = with_leader(3, seed);
    let mut taken = 0;
    for _ in 0..20 {
        taken += usize::from(world.propose(leader));
    }
    world.event(leader, Event::TransferLeadership);
    assert!(
        !world.propose(leader),
        "a leader that hands over takes nothing more"
    );
    let took = world.run_until(500, "the next leader", |w| {
        w.leader().is_some_and(|next| next != leader)
    });
    assert_eq!(taken, 20);
    assert_eq!(world.acknowledged.len(), taken, "nothing in progress fails");
    assert!(took <= 500);
    world.crash(leader);
    world.check_end();
}

#[test]
fn full_disk() {
    let (mut world, leader) = with_leader(3, 4);
    commit(&mut world);
    world.event(leader, Event::DiskFull(true));
    assert!(!world.propose(leader));
    world.event(leader, Event::DiskFull(false));
    commit(&mut world);
    world.check_end();
}

/// Which disks hang.
#[rstest]
#[case::followers(&[1, 2])]
#[case::leader(&[0])]
fn hanging_disks(#[case] hanging: &[usize], #[values(false, true)] busy: bool) {
    let (mut world, leader) = with_leader(3, 6);
    let term = world.core(leader).term();
    commit(&mut world);
    for offset in hanging {
        world.replicas[(leader + offset) % 3].disk_full = true;
    }
    for _ in 0..500 {
        if busy {
            world.propose(leader);
        }
        world.step();
    }
    assert_eq!(
        world.leader(),
        Some(leader),
        "disks that hang depose no leader"
    );
    assert_eq!(world.core(leader).term(), term);
    for offset in hanging {
        world.replicas[(leader + offset) % 3].disk_full = false;
    }
    commit(&mut world);
    world.check_end();
}
