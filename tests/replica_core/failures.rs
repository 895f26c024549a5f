use marjoramknot::replica::core::Event;
use rstest::rstest;

use crate::simulation::Simulation;

/// Longest time that the group may be without a leader.
const FAILOVER_MAX_MS: u64 = 2_000;

fn with_leader(count: usize, seed: u64) -> (Simulation, usize) {
    let mut sim = Simulation::started(count, seed);
    sim.faults.max_delay_ms = 5;
    sim.faults.max_sync_ms = 5;
    sim.run_until(5_000, "a leader", |s| s.leader().is_some());
    sim.run(500);
    let leader = sim.leader().expect("the group has a leader");
    (sim, leader)
}

fn commit(sim: &mut Simulation) {
    let before = sim.acknowledged.len();
    let leader = sim.leader().expect("the group has a leader");
    assert!(sim.propose(leader));
    sim.run_until(1_000, "a commit", |s| s.acknowledged.len() > before);
}

#[test]
fn killed_leader() {
    for seed in 0..100 {
        let (mut sim, leader) = with_leader(3, seed);
        commit(&mut sim);
        sim.crash(leader);
        sim.run_until(FAILOVER_MAX_MS, "a new leader", |s| s.leader().is_some());
        sim.check_recovery();
    }
}

/// Kills the leader at each step between a proposal and its commit on all replicas, and restarts
/// it.
#[test]
fn leader_killed_during_commit() {
    let mut acknowledged = 0;
    for steps in 0..16 {
        for seed in 0..10 {
            let (mut sim, leader) = with_leader(3, seed);
            sim.faults.max_delay_ms = 80;
            sim.faults.max_sync_ms = 80;
            sim.faults.duplicate_percent = 30;
            assert!(sim.propose(leader));
            (0..steps).for_each(|_| sim.step());
            acknowledged += sim.acknowledged.len();
            sim.crash(leader);
            sim.run(500);
            sim.start(leader);
            sim.check_recovery();
        }
    }
    assert!(
        acknowledged > 20,
        "some leaders are killed after the answer"
    );
    assert!(
        acknowledged < 140,
        "some leaders are killed before the answer"
    );
}

#[rstest]
fn isolated_leader(#[values(1, 2, 3)] seed: u64, #[values(2_000, 60_000)] partition_ms: u64) {
    let (mut sim, leader) = with_leader(3, seed);
    commit(&mut sim);
    sim.isolate(leader);
    let accepted = sim.propose(leader);
    let acknowledged = sim.acknowledged.len();
    sim.run_until(1_040, "the old leader to step down", |s| {
        !s.core(leader).is_leader()
    });
    sim.run(partition_ms);
    assert!(
        !sim.propose(leader),
        "a deposed leader accepts no proposals"
    );
    assert!(accepted && sim.acknowledged.len() == acknowledged);
    commit(&mut sim);
    let term = sim
        .core(sim.leader().expect("the others have a leader"))
        .term();
    sim.blocked_links.clear();
    sim.run(3_000);
    let present = sim.leader().expect("the group has a leader");
    assert_eq!(
        sim.core(present).term(),
        term,
        "reconnecting causes no election"
    );
    sim.check_recovery();
}

#[rstest]
fn returning_follower(
    #[values(1, 2, 3)] seed: u64,
    #[values(500, 1_400, 30_000)] partition_ms: u64,
) {
    let (mut sim, leader) = with_leader(3, seed);
    let term = sim.core(leader).term();
    sim.isolate((leader + 1) % 3);
    for _ in 0..40 {
        commit(&mut sim);
    }
    sim.run(partition_ms);
    sim.blocked_links.clear();
    sim.run_until(3_000, "the follower to catch up", Simulation::is_converged);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.core(leader).term(), term);
    sim.check_recovery();
}

/// The leader must not keep sending snapshot data to a follower that is down.
#[test]
fn lost_follower() {
    let (mut sim, leader) = with_leader(3, 7);
    let follower = (leader + 1) % 3;
    sim.crash(follower);
    for _ in 0..40 {
        commit(&mut sim);
    }
    sim.run(2_000);
    let before = sim.chunk_bytes;
    sim.run(60_000);
    assert_eq!(sim.chunk_bytes, before);
    sim.start(follower);
    sim.run_until(5_000, "all replicas to converge", Simulation::is_converged);
    sim.check_recovery();
}

/// Which links are blocked. Blocked links drop messages silently.
#[derive(Clone, Copy, Debug)]
enum Partition {
    LeaderCannotSend,
    LeaderCannotReceive,
    FollowerCannotSend,
    FollowerCannotReceive,
    LeaderToFollower,
    Split,
}

