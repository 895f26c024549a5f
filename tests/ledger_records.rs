//! A non-idempotent request runs at most once, and every resend within the deduplication window
//! gets its stored response.

use marjoramknot::request_ledger::{
    BeginAnswer, BeginRequest, CLOCK_SKEW_MAX_MS, ContentDigest, DEDUP_WINDOW_MS, FinishAnswer,
    FinishRequest, Ledger, RECORDS_MAX, RESPONSE_BYTES_MAX, RecordState, RequestKey,
    StoredResponse, TEAM_SHARE_DIVISOR,
};
use marjoramknot::units::{Incarnation, Millis, Sequence, WallMs};
use proptest::prelude::*;
use rstest::rstest;

const START: WallMs = WallMs(1_000_000_000);
const DEADLINE_MS: Millis = Millis(10_000);

fn key(team: &str, id: &str) -> RequestKey {
    RequestKey {
        team: team.parse().expect("the team is a valid id"),
        service: "booking".parse().expect("the service is a valid id"),
        id: id.parse().expect("the request is a valid id"),
    }
}

fn begin(entry: &str, sequence: u64) -> BeginRequest {
    BeginRequest {
        key: key("senec", "r1"),
        content: ContentDigest([7; 32]),
        made_ms: Some(START),
        entry: entry.parse().expect("the entry is a valid id"),
        entry_incarnation: Incarnation(1),
        sequence: Sequence(sequence),
        endpoint: "booking-1".parse().expect("the endpoint is a valid id"),
        endpoint_incarnation: Incarnation(1),
        deadline_ms: DEADLINE_MS,
    }
}

fn finish(begin_request: &BeginRequest, state: RecordState) -> FinishRequest {
    FinishRequest {
        key: begin_request.key.clone(),
        entry: begin_request.entry.clone(),
        entry_incarnation: begin_request.entry_incarnation,
        sequence: begin_request.sequence,
        state,
    }
}

fn response(text: &str) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: text.as_bytes().to_vec(),
    }
}

fn at(offset_ms: u64) -> WallMs {
    WallMs(START.0 + offset_ms)
}

/// A ledger in which entry `a` has begun the request and, if `state` is given, reported its end.
fn ledger_with(state: Option<RecordState>) -> Ledger {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.begin(&begin("a", 1), at(0)), BeginAnswer::Begun);
    if let Some(state) = state {
        let recorded = ledger.finish(&finish(&begin("a", 1), state), at(10));
        assert_eq!(recorded, FinishAnswer::Recorded);
    }
    ledger
}

#[rstest]
#[case(None, BeginAnswer::InProgress)]
#[case(Some(RecordState::NotSent), BeginAnswer::Begun)]
#[case(Some(RecordState::Unknown), BeginAnswer::Unknown)]
#[case(
    Some(RecordState::Answered(response("slot 4"))),
    BeginAnswer::Answered(response("slot 4"))
)]
fn resend_through_other_entry(#[case] state: Option<RecordState>, #[case] expected: BeginAnswer) {
    let mut ledger = ledger_with(state);
    assert_eq!(ledger.begin(&begin("b", 1), at(20)), expected);
}

#[rstest]
#[case(None, BeginAnswer::Begun)]
#[case(Some(RecordState::NotSent), BeginAnswer::InProgress)]
fn delayed_begin(#[case] state: Option<RecordState>, #[case] expected: BeginAnswer) {
    let mut ledger = ledger_with(state);
    assert_eq!(ledger.begin(&begin("a", 1), at(20)), expected);
}

#[test]
fn delayed_finish() {
    let mut ledger = ledger_with(Some(RecordState::NotSent));
    assert_eq!(ledger.begin(&begin("a", 2), at(20)), BeginAnswer::Begun);
    let late = finish(&begin("a", 1), RecordState::NotSent);
    assert_eq!(ledger.finish(&late, at(30)), FinishAnswer::NoSuchAttempt);
    assert_eq!(
        ledger.begin(&begin("b", 1), at(40)),
        BeginAnswer::InProgress
    );
}

