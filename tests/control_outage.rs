//! Calls while no replica of the control group answers as the leader.

#[path = "support/control_net.rs"]
mod control_net;
#[path = "support/holding_relay.rs"]
mod holding_relay;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use assert_matches::assert_matches;
use control_net::{FakeReplica, Network, SharedLog};
use holding_relay::HoldingRelay;
use marjoramknot::control::{
    Client, ControlError, Dialer, Outage, OutageAction, OutageEvent, StateMachine, retry_after_s,
};
use marjoramknot::units::Millis;
use marjoramknot::workload::{
    CallerAnswer, QueueOperation, QueueRequest, WorkAnswer, WorkRequest, Workload,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Duration, Instant, sleep};
use workload_fixtures::{declaration, job, step};

fn call(id: &str, operation: QueueOperation) -> WorkRequest {
    WorkRequest::Call(QueueRequest {
        host: "ponds.example".into(),
        path: format!("/batch/{id}").into(),
        key: Some("key-clubs".into()),
        operation,
    })
}

fn submission(id: &str) -> WorkRequest {
    call(id, QueueOperation::Submit(Arc::new(job(vec![step(1, 1)]))))
}

fn is_accepted(answer: &marjoramknot::control::Result<WorkAnswer>) -> bool {
    matches!(
        answer,
        Ok(WorkAnswer::Done | WorkAnswer::Call(CallerAnswer::Accepted))
    )
}

fn job_count(replica: &FakeReplica) -> usize {
    let count = |workload: &Workload| workload.open_jobs().count();
    replica
        .state_machine
        .read(|state: &StateMachine| count(state.workload()))
}

/// A replica that leads, with a declaration.
async fn leading(log: &SharedLog) -> Arc<FakeReplica> {
    let replica = Arc::new(FakeReplica::start(log).await);
    replica.become_leader(log, 1);
    let operator = Client::new(vec![replica.address]);
    let declared = operator.work(WorkRequest::Declare(Arc::new(declaration())));
    assert_matches!(declared.await, Ok(WorkAnswer::Done));
    replica
}

/// A listener that accepts connections and never answers, and what it has received.
async fn silent_replica() -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let records = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let records = Arc::clone(&records);
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    let mut records = records.lock().expect("no test thread panics");
                    records.extend_from_slice(&buffer[..length]);
                }
            });
        }
    });
    (address, received)
}

fn contains(received: &Mutex<Vec<u8>>, text: &str) -> bool {
    let received = received.lock().expect("no test thread panics");
    received
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}

/// Replays the failures of 300 calls at a lost leader, reported in any order and mixed with late
/// ones after the next leader was found. Guards against several log lines for one outage.
#[test]
fn one_outage_is_reported_once() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut outage = Outage::default();
        let mut reports = Vec::new();
        outage.handle(OutageEvent::LeaderAnswered, Millis(1_000));
        // Each call fails at once or after its time-out of 450 ms.
        let mut failures: Vec<_> = (0..300)
            .map(|_call| {
                let began = rng.random_range(1_001..1_700);
                let took = if rng.random_range(0..2) == 0 { 1 } else { 450 };
                (began + took, began)
            })
            .collect();
        failures.sort_unstable();
        let (before, late): (Vec<_>, Vec<_>) =
            failures.into_iter().partition(|(at, _began)| *at < 1_700);
        for (at, began) in &before {
            let began_ms = Millis(*began);
            let event = OutageEvent::AttemptFailed { began_ms };
            reports.extend(outage.handle(event, Millis(*at)));
        }
        let first = before.first().expect("calls fail").1;
        assert!(outage.is_lost());
        assert_eq!(outage.lost_ms(Millis(1_700)), Millis(1_700 - first));
        reports.extend(outage.handle(OutageEvent::LeaderAnswered, Millis(1_700)));
        for (at, began) in late {
            let began_ms = Millis(began);
            let event = OutageEvent::AttemptFailed { began_ms };
            reports.extend(outage.handle(event, Millis(at)));
        }
        assert!(!outage.is_lost(), "seed {seed}");
        let lost_ms = Millis(1_700 - first);
        assert_matches!(
            reports[..],
            [OutageAction::Lost { .. }, OutageAction::Found { lost_ms: found }] if found == lost_ms,
            "seed {seed}"
        );
    }
}

