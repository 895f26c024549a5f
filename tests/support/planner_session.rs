//! A planner with the state of one job, driven report by report.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::BTreeMap;
use std::sync::Arc;

use marjoramknot::units::{JobId, Millis, Sequence, Term, WallMs, WorkerId};
use marjoramknot::workload::{
    JobSpec, Planner, PlannerOptions, ReportedEnd, ReportedRun, RunEnd, RunKey, TaskName,
    Transition, WorkerIncarnation, WorkerOrders, WorkerReport, Workload, WorkloadCommand,
};

use super::workload_fixtures::{declaration, resources};

/// The wall clock at time 0 of the planner.
const WALL_START_MS: u64 = 1_000_000;

pub struct PlannerSession {
    pub state: Workload,
    pub planner: Planner,
    options: PlannerOptions,
    job: JobId,
    term: u64,
    sequences: BTreeMap<u32, u64>,
    /// The racks of workers that are not in `r1`.
    pub racks: BTreeMap<u32, &'static str>,
    /// How often each worker has restarted.
    restarts: BTreeMap<u32, u64>,
}

pub fn worker_id(worker: u32) -> WorkerId {
    format!("w{worker}").parse().expect("a valid id")
}

impl PlannerSession {
    /// A state with one accepted job, and a planner whose leadership begins at 0.
    pub fn new(options: PlannerOptions, spec: JobSpec) -> Self {
        let mut session = Self {
            state: Workload::default(),
            planner: Planner::new(options.clone(), Term(1), Millis::ZERO),
            options,
            job: "job1".parse().expect("a valid id"),
            term: 1,
            sequences: BTreeMap::new(),
            racks: BTreeMap::new(),
            restarts: BTreeMap::new(),
        };
        let declare = WorkloadCommand::Declare(Arc::new(declaration()));
        session.state.apply(&declare, WallMs(WALL_START_MS));
        session.submit("job1", spec);
        session
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        let submit = WorkloadCommand::Submit {
            id: id.parse().expect("a valid id"),
            host: "ponds.example".into(),
            path: format!("/batch/{id}").into(),
            team: Some("clubs".parse().expect("a valid id")),
            spec: Arc::new(spec),
        };
        self.state.apply(&submit, WallMs(WALL_START_MS));
    }

    pub fn change_leader(&mut self, now_ms: u64) {
        self.term += 1;
        self.planner = Planner::new(self.options.clone(), Term(self.term), Millis(now_ms));
    }

    pub fn commit(&mut self, transitions: Vec<Transition>) {
        let command = WorkloadCommand::Transitions(transitions);
        self.state.apply(&command, WallMs(WALL_START_MS));
    }

    /// Runs a planning pass and commits its transitions.
    pub fn plan(&mut self, now_ms: u64) {
        let (now, wall) = (Millis(now_ms), WallMs(WALL_START_MS + now_ms));
        let mut transitions = self.planner.expire_leases(&self.state, now);
        transitions.extend(self.planner.plan(&self.state, now, wall));
        transitions.extend(self.planner.withdraw_unstarted(&self.state));
        self.commit(transitions);
    }

    /// The runs that are placed on a worker.
    pub fn placed_on(&self, worker: u32) -> Vec<RunKey> {
        let placed = self.state.runs_placed_on(&worker_id(worker));
        placed.map(|(run, _incarnation)| run).collect()
    }

