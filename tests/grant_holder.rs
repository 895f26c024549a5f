//! The entry's side of exchanges: its state never moves back, and a grant counts from when its
//! exchange was sent.

#[path = "support/notes.rs"]
mod notes;

use std::sync::Arc;

use assert_matches::assert_matches;
use marjoramknot::control::{ExchangeAnswer, Grant, StateUpdate};
use marjoramknot::entry::{AnswerOutcome, GrantHolder, SentExchange};
use marjoramknot::release_note::ClusterConfig;
use marjoramknot::units::{Millis, Revision, Sequence, Term};
use notes::{deadline_note, initial_state};
use proptest::prelude::*;
use rstest::rstest;

fn answer(sent: SentExchange, term: u64, update: StateUpdate) -> ExchangeAnswer {
    ExchangeAnswer {
        sequence: sent.sequence,
        grant: Some(Grant {
            term: Term(term),
            length_ms: Millis(3_000),
        }),
        update,
        orders: Vec::new(),
        shares_version: 0,
        shares: None,
    }
}

fn full(revision: u64) -> StateUpdate {
    let mut state = initial_state();
    state.revision = Revision(revision);
    StateUpdate::Full(Arc::new(state))
}

/// Returns a holder at revision 5 with a grant of term 3 that lasts until 3000 ms.
fn granted() -> GrantHolder {
    let mut holder = GrantHolder::default();
    let sent = holder.begin_exchange(Millis(0));
    assert_eq!(
        holder.apply_answer(&answer(sent, 3, full(5))),
        AnswerOutcome::Applied
    );
    holder
}

#[test]
fn fresh_entry() {
    let mut holder = GrantHolder::default();
    assert!(!holder.state().may_start(Millis(0)));
    let sent = holder.begin_exchange(Millis(10));
    assert_eq!(sent.revision, Revision::ZERO);
    let mut late = answer(sent, 1, full(5));
    late.grant = None;
    assert_eq!(holder.apply_answer(&late), AnswerOutcome::Applied);
    assert!(
        !holder.state().may_start(Millis(11)),
        "a state without a grant does not permit work"
    );
}

#[test]
fn grant_counts_from_send() {
    let holder = granted();
    assert!(holder.state().may_start(Millis(2_999)));
    assert!(!holder.state().may_start(Millis(3_000)));
    let mut holder = GrantHolder::default();
    let sent = holder.begin_exchange(Millis(100));
    let mut long = answer(sent, 1, full(5));
    long.grant = Some(Grant {
        term: Term(1),
        length_ms: Millis::MAX,
    });
    assert_eq!(holder.apply_answer(&long), AnswerOutcome::Applied);
    assert!(
        !holder.state().may_start(Millis(3_100)),
        "a grant is limited to 3 s"
    );
}

#[rstest]
#[case::duplicate(0, 3, full(6))]
#[case::other_exchange(1, 3, full(6))]
fn late_answer(#[case] skew: u64, #[case] term: u64, #[case] update: StateUpdate) {
    let mut holder = granted();
    let first = holder.begin_exchange(Millis(1_000));
    let mut kept = answer(first, term, update);
    kept.sequence = Sequence(first.sequence.get() + skew);
    let second = holder.begin_exchange(Millis(2_500));
    assert_matches!(holder.apply_answer(&kept), AnswerOutcome::Ignored { .. });
    assert_eq!(holder.state().grant_until_ms, Millis(3_000));
    assert_eq!(
        holder.apply_answer(&answer(second, 3, full(7))),
        AnswerOutcome::Applied
    );
    assert_eq!(holder.state().grant_until_ms, Millis(5_500));
    assert_matches!(
        holder.apply_answer(&answer(second, 3, full(8))),
        AnswerOutcome::Ignored { .. }
    );
    assert_eq!(holder.state().in_force.revision, Revision(7));
}