/// Guards against a call that fails alone, while others are answered, and pauses all of them.
#[test]
fn answered_leader_is_not_lost() {
    let mut outage = Outage::default();
    outage.handle(OutageEvent::LeaderAnswered, Millis(500));
    let began_ms = Millis(400);
    let late = outage.handle(OutageEvent::AttemptFailed { began_ms }, Millis(850));
    assert_eq!(late, None);
    assert!(!outage.is_lost());
    assert_eq!(outage.lost_ms(Millis(900)), Millis::ZERO);
}

/// Guards against callers that all come back at once, or too late to be useful.
#[rstest]
#[case::no_outage(0, 1..=2)]
#[case::short(3_500, 2..=4)]
#[case::long(9_000, 5..=10)]
#[case::endless(u64::MAX, 5..=10)]
fn retry_is_spread(#[case] lost_ms: u64, #[case] expected: std::ops::RangeInclusive<u64>) {
    let delays = (0..1_000).map(|id| retry_after_s(Millis(lost_ms), &format!("job{id}")));
    let mut counts = std::collections::BTreeMap::new();
    for delay in delays {
        *counts.entry(delay).or_insert(0_u32) += 1;
    }
    let seconds: BTreeSet<_> = counts.keys().copied().collect();
    assert_eq!(seconds, expected.clone().collect());
    let even = 1_000 / u32::try_from(expected.count()).expect("few delays");
    assert!(counts.values().all(|count| *count > even / 2), "{counts:?}");
}

/// Guards against an unknown outcome for a job that never left the entry: a replica accepts
/// connections and is silent, and the outage is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submission_is_not_sent_in_an_outage() {
    let log = SharedLog::default();
    let replica = leading(&log).await;
    let relay = HoldingRelay::start(replica.address).await;
    let client = Client::new(vec![relay.address]).with_deadline(Millis(700));
    assert!(is_accepted(&client.work(submission("before")).await));
    relay.cut();
    let answer = client.work(submission("first")).await;
    assert_eq!(answer, Err(ControlError::Uncertain), "it was sent");
    assert!(relay.was_sent("/batch/first"));
    let began = Instant::now();
    let answer = client.work(submission("second")).await;
    assert_eq!(answer, Err(ControlError::Unreachable));
    assert!(!relay.was_sent("/batch/second"));
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(690), "held for {took:?} only");
    assert!(client.lost_ms() >= Millis(700));
}

/// How much later than its deadline a call may end on a busy machine. It is less than the 400 ms that
/// the opening of a connection may take.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Guards against an unknown outcome for a job of the first call to a replica that accepts connections
/// and never answers: without the replica's time nothing is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submission_is_not_sent_to_a_silent_replica() {
    let (address, received) = silent_replica().await;
    let client = Client::new(vec![address]).with_deadline(Millis(700));
    let answer = client.work(submission("first")).await;
    assert_eq!(answer, Err(ControlError::Unreachable));
    assert!(!contains(&received, "/batch/first"));
}

/// The same for an entry that reaches no replica: nothing was sent from the beginning.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_entry() {
    let log = SharedLog::default();
    let replica = leading(&log).await;
    let network = Network::new(&[Arc::clone(&replica)]);
    network.link_faults(replica.address).set(true, true);
    let entry = network.client().with_deadline(Millis(900));
    let began = Instant::now();
    let answer = entry.work(submission("job1")).await;
    let took = began.elapsed();
    assert_eq!(answer, Err(ControlError::Unreachable));
    assert_eq!(job_count(&replica), 0);
    let longest = Duration::from_millis(900) + DEADLINE_SLACK;
    assert!(took < longest, "ended after {took:?}");
}

