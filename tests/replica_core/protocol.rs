use std::sync::Arc;

use assert_matches::assert_matches;
use marjoramknot::replica::core::{
    Action, Core, CoreConfig, DroppedMessages, Event, ProposalRefusal, RecoveredState,
};
use marjoramknot::replica::{
    AppendOutcome, Entry, LeaseClock, Membership, Message, MessageBody, Node, Payload, Snapshot,
    SnapshotMeta,
};
use marjoramknot::units::{LogIndex, Millis, Term};
use rstest::rstest;

fn node(name: &str) -> Node {
    let folder = format!("{name}-folder");
    Node {
        name: name.parse().expect("the name is an id"),
        folder: folder.parse().expect("the folder is an id"),
    }
}

fn config() -> CoreConfig {
    let names = ["b", "c", "d", "e"];
    CoreConfig::builder()
        .node(node("a"))
        .peers(names.iter().map(|name| node(name).name).collect())
        .build()
}

/// Replica a of five, with an entry of term 1 and one of term 2.
fn recovered() -> RecoveredState {
    let voters = ["a", "b", "c", "d", "e"].map(node).to_vec();
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
    let mut recovered = RecoveredState {
        group: "group".parse().ok(),
        snapshot: Some(Arc::new(Snapshot {
            meta,
            data: Vec::new(),
        })),
        entries: vec![entry(1), entry(2)],
        ..RecoveredState::default()
    };
    recovered.hard_state.term = Term(3);
    recovered
}

fn message(from: &str, term: Term, body: MessageBody) -> Message {
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
        let body = MessageBody::PreVoteResponse {
            next_term: Term(4),
            granted: true,
        };
        receive(&mut core, message(from, Term(3), body), 2_000);
    }
    core.handle(Event::Persisted { sequence: 1 }, Millis(2_000));
    for from in ["b", "c"] {
        let body = MessageBody::VoteResponse { granted: true };
        receive(&mut core, message(from, Term(4), body), 2_000);
    }
    assert!(core.is_leader());
    core
}

fn matched(core: &mut Core, from: &str, index: u64) {
    let body = MessageBody::AppendResponse {
        outcome: AppendOutcome::Matched(LogIndex(index)),
        sent_ms: Millis(2_000),
    };
    receive(core, message(from, Term(4), body), 2_010);
}

#[test]
fn entries_of_earlier_terms_do_not_commit_alone() {
    let mut core = elected();
    for from in ["b", "c", "d", "e"] {
        matched(&mut core, from, 2);
    }
    // An entry of an earlier term may still be overwritten, however many replicas hold it.
    assert_eq!(core.committed(), LogIndex::ZERO);
    assert!(!core.is_ready_leader());
    matched(&mut core, "b", 3);
    assert_eq!(core.committed(), LogIndex::ZERO);
    matched(&mut core, "c", 3);
    assert_eq!(
        core.committed(),
        LogIndex::ZERO,
        "the leader has not synced its own entry yet"
    );
    core.handle(Event::Persisted { sequence: 2 }, Millis(2_020));
    assert_eq!(core.committed(), LogIndex(3));
    assert!(core.is_ready_leader());
}