#[rstest]
#[case::older_leader(2, StateUpdate::Current)]
#[case::older_leader_newer_state(2, full(9))]
#[case::older_state(4, full(4))]
#[case::older_delta(4, StateUpdate::Delta { notes: vec![(Revision(5), Arc::new(deadline_note(2, 2)))] })]
#[case::unordered_delta(4, StateUpdate::Delta { notes: vec![
    (Revision(7), Arc::new(deadline_note(2, 2))),
    (Revision(6), Arc::new(deadline_note(3, 3))),
] })]
fn older_answer_is_ignored(#[case] term: u64, #[case] update: StateUpdate) {
    let mut holder = granted();
    let before = holder.state().clone();
    let sent = holder.begin_exchange(Millis(1_000));
    assert_matches!(
        holder.apply_answer(&answer(sent, term, update)),
        AnswerOutcome::Ignored { .. }
    );
    assert_eq!(holder.state().in_force, before.in_force);
    assert_eq!(holder.state().grant_until_ms, before.grant_until_ms);
}

#[test]
fn delta_applies() {
    let mut holder = granted();
    let sent = holder.begin_exchange(Millis(1_000));
    let notes = vec![
        (Revision(7), Arc::new(deadline_note(2, 2))),
        (Revision(9), Arc::new(deadline_note(3, 3))),
    ];
    let delta = StateUpdate::Delta { notes };
    assert_eq!(
        holder.apply_answer(&answer(sent, 3, delta)),
        AnswerOutcome::Applied
    );
    let in_force = &holder.state().in_force;
    assert_eq!(in_force.revision, Revision(9));
    assert_eq!(in_force.services["booking"].deadline_max_ms, Millis(3));
}

#[test]
fn gap_after_loss() {
    let mut holder = granted();
    let first = holder.begin_exchange(Millis(1_000));
    let second = holder.begin_exchange(Millis(2_000));
    assert_eq!(
        second.sequence.get(),
        first.sequence.get() + 2,
        "the sequence skips a number to signal a lost answer"
    );
    holder.apply_answer(&answer(second, 3, StateUpdate::Current));
    assert_eq!(
        holder.begin_exchange(Millis(2_100)).sequence,
        second.sequence.next()
    );
}

#[test]
fn leaving_entry() {
    let mut holder = granted();
    let sent = holder.begin_exchange(Millis(1_000));
    holder.leave();
    assert!(!holder.state().may_start(Millis(1_001)));
    assert_eq!(
        holder.apply_answer(&answer(sent, 3, full(6))),
        AnswerOutcome::Applied
    );
    assert!(
        !holder.state().may_start(Millis(1_002)),
        "no answer renews the grant of a leaving entry"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Send(u64),
    /// Delivers an answer to any exchange sent so far, from any term and with any revision.
    Answer {
        which: usize,
        term: u64,
        revision: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let send = (0..2_000_u64).prop_map(Step::Send);
    let answers =
        (0..12_usize, 1..5_u64, 1..9_u64).prop_map(|(which, term, revision)| Step::Answer {
            which,
            term,
            revision,
        });
    prop::collection::vec(prop_oneof![send, answers], 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// Whatever messages are lost, duplicated or reordered, revisions never decrease and no grant
    /// lasts longer than 3 s after the latest exchange was sent.
    #[test]
    fn any_network(steps in steps()) {
        let mut holder = GrantHolder::default();
        let mut now = Millis(1);
        let mut sent: Vec<(SentExchange, Millis)> = Vec::new();
        let mut revision = Revision::ZERO;
        for step in steps {
            match step {
                Step::Send(later) => {
                    now = now.saturating_add(Millis(later));
                    sent.push((holder.begin_exchange(now), now));
                }
                Step::Answer { which, term, revision } if !sent.is_empty() => {
                    let (which, _) = sent[which % sent.len()];
                    holder.apply_answer(&answer(which, term, full(revision)));
                }
                Step::Answer { .. } => {}
            }
            let state = holder.state();
            prop_assert!(state.in_force.revision >= revision);
            revision = state.in_force.revision;
            let last_ms = sent.last().map_or(Millis::ZERO, |(_, sent_ms)| *sent_ms);
            prop_assert!(state.grant_until_ms <= last_ms.saturating_add(Millis(3_000)));
        }
        prop_assert!(ClusterConfig::default().revision <= revision);
    }
}
