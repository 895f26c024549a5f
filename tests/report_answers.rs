//! Answers to the reports of a worker that has restarted under its old id: repeated, carried on by
//! another process, held by a leader that is deposed, or given late.

#[path = "support/control_net.rs"]
mod control_net;
#[path = "support/holding_relay.rs"]
mod holding_relay;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use control_net::{FakeReplica, Network, SharedLog, slow_service};
use holding_relay::HoldingRelay;
use marjoramknot::control::{CallExpiry, Client, ControlApiClient, ControlError, StateMachine};
use marjoramknot::units::{Millis, Sequence, Term, WorkerId};
use marjoramknot::workload::{
    QueueOperation, QueueRequest, ReportedEnd, RunEnd, WorkAnswer, WorkRequest, WorkerIncarnation,
    WorkerOrders, WorkerReport, Workload,
};
use rstest::rstest;
use tarpc::{client, context};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use workload_fixtures::{declaration, job, resources, step};

/// Long enough for what was sent to be received and handled.
const DELIVERY: Duration = Duration::from_millis(150);
/// How long a report's sender accepts its answer.
const ANSWER_VALID: Duration = Duration::from_secs(1);
/// Bounds the wait for a condition, which is checked again after each interval.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longer than a leader reckons with an answer to a former life.
const ANSWER_VOID: Duration = Duration::from_millis(1_100);
/// Longer than a leader holds a report.
const HOLD: Duration = Duration::from_millis(800);

fn worker() -> WorkerId {
    "w1".parse().expect("a valid id")
}

fn report(life: u64, sequence: u64, clock_ms: u64) -> WorkerReport {
    WorkerReport {
        worker: worker(),
        incarnation: WorkerIncarnation(life),
        sequence: Sequence(sequence),
        service: "ponds".parse().expect("a valid id"),
        zone: "senec".parse().expect("a valid id"),
        rack: None,
        labels: Vec::new(),
        capacity: resources(8, 8),
        clock_ms: Some(Millis(clock_ms)),
        draining: false,
        remaining_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

fn submission(tasks: u32) -> WorkRequest {
    WorkRequest::Call(QueueRequest {
        host: "ponds.example".into(),
        path: "/batch/job1".into(),
        key: Some("key-clubs".into()),
        operation: QueueOperation::Submit(Arc::new(job(vec![step(tasks, 8)]))),
    })
}

async fn orders(client: &Client, report: WorkerReport) -> WorkerOrders {
    let answer = client.work(WorkRequest::Report(Box::new(report))).await;
    let orders = assert_matches!(answer, Ok(WorkAnswer::Orders(orders)) => orders);
    *orders
}

/// Sends a report, which the leader holds.
async fn hold(client: &Client, report: WorkerReport) -> JoinHandle<WorkerOrders> {
    let client = client.clone();
    let answer = tokio::spawn(async move { orders(&client, report).await });
    sleep(DELIVERY).await;
    assert!(!answer.is_finished(), "the report is held");
    answer
}

async fn change(client: &Client, request: WorkRequest) {
    let answer = client.work(request).await;
    assert_matches!(answer, Ok(WorkAnswer::Done | WorkAnswer::Call(_)));
}

/// A replica that leads, a client that reaches it at all times, and one whose link can be cut.
struct Group {
    log: SharedLog,
    leader: FakeReplica,
    near: Client,
    relay: HoldingRelay,
    far: Client,
}

impl Group {
    async fn start() -> Self {
        let log = SharedLog::default();
        let leader = FakeReplica::start(&log).await;
        leader.become_leader(&log, 1);
        let near = Client::new(vec![leader.address]);
        let relay = HoldingRelay::start(leader.address).await;
        let far = Client::new(vec![relay.address]);
        change(&near, WorkRequest::Declare(Arc::new(declaration()))).await;
        assert_matches!(
            far.work(WorkRequest::CheckLeader).await,
            Ok(WorkAnswer::Done)
        );
        Self {
            log,
            leader,
            near,
            relay,
            far,
        }
    }

    /// A connection to the replica whose calls are not repeated.
    fn connect(&self) -> ControlApiClient {
        let (near, far) = tarpc::transport::channel::unbounded();
        self.leader.service.attach(far);
        ControlApiClient::new(client::Config::default(), near).spawn()
    }
}

/// The number of runs that are placed on the worker's first life.
fn former_runs(replica: &FakeReplica) -> usize {
    let count = |state: &Workload| {
        let placed = state.runs_placed_on(&worker());
        let former = placed.filter(|(_run, life)| *life == WorkerIncarnation(1));
        former.count()
    };
    let state_machine = &replica.state_machine;
    state_machine.read(|state: &StateMachine| count(state.workload()))
}

/// A clock of the next life after which no answer to the former one is valid any more.
const LATER_CLOCK_MS: u64 = 5_000;

/// Guards against orders to a former life that the leader counts on although its next life was heard:
/// the report was carried on by another replica and arrives later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overtaken_report_gets_no_orders() {
    let group = Group::start().await;
    group.relay.cut();
    let (far, former) = (group.far.clone(), report(1, 9, 90_000));
    let carried_on = tokio::spawn(async move { orders(&far, former).await });
    sleep(DELIVERY).await;
    let next_life = hold(&group.near, report(2, 1, 0)).await;
    change(&group.near, submission(1)).await;
    group.relay.heal();
    let answer = carried_on.await.expect("the report is answered");
    assert_eq!(answer, WorkerOrders::default());
    let answer = next_life.await.expect("the report is answered");
    assert!(answer.lease_ms.is_some());
}

/// Guards against a held report of a former life that is answered with orders after the next life was
/// heard.
#[rstest]
#[case::next_life_is_held(false)]
#[case::next_life_drains(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn held_report_of_a_former_life_gets_no_orders(#[case] draining: bool) {
    let group = Group::start().await;
    let former = hold(&group.far, report(1, 1, 90_000)).await;
    let next_life = WorkerReport {
        draining,
        ..report(2, 1, 0)
    };
    let near = group.near.clone();
    let next_life = tokio::spawn(async move { orders(&near, next_life).await });
    sleep(DELIVERY).await;
    change(&group.near, submission(1)).await;
    let answer = former.await.expect("the report is answered");
    assert_eq!(answer, WorkerOrders::default());
    let answer = next_life.await.expect("the report is answered");
    assert!(answer.lease_ms.is_some());
    assert_eq!(answer.starts, []);
}

