//! Refusals of calls whose earlier attempt may have been carried out.

#[path = "support/control_net.rs"]
mod control_net;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;

use assert_matches::assert_matches;
use control_net::{FakeReplica, Network, SharedLog};
use marjoramknot::control::{Client, ControlError, Result, StateMachine};
use marjoramknot::units::Millis;
use marjoramknot::workload::{
    CallerAnswer, Declaration, QueueOperation, QueueRequest, WorkAnswer, WorkRequest, Workload,
};
use rstest::rstest;
use tokio::time::{Duration, sleep};
use workload_fixtures::{declaration, job, step};

fn call(operation: QueueOperation) -> WorkRequest {
    WorkRequest::Call(QueueRequest {
        host: "ponds.example".into(),
        path: "/batch/job1".into(),
        key: Some("key-clubs".into()),
        operation,
    })
}

fn submission() -> WorkRequest {
    call(QueueOperation::Submit(Arc::new(job(vec![step(1, 1)]))))
}

fn without_key() -> Declaration {
    let mut changed = declaration();
    changed.teams.retain(|team| team.name.as_str() != "clubs");
    changed
}

fn without_queue() -> Declaration {
    let mut changed = declaration();
    changed.queues.retain(|queue| queue.name != "/batch/");
    changed
}

fn key_of_another_team() -> Declaration {
    let mut changed = without_key();
    changed.teams[0].keys.push("key-clubs".into());
    changed
}

async fn declare(client: &Client, declaration: Declaration) {
    let answer = client.work(WorkRequest::Declare(Arc::new(declaration)));
    assert_matches!(answer.await, Ok(WorkAnswer::Done));
}

fn is_known(replica: &FakeReplica) -> bool {
    let id = "job1".parse().expect("a valid id");
    let find = |workload: &Workload| workload.job_number(&id).is_some();
    replica
        .state_machine
        .read(|state: &StateMachine| find(state.workload()))
}

/// Makes a call whose first answer is lost, and changes the declaration before the second attempt.
async fn call_with_lost_answer(
    before: Option<WorkRequest>,
    request: WorkRequest,
    changed: Declaration,
) -> (Result<WorkAnswer>, Arc<FakeReplica>) {
    let log = SharedLog::default();
    let replica = Arc::new(FakeReplica::start(&log).await);
    replica.become_leader(&log, 1);
    let operator = Client::new(vec![replica.address]).with_deadline(Millis(5_000));
    declare(&operator, declaration()).await;
    if let Some(before) = before {
        assert_matches!(operator.work(before).await, Ok(WorkAnswer::Done));
    }
    let network = Network::new(&[Arc::clone(&replica)]);
    let entry = network.client();
    // A call that changes something, after which the next one is sent at once.
    declare(&entry, declaration()).await;
    let faults = network.link_faults(replica.address);
    faults.set(false, true);
    let calling = tokio::spawn(async move { entry.work(request).await });
    sleep(Duration::from_millis(150)).await;
    declare(
        &operator,
        Declaration {
            version: 2,
            ..changed
        },
    )
    .await;
    faults.set(false, false);
    (calling.await.expect("the call ends"), replica)
}

/// Guards against a caller who is told that its job was rejected while the job runs: the answer to
/// the submission is lost, and its key or queue is removed before the entry asks again.
#[rstest]
#[case::key_removed(without_key())]
#[case::queue_removed(without_queue())]
#[case::key_moved(key_of_another_team())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_job_is_not_refused(#[case] changed: Declaration) {
    let (answer, replica) = call_with_lost_answer(None, submission(), changed).await;
    assert!(is_known(&replica), "the first attempt was carried out");
    assert_eq!(answer, Err(ControlError::Uncertain));
}

/// The same for a cancellation, which was carried out.
#[rstest]
#[case::key_removed(without_key())]
#[case::queue_removed(without_queue())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_job_is_not_refused(#[case] changed: Declaration) {
    let cancel = call(QueueOperation::Cancel);
    let (answer, _replica) = call_with_lost_answer(Some(submission()), cancel, changed).await;
    assert_eq!(answer, Err(ControlError::Uncertain));
}

/// A repeated submission that nothing has overtaken gets its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_is_repeated() {
    let (answer, _replica) = call_with_lost_answer(None, submission(), declaration()).await;
    assert_matches!(
        answer,
        Ok(WorkAnswer::Done | WorkAnswer::Call(CallerAnswer::Accepted))
    );
}

/// A question changes nothing, so its refusal is true whenever it is asked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_question_stays_refused() {
    let show = call(QueueOperation::Show);
    let (answer, _replica) = call_with_lost_answer(Some(submission()), show, without_key()).await;
    assert_eq!(answer, Ok(WorkAnswer::Call(CallerAnswer::BadKey)));
}