#[rstest]
fn silent_partitions(
    #[values(
        Partition::LeaderCannotSend,
        Partition::LeaderCannotReceive,
        Partition::FollowerCannotSend,
        Partition::FollowerCannotReceive,
        Partition::LeaderToFollower,
        Partition::Split
    )]
    partition: Partition,
    #[values(3, 5)] count: usize,
    #[values(1, 2)] seed: u64,
) {
    let (mut sim, leader) = with_leader(count, seed);
    let term = sim.core(leader).term();
    let follower = (leader + 1) % count;
    for other in 0..count {
        let links = match partition {
            Partition::LeaderCannotSend => vec![(leader, other)],
            Partition::LeaderCannotReceive => vec![(other, leader)],
            Partition::FollowerCannotSend => vec![(follower, other)],
            Partition::FollowerCannotReceive => vec![(other, follower)],
            Partition::LeaderToFollower => vec![(leader, follower)],
            // The leader and the replicas after it form the minority.
            Partition::Split => {
                let minority = |p: usize| (p + count - leader) % count < count / 2;
                let across = (0..count).filter(|o| minority(*o) != minority(other));
                across.map(|o| (other, o)).collect()
            }
        };
        sim.blocked_links
            .extend(links.into_iter().filter(|(a, b)| a != b));
    }
    sim.run(4_000);
    sim.run_until(1_000, "a leader despite the partition", |s| {
        s.leader().is_some()
    });
    commit(&mut sim);
    if matches!(
        partition,
        Partition::FollowerCannotSend
            | Partition::FollowerCannotReceive
            | Partition::LeaderToFollower
    ) {
        assert_eq!(
            sim.core(leader).term(),
            term,
            "a partitioned follower does not depose the leader"
        );
        sim.blocked_links.clear();
        sim.run(3_000);
        assert_eq!(sim.leader(), Some(leader));
        assert_eq!(
            sim.core(leader).term(),
            term,
            "its return does not depose the leader"
        );
    }
    sim.check_recovery();
}

#[rstest]
fn first_start(
    #[values([0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0])] order: [usize; 3],
    #[values(0, 10_000)] late_ms: u64,
    #[values(false, true)] silent: bool,
) {
    let mut sim = Simulation::new(3, 5);
    let late = order[2];
    for position in order {
        if position == late && silent {
            sim.isolate(late);
        } else if position == late {
            sim.run(late_ms);
        }
        sim.start(position);
        sim.run(300);
    }
    if silent {
        sim.run(late_ms);
        let has_group = |p: usize| sim.core(p).group().is_some();
        assert!(
            !(0..3).any(has_group),
            "no group forms without the isolated replica"
        );
        sim.blocked_links.clear();
    }
    sim.run_until(5_000, "all replicas to converge", Simulation::is_converged);
    let groups: Vec<_> = (0..3).map(|p| sim.core(p).group().cloned()).collect();
    assert!(
        groups
            .iter()
            .all(|group| *group == groups[0] && group.is_some())
    );
    sim.check_recovery();
}

#[rstest]
fn no_second_group(#[values(false, true)] replaces_damaged_folder: bool) {
    let (mut sim, leader) = with_leader(3, 3);
    commit(&mut sim);
    let group = sim.core(leader).group().cloned();
    for position in 0..3 {
        sim.crash(position);
        if replaces_damaged_folder || position != 1 {
            sim.lose_disk(position, replaces_damaged_folder);
        }
        sim.start(position);
    }
    sim.run(20_000);
    for position in 0..3 {
        assert_eq!(sim.core(position).group(), group.as_ref());
        assert!(
            !sim.core(position).is_leader(),
            "two replicas without state form no quorum"
        );
    }
}

/// A replica whose identity file was damaged does not know its group, but knows that it had one.
/// Bootstrapping a new group could then lose committed data.
#[rstest]
fn damaged_replica_does_not_bootstrap(#[values(0, 1, 2)] damaged: usize) {
    let mut sim = Simulation::new(3, 9);
    sim.replicas[damaged].disk.replaces_damaged_folder = true;
    for position in 0..3 {
        sim.start(position);
    }
    sim.run(20_000);
    let has_group = (0..3).any(|p| sim.core(p).group().is_some());
    assert!(
        !has_group,
        "the others may have no state because they lost their disks too"
    );
}

