//! Tests that a non-idempotent request runs at most once, and that it is reported as not run only
//! if it did not run.

#[path = "support/fake_endpoint.rs"]
mod fake_endpoint;
#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/shares.rs"]
mod shares;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fake_endpoint::{FakeEndpoint, Fault};
use forwarding::{CallerResult, FakeControl, TestEntry, expected_response, until};
use marjoramknot::request_ledger::{
    BeginRequest, ContentDigest, DEDUP_WINDOW_MS, Outcome, RecordState, RequestKey,
};
use marjoramknot::units::{Incarnation, Millis, Sequence, WallMs};
use rstest::rstest;

const LONG_DEADLINE: Duration = Duration::from_secs(8);
const SHORT_DEADLINE: Duration = Duration::from_millis(300);

struct Group {
    control: Arc<FakeControl>,
    endpoint: FakeEndpoint,
    entries: Vec<TestEntry>,
}

/// Two entries that share one endpoint and one ledger.
async fn group() -> Group {
    let control = Arc::new(FakeControl::default());
    let endpoint = FakeEndpoint::start().await;
    let entries = ["entry-1", "entry-2"];
    let entries = entries.map(|name| TestEntry::new(name, &control, &[&endpoint]));
    Group {
        control,
        endpoint,
        entries: entries.into(),
    }
}

const fn unknown(code: &'static str) -> CallerResult {
    CallerResult::Failed(Outcome::Unknown, code)
}

const fn not_run(code: &'static str) -> CallerResult {
    CallerResult::Failed(Outcome::NotRun, code)
}