#[rstest]
#[case(|r: &mut BeginRequest| r.content = ContentDigest([8; 32]), BeginAnswer::ContentMismatch)]
#[case(|r: &mut BeginRequest| r.made_ms = Some(at(1)), BeginAnswer::ContentMismatch)]
#[case(|r: &mut BeginRequest| r.made_ms = None, BeginAnswer::TooOld)]
#[case(|r: &mut BeginRequest| { r.key = key("senec", "r2"); r.made_ms = Some(WallMs(START.0 - DEDUP_WINDOW_MS.0)); }, BeginAnswer::TooOld)]
#[case(|r: &mut BeginRequest| { r.key = key("senec", "r2"); r.made_ms = Some(at(CLOCK_SKEW_MAX_MS.0 + 11)); }, BeginAnswer::MadeInFuture)]
#[case(|r: &mut BeginRequest| r.key = key("nitra", "r1"), BeginAnswer::Begun)]
fn begin_checks(#[case] change: fn(&mut BeginRequest), #[case] expected: BeginAnswer) {
    let mut ledger = ledger_with(Some(RecordState::Answered(response("slot 4"))));
    let mut request = begin("b", 1);
    change(&mut request);
    assert_eq!(ledger.begin(&request, at(0)), expected);
}

#[test]
fn record_expires_after_window() {
    let mut ledger = ledger_with(Some(RecordState::Answered(response("slot 4"))));
    let last = DEDUP_WINDOW_MS.0 - 1;
    let answer = ledger.begin(&begin("b", 1), at(last));
    assert_eq!(answer, BeginAnswer::Answered(response("slot 4")));
    ledger.expire(at(DEDUP_WINDOW_MS.0));
    assert_eq!((ledger.record_count(), ledger.reserved_bytes()), (0, 0));
    // The leader's clock may be set back; the ledger's clock never goes back.
    assert_eq!(ledger.begin(&begin("b", 1), at(5)), BeginAnswer::TooOld);
}

#[test]
fn attempt_times_out() {
    let mut ledger = ledger_with(None);
    ledger.expire(at(DEADLINE_MS.0));
    assert_eq!(
        ledger.begin(&begin("b", 1), at(DEADLINE_MS.0)),
        BeginAnswer::InProgress
    );
    let later = at(DEADLINE_MS.with_clock_margin().0);
    assert_eq!(ledger.begin(&begin("b", 1), later), BeginAnswer::Unknown);
    let answer = ledger.finish(&finish(&begin("b", 1), RecordState::NotSent), later);
    assert_eq!(answer, FinishAnswer::NoSuchAttempt);
}

#[rstest]
#[case(
    RecordState::Answered(response("late")),
    BeginAnswer::Answered(response("late"))
)]
#[case(RecordState::NotSent, BeginAnswer::Begun)]
fn late_report_after_timeout(#[case] state: RecordState, #[case] expected: BeginAnswer) {
    let mut ledger = ledger_with(None);
    let later = at(DEADLINE_MS.with_clock_margin().0);
    ledger.expire(later);
    let recorded = ledger.finish(&finish(&begin("a", 1), state), later);
    assert_eq!(recorded, FinishAnswer::Recorded);
    assert_eq!(ledger.begin(&begin("b", 1), later), expected);
}

#[rstest]
#[case(RecordState::Unknown, RecordState::NotSent)]
#[case(
    RecordState::Answered(response("first")),
    RecordState::Answered(response("second"))
)]
#[case(RecordState::Answered(response("first")), RecordState::Unknown)]
#[case(RecordState::NotSent, RecordState::Answered(response("second")))]
fn first_final_report_is_kept(#[case] first: RecordState, #[case] second: RecordState) {
    let mut ledger = ledger_with(Some(first.clone()));
    let answer = ledger.finish(&finish(&begin("a", 1), second), at(20));
    assert_eq!(answer, FinishAnswer::NotRecorded(first));
}

#[test]
fn response_too_large() {
    let mut ledger = ledger_with(None);
    let mut large = response("");
    large.body = vec![0; usize::try_from(RESPONSE_BYTES_MAX).expect("the limit fits in usize") + 1];
    let answer = ledger.finish(
        &finish(&begin("a", 1), RecordState::Answered(large)),
        at(20),
    );
    assert_eq!(answer, FinishAnswer::NotRecorded(RecordState::Unknown));
}

