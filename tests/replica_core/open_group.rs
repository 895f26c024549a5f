use marjoramknot::replica::core::Event;

use crate::simulation::Simulation;

/// How long a change of the voters may take beyond the time after which a voter counts as gone.
const MEMBERSHIP_CHANGE_MAX_MS: u64 = 4_000;
/// The time after which a silent voter's place is given to another; the core's default.
const REPLACE_AFTER_MS: u64 = 8_000;

fn with_leader(count: usize, seed: u64) -> (Simulation, usize) {
    let mut sim = Simulation::open_group(count, 3, 3, seed);
    sim.run_until(5_000, "a leader", |s| s.leader().is_some());
    sim.run(1_000);
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
fn extra_replicas_become_learners() {
    for seed in 0..20 {
        let (mut sim, _leader) = with_leader(5, seed);
        commit(&mut sim);
        sim.run(1_000);
        let votes: Vec<bool> = (0..5).map(|position| sim.is_voter(position)).collect();
        assert_eq!(votes, [true, true, true, false, false], "seed {seed}");
        assert_eq!(sim.replicas[4].applied.len(), 1, "a standby follows");
    }
}

#[test]
fn learner_replaces_lost_voter() {
    for seed in 0..20 {
        let (mut sim, leader) = with_leader(4, seed);
        let lost = (leader + 1) % 3;
        sim.crash(lost);
        sim.run_until(
            REPLACE_AFTER_MS + MEMBERSHIP_CHANGE_MAX_MS,
            "the standby votes",
            |s| s.is_voter(3),
        );
        assert!(!sim.is_voter(lost));
        // A second loss is borne now.
        let other = (0..3)
            .find(|p| *p != lost && *p != leader)
            .expect("there are three");
        sim.crash(other);
        sim.run_until(3_000, "a leader", |s| s.leader().is_some());
        commit(&mut sim);
    }
}

#[test]
fn short_silence_keeps_the_vote() {
    let (mut sim, leader) = with_leader(4, 7);
    let isolated = (leader + 1) % 3;
    sim.isolate(isolated);
    sim.run(REPLACE_AFTER_MS / 2);
    sim.blocked_links.clear();
    sim.run(MEMBERSHIP_CHANGE_MAX_MS);
    assert!(sim.is_voter(isolated));
    assert!(!sim.is_voter(3));
}

#[test]
fn wiped_replica_does_not_bootstrap() {
    for seed in 0..20 {
        let (mut sim, leader) = with_leader(3, seed);
        commit(&mut sim);
        let group = sim.core(leader).group().cloned();
        let wiped = (leader + 1) % 3;
        sim.crash(wiped);
        sim.lose_disk(wiped, false);
        sim.start(wiped);
        sim.run_until(MEMBERSHIP_CHANGE_MAX_MS, "the wiped replica votes", |s| {
            s.is_voter(wiped)
        });
        assert_eq!(sim.core(wiped).group().cloned(), group, "seed {seed}");
    }
}

#[test]
fn extra_replicas_alone_do_not_bootstrap() {
    let mut sim = Simulation::new(5, 3);
    sim.open_group = Some((3, 3));
    sim.start(3);
    sim.start(4);
    sim.run(10_000);
    assert!(sim.leader().is_none());
    assert!(sim.core(3).group().is_none());
}

/// A joiner asks the members that it was told of, as the seeds of its settings may be gone.
#[test]
fn joiner_discovers_members_beyond_its_seeds() {
    let (mut sim, leader) = with_leader(5, 11);
    let founders = (0..3).filter(|p| *p != leader);
    for (founder, learners) in founders.zip(1..) {
        sim.crash(founder);
        let within = REPLACE_AFTER_MS + MEMBERSHIP_CHANGE_MAX_MS;
        sim.run_until(within, "a standby votes", |s| {
            (3..5).filter(|p| s.is_voter(*p)).count() == learners
        });
    }
    commit(&mut sim);
    // The last founder goes too: what is left are replicas that were no seeds.
    sim.crash(leader);
    sim.run_until(3_000, "a leader", |s| s.leader().is_some());
    commit(&mut sim);
}

/// A leader that can write no more makes way for one that can.
#[test]
fn leader_with_full_disk_transfers_leadership() {
    for seed in 0..20 {
        let (mut sim, leader) = with_leader(3, seed);
        sim.replicas[leader].disk_full = true;
        sim.handle_event(leader, Event::DiskFull(true));
        sim.run_until(3_000, "another leader", |s| {
            s.leader().is_some_and(|l| l != leader)
        });
        commit(&mut sim);
        assert!(sim.leader() != Some(leader), "seed {seed}");
    }
}