    /// The next report of a worker, without runs and ends.
    pub fn next_report(&mut self, worker: u32) -> WorkerReport {
        let rack = self.racks.get(&worker).copied().unwrap_or("r1");
        let sequence = self.sequences.entry(worker).or_default();
        *sequence += 1;
        WorkerReport {
            worker: worker_id(worker),
            incarnation: WorkerIncarnation(1 + self.restarts.get(&worker).unwrap_or(&0)),
            sequence: Sequence(*sequence),
            service: "ponds".parse().expect("a valid id"),
            zone: "senec".parse().expect("a valid id"),
            rack: Some(rack.into()),
            labels: vec!["a".into(), rack.into()],
            capacity: resources(8, 8),
            clock_ms: None,
            draining: false,
            remaining_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// The same of the life with this number.
    pub fn next_report_of_life(&mut self, worker: u32, life: u64) -> WorkerReport {
        self.restarts.insert(worker, life - 1);
        self.next_report(worker)
    }

    /// Handles a report, commits its transitions and returns the orders.
    pub fn exchange(&mut self, report: &WorkerReport, now_ms: u64) -> WorkerOrders {
        let now = Millis(now_ms);
        let reported = self.planner.handle_report(report, &self.state, now);
        assert!(reported.is_current, "a report is older than another one");
        self.commit(reported.transitions);
        let state = &self.state;
        self.planner
            .orders_for_report(report, now, Millis::ZERO, state)
    }

    /// A worker reports for the first time after a restart.
    pub fn restarted(&mut self, worker: u32, now_ms: u64) -> WorkerOrders {
        *self.restarts.entry(worker).or_default() += 1;
        self.idle(worker, now_ms)
    }

    /// Workers report that nothing runs on them.
    pub fn all_idle(&mut self, workers: std::ops::Range<u32>, now_ms: u64) {
        for worker in workers {
            self.idle(worker, now_ms);
        }
    }

    /// A worker reports that nothing runs on it.
    pub fn idle(&mut self, worker: u32, now_ms: u64) -> WorkerOrders {
        let report = self.next_report(worker);
        self.exchange(&report, now_ms)
    }

    /// A worker reports that it is draining and that nothing runs on it.
    pub fn draining(&mut self, worker: u32, now_ms: u64) -> WorkerOrders {
        let mut report = self.next_report(worker);
        report.draining = true;
        self.exchange(&report, now_ms)
    }

    /// A worker reports its placed runs as running.
    pub fn running(&mut self, worker: u32, now_ms: u64, percent: u32) -> WorkerOrders {
        let mut report = self.next_report(worker);
        report.running = self.listed_runs(worker, percent);
        self.exchange(&report, now_ms)
    }

    /// How a worker lists its placed runs as running.
    pub fn listed_runs(&self, worker: u32, percent: u32) -> Vec<ReportedRun> {
        let placed = self.placed_on(worker).into_iter();
        let running = placed.map(|run| ReportedRun {
            task: self.name(run),
            run: run.run,
            checkpoint: "".into(),
            percent,
            reading: None,
        });
        running.collect()
    }

    /// A worker reports the ends of its placed runs.
    pub fn ended(&mut self, worker: u32, now_ms: u64, end: RunEnd) -> WorkerOrders {
        self.ended_with(worker, now_ms, end, "")
    }

    /// The same with the checkpoint that the runs have saved.
    pub fn ended_with(
        &mut self,
        worker: u32,
        now_ms: u64,
        end: RunEnd,
        checkpoint: &str,
    ) -> WorkerOrders {
        let mut report = self.next_report(worker);
        report.ended = self.listed_ends(worker, end, checkpoint);
        self.exchange(&report, now_ms)
    }

    /// How a worker lists the ends of its placed runs.
    pub fn listed_ends(&self, worker: u32, end: RunEnd, checkpoint: &str) -> Vec<ReportedEnd> {
        let placed = self.placed_on(worker).into_iter();
        let ended = placed.zip(1..).map(|(run, number)| ReportedEnd {
            number,
            task: self.name(run),
            run: run.run,
            end,
            checkpoint: checkpoint.into(),
        });
        ended.collect()
    }

    /// How the planner ends the only run placed on a worker at `now_ms`, if it does.
    pub fn lost(&mut self, worker: u32, now_ms: u64) -> Option<RunEnd> {
        let placed = self.placed_on(worker);
        let transitions = self.planner.expire_leases(&self.state, Millis(now_ms));
        transitions
            .into_iter()
            .find_map(|transition| match transition {
                Transition::Ended { run, end, .. } if placed.contains(&run) => Some(end),
                _ => None,
            })
    }

    fn name(&self, run: RunKey) -> TaskName {
        TaskName {
            job: self.job.clone(),
            occurrence: run.task.step.occurrence,
            step: run.task.step.step,
            index: run.task.index,
        }
    }
}
