//! Calls that arrive after their sender has given them up, as after a partition.

#[path = "support/control_net.rs"]
mod control_net;
#[path = "support/holding_relay.rs"]
mod holding_relay;
#[path = "support/notes.rs"]
mod notes;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;

use assert_matches::assert_matches;
use control_net::{FakeReplica, SharedLog};
use holding_relay::HoldingRelay;
use marjoramknot::control::{Client, ControlError, StateMachine};
use marjoramknot::units::{Millis, Sequence, WorkerId};
use marjoramknot::workload::{
    QueueOperation, QueueRequest, ReportedRun, WorkAnswer, WorkRequest, WorkerIncarnation,
    WorkerReport, Workload,
};
use notes::{INITIAL_NOTE, deadline_note, note};
use rstest::rstest;
use tokio::time::{Duration, sleep};
use workload_fixtures::{declaration, job, resources, step};

/// Long enough for what the relay delivers to be carried out.
const DELIVERY: Duration = Duration::from_millis(500);

/// Well inside the lease that the worker's last report got.
const LEASE_PART: Duration = Duration::from_millis(2_500);

/// A replica that leads, a client that reaches it at all times, and one whose link can be cut.
struct Group {
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
        let far = Client::new(vec![relay.address]).with_deadline(Millis(600));
        for client in [&near, &far] {
            done(client, WorkRequest::Declare(Arc::new(declaration()))).await;
        }
        Self {
            leader,
            near,
            relay,
            far,
        }
    }

    fn state<T>(&self, read: impl FnOnce(&Workload) -> T) -> T {
        let state_machine = &self.leader.state_machine;
        state_machine.read(|state: &StateMachine| read(state.workload()))
    }

    /// Makes a call behind a cut and gives it up, makes `meanwhile` elsewhere, and heals the cut.
    async fn deliver_late(&self, late: WorkRequest, meanwhile: Option<WorkRequest>) {
        self.relay.cut();
        let answer = self.far.work(late).await;
        assert_matches!(
            answer,
            Err(ControlError::Uncertain | ControlError::Unreachable)
        );
        if let Some(meanwhile) = meanwhile {
            done(&self.near, meanwhile).await;
        }
        self.relay.heal();
        sleep(DELIVERY).await;
    }
}

async fn done(client: &Client, request: WorkRequest) {
    let answer = client.work(request).await;
    assert_matches!(answer, Ok(WorkAnswer::Done | WorkAnswer::Orders(_)));
}

fn zone(closed: bool) -> WorkRequest {
    let zone = "senec".parse().expect("a valid id");
    WorkRequest::SetZone { zone, closed }
}

fn submission() -> WorkRequest {
    WorkRequest::Call(QueueRequest {
        host: "ponds.example".into(),
        path: "/batch/job1".into(),
        key: Some("key-clubs".into()),
        operation: QueueOperation::Submit(Arc::new(job(vec![step(1, 1)]))),
    })
}

fn draining_report(incarnation: u64, draining: bool) -> WorkRequest {
    WorkRequest::Report(Box::new(WorkerReport {
        worker: "w1".parse().expect("a valid id"),
        incarnation: WorkerIncarnation(incarnation),
        sequence: Sequence(1),
        service: "ponds".parse().expect("a valid id"),
        zone: "senec".parse().expect("a valid id"),
        rack: None,
        labels: Vec::new(),
        capacity: resources(8, 8),
        clock_ms: None,
        draining,
        remaining_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
    }))
}

/// Guards against tasks that start in a zone whose closing was acknowledged: an earlier reopening
/// that its sender had answered as failed was carried out when the partition healed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_reopening_has_no_effect() {
    let group = Group::start().await;
    group.deliver_late(zone(false), Some(zone(true))).await;
    let zone = "senec".parse().expect("a valid id");
    assert!(!group.state(|state| state.is_zone_open(&zone)));
}