/// Guards against a task that starts elsewhere although its worker's next life may start it: the order
/// was given to a replica that had given its attempt up, and repeated the report.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_report_gets_no_second_order() {
    let group = Group::start().await;
    let former = hold(&group.far, report(1, 1, 90_000)).await;
    group.relay.cut();
    change(&group.near, submission(1)).await;
    sleep(HOLD).await;
    group.relay.heal();
    let answer = former.await.expect("the repeated report is answered");
    assert_eq!(answer, WorkerOrders::default());
    drop(hold_or_answer(&group.near, report(2, 1, 0)).await);
    assert_eq!(former_runs(&group.leader), 1, "the order may have arrived");
    drop(hold_or_answer(&group.near, report(2, 2, LATER_CLOCK_MS)).await);
    sleep(DELIVERY).await;
    assert_eq!(former_runs(&group.leader), 0, "the next life can't have it");
}

async fn hold_or_answer(client: &Client, report: WorkerReport) -> JoinHandle<WorkerOrders> {
    let client = client.clone();
    let answer = tokio::spawn(async move { orders(&client, report).await });
    sleep(DELIVERY).await;
    answer
}

/// Guards against the same where the report is repeated at the next leader: the answer of the deposed
/// one, with its orders, is on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_of_a_deposed_leader_is_counted_with() {
    let log = SharedLog::default();
    let first = Arc::new(FakeReplica::start(&log).await);
    let second = Arc::new(FakeReplica::start(&log).await);
    first.become_leader(&log, 1);
    second.become_follower(1, Some(first.address));
    let network = Network::new(&[Arc::clone(&first), Arc::clone(&second)]);
    let (carrier, near) = (network.client(), Client::new(vec![first.address]));
    change(&near, WorkRequest::Declare(Arc::new(declaration()))).await;
    let former = hold(&carrier, report(1, 1, 90_000)).await;
    network.link_faults(first.address).set(true, true);
    change(&near, submission(1)).await;
    let placed = async {
        while former_runs(&first) == 0 {
            sleep(POLL_INTERVAL).await;
        }
    };
    let placed = timeout(WAIT_TIMEOUT, placed).await;
    placed.expect("the task is placed");
    sleep(DELIVERY).await;
    first.become_follower(2, Some(second.address));
    second.become_leader(&log, 2);
    let answer = former.await.expect("the repeated report is answered");
    assert_eq!(answer.term, Term(2));
    let next_life = Client::new(vec![second.address]);
    drop(hold_or_answer(&next_life, report(2, 1, 0)).await);
    assert_eq!(former_runs(&second), 1, "either order may have arrived");
    drop(hold_or_answer(&next_life, report(2, 2, LATER_CLOCK_MS)).await);
    assert_eq!(
        former_runs(&second),
        1,
        "the clock of the next life proves nothing"
    );
    sleep(ANSWER_VOID).await;
    drop(hold_or_answer(&next_life, report(2, 3, LATER_CLOCK_MS)).await);
    sleep(DELIVERY).await;
    assert_eq!(former_runs(&second), 0, "the next life can't have it");
}