/// Begins requests of `team` and reports their end, if `state` is given, until the ledger refuses
/// one. Returns how many were accepted.
fn fill_ledger(ledger: &mut Ledger, team: &str, state: Option<&RecordState>) -> u32 {
    for number in 0..=RECORDS_MAX {
        let mut request = begin("a", u64::from(number));
        request.key = key(team, &format!("r{number}"));
        if ledger.begin(&request, at(0)) == BeginAnswer::Full {
            return number;
        }
        if let Some(state) = state {
            ledger.finish(&finish(&request, state.clone()), at(0));
        }
    }
    panic!("the ledger accepted more than RECORDS_MAX records");
}

#[test]
fn record_limit() {
    let mut ledger = Ledger::default();
    assert_eq!(
        fill_ledger(&mut ledger, "senec", Some(&RecordState::Unknown)),
        RECORDS_MAX / TEAM_SHARE_DIVISOR
    );
    // A team at its limit leaves enough room for the other teams.
    assert!(fill_ledger(&mut ledger, "nitra", Some(&RecordState::Unknown)) > RECORDS_MAX / 4);
    ledger.expire(at(DEDUP_WINDOW_MS.0));
    assert_eq!((ledger.record_count(), ledger.reserved_bytes()), (0, 0));
}

#[test]
fn byte_limit() {
    let mut ledger = Ledger::default();
    let mut large = response("");
    large.body =
        vec![0; usize::try_from(RESPONSE_BYTES_MAX).expect("the limit fits in usize") - 16];
    let large = RecordState::Answered(large);
    let answered = fill_ledger(&mut ledger, "senec", Some(&large));
    let in_progress = fill_ledger(&mut ledger, "nitra", None);
    // Each attempt in progress reserves room for a response, so both teams reach the same limit.
    assert!(
        in_progress.abs_diff(answered) <= 1,
        "{answered} answered, {in_progress} in progress"
    );
}

#[test]
fn snapshot_round_trip() {
    let mut ledger = ledger_with(Some(RecordState::Answered(response("slot 4"))));
    let bytes = postcard::to_stdvec(&ledger).expect("a ledger serializes");
    let mut restored: Ledger = postcard::from_bytes(&bytes).expect("a ledger deserializes");
    assert_eq!(restored, ledger);
    let resend = begin("b", 1);
    assert_eq!(
        restored.begin(&resend, at(20)),
        ledger.begin(&resend, at(20))
    );
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Finish(usize, u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Begin),
        (0..3_usize, 0..3_u8).prop_map(|(entry, state)| Step::Finish(entry, state)),
        (0..DEDUP_WINDOW_MS.0 / 4).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After an attempt that may have been sent, no other begins, whichever reports of its end are
    /// lost, repeated or delayed.
    #[test]
    fn at_most_once(steps in prop::collection::vec(step(), 1..60)) {
        let mut ledger = Ledger::default();
        let (mut now, mut may_have_run) = (0, 0);
        let mut open: [Option<BeginRequest>; 3] = [None, None, None];
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Begin(entry) if open[entry].is_none() => {
                    let request = begin(["a", "b", "c"][entry], number as u64 + 1);
                    if ledger.begin(&request, at(now)) == BeginAnswer::Begun {
                        open[entry] = Some(request);
                        may_have_run += 1;
                    }
                }
                Step::Begin(_) => {}
                Step::Finish(entry, 0) => {
                    // The entry knows that nothing was sent.
                    if let Some(request) = open[entry].take() {
                        ledger.finish(&finish(&request, RecordState::NotSent), at(now));
                        may_have_run -= 1;
                    }
                }
                Step::Finish(entry, 1) => {
                    if let Some(request) = open[entry].as_ref() {
                        ledger.finish(&finish(request, RecordState::Unknown), at(now));
                    }
                }
                Step::Finish(entry, _) => {
                    if let Some(request) = open[entry].as_ref() {
                        let state = RecordState::Answered(response("whole"));
                        ledger.finish(&finish(request, state), at(now));
                    }
                }
                Step::Wait(span) => now += span,
            }
            prop_assert!(may_have_run <= 1);
        }
    }
}
