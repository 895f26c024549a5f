//! Workers as the users' pages describe them, round the pure planner and state, on virtual time.
//!
//! Everything follows from the seed. The checks run while the model moves: no two runs of one task at
//! once, nothing again after an acknowledged end, no start without a place, no overfull worker.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::BTreeSet;
use std::sync::Arc;

use super::model_worker::{ModelWorker, Work};
use super::planner_parts::{GANG_WAIT_MS, STOP_MS, options};
use super::workload_parts::declaration;
use marjoramknot::units::{JobId, Millis, Term, WallMs};
use marjoramknot::workload::{
    JobSpec, Phase, Planner, RunEnd, StartOrder, TaskName, Transition, WorkerOrders, WorkerReport,
    Workload, WorkloadCommand,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 10;
/// An answer later than this is dropped by the worker.
const ANSWER_MAX_MS: u64 = 1_000;
/// By how many parts in a thousand a worker's clock may be slow.
const SLOW_PARTS: u64 = 20;

/// What the network does to reports and answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    pub lost_percent: u32,
    pub late_percent: u32,
}

type Held = (usize, WorkerReport, u64);

/// The leader's state and planner, and the workers.
pub struct Model {
    pub now_ms: u64,
    pub state: Workload,
    pub planner: Planner,
    pub workers: Vec<ModelWorker>,
    pub losses: Losses,
    pub starts: u32,
    /// Runs that ended because they were stopped.
    pub stopped: u32,
    pub seed: u64,
    pub work_ms: u64,
    term: u64,
    next_job: u64,
    commands: Vec<WorkloadCommand>,
    transitions: Vec<Transition>,
    in_flight: Option<(u64, Vec<WorkloadCommand>, Vec<Held>)>,
    held: Vec<Held>,
    answers: Vec<(u64, usize, u64, u64, WorkerOrders)>,
    acknowledged: BTreeSet<TaskName>,
    rng: StdRng,
}

