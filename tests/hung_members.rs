//! Members of gangs that hang on workers that report as usual, while the other members progress.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;

use marjoramknot::units::{Millis, Sequence, Term, WallMs};
use marjoramknot::workload::{
    Planner, ReportedRun, RunEnd, RunKey, Step, TaskName, Transition, WorkerIncarnation,
    WorkerReport, Workload, WorkloadCommand,
};
use rstest::rstest;

use planner_fixtures::options;
use workload_fixtures::{declaration, job, resources, step};

/// The interval between two reports of a worker.
const REPORT_MS: u64 = 100;
/// The time without progress after which a short task counts as stalled, and a planning pass.
const STALL_MS: u64 = 1_500 + REPORT_MS;

/// Two members of a gang on a worker each, which report what `percent_at` gives for a member and a
/// time.
struct Fleet {
    state: Workload,
    planner: Planner,
    sequence: u64,
}

impl Fleet {
    fn new(jobs: u64) -> Self {
        let mut state = Workload::default();
        let declare = WorkloadCommand::Declare(Arc::new(declaration()));
        state.apply(&declare, WallMs(1_000_000));
        let mut fleet = Self {
            state,
            planner: Planner::new(options(), Term(3), Millis::ZERO),
            sequence: 0,
        };
        for number in 0..jobs {
            fleet.submit(number);
        }
        fleet
    }

    /// Submits an urgent job of one gang with two members.
    fn submit(&mut self, number: u64) {
        let gang = Step {
            gang: true,
            ..step(2, 8)
        };
        self.submit_step(number, gang);
    }

    /// Submits an urgent job of one step.
    fn submit_step(&mut self, number: u64, step: Step) {
        let id = name(number, 0).job;
        let submit = WorkloadCommand::Submit {
            path: format!("/urgent/{id}").into(),
            id,
            host: "ponds.example".into(),
            team: Some("clubs".parse().expect("a valid id")),
            spec: Arc::new(job(vec![step])),
        };
        self.state.apply(&submit, WallMs(1_000_000));
    }

    /// Ends the current run of a member.
    fn end(&mut self, member: &TaskName, end: RunEnd) {
        let task = self.state.task_key(member).expect("the task is known");
        let run = self.state.task(task).expect("the task is known").run;
        let run = RunKey { task, run };
        self.commit(vec![Transition::Ended {
            run,
            end,
            saved: "".into(),
        }]);
    }

    /// The worker on which a member is placed.
    fn place(&self, member: &TaskName) -> Option<String> {
        let task = self.state.task(self.state.task_key(member)?)?;
        Some(task.placement.as_ref()?.worker.to_string())
    }

    /// Sends the report of each worker and returns the tasks that are ordered to stop.
    fn report_all(
        &mut self,
        now: u64,
        workers: u64,
        percent_at: impl Fn(&TaskName, u64) -> Option<u32>,
    ) -> Vec<TaskName> {
        self.sequence += 1;
        let mut stops = Vec::new();
        for worker in 0..workers {
            let id = format!("w{worker}");
            let placed: Vec<TaskName> = (0..3)
                .flat_map(|job| (0..2).map(move |index| name(job, index)))
                .filter(|member| self.place(member).as_ref() == Some(&id))
                .collect();
            let running = placed.into_iter().filter_map(|task| {
                let percent = percent_at(&task, now)?;
                let run = self.state.task(self.state.task_key(&task)?)?.run;
                Some(ReportedRun {
                    task,
                    run,
                    checkpoint: "".into(),
                    percent,
                    reading: None,
                })
            });
            let report = WorkerReport {
                worker: id.parse().expect("a valid id"),
                incarnation: WorkerIncarnation(1),
                sequence: Sequence(self.sequence),
                service: "ponds".parse().expect("a valid id"),
                zone: "senec".parse().expect("a valid id"),
                rack: Some("r1".into()),
                labels: vec!["a".into(), "r1".into()],
                capacity: resources(8, 8),
                clock_ms: None,
                draining: false,
                remaining_ms: None,
                running: running.collect(),
                ended: Vec::new(),
            };
            let reported = self
                .planner
                .handle_report(&report, &self.state, Millis(now));
            self.commit(reported.transitions);
            let orders =
                self.planner
                    .orders_for_report(&report, Millis(now), Millis::ZERO, &self.state);
            stops.extend(orders.stops.into_iter().map(|(task, _run)| task));
        }
        stops
    }