/// Guards against a call that ends after its caller has given up, because the opening of a
/// connection was not bounded by the call's deadline.
#[rstest]
#[case::first_attempt(submission("job1"), 300)]
#[case::later_attempt(call("job1", QueueOperation::Show), 500)]
#[tokio::test(start_paused = true)]
async fn opening_a_connection_ends_at_the_deadline(
    #[case] request: WorkRequest,
    #[case] deadline_ms: u64,
) {
    let dialer: Dialer = Arc::new(|_address| Box::pin(std::future::pending()));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let client = Client::with_dialer(vec![address], dialer).with_deadline(Millis(deadline_ms));
    let began = Instant::now();
    let answer = client.work(request).await;
    let took = began.elapsed();
    assert_eq!(answer, Err(ControlError::Unreachable));
    // The timer has a resolution of 1 ms.
    let longest = Duration::from_millis(deadline_ms + 1);
    assert!(took <= longest, "ended after {took:?}");
}

/// Guards against an unknown outcome of a read, which changes nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_is_never_uncertain() {
    let (address, received) = silent_replica().await;
    let client = Client::new(vec![address]).with_deadline(Millis(700));
    let began = Instant::now();
    let answer = client.work(call("job1", QueueOperation::Show)).await;
    let took = began.elapsed();
    assert_eq!(answer, Err(ControlError::Unreachable));
    assert!(contains(&received, "/batch/job1"));
    let longest = Duration::from_millis(700) + DEADLINE_SLACK;
    assert!(took < longest, "ended after {took:?}");
}

/// Guards against a refusal that counts as uncertain because of an attempt that was never sent: the
/// call still opens its connection when another one finds the leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unopened_connection_does_not_count() {
    let log = SharedLog::default();
    let leader = leading(&log).await;
    let other = Arc::new(FakeReplica::start(&log).await);
    let network = Network::new(&[Arc::clone(&leader), Arc::clone(&other)]);
    network.link_faults(other.address).set(true, true);
    let entry = network.client();
    entry.hint_leader(other.address);
    let calling = tokio::spawn({
        let entry = entry.clone();
        let mut request = submission("job1");
        if let WorkRequest::Call(call) = &mut request {
            call.key = None;
        }
        async move { entry.work(request).await }
    });
    sleep(Duration::from_millis(100)).await;
    entry.hint_leader(leader.address);
    let found = entry.work(WorkRequest::CheckLeader).await;
    assert_matches!(found, Ok(WorkAnswer::Done));
    let answer = calling.await.expect("the call ends");
    assert_eq!(answer, Ok(WorkAnswer::Call(CallerAnswer::BadKey)));
}

/// Guards against submissions that are lost or delayed when a leader is found: they wait for it
/// while there is none and are sent at once when there is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn waiting_submissions_are_sent_to_the_next_leader() {
    let log = SharedLog::default();
    let first = leading(&log).await;
    let second = Arc::new(FakeReplica::start(&log).await);
    let network = Network::new(&[Arc::clone(&first), Arc::clone(&second)]);
    let entry = network.client().with_deadline(Millis(2_800));
    assert_matches!(
        entry.work(WorkRequest::CheckLeader).await,
        Ok(WorkAnswer::Done)
    );
    first.become_follower(1, None);
    let waiting: Vec<_> = (0..50)
        .map(|number| {
            let entry = entry.clone();
            tokio::spawn(async move { entry.work(submission(&format!("job{number}"))).await })
        })
        .collect();
    sleep(Duration::from_millis(600)).await;
    assert!(waiting.iter().all(|call| !call.is_finished()));
    second.become_leader(&log, 2);
    let elected = Instant::now();
    for call in waiting {
        assert!(is_accepted(&call.await.expect("the call ends")));
    }
    let took = elected.elapsed();
    assert!(took < Duration::from_millis(450), "sent after {took:?}");
    assert_eq!(job_count(&second), 50);
    assert_eq!(entry.lost_ms(), Millis::ZERO);
}