impl Model {
    pub fn new(workers: usize, seed: u64) -> Self {
        let mut model = Self {
            now_ms: 0,
            state: Workload::default(),
            planner: Planner::new(options(), Term(1), Millis::ZERO),
            workers: (0..workers).map(ModelWorker::new).collect(),
            losses: Losses::default(),
            starts: 0,
            stopped: 0,
            seed,
            work_ms: 1_500,
            term: 1,
            next_job: 0,
            commands: Vec::new(),
            transitions: Vec::new(),
            in_flight: None,
            held: Vec::new(),
            answers: Vec::new(),
            acknowledged: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        let declare = WorkloadCommand::Declare(Arc::new(declaration()));
        model.state.apply(&declare, WallMs(0));
        model
    }

    pub fn pick(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn wall(&self) -> WallMs {
        WallMs(1_000_000 + self.now_ms)
    }

    pub fn submit(&mut self, prefix: &str, team: &str, spec: JobSpec) -> JobId {
        self.next_job += 1;
        let id: JobId = format!("job{}", self.next_job).parse().expect("an id");
        self.commands.push(WorkloadCommand::Submit {
            id: id.clone(),
            host: "ponds.example".into(),
            path: format!("{prefix}{id}").into(),
            team: Some(team.parse().expect("an id")),
            spec: Arc::new(spec),
        });
        id
    }

    pub fn command(&mut self, command: WorkloadCommand) {
        self.commands.push(command);
    }

    pub fn phase(&self, id: &JobId) -> Option<Phase> {
        let job = self.state.job(self.state.job_number(id)?)?;
        Some(job.phase)
    }

    /// Another leader takes over; what was on its way is committed or not.
    pub fn change_leader(&mut self) {
        if let Some((_due, commands, _held)) = self.in_flight.take()
            && self.chance(50)
        {
            let wall = self.wall();
            for command in &commands {
                self.state.apply(command, wall);
            }
        }
        self.held.clear();
        self.transitions.clear();
        self.term += 1;
        self.planner = Planner::new(options(), Term(self.term), Millis(self.now_ms));
    }

    pub fn run(&mut self, span_ms: u64) {
        let until = self.now_ms + span_ms;
        while self.now_ms < until {
            self.step();
        }
    }

    pub fn run_until(&mut self, most_ms: u64, what: &str, done: impl Fn(&Self) -> bool) {
        let until = self.now_ms + most_ms;
        while !done(self) {
            assert!(
                self.now_ms < until,
                "seed {}: not in time: {what}",
                self.seed
            );
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.move_work();
        self.take_answers();
        for at in 0..self.workers.len() {
            self.send_report(at);
        }
        self.commit();
        if self.now_ms.is_multiple_of(250) {
            self.planner.mark_dirty();
        }
        self.plan();
        self.check_twice();
    }

    fn send_report(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        if worker
            .asked_ms
            .is_some_and(|sent| self.now_ms >= sent + ANSWER_MAX_MS)
        {
            worker.asked_ms = None;
            worker.next_report_ms = self.now_ms;
        }
        if !worker.up || worker.asked_ms.is_some() || self.now_ms < worker.next_report_ms {
            return;
        }
        worker.asked_ms = Some(self.now_ms);
        let report = worker.report(self.work_ms);
        let is_lost = worker.cut;
        if is_lost || self.chance(self.losses.lost_percent) {
            return;
        }
        let now = Millis(self.now_ms);
        let reported = self.planner.handle_report(&report, &self.state, now);
        if !reported.is_current {
            return;
        }
        let waits = !reported.transitions.is_empty();
        self.transitions.extend(reported.transitions);
        if waits {
            self.held.push((at, report, self.now_ms));
        } else {
            self.answer((at, report, self.now_ms));
        }
    }

    fn answer(&mut self, (at, report, received_ms): Held) {
        let orders = self
            .planner
            .orders_for_report(&report, Millis(received_ms), &self.state);
        let late = self.chance(self.losses.late_percent);
        let delay = if late { 1_200 } else { 10 };
        if !self.chance(self.losses.lost_percent) {
            let (life, sequence) = (report.incarnation.0, report.sequence.get());
            self.answers
                .push((self.now_ms + delay, at, life, sequence, orders));
        }
    }

    fn take_answers(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= now_ms);
        self.answers = later;
        for (_at, at, life, sequence, orders) in due {
            self.take_answer(at, life, sequence, orders);
        }
    }

    fn take_answer(&mut self, at: usize, life: u64, sequence: u64, orders: WorkerOrders) {
        let worker = &mut self.workers[at];
        let Some(sent) = worker.asked_ms else {
            return;
        };
        let is_current = worker.up && worker.life == life && worker.sequence == sequence;
        if !is_current || worker.cut || orders.term < worker.term {
            return;
        }
        worker.asked_ms = None;
        worker.term = orders.term;
        worker.next_report_ms = self.now_ms + orders.report_after_ms.get();
        let Some(lease) = orders.lease_ms else {
            return;
        };
        let slow = lease.get() * SLOW_PARTS / 1_000;
        worker.lease_until_ms = worker.lease_until_ms.max(sent + lease.get() + slow);
        for end in &worker.ended {
            if end.number <= orders.acknowledged && end.end == RunEnd::Done {
                self.acknowledged.insert(end.task.clone());
            }
        }
        worker.ended.retain(|end| end.number > orders.acknowledged);
        for (task, run) in orders.stops {
            let highest = worker.refused_up_to.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            let work = worker.runs.get_mut(&task).filter(|work| work.run == run);
            if let Some(work) = work {
                work.stops_at_ms.get_or_insert(self.now_ms + STOP_MS);
            }
        }
        for start in orders.starts {
            self.start(at, &start);
        }
    }

    fn start(&mut self, at: usize, start: &StartOrder) {
        let seed = self.seed;
        assert!(
            !self.acknowledged.contains(&start.task),
            "seed {seed}: {} again",
            start.task
        );
        let worker = &mut self.workers[at];
        let refused = worker.refused_up_to.get(&start.task).copied().unwrap_or(0);
        if worker.runs.contains_key(&start.task) || start.run <= refused {
            return;
        }
        self.starts += 1;
        worker.runs.insert(
            start.task.clone(),
            Work {
                run: start.run,
                since_ms: self.now_ms,
                worked_ms: 0,
                stops_at_ms: None,
            },
        );
        worker.next_report_ms = worker.next_report_ms.min(self.now_ms + 200);
        let used: u64 = worker
            .runs
            .keys()
            .map(|task| self.state.task_key(task))
            .map(|key| {
                let step = key.and_then(|key| self.state.step(key.step));
                step.map_or(0, |(step, _tasks)| step.demand.accelerators)
            })
            .sum();
        assert!(
            used <= 8,
            "seed {seed}: {} holds {used} accelerators",
            self.workers[at].id
        );
    }

    /// Members of a gang work only while all of them are present.
    fn present(&self, task: &TaskName, run: u32) -> bool {
        let Some(key) = self.state.task_key(task) else {
            return true;
        };
        let Some((step, _tasks)) = self.state.step(key.step) else {
            return true;
        };
        if !step.gang {
            return true;
        }
        let works = |index| {
            let member = TaskName {
                index,
                ..task.clone()
            };
            self.workers.iter().any(|worker| {
                worker.up && worker.runs.get(&member).is_some_and(|work| work.run == run)
            })
        };
        (0..step.tasks).all(works)
    }

    fn move_work(&mut self) {
        let listed: Vec<(usize, TaskName, u32)> = self
            .workers
            .iter()
            .enumerate()
            .flat_map(|(at, worker)| {
                let runs = worker.runs.iter();
                runs.map(move |(task, work)| (at, task.clone(), work.run))
            })
            .collect();
        for (at, task, run) in listed {
            let present = self.present(&task, run);
            let worker = &mut self.workers[at];
            let Some(work) = worker.runs.get_mut(&task) else {
                continue;
            };
            let end = if self.now_ms > worker.lease_until_ms {
                Some(RunEnd::Lapsed)
            } else if work.stops_at_ms.is_some_and(|stop| self.now_ms >= stop) {
                Some(RunEnd::Stopped)
            } else if worker.broken && self.now_ms > work.since_ms + 100 {
                Some(RunEnd::Failed)
            } else if present {
                work.worked_ms += STEP_MS;
                (work.worked_ms >= self.work_ms).then_some(RunEnd::Done)
            } else if work.worked_ms > 0 {
                Some(RunEnd::Broken)
            } else {
                let waited = self.now_ms - work.since_ms;
                (waited > GANG_WAIT_MS).then_some(RunEnd::Alone)
            };
            if let Some(end) = end {
                self.stopped += u32::from(end == RunEnd::Stopped);
                worker.end(&task, end);
                worker.next_report_ms = worker.next_report_ms.min(self.now_ms + 50);
            }
        }
    }

    fn commit(&mut self) {
        let is_due = self
            .in_flight
            .as_ref()
            .is_some_and(|(due, ..)| *due <= self.now_ms);
        if !is_due {
            return;
        }
        let Some((_due, commands, held)) = self.in_flight.take() else {
            return;
        };
        let wall = self.wall();
        for command in &commands {
            self.state.apply(command, wall);
        }
        self.planner.mark_dirty();
        for held in held {
            self.answer(held);
        }
    }

    fn plan(&mut self) {
        if self.in_flight.is_some() {
            return;
        }
        let (now, wall) = (Millis(self.now_ms), self.wall());
        let mut transitions = std::mem::take(&mut self.transitions);
        if self.planner.is_dirty() {
            transitions.extend(self.planner.expire_leases(&self.state, now));
            transitions.extend(self.planner.due_occurrences(&self.state, wall));
            transitions.extend(self.planner.plan(&self.state, now, wall));
            transitions.extend(self.planner.withdraw_unstarted(&self.state));
        }
        let mut commands = std::mem::take(&mut self.commands);
        if !transitions.is_empty() {
            commands.push(WorkloadCommand::Transitions(transitions));
        }
        if commands.is_empty() {
            return;
        }
        let delay = self.rng.random_range(5..40);
        let held = std::mem::take(&mut self.held);
        self.in_flight = Some((self.now_ms + delay, commands, held));
    }

    fn check_twice(&self) {
        let mut running = BTreeSet::new();
        for worker in self.workers.iter().filter(|worker| worker.up) {
            for task in worker.runs.keys() {
                assert!(
                    running.insert(task.clone()),
                    "seed {}: two runs of {task} at {} ms",
                    self.seed,
                    self.now_ms
                );
            }
        }
    }

    /// The state is what a snapshot of it restores.
    pub fn check_snapshot(&self) {
        let bytes = postcard::to_allocvec(&self.state).expect("a state encodes");
        let mut restored: Workload = postcard::from_bytes(&bytes).expect("a state decodes");
        restored.rebuild_index();
        assert_eq!(restored, self.state, "seed {}", self.seed);
    }
}