    fn plan(&mut self, now: u64) {
        let wall = WallMs(1_000_000 + now);
        let transitions = self.planner.plan(&self.state, Millis(now), wall);
        self.commit(transitions);
    }

    fn commit(&mut self, transitions: Vec<Transition>) {
        let command = WorkloadCommand::Transitions(transitions);
        self.state.apply(&command, WallMs(5_000));
    }

    /// Lets the gangs run and returns when the first stop is ordered.
    fn first_stop(
        &mut self,
        until: u64,
        workers: u64,
        percent_at: impl Fn(&TaskName, u64) -> Option<u32>,
    ) -> Option<u64> {
        self.report_all(0, workers, |_task, _now| None);
        self.plan(10);
        for now in (REPORT_MS..until).step_by(usize::try_from(REPORT_MS).expect("it is small")) {
            if !self.report_all(now, workers, &percent_at).is_empty() {
                return Some(now);
            }
            self.plan(now + 10);
        }
        None
    }
}

fn name(job: u64, index: u32) -> TaskName {
    TaskName {
        job: format!("job{job}").parse().expect("a valid id"),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// The percentage of a task of three seconds that started at 100 ms.
fn at_speed(now: u64) -> u32 {
    u32::try_from(now.saturating_sub(100) / 30)
        .unwrap_or(100)
        .min(100)
}

/// Guards against a gang that waits until its other members are done before its hung member is
/// noticed: a gang of 3 s was stopped after 4.5 s, and its urgent job was late.
#[rstest]
#[case::from_the_start(0)]
#[case::midway(40)]
fn hung_member_is_noticed(#[case] hangs_at_percent: u32) {
    let mut fleet = Fleet::new(1);
    let percent_at = |task: &TaskName, now| {
        let percent = at_speed(now);
        Some(match task.index {
            0 => percent.min(hangs_at_percent),
            _ => percent,
        })
    };
    let hung_ms = 100 + u64::from(hangs_at_percent) * 30;
    let stopped = fleet.first_stop(10_000, 2, percent_at);
    let stopped_ms = stopped.expect("the gang is stopped");
    assert!(
        stopped_ms <= hung_ms + STALL_MS + 2 * REPORT_MS,
        "hung at {hung_ms} ms, stopped at {stopped_ms} ms"
    );
}

/// A member that needs longer than the others is no reason to stop the gang, nor is one that has
/// done its part and waits.
#[test]
fn uneven_members_are_left_alone() {
    let mut fleet = Fleet::new(1);
    let percent_at = |task: &TaskName, now| {
        Some(match task.index {
            0 => at_speed(now / 4),
            _ => at_speed(now),
        })
    };
    assert_eq!(fleet.first_stop(12_000, 2, percent_at), None);
}

/// A gang whose members all stand still has no member to blame, and its workers are all avoided, as
/// before.
#[test]
fn gang_that_stands_still_is_stopped() {
    let mut fleet = Fleet::new(1);
    let stopped = fleet.first_stop(10_000, 2, |_task, now| Some(at_speed(now).min(40)));
    let stopped_ms = stopped.expect("the gang is stopped");
    assert!(stopped_ms >= 1_300 + 1_500, "stopped at {stopped_ms} ms");
}

/// Guards against a worker on which every gang hangs and that still gets the next one: after two
/// hung members it is quarantined while other workers are free.
#[test]
fn worker_that_hangs_gangs_is_quarantined() {
    const WORKERS: u64 = 8;
    const JOBS: u64 = 3;
    let mut fleet = Fleet::new(0);
    let mut hung: Vec<TaskName> = Vec::new();
    let mut now = REPORT_MS;
    fleet.report_all(now, WORKERS, |_task, _now| None);
    for job in 0..JOBS {
        fleet.submit(job);
        let started_ms = now;
        loop {
            fleet.plan(now + 10);
            now += REPORT_MS;
            let bad: Vec<TaskName> = (0..2)
                .map(|index| name(job, index))
                .filter(|member| fleet.place(member).as_deref() == Some("w0"))
                .collect();
            let stops = fleet.report_all(now, WORKERS, |task, now| {
                let percent = at_speed(now - started_ms + 100);
                Some(if bad.contains(task) { 0 } else { percent })
            });
            if let Some(member) = bad.first().filter(|_| !stops.is_empty()) {
                hung.push(member.clone());
                for index in 0..2 {
                    fleet.end(&name(job, index), RunEnd::Stopped);
                }
                break;
            }
            assert!(
                now - started_ms < 10_000,
                "job {job} neither ends nor hangs"
            );
            if bad.is_empty() && now - started_ms >= 3_000 {
                fleet.end(&name(job, 0), RunEnd::Done);
                break;
            }
        }
    }
    assert_eq!(hung.len(), 2, "gangs that hung on the worker: {hung:?}");
}

/// Guards against a gang that is stopped after the same time in each run, because one member needs
/// longer than that for its first percent, so that it never ends.
#[test]
fn gang_with_a_late_first_percent_ends() {
    const WORKERS: u64 = 8;
    const MEMBER_PERCENT_MS: [u64; 2] = [5_000, 1_200];
    let mut fleet = Fleet::new(1);
    let mut started_ms = REPORT_MS;
    let mut stops = 0;
    let mut is_stopped = false;
    fleet.report_all(0, WORKERS, |_task, _now| None);
    for now in (REPORT_MS..600_000).step_by(usize::try_from(REPORT_MS).expect("it is small")) {
        fleet.plan(now - 10);
        if fleet.place(&name(0, 0)).is_none() || is_stopped {
            started_ms = now;
        }
        let percent_at = |task: &TaskName, now: u64| {
            let percent_ms = MEMBER_PERCENT_MS[task.index as usize];
            let percent = now.saturating_sub(started_ms) / percent_ms;
            Some(u32::try_from(percent).unwrap_or(100).min(100))
        };
        is_stopped = !fleet.report_all(now, WORKERS, percent_at).is_empty();
        if is_stopped {
            stops += 1;
            for index in 0..2 {
                fleet.end(&name(0, index), RunEnd::Stopped);
            }
        } else if now.saturating_sub(started_ms) >= MEMBER_PERCENT_MS[0] * 100 {
            assert!(stops <= 3, "stopped {stops} times");
            return;
        }
    }
    panic!("the gang was stopped {stops} times and did not end");
}

/// Guards against best-effort work that gets no processor time and quarantines its worker, which
/// then takes no other work.
#[rstest]
#[case::best_effort(true)]
#[case::usual(false)]
fn starved_best_effort_work_is_no_failure(#[case] best_effort_cpu: bool) {
    let mut fleet = Fleet::new(0);
    for number in 0..2 {
        let single = Step {
            best_effort_cpu,
            ..step(1, 1)
        };
        fleet.submit_step(number, single);
    }
    let stopped = fleet.first_stop(10_000, 1, |_task, now| Some(at_speed(now).min(40)));
    let stopped_ms = stopped.expect("the tasks are stopped");
    for number in 0..2 {
        fleet.end(&name(number, 0), RunEnd::Stopped);
    }
    fleet.submit_step(2, step(1, 1));
    fleet.plan(stopped_ms + 20);
    let is_placed = fleet.place(&name(2, 0)).is_some();
    assert_eq!(is_placed, best_effort_cpu);
}
