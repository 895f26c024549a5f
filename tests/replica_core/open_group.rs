use marjoramknot::replica::core::Event;

use crate::simulation::Simulation;

/// How long a membership change may take once a voter counts as lost.
const MEMBERSHIP_CHANGE_MAX_MS: u64 = 4_000;
/// Time after which a silent voter may be replaced; the default of the core.
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
        assert_eq!(
            sim.replicas[4].applied.len(),
            1,
            "a learner replicates the log"
        );
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
            "the learner to vote",
            |s| s.is_voter(3),
        );
        assert!(!sim.is_voter(lost));
        // The group now survives the loss of another voter.
        let other = (0..3)
            .find(|p| *p != lost && *p != leader)
            .expect("there are three voters");
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
        sim.run_until(MEMBERSHIP_CHANGE_MAX_MS, "the wiped replica to vote", |s| {
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

/// A joining replica also contacts the members that other replicas report, because its configured
/// seeds may be gone.
#[test]
fn joiner_discovers_members_beyond_its_seeds() {
    let (mut sim, leader) = with_leader(5, 11);
    let seeds = (0..3).filter(|p| *p != leader);
    for (seed_replica, learners) in seeds.zip(1..) {
        sim.crash(seed_replica);
        let within = REPLACE_AFTER_MS + MEMBERSHIP_CHANGE_MAX_MS;
        sim.run_until(within, "a learner to vote", |s| {
            (3..5).filter(|p| s.is_voter(*p)).count() == learners
        });
    }
    commit(&mut sim);
    // The last seed fails as well. Only replicas that are not configured as seeds remain.
    sim.crash(leader);
    sim.run_until(3_000, "a leader", |s| s.leader().is_some());
    commit(&mut sim);
}

/// A leader whose disk is full transfers its leadership to a replica that can still write.
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

/// Guards against a returning replica that finds nobody: it was replaced while it was down, like all
/// of its configured seeds. It asks the members that its own log names.
#[test]
fn replaced_replica_rejoins_without_its_seeds() {
    let (mut sim, leader) = with_leader(7, 13);
    let seeds = (0..3).filter(|p| *p != leader).chain([leader]);
    let within = REPLACE_AFTER_MS + 2 * MEMBERSHIP_CHANGE_MAX_MS;
    for (seed_replica, votes) in seeds.zip(1..) {
        sim.crash(seed_replica);
        sim.run_until(within, "a learner to vote", |s| {
            (3..7).filter(|p| s.is_voter(*p)).count() == votes
        });
        commit(&mut sim);
    }
    let returning = (3..7)
        .find(|p| sim.is_voter(*p))
        .expect("three of them vote");
    sim.crash(returning);
    sim.run_until(within, "the last learner to vote", |s| {
        s.leader().is_some() && !s.is_voter(returning)
    });
    commit(&mut sim);
    sim.start(returning);
    let before = sim.replicas[returning].applied.len();
    sim.run(REPLACE_AFTER_MS);
    commit(&mut sim);
    sim.run(MEMBERSHIP_CHANGE_MAX_MS);
    let applied = sim.replicas[returning].applied.len();
    assert!(applied > before, "it replicates again");
}
