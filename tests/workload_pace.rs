//! Filling work beside lasting tasks that serve their own users: slowed down while they miss their target.

#[path = "support/planner_parts.rs"]
mod planner_parts;
#[path = "support/workload_parts.rs"]
mod workload_parts;

use std::sync::Arc;

use marjoramknot::units::{Millis, Sequence, Term, WallMs};
use marjoramknot::workload::{
    Life, ListedRun, Planner, Step, TaskName, WorkerReport, Workload, WorkloadCommand,
};

use planner_parts::options;
use workload_parts::{declaration, job, room, step};

/// The longest time over the target beside filling work that users bear, less a report and its answer.
const HARM_MS: u64 = 4_000 - 500;
const TARGET_MS: u64 = 100;
const REPORT_MS: u64 = 200;

/// A worker with one serving and one filling task, and the leader that paces it.
struct Pair {
    state: Workload,
    planner: Planner,
    now_ms: u64,
    sequence: u64,
}

fn name(index: u16) -> TaskName {
    TaskName {
        job: "job1".parse().expect("an id"),
        occurrence: 0,
        step: index,
        index: 0,
    }
}

impl Pair {
    fn new() -> Self {
        let serving = Step {
            lasting: true,
            latency_target_ms: Some(Millis(TARGET_MS)),
            away_max: Some(0),
            ..step(1, 1)
        };
        let filling = Step {
            fills: true,
            ..step(1, 1)
        };
        let mut state = Workload::default();
        let submit = WorkloadCommand::Submit {
            id: name(0).job,
            host: "ponds.example".into(),
            path: "/batch/job1".into(),
            team: Some("clubs".parse().expect("an id")),
            spec: Arc::new(job(vec![serving, filling])),
        };
        state.apply(
            &WorkloadCommand::Declare(Arc::new(declaration())),
            WallMs(0),
        );
        state.apply(&submit, WallMs(0));
        let planner = Planner::new(options(), Term(1), Millis::ZERO);
        let mut pair = Self {
            state,
            planner,
            now_ms: 0,
            sequence: 0,
        };
        pair.tell(&[]);
        let placed = pair.planner.plan(&pair.state, Millis(10), WallMs(10));
        pair.state
            .apply(&WorkloadCommand::Transitions(placed), WallMs(10));
        pair
    }

    /// Reports what runs with its loads; gives the speed of the filling task, if it was told.
    fn tell(&mut self, loads: &[u64]) -> Option<u32> {
        self.now_ms += REPORT_MS;
        self.sequence += 1;
        let running = (0..).zip(loads).map(|(step, load)| ListedRun {
            task: name(step),
            run: 1,
            saved: "".into(),
            percent: 100,
            load: Some(*load),
        });
        let report = WorkerReport {
            worker: "w1".parse().expect("an id"),
            life: Life(1),
            sequence: Sequence(self.sequence),
            service: "ponds".parse().expect("an id"),
            zone: "senec".parse().expect("an id"),
            rack: Some("r1".into()),
            labels: Vec::new(),
            room: room(8, 8),
            leaving: false,
            stays_ms: None,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.planner
            .report(&report, &self.state, Millis(self.now_ms));
        let orders = self
            .planner
            .answer(&report, Millis(self.now_ms), &self.state);
        let told = orders
            .paces
            .iter()
            .find(|(task, run, _percent)| *task == name(1) && *run == 1);
        assert!(
            orders
                .paces
                .iter()
                .all(|(task, _run, _percent)| *task == name(1)),
            "only filling work is paced"
        );
        told.map(|(_task, _run, percent)| *percent)
    }
}

#[test]
fn filling_work_stands_still_in_time() {
    let mut pair = Pair::new();
    assert_eq!(pair.tell(&[50, 900]), Some(100));
    let from_ms = pair.now_ms;
    while pair.tell(&[3 * TARGET_MS, 900]) != Some(0) {
        assert!(pair.now_ms - from_ms < HARM_MS, "it works on");
    }
}

#[test]
fn filling_work_slows_down_before_the_target_is_missed() {
    let mut pair = Pair::new();
    let mut told = None;
    for _report in 0..10 {
        told = pair.tell(&[TARGET_MS * 9 / 10, 900]);
    }
    assert!(
        told.is_some_and(|percent| (1..60).contains(&percent)),
        "{told:?}"
    );
}

#[test]
fn filling_work_regains_its_speed() {
    let mut pair = Pair::new();
    for _report in 0..20 {
        pair.tell(&[3 * TARGET_MS, 900]);
    }
    let mut told = Vec::new();
    for _report in 0..100 {
        told.extend(pair.tell(&[TARGET_MS / 4, 900]));
    }
    assert!(told.is_sorted(), "it speeds up bit by bit");
    assert_eq!(told.last(), Some(&100));
}

#[test]
fn serving_work_alone_is_not_paced() {
    let mut pair = Pair::new();
    assert_eq!(pair.tell(&[3 * TARGET_MS]), None);
}
