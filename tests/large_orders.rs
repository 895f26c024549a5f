//! Orders to one worker that are too large for one answer.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/planner_session.rs"]
mod planner_session;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::collections::BTreeMap;
use std::sync::Arc;

use marjoramknot::units::{Millis, WallMs};
use marjoramknot::workload::{
    JobSpec, ReportedRun, Resources, Step, TaskName, WorkerOrders, WorkerReport, WorkloadCommand,
};
use rstest::rstest;

use planner_session::PlannerSession;
use workload_fixtures::{job, step};

/// The largest payload that the platform accepts.
const PAYLOAD_BYTES: usize = 4_000;
/// The largest answer that workers accept.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// JSON takes six bytes for a control character.
const JSON_BYTES_MAX: usize = 6;

/// A job of many small tasks that all fit on one worker.
fn large_job(tasks: u32, gang: bool) -> JobSpec {
    let step = Step {
        gang,
        demand: Resources {
            cpu_millicores: 1,
            ..Resources::ZERO
        },
        estimate_ms: Millis(60_000),
        ..step(tasks, 0)
    };
    JobSpec {
        payload: "\u{1}".repeat(PAYLOAD_BYTES).into(),
        ..job(vec![step])
    }
}

fn largest_bytes(orders: &WorkerOrders) -> usize {
    let texts = orders
        .starts
        .iter()
        .map(|start| start.payload.len() + start.checkpoint.len());
    texts.sum::<usize>() * JSON_BYTES_MAX
}

/// A worker that starts all that it is ordered to, and reports when it is told to.
struct LargeWorker {
    session: PlannerSession,
    running: BTreeMap<TaskName, u32>,
    now_ms: u64,
}

impl LargeWorker {
    fn report(&mut self) -> WorkerReport {
        let running = self.running.iter().map(|(task, run)| ReportedRun {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: 0,
            reading: None,
        });
        WorkerReport {
            running: running.collect(),
            ..self.session.next_report(0)
        }
    }

    fn exchange(&mut self) -> WorkerOrders {
        let report = self.report();
        let orders = self.session.exchange(&report, self.now_ms);
        assert!(largest_bytes(&orders) < ANSWER_BYTES_MAX);
        assert_eq!(orders.stops, []);
        for start in &orders.starts {
            self.running.insert(start.task.clone(), start.run);
        }
        self.now_ms += orders.report_after_ms.get();
        self.session.plan(self.now_ms);
        orders
    }
}

/// Guards against a job that is never started because the starts on one worker exceed the answer that
/// the worker accepts. A gang must be complete before its members give up waiting.
#[rstest]
#[case::tasks(false)]
#[case::gang(true)]
fn starts_are_spread_over_answers(#[case] gang: bool) {
    let mut session = PlannerSession::new(planner_fixtures::options(), large_job(1_500, gang));
    let idle = session.next_report(0);
    session.exchange(&idle, 10);
    session.plan(20);
    assert_eq!(session.placed_on(0).len(), 1_500);
    let mut worker = LargeWorker {
        session,
        running: BTreeMap::new(),
        now_ms: 30,
    };
    while worker.running.len() < 1_500 {
        assert!(
            worker.now_ms < 3_000,
            "{} are started",
            worker.running.len()
        );
        worker.exchange();
    }
    assert_eq!(worker.exchange().starts, []);
}

/// Urgent work does not wait behind the starts of a large job that was accepted before.
#[test]
fn urgent_starts_come_first() {
    let mut session = PlannerSession::new(planner_fixtures::options(), large_job(1_500, false));
    let urgent = WorkloadCommand::Submit {
        id: "job2".parse().expect("a valid id"),
        host: "ponds.example".into(),
        path: "/urgent/job2".into(),
        team: Some("judges".parse().expect("a valid id")),
        spec: Arc::new(large_job(2, false)),
    };
    session.state.apply(&urgent, WallMs(1_000_000));
    let idle = session.next_report(0);
    session.exchange(&idle, 10);
    session.plan(20);
    let orders = session.idle(0, 30);
    let jobs = orders.starts.iter().map(|start| start.task.job.as_str());
    assert_eq!(jobs.take(3).collect::<Vec<_>>(), ["job2", "job2", "job1"]);
}