/// The replica that bootstrapped the group loses its disk before all others have joined the group.
#[test]
fn bootstrap_replica_loses_its_disk() {
    let mut sim = Simulation::started(3, 8);
    // The others learn of the group only after its own disk sync.
    sim.faults.max_sync_ms = 500;
    sim.run_until(5_000, "a bootstrapped group", |s| {
        s.core(0).group().is_some()
    });
    sim.isolate(2);
    sim.run_until(5_000, "a group of two", |s| s.core(1).group().is_some());
    assert!(sim.core(2).group().is_none());
    sim.crash(0);
    sim.lose_disk(0, false);
    sim.start(0);
    sim.blocked_links.clear();
    sim.run_until(10_000, "all replicas to converge", Simulation::is_converged);
    sim.check_recovery();
}

/// An operator restores the data folder that a voter had before it was replaced.
#[test]
fn restored_folder() {
    let (mut sim, leader) = with_leader(3, 2);
    let position = (leader + 1) % 3;
    commit(&mut sim);
    sim.crash(position);
    let old = (
        sim.replicas[position].node.clone(),
        sim.replicas[position].disk.clone(),
    );
    sim.lose_disk(position, false);
    sim.start(position);
    sim.run_until(
        5_000,
        "the replacement of the lost replica",
        Simulation::is_converged,
    );
    commit(&mut sim);
    let term = sim.core(leader).term();
    sim.crash(position);
    (sim.replicas[position].node, sim.replicas[position].disk) = old;
    sim.start(position);
    sim.run_until(20_000, "the second replacement", Simulation::is_converged);
    assert_eq!(
        sim.core(leader).term(),
        term,
        "the restored folder does not depose the leader"
    );
    sim.check_recovery();
}

#[test]
fn two_disk_losses() {
    for seed in 0..20 {
        let (mut sim, leader) = with_leader(3, seed);
        for _ in 0..30 {
            commit(&mut sim);
        }
        let offset = usize::from(seed % 2 == 0);
        let first = (leader + 1 + offset) % 3;
        sim.crash(first);
        sim.lose_disk(first, seed % 3 == 0);
        sim.start(first);
        sim.run_until(5_000, "the replacement of the lost replica", |s| {
            let node = &s.replicas[first].node;
            let core = s.core(leader);
            let votes = core.members().is_some_and(|m| m.contains(node));
            votes && core.committed() >= core.members_index()
        });
        let second = if seed % 2 == 0 {
            leader
        } else {
            3 - leader - first
        };
        sim.crash(second);
        sim.lose_disk(second, false);
        sim.run_until(5_000, "a leader of the remaining replicas", |s| {
            s.leader().is_some()
        });
        sim.start(second);
        sim.check_recovery();
        assert!(sim.acknowledged.len() >= 30);
    }
}

#[rstest]
fn planned_stop(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut sim, leader) = with_leader(3, seed);
    let mut accepted = 0;
    for _ in 0..20 {
        accepted += usize::from(sim.propose(leader));
    }
    sim.handle_event(leader, Event::TransferLeadership);
    assert!(
        !sim.propose(leader),
        "no proposals are accepted during a leadership transfer"
    );
    let took = sim.run_until(500, "the next leader", |s| {
        s.leader().is_some_and(|next| next != leader)
    });
    assert_eq!(accepted, 20);
    assert_eq!(
        sim.acknowledged.len(),
        accepted,
        "no accepted proposal fails"
    );
    assert!(took <= 500);
    sim.crash(leader);
    sim.check_recovery();
}

#[test]
fn full_disk() {
    let (mut sim, leader) = with_leader(3, 4);
    commit(&mut sim);
    sim.handle_event(leader, Event::DiskFull(true));
    assert!(!sim.propose(leader));
    sim.handle_event(leader, Event::DiskFull(false));
    commit(&mut sim);
    sim.check_recovery();
}

/// Which disks hang, as offsets from the leader.
#[rstest]
#[case::followers(&[1, 2])]
#[case::leader(&[0])]
fn hanging_disks(#[case] hanging: &[usize], #[values(false, true)] busy: bool) {
    let (mut sim, leader) = with_leader(3, 6);
    let term = sim.core(leader).term();
    commit(&mut sim);
    for offset in hanging {
        sim.replicas[(leader + offset) % 3].disk_full = true;
    }
    for _ in 0..500 {
        if busy {
            sim.propose(leader);
        }
        sim.step();
    }
    assert_eq!(
        sim.leader(),
        Some(leader),
        "hanging disks do not depose the leader"
    );
    assert_eq!(sim.core(leader).term(), term);
    for offset in hanging {
        sim.replicas[(leader + offset) % 3].disk_full = false;
    }
    commit(&mut sim);
    sim.check_recovery();
}
