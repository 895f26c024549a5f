//! Failures of replicas and of their network, one at a time, on the pure consensus core.

use std::sync::Arc;

use crate::world::World;
use assert_matches::assert_matches;
use marjoramknot::replica::core::{Action, Core, CoreConfig, Dropped, Event, Recovered, Refusal};
use marjoramknot::replica::{
    AppendOutcome, Body, Entry, Member, Membership, Message, Node, Payload, Snapshot, SnapshotMeta,
};
use marjoramknot::units::{LogIndex, Millis, Term};
use rstest::rstest;

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

/// Which messages a silent cut swallows.
#[derive(Clone, Copy, Debug)]
enum Cut {
    LeaderMute,
    LeaderDeaf,
    FollowerMute,
    FollowerDeaf,
    Halves,
}

#[rstest]
fn silent_cuts(
    #[values(
        Cut::LeaderMute,
        Cut::LeaderDeaf,
        Cut::FollowerMute,
        Cut::FollowerDeaf,
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
    if matches!(cut, Cut::FollowerMute | Cut::FollowerDeaf) {
        let present = world.leader().expect("the group has a leader");
        assert_eq!(
            world.core(present).term(),
            term,
            "a cut follower deposes nobody"
        );
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
    world.event(leader, Event::HandOver);
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

fn node(name: &str) -> Node {
    let folder = format!("{name}-folder");
    Node {
        name: name.parse().expect("the name is an id"),
        folder: folder.parse().expect("the folder is an id"),
    }
}

fn member(name: &str) -> Member {
    Member {
        node: node(name),
        control_address: ([127, 0, 0, 1], 1).into(),
    }
}

fn config() -> CoreConfig {
    let names = ["b", "c", "d", "e"];
    CoreConfig::builder()
        .member(member("a"))
        .peers(names.iter().map(|name| node(name).name).collect())
        .build()
}

/// Replica a of five, with a record of term 1 and one of term 2.
fn recovered() -> Recovered {
    let voters = ["a", "b", "c", "d", "e"].map(member).to_vec();
    let meta = SnapshotMeta {
        index: LogIndex::ZERO,
        term: Term::ZERO,
        members: Membership { voters },
    };
    let entry = |number: u64| {
        Arc::new(Entry {
            index: LogIndex(number),
            term: Term(number),
            payload: Payload::Command(vec![1]),
        })
    };
    let mut recovered = Recovered {
        group: "group".parse().ok(),
        snapshot: Some(Arc::new(Snapshot {
            meta,
            data: Vec::new(),
        })),
        entries: vec![entry(1), entry(2)],
        ..Recovered::default()
    };
    recovered.hard.term = Term(3);
    recovered
}

fn message(from: &str, term: Term, body: Body) -> Message {
    Message {
        group: "group".parse().ok(),
        from: node(from),
        to: node("a").name,
        to_folder: Some(node("a").folder),
        term,
        body,
    }
}

fn receive(core: &mut Core, message: Message, now: u64) -> Vec<Action> {
    core.handle(Event::Received(Box::new(message)), Millis(now))
}

/// Replica a, elected in term 4 by b and c.
fn elected() -> Core {
    let mut core = Core::new(config(), recovered(), Millis::ZERO);
    core.handle(Event::Tick, Millis(2_000));
    for from in ["b", "c"] {
        let body = Body::PreVoteAnswer {
            next_term: Term(4),
            granted: true,
        };
        receive(&mut core, message(from, Term(3), body), 2_000);
    }
    core.handle(Event::Persisted { sequence: 1 }, Millis(2_000));
    for from in ["b", "c"] {
        let body = Body::VoteAnswer { granted: true };
        receive(&mut core, message(from, Term(4), body), 2_000);
    }
    assert!(core.is_leader());
    core
}

fn matched(core: &mut Core, from: &str, index: u64) {
    let body = Body::AppendAnswer {
        outcome: AppendOutcome::Matched(LogIndex(index)),
        sent_ms: Millis(2_000),
    };
    receive(core, message(from, Term(4), body), 2_010);
}

#[test]
fn earlier_terms() {
    let mut core = elected();
    for from in ["b", "c", "d", "e"] {
        matched(&mut core, from, 2);
    }
    // A record of an earlier term may still be replaced, however many hold it.
    assert_eq!(core.committed(), LogIndex::ZERO);
    assert!(!core.leads());
    matched(&mut core, "b", 3);
    assert_eq!(core.committed(), LogIndex::ZERO);
    matched(&mut core, "c", 3);
    assert_eq!(
        core.committed(),
        LogIndex::ZERO,
        "the leader's own record is not yet synced"
    );
    core.handle(Event::Persisted { sequence: 2 }, Millis(2_020));
    assert_eq!(core.committed(), LogIndex(3));
    assert!(core.leads());
}

#[test]
fn lease_end() {
    let config = config();
    assert!(config.lease_ms().with_clock_margin() <= config.election_min_ms);
    let mut core = elected();
    assert!(!core.has_quorum(Millis(2_010)), "votes are no lease");
    matched(&mut core, "b", 2);
    assert!(!core.has_quorum(Millis(2_010)));
    matched(&mut core, "c", 2);
    // The lease counts from when the messages were sent.
    assert!(core.has_quorum(Millis(2_899)));
    assert!(!core.has_quorum(Millis(2_900)));
    core.handle(Event::Tick, Millis(3_000));
    assert!(!core.is_leader());
}

#[rstest]
#[case::other_group(|m: &mut Message| m.group = "other".parse().ok(), |d: Dropped| d.other_group)]
#[case::no_group(|m: &mut Message| m.group = None, |d: Dropped| d.other_group)]
#[case::other_name(|m: &mut Message| m.to = node("x").name, |d: Dropped| d.other_receiver)]
#[case::old_folder(
    |m: &mut Message| m.to_folder = Some(node("x").folder),
    |d: Dropped| d.other_receiver
)]
#[case::no_folder(|m: &mut Message| m.to_folder = None, |d: Dropped| d.other_receiver)]
#[case::unknown_sender(|m: &mut Message| m.from = node("x"), |d: Dropped| d.unknown_sender)]
#[case::lost_folder(
    |m: &mut Message| m.from.folder = node("x").folder,
    |d: Dropped| d.unknown_sender
)]
#[case::stale_term(|m: &mut Message| m.term = Term(1), |d: Dropped| d.stale_term)]
fn foreign_messages(#[case] change: fn(&mut Message), #[case] count: fn(Dropped) -> u64) {
    let mut core = elected();
    let body = Body::AppendAnswer {
        outcome: AppendOutcome::Matched(LogIndex(3)),
        sent_ms: Millis(2_000),
    };
    let mut foreign = message("b", Term(4), body);
    change(&mut foreign);
    receive(&mut core, foreign, 2_010);
    assert_eq!(count(core.dropped()), 1);
    let states = core.node_states(Millis(2_010));
    assert!(
        states
            .iter()
            .all(|s| s.node == node("a") || s.matched == LogIndex::ZERO)
    );
}

#[test]
fn deposed_by_term() {
    let mut core = elected();
    let body = Body::VoteAnswer { granted: false };
    receive(&mut core, message("b", Term(9), body), 2_010);
    assert!(!core.is_leader());
    assert_eq!(core.term(), Term(9));
    assert_matches!(core.propose(vec![1]), Err(Refusal::NotLeader));
}

#[test]
fn large_command() {
    let mut core = elected();
    let bytes = usize::try_from(config().uncommitted_bytes.get()).expect("the limit fits");
    assert_matches!(core.propose(vec![0; bytes]), Err(Refusal::TooLarge));
    let mut taken = 0;
    while core.propose(vec![0; bytes / 4]).is_ok() {
        taken += 1;
        assert!(taken < 10, "records that wait are bounded");
    }
    assert_matches!(core.propose(vec![0; 1]), Err(Refusal::TooMuchWaiting));
}