/// Guards against a search that waits for the time-out of a connection that was opened during the
/// outage, and so finds a group late that has returned.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returned_group_is_found_soon() {
    for phase in 0..5 {
        let log = SharedLog::default();
        let replica = leading(&log).await;
        let network = Network::new(&[Arc::clone(&replica)]);
        let faults = network.link_faults(replica.address);
        faults.set(true, true);
        let entry = network.client().with_deadline(Millis(2_800));
        let waiting = tokio::spawn(async move { entry.work(submission("job1")).await });
        sleep(Duration::from_millis(900 + 80 * phase)).await;
        faults.set(false, false);
        let returned = Instant::now();
        assert!(is_accepted(&waiting.await.expect("the call ends")));
        let took = returned.elapsed();
        // One connection after the other would take up to 425 ms.
        assert!(took < Duration::from_millis(300), "found after {took:?}");
    }
}

/// Guards against a job that is lost or made twice when the leader is lost between receiving and
/// committing it.
#[rstest]
#[case::not_committed(false)]
#[case::committed(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_lost_before_the_answer(#[case] committed: bool) {
    let log = SharedLog::default();
    let first = leading(&log).await;
    let second = Arc::new(FakeReplica::start(&log).await);
    let network = Network::new(&[Arc::clone(&first), Arc::clone(&second)]);
    let entry = network.client().with_deadline(Millis(2_800));
    // A call that changes something, after which the next one is sent at once.
    let declared = entry.work(WorkRequest::Declare(Arc::new(declaration())));
    assert_matches!(declared.await, Ok(WorkAnswer::Done));
    if committed {
        network.link_faults(first.address).set(false, true);
    } else {
        first
            .stalled
            .store(true, std::sync::atomic::Ordering::SeqCst);
    }
    let calling = tokio::spawn({
        let entry = entry.clone();
        async move { entry.work(submission("job1")).await }
    });
    sleep(Duration::from_millis(200)).await;
    assert_eq!(job_count(&first), usize::from(committed));
    first.become_follower(1, None);
    second.become_leader(&log, 2);
    assert!(is_accepted(&calling.await.expect("the call ends")));
    assert_eq!(job_count(&second), 1);
}

/// Guards against a search for the leader that goes on for ever although no call waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn search_ends_without_calls() {
    let (address, received) = silent_replica().await;
    let length = || received.lock().expect("no test thread panics").len();
    let client = Client::new(vec![address]).with_deadline(Millis(600));
    for id in ["first", "second"] {
        let answer = client.work(submission(id)).await;
        assert_matches!(answer, Err(_no_leader));
    }
    sleep(Duration::from_secs(3)).await;
    let ended = length();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(length(), ended);
}

/// Guards against a search for the leader that is not started again for a later call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn search_follows_the_waiting_calls() {
    let log = SharedLog::default();
    let replica = leading(&log).await;
    let network = Network::new(&[Arc::clone(&replica)]);
    let entry = network.client();
    replica.become_follower(1, None);
    let short = entry.with_deadline(Millis(200));
    for number in 0..3 {
        let answer = short.work(submission(&format!("early{number}"))).await;
        assert_eq!(answer, Err(ControlError::Unreachable));
    }
    // Longer than the search goes on without a call.
    sleep(Duration::from_millis(2_300)).await;
    let waiting = tokio::spawn({
        let entry = entry.with_deadline(Millis(2_800));
        async move { entry.work(submission("late")).await }
    });
    sleep(Duration::from_millis(200)).await;
    replica.become_leader(&log, 2);
    assert!(is_accepted(&waiting.await.expect("the call ends")));
    assert_eq!(job_count(&replica), 1);
}

/// Guards against calls that wait in vain because the task that looked for the leader has ended
/// early, here with its runtime.
#[test]
fn search_that_was_cut_off_is_started_again() {
    let runtime = || tokio::runtime::Runtime::new().expect("the runtime starts");
    let first = runtime();
    let client = first.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        let client = Client::new(vec![address]).with_deadline(Millis(300));
        let answer = client.work(submission("early")).await;
        assert_eq!(answer, Err(ControlError::Unreachable));
        client
    });
    drop(first);
    runtime().block_on(async {
        let replica = leading(&SharedLog::default()).await;
        client.set_configured(vec![replica.address]);
        let client = client.with_deadline(Millis(2_800));
        assert!(is_accepted(&client.work(submission("late")).await));
    });
}