#[tokio::test]
async fn two_entries_at_once() {
    let group = group().await;
    group.endpoint.set_work_time(Duration::from_millis(100));
    let (first, second) = (&group.entries[0], &group.entries[1]);
    let (result, other) = tokio::join!(
        first.send(first.at_most_once("r1", LONG_DEADLINE)),
        second.send(second.at_most_once("r1", LONG_DEADLINE))
    );
    assert_eq!((result, other), (expected_response(), expected_response()));
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

#[tokio::test]
async fn resend_after_answer() {
    let group = group().await;
    for entry in &group.entries {
        assert_eq!(
            entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
            expected_response()
        );
    }
    group.control.restart();
    let entry = &group.entries[1];
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

#[tokio::test]
async fn late_answer_kept() {
    let group = group().await;
    group.endpoint.queue_faults(&[Fault::Hang]);
    let entry = &group.entries[0];
    let result = entry.send(entry.at_most_once("r1", SHORT_DEADLINE)).await;
    assert_eq!(result, unknown("deadline_passed"));
    let other = &group.entries[1];
    let early = other.send(other.at_most_once("r1", SHORT_DEADLINE)).await;
    assert_eq!(early, unknown("outcome_unknown"));
    group.endpoint.release();
    let kept = || {
        let finishes = group
            .control
            .finishes
            .lock()
            .expect("the lock is not poisoned");
        finishes
            .iter()
            .any(|state| matches!(state, RecordState::Answered(_)))
    };
    until("the late answer is recorded", kept).await;
    assert_eq!(
        other.send(other.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

#[tokio::test]
async fn caller_disconnects() {
    let group = group().await;
    group.endpoint.set_work_time(Duration::from_millis(100));
    let entry = &group.entries[0];
    let gone = tokio::time::timeout(
        Duration::from_millis(50),
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)),
    );
    gone.await.expect_err("the request takes longer");
    let other = &group.entries[1];
    assert_eq!(
        other.send(other.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

/// An entry crashed at different steps of a request and left the record that it had committed by
/// then.
#[rstest]
#[case::before_begin(None, 0, expected_response())]
#[case::begun(Some(RecordState::Begun), 0, unknown("in_progress"))]
#[case::begun_and_expired(Some(RecordState::Begun), 20_000, unknown("outcome_unknown"))]
#[case::sent_and_lost(Some(RecordState::Unknown), 0, unknown("outcome_unknown"))]
#[case::not_sent(Some(RecordState::NotSent), 0, expected_response())]
#[tokio::test]
async fn resend_after_entry_crash(
    #[case] left: Option<RecordState>,
    #[case] later_ms: u32,
    #[case] expected: CallerResult,
) {
    let group = group().await;
    let entry = &group.entries[0];
    if let Some(state) = left {
        leave_record(&group, "r1", state);
    }
    group.control.skew_ms.store(later_ms, Ordering::Release);
    let result = entry.send(entry.at_most_once("r1", SHORT_DEADLINE)).await;
    assert_eq!(result, expected);
    assert_eq!(
        group.endpoint.run_count("r1"),
        u32::from(expected == expected_response())
    );
}

/// Commits the record that a crashed entry left for the request.
fn leave_record(group: &Group, id: &str, state: RecordState) {
    let entry = &group.entries[0];
    let probe = entry.at_most_once(id, LONG_DEADLINE);
    let begin = BeginRequest {
        key: key(id),
        content: ContentDigest(content_digest(&probe)),
        made_ms: probe.made_ms,
        entry: "entry-9".parse().expect("the entry is an id"),
        entry_incarnation: Incarnation(1),
        sequence: Sequence(1),
        endpoint: "booking-0".parse().expect("the endpoint is an id"),
        endpoint_incarnation: Incarnation(1),
        deadline_ms: Millis(10_000),
    };
    let finish = marjoramknot::request_ledger::FinishRequest {
        key: key(id),
        entry: begin.entry.clone(),
        entry_incarnation: begin.entry_incarnation,
        sequence: begin.sequence,
        state,
    };
    let call = group.control.call(|ledger, now| {
        ledger.begin(&begin, now);
        ledger.finish(&finish, now)
    });
    call.expect("the control group answers");
}

fn key(id: &str) -> RequestKey {
    RequestKey {
        team: "regatta".parse().expect("the team is an id"),
        service: "booking".parse().expect("the service is an id"),
        id: id.parse().expect("the request is an id"),
    }
}

fn content_digest(request: &marjoramknot::entry::CallerRequest) -> [u8; 32] {
    use sha2::Digest;
    let mut digest = sha2::Sha256::new();
    let method = request.method.as_str().as_bytes();
    for part in [method, request.path.as_bytes(), &request.body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}

/// Answers to begins and finishes are lost after the commit took effect, as happens when the leader
/// changes.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test]
async fn lost_commit_answers(#[case] lost: u32) {
    let group = group().await;
    group.control.lose_answers.store(lost, Ordering::Release);
    let entry = &group.entries[0];
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

#[tokio::test]
async fn control_unreachable_for_begin() {
    let group = group().await;
    group.control.unreachable.store(true, Ordering::Release);
    let entry = &group.entries[0];
    let result = entry.send(entry.at_most_once("r1", SHORT_DEADLINE)).await;
    assert_eq!(result, unknown("not_checked"));
    assert_eq!(group.endpoint.run_count("r1"), 0);
    group.control.unreachable.store(false, Ordering::Release);
    let other = &group.entries[1];
    assert_eq!(
        other.send(other.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
}

#[tokio::test]
async fn control_unreachable_for_finish() {
    let group = group().await;
    group.endpoint.set_work_time(Duration::from_millis(200));
    let entry = &group.entries[0];
    let control = &group.control;
    let (result, ()) = tokio::join!(
        entry.send(entry.at_most_once("r1", SHORT_DEADLINE)),
        async {
            until("the request runs", || group.endpoint.run_count("r1") == 1).await;
            control.unreachable.store(true, Ordering::Release);
        }
    );
    // The response has arrived, but it must not be relayed before it is committed.
    assert_eq!(result, unknown("deadline_passed"));
    control.unreachable.store(false, Ordering::Release);
    let other = &group.entries[1];
    assert_eq!(
        other.send(other.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

#[tokio::test]
async fn other_content() {
    let group = group().await;
    let entry = &group.entries[0];
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    let mut other = entry.at_most_once("r1", LONG_DEADLINE);
    other.body = Bytes::from_static(b"heat 3");
    assert_eq!(entry.send(other).await, not_run("content_mismatch"));
    assert_eq!(group.endpoint.run_count("r1"), 1);
}

#[tokio::test]
async fn outside_window() {
    let group = group().await;
    let entry = &group.entries[0];
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
    let window_ms = u32::try_from(DEDUP_WINDOW_MS.get()).expect("it fits");
    group
        .control
        .skew_ms
        .store(window_ms + 1, Ordering::Release);
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        unknown("too_old")
    );
    let mut ahead = entry.at_most_once("r2", LONG_DEADLINE);
    ahead.made_ms = Some(WallMs(u64::MAX));
    assert_eq!(entry.send(ahead).await, not_run("made_ahead"));
    assert_eq!(
        (
            group.endpoint.run_count("r1"),
            group.endpoint.run_count("r2")
        ),
        (1, 0)
    );
}

/// If an attempt never reached its endpoint, the request may be sent to another one.
#[rstest]
#[case::refuses_connection(true)]
#[case::busy(false)]
#[tokio::test]
async fn retries_on_other_endpoint(#[case] dead: bool) {
    let control = Arc::new(FakeControl::default());
    let (first, second) = (FakeEndpoint::start().await, FakeEndpoint::start().await);
    let entry = TestEntry::new("entry-1", &control, &[&first, &second]);
    if dead {
        first.crash();
        // The port stays open until the accept loop has noticed the crash.
        until("the port is closed", || {
            std::net::TcpStream::connect(first.address).is_err()
        })
        .await;
    } else {
        first.set_fault(Fault::Busy);
    }
    for number in 0..4 {
        let id = format!("r{number}");
        assert_eq!(
            entry.send(entry.at_most_once(&id, LONG_DEADLINE)).await,
            expected_response()
        );
        assert_eq!((first.run_count(&id), second.run_count(&id)), (0, 1));
    }
}

/// A request that one entry refuses may already have run through another, so "not run" must be
/// checked against the ledger.
#[rstest]
#[case::ran_before(true, expected_response())]
#[case::never_ran(false, not_run("deadline_passed"))]
#[tokio::test]
async fn refusal_is_checked(#[case] ran: bool, #[case] expected: CallerResult) {
    let group = group().await;
    if ran {
        let entry = &group.entries[0];
        assert_eq!(
            entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
            expected_response()
        );
    }
    let mut cut_off = TestEntry::new("entry-3", &group.control, &[&group.endpoint]);
    cut_off.granted_until_ms = Millis::ZERO;
    cut_off.update_view();
    let result = cut_off
        .send(cut_off.at_most_once("r1", SHORT_DEADLINE))
        .await;
    assert_eq!(result, expected);
    assert_eq!(group.endpoint.run_count("r1"), u32::from(ran));
    let entry = &group.entries[1];
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
}

#[tokio::test]
async fn grant_ends_before_send() {
    let group = group().await;
    let mut entry = TestEntry::new("entry-3", &group.control, &[&group.endpoint]);
    group.control.unreachable.store(true, Ordering::Release);
    let (result, ()) = tokio::join!(
        entry.send(entry.at_most_once("r1", SHORT_DEADLINE)),
        async {
            let begins = || group.control.begins.load(Ordering::Acquire) > 1;
            until("the begin is tried", begins).await;
            let view = marjoramknot::router::RouterView {
                in_force: Arc::new(entry.in_force.clone()),
                shares: Arc::new(entry.shares.clone()),
                shares_version: 1,
                granted_until_ms: Millis::ZERO,
            };
            entry.forwarder.update_view(view);
            group.control.unreachable.store(false, Ordering::Release);
        }
    );
    assert_eq!(result, not_run("deadline_passed"));
    assert_eq!(group.endpoint.run_count("r1"), 0);
    entry.granted_until_ms = Millis::MAX;
    entry.update_view();
    assert_eq!(
        entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await,
        expected_response()
    );
}

/// A resend after an endpoint restarted must neither run again nor get a response of the old
/// process.
#[tokio::test]
async fn restarted_endpoint() {
    let group = group().await;
    let entry = &group.entries[0];
    group.endpoint.queue_faults(&[Fault::Crash]);
    let result = entry.send(entry.at_most_once("r1", LONG_DEADLINE)).await;
    assert_eq!(result, unknown("outcome_unknown"));
    until("the port is free", || {
        std::net::TcpListener::bind(group.endpoint.address).is_ok()
    })
    .await;
    let again = FakeEndpoint::start_at(group.endpoint.address).await;
    let mut other = TestEntry::new("entry-3", &group.control, &[&again]);
    other.shares[0].incarnation = Incarnation(2);
    other.update_view();
    let result = other.send(other.at_most_once("r1", LONG_DEADLINE)).await;
    assert_eq!(result, unknown("outcome_unknown"));
    assert_eq!(again.run_count("r1"), 0);
    assert_eq!(
        other.send(other.at_most_once("r2", LONG_DEADLINE)).await,
        expected_response()
    );
}