/// How a leader is deposed while it holds a report.
#[derive(Clone, Copy, Debug)]
enum Deposed {
    QuorumLost,
    OtherLeader,
    LeadsAgain,
}

/// Guards against orders that a deposed leader gives for a report that it held, or that waited for a
/// change, although the present leader no longer reckons with them.
#[rstest]
#[case::quorum_lost(Deposed::QuorumLost)]
#[case::other_leader(Deposed::OtherLeader)]
#[case::leads_again(Deposed::LeadsAgain)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deposed_leader_gives_no_orders(#[case] deposed: Deposed) {
    let group = Group::start().await;
    let connection = group.connect();
    let request = WorkRequest::Report(Box::new(report(1, 1, 90_000)));
    let held = tokio::spawn(async move {
        let expires = CallExpiry(Millis::MAX);
        connection.work(context::current(), expires, request).await
    });
    sleep(DELIVERY).await;
    assert!(!held.is_finished(), "the report is held");
    match deposed {
        Deposed::QuorumLost => group.leader.lose_quorum(),
        Deposed::OtherLeader => group.leader.become_follower(2, None),
        Deposed::LeadsAgain => group.leader.become_leader(&group.log, 3),
    }
    let answer = held.await.expect("the call ends");
    assert_matches!(answer, Ok(Err(ControlError::NotLeader { .. })));
}

/// Guards against orders, a lease and acknowledgements in an answer that its worker drops: each counts
/// as an attempt to start its run, and only the next life of the worker could take it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_after_its_time_holds_no_orders() {
    let (_service, connection) = slow_service(Duration::from_millis(1_200)).await;
    let call = async |request| {
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_secs(10);
        let expires = CallExpiry(Millis::MAX);
        let answer = connection.work(context, expires, request).await;
        answer.expect("the replica answers").expect("it leads")
    };
    let report_orders = async |report| {
        let sent = Instant::now();
        let answer = call(WorkRequest::Report(Box::new(report))).await;
        let orders = assert_matches!(answer, WorkAnswer::Orders(orders) => orders);
        (*orders, sent.elapsed())
    };
    call(WorkRequest::Declare(Arc::new(declaration()))).await;
    call(submission(2)).await;
    let mut sequence = 0;
    let start = loop {
        sequence += 1;
        let (orders, _took) = report_orders(report(1, sequence, 1_000 * sequence)).await;
        if let Some(start) = orders.starts.into_iter().next() {
            break start;
        }
    };
    sequence += 1;
    let mut ended = report(1, sequence, 1_000 * sequence);
    ended.ended.push(ReportedEnd {
        number: 1,
        task: start.task,
        run: start.run,
        end: RunEnd::Done,
        checkpoint: "".into(),
    });
    let (late, took) = report_orders(ended.clone()).await;
    assert!(took > ANSWER_VALID, "{took:?}");
    assert_eq!(late, WorkerOrders::default());
    ended.sequence = Sequence(sequence + 1);
    let (repeated, took) = report_orders(ended).await;
    assert!(took < ANSWER_VALID, "{took:?}");
    assert_eq!(repeated.acknowledged, 1);
}