#[test]
fn lease_expiry() {
    let config = config();
    assert!(config.lease_ms().with_clock_margin() <= config.election_min_ms);
    let mut core = elected();
    assert!(
        !core.has_quorum(Millis(2_010)),
        "votes do not grant a lease"
    );
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
#[case::other_group(|m: &mut Message| m.group = "other".parse().ok(), |d: DroppedMessages| d.other_group)]
#[case::no_group(|m: &mut Message| m.group = None, |d: DroppedMessages| d.other_group)]
#[case::other_name(|m: &mut Message| m.to = node("x").name, |d: DroppedMessages| d.other_receiver)]
#[case::old_folder(
    |m: &mut Message| m.to_folder = Some(node("x").folder),
    |d: DroppedMessages| d.other_receiver
)]
#[case::no_folder(|m: &mut Message| m.to_folder = None, |d: DroppedMessages| d.other_receiver)]
#[case::unknown_sender(|m: &mut Message| m.from = node("x"), |d: DroppedMessages| d.unknown_sender)]
#[case::lost_folder(
    |m: &mut Message| m.from.folder = node("x").folder,
    |d: DroppedMessages| d.unknown_sender
)]
#[case::stale_term(|m: &mut Message| m.term = Term(1), |d: DroppedMessages| d.stale_term)]
fn misdirected_messages_are_dropped(
    #[case] change: fn(&mut Message),
    #[case] count: fn(DroppedMessages) -> u64,
) {
    let mut core = elected();
    let body = MessageBody::AppendResponse {
        outcome: AppendOutcome::Matched(LogIndex(3)),
        sent_ms: Millis(2_000),
    };
    let mut misdirected = message("b", Term(4), body);
    change(&mut misdirected);
    receive(&mut core, misdirected, 2_010);
    assert_eq!(count(core.dropped()), 1);
    let statuses = core.node_statuses(Millis(2_010));
    assert!(
        statuses
            .iter()
            .all(|s| s.node == node("a") || s.match_index == LogIndex::ZERO)
    );
}

#[test]
fn steps_down_on_higher_term() {
    let mut core = elected();
    let body = MessageBody::VoteResponse { granted: false };
    receive(&mut core, message("b", Term(9), body), 2_010);
    assert!(!core.is_leader());
    assert_eq!(core.term(), Term(9));
    assert_matches!(core.propose(vec![1]), Err(ProposalRefusal::NotLeader));
}

#[test]
fn proposal_limits() {
    let mut core = elected();
    let bytes = usize::try_from(config().max_uncommitted_bytes.get()).expect("the limit fits");
    assert_matches!(core.propose(vec![0; bytes]), Err(ProposalRefusal::TooLarge));
    let mut accepted = 0;
    while core.propose(vec![0; bytes / 4]).is_ok() {
        accepted += 1;
        assert!(accepted < 10, "uncommitted entries are bounded");
    }
    assert_matches!(
        core.propose(vec![0; 1]),
        Err(ProposalRefusal::UncommittedLimit)
    );
}

#[test]
fn lease_clock() {
    let lease = LeaseClock::start();
    assert!(!lease.is_held());
    lease.set(Millis::MAX);
    assert!(lease.is_held());
    // The lease expires by the clock, without anyone reporting it.
    lease.set(lease.now());
    assert!(!lease.is_held());
}

/// Followers must refuse votes while their leader may hold a lease. This applies to votes as well
/// as pre-votes, because a vote may be requested long after the pre-votes were granted.
#[rstest]
#[case::within(5_999, false, false)]
#[case::after(6_000, false, true)]
#[case::leadership_transfer(5_500, true, true)]
fn no_vote_while_leader_is_active(#[case] now: u64, #[case] transfer: bool, #[case] granted: bool) {
    let mut core = Core::new(config(), recovered(), Millis::ZERO);
    let body = MessageBody::AppendEntries {
        prev_index: LogIndex(2),
        prev_term: Term(2),
        entries: Vec::new(),
        commit: LogIndex(2),
        sent_ms: Millis(0),
    };
    receive(&mut core, message("b", Term(4), body), 5_000);
    let body = MessageBody::VoteRequest {
        last_index: LogIndex(9),
        last_term: Term(4),
        transfer,
    };
    receive(&mut core, message("c", Term(5), body), now);
    assert_eq!(core.term(), if granted { Term(5) } else { Term(4) });
    let actions = core.handle(Event::Persisted { sequence: 2 }, Millis(now));
    let answers = actions.iter().filter(
        |action| matches!(action, Action::Send(m) if m.body == MessageBody::VoteResponse { granted: true }),
    );
    assert_eq!(answers.count(), usize::from(granted));
}

#[rstest]
#[case(999, false)]
#[case(1_000, true)]
fn no_vote_right_after_restart(#[case] now: u64, #[case] granted: bool) {
    let mut core = Core::new(config(), recovered(), Millis::ZERO);
    let body = MessageBody::VoteRequest {
        last_index: LogIndex(9),
        last_term: Term(4),
        transfer: false,
    };
    receive(&mut core, message("c", Term(5), body), now);
    assert_eq!(core.term() == Term(5), granted);
}