/// Guards against a job that runs after its caller was told that there is none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_submission_has_no_effect() {
    let group = Group::start().await;
    group.deliver_late(submission(), None).await;
    assert_eq!(group.state(|state| state.open_jobs().count()), 0);
}

/// Guards against runs of a worker's next life that are taken for lost: a deregistration of its former
/// life was carried out after that life had deregistered through another replica.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_deregistration_has_no_effect() {
    let group = Group::start().await;
    done(&group.near, draining_report(1, true)).await;
    let worker: WorkerId = "w1".parse().expect("a valid id");
    let leave = WorkRequest::Deregister {
        worker: worker.clone(),
    };
    let next_life = draining_report(2, true);
    group.deliver_late(leave, Some(next_life)).await;
    assert!(!group.state(|state| state.has_departed(&worker, WorkerIncarnation(2))));
}

/// Guards against the same on the product's own interface: a release note takes effect after the
/// operator was told that no replica had answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_note_has_no_effect() {
    let group = Group::start().await;
    let first = group.near.apply_note(note(INITIAL_NOTE)).await;
    first.expect("the note is applied");
    let before = group.near.status().await.expect("the leader answers");
    group.relay.cut();
    let answer = group.far.apply_note(deadline_note(2, 7)).await;
    assert_matches!(
        answer,
        Err(ControlError::Uncertain | ControlError::Unreachable)
    );
    group.relay.heal();
    sleep(DELIVERY).await;
    let after = group.near.status().await.expect("the leader answers");
    assert_eq!(after.revision, before.revision);
}

/// A call that is held up for a part of its time is carried out.
#[rstest]
#[case::known_clock(Duration::ZERO)]
#[case::outdated_clock(Duration::from_millis(2_500))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delayed_call_is_carried_out(#[case] idle: Duration) {
    let group = Group::start().await;
    sleep(idle).await;
    group.relay.cut();
    let calling = tokio::spawn({
        let far = group.far.clone();
        async move { far.work(zone(true)).await }
    });
    sleep(Duration::from_millis(100)).await;
    group.relay.heal();
    assert_matches!(calling.await.expect("the call ends"), Ok(WorkAnswer::Done));
    let zone = "senec".parse().expect("a valid id");
    assert!(!group.state(|state| state.is_zone_open(&zone)));
}

/// Guards against a task that runs twice: a deregistration of a worker's former life was held up before
/// a replica read it, and names no life. The next life drains as well, runs the task and is cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deregistration_of_a_former_life_ends_no_runs() {
    let group = Group::start().await;
    let report = |sequence, draining| {
        let WorkRequest::Report(mut report) = draining_report(2, draining) else {
            unreachable!("it is a report");
        };
        report.sequence = Sequence(sequence);
        report
    };
    let accepted = group.near.work(submission()).await;
    assert_matches!(accepted, Ok(WorkAnswer::Done));
    let mut sequence = 0;
    let start = loop {
        sequence += 1;
        let request = WorkRequest::Report(report(sequence, false));
        let answer = group.near.work(request).await;
        let orders = assert_matches!(answer, Ok(WorkAnswer::Orders(orders)) => orders);
        if let Some(start) = orders.starts.into_iter().next() {
            break start;
        }
    };
    for draining in [false, true] {
        sequence += 1;
        let mut report = report(sequence, draining);
        report.remaining_ms = draining.then_some(Millis(2_000));
        report.running.push(ReportedRun {
            task: start.task.clone(),
            run: start.run,
            checkpoint: "".into(),
            percent: 10,
            reading: None,
        });
        done(&group.near, WorkRequest::Report(report)).await;
    }
    let worker: WorkerId = "w1".parse().expect("a valid id");
    let leave = WorkRequest::Deregister {
        worker: worker.clone(),
    };
    done(&group.near, leave).await;
    sleep(LEASE_PART).await;
    let runs = group.state(|state| state.runs_placed_on(&worker).count());
    assert_eq!(runs, 1, "the worker may hold its lease");
}
