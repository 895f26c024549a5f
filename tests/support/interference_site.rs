//! Workers whose serving tasks are slowed down by certain images beside them, around a planner and
//! the replicated state in virtual time. The workers obey rates.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::BTreeMap;
use std::sync::Arc;

use marjoramknot::units::{JobId, Millis, Sequence, Term, WallMs};
use marjoramknot::workload::{
    JobSpec, Planner, PlannerOptions, ReportedEnd, ReportedRun, RunEnd, RunReading, Step, TaskName,
    WorkerIncarnation, WorkerOrders, WorkerReport, Workload, WorkloadCommand,
};

use super::workload_fixtures::{declaration, job, resources};

pub const TICK_MS: u64 = 50;
/// The tail of a serving task that nothing slows down, and its target.
pub const TAIL_MS: u64 = 40;
pub const TARGET_MS: u64 = 60;
/// How much slower serving tasks are beside a task of the image "noisy" at its full rate.
const SLOWDOWN_PERCENT: u64 = 150;
/// How long a rate takes to have an effect, and the period that a reading covers.
const PACE_MS: u64 = 100;
const READING_MS: u64 = 500;

#[derive(Clone, Debug)]
pub struct SiteRun {
    pub run: u32,
    pub started_ms: u64,
    pub percent: u32,
    /// The rate that is ordered, and the one in effect, with the time from which it is.
    pub rate: u32,
    next_rate: (u64, u32),
    /// The tails of the last half second.
    tails: Vec<u64>,
    missed_since_ms: Option<u64>,
}

#[derive(Debug)]
pub struct SiteWorker {
    pub number: usize,
    pub incarnation: u64,
    pub loses_answers: bool,
    /// How much slower all of its tasks are, in percent, whatever runs beside them.
    pub slow_percent: u64,
    sequence: u64,
    next_report_ms: u64,
    pub runs: BTreeMap<TaskName, SiteRun>,
    pub ended: Vec<ReportedEnd>,
    end_number: u64,
    pub last_orders: WorkerOrders,
}

pub struct Site {
    pub now_ms: u64,
    pub state: Workload,
    pub planner: Planner,
    pub workers: Vec<SiteWorker>,
    /// How long a working task runs.
    pub duration_ms: u64,
    pub report_ms: u64,
    /// The longest time for which a serving task missed its target.
    pub longest_miss_ms: u64,
    next_job: u32,
    term: u64,
}

pub fn serving(tasks: u32) -> Step {
    Step {
        tasks,
        demand: resources(2, 0),
        long_running: true,
        image: Some("shop".into()),
        latency_target_ms: Some(Millis(TARGET_MS)),
        per_worker_max: Some(1),
        ..Step::default()
    }
}

pub fn working(tasks: u32, image: &str) -> Step {
    Step {
        tasks,
        demand: resources(1, 0),
        estimate_ms: Millis(15_000),
        image: Some(image.into()),
        per_worker_max: Some(1),
        ..Step::default()
    }
}

pub fn best_effort(tasks: u32, image: &str) -> Step {
    Step {
        best_effort_cpu: true,
        ..working(tasks, image)
    }
}

impl Site {
    pub fn new(workers: usize, options: &PlannerOptions) -> Self {
        let mut state = Workload::default();
        let declare = WorkloadCommand::Declare(Arc::new(declaration()));
        state.apply(&declare, WallMs(1_000_000));
        let worker = |number| SiteWorker {
            number,
            incarnation: 1,
            loses_answers: false,
            slow_percent: 0,
            sequence: 0,
            next_report_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            end_number: 0,
            last_orders: WorkerOrders::default(),
        };
        Self {
            now_ms: 0,
            state,
            planner: Planner::new(options.clone(), Term(1), Millis::ZERO),
            workers: (0..workers).map(worker).collect(),
            duration_ms: 15_000,
            report_ms: 200,
            longest_miss_ms: 0,
            next_job: 0,
            term: 1,
        }
    }

    pub fn change_leader(&mut self, options: &PlannerOptions) {
        self.term += 1;
        let now = Millis(self.now_ms);
        self.planner = Planner::new(options.clone(), Term(self.term), now);
    }

    pub fn submit(&mut self, step: Step) -> JobId {
        self.submit_spec(job(vec![step]))
    }

    fn submit_spec(&mut self, spec: JobSpec) -> JobId {
        self.next_job += 1;
        let id: JobId = format!("job{}", self.next_job).parse().expect("a valid id");
        let submit = WorkloadCommand::Submit {
            id: id.clone(),
            host: "ponds.example".into(),
            path: format!("/batch/{id}").into(),
            team: Some("clubs".parse().expect("a valid id")),
            spec: Arc::new(spec),
        };
        self.state.apply(&submit, self.wall());
        self.planner.mark_dirty();
        id
    }

    pub fn cancel(&mut self, id: &str) {
        let id = id.parse().expect("a valid id");
        let job = self.state.job_number(&id).expect("the job is known");
        self.state
            .apply(&WorkloadCommand::Cancel { job }, self.wall());
    }

    fn wall(&self) -> WallMs {
        WallMs(1_000_000 + self.now_ms)
    }

    pub fn run(&mut self, span_ms: u64) {
        let until = self.now_ms + span_ms;
        while self.now_ms < until {
            self.now_ms += TICK_MS;
            for at in 0..self.workers.len() {
                self.advance(at);
                if self.now_ms >= self.workers[at].next_report_ms {
                    self.workers[at].next_report_ms = self.now_ms + self.report_ms;
                    self.report(at);
                }
            }
            let (now, wall) = (Millis(self.now_ms), self.wall());
            let mut transitions = self.planner.expire_leases(&self.state, now);
            transitions.extend(self.planner.plan(&self.state, now, wall));
            transitions.extend(self.planner.withdraw_unstarted(&self.state));
            self.state
                .apply(&WorkloadCommand::Transitions(transitions), wall);
        }
    }

    fn step(&self, task: &TaskName) -> Option<Step> {
        let key = self.state.task_key(task)?;
        Some(self.state.step(key.step)?.0.clone())
    }

    fn advance(&mut self, at: usize) {
        let steps: BTreeMap<TaskName, Option<Step>> = self.workers[at]
            .runs
            .keys()
            .map(|task| (task.clone(), self.step(task)))
            .collect();
        let now_ms = self.now_ms;
        let worker = &mut self.workers[at];
        let mut noise = 0;
        for (task, run) in &mut worker.runs {
            if now_ms >= run.next_rate.0 {
                run.rate = run.next_rate.1;
            }
            let step = steps[task].as_ref();
            let image = step.and_then(|step| step.image.as_deref());
            if image == Some("noisy") {
                noise += SLOWDOWN_PERCENT * u64::from(run.rate) / 100;
            }
        }
        let mut done = Vec::new();
        for (task, run) in &mut worker.runs {
            let Some(step) = steps[task].as_ref() else {
                continue;
            };
            if step.long_running {
                let alone = TAIL_MS * (100 + worker.slow_percent) / 100;
                let tail = alone * (100 + noise) / 100;
                let readings = usize::try_from(READING_MS / TICK_MS).expect("it is small");
                run.tails.push(tail);
                let surplus = run.tails.len().saturating_sub(readings);
                run.tails.drain(..surplus);
                let is_missed = tail > TARGET_MS && alone <= TARGET_MS;
                let since = run.missed_since_ms.get_or_insert(now_ms);
                if is_missed {
                    self.longest_miss_ms = self.longest_miss_ms.max(now_ms - *since);
                } else {
                    run.missed_since_ms = None;
                }
                continue;
            }
            let ran_ms = now_ms - run.started_ms;
            let percent = ran_ms * 100 / self.duration_ms;
            run.percent = u32::try_from(percent.min(100)).expect("it is small");
            if ran_ms >= self.duration_ms {
                done.push((task.clone(), run.run));
            }
        }
        for (task, run) in done {
            worker.runs.remove(&task);
            worker.end(task, run, RunEnd::Done);
        }
    }

    fn report(&mut self, at: usize) {
        let report = self.workers[at].report();
        let now = Millis(self.now_ms);
        let reported = self.planner.handle_report(&report, &self.state, now);
        assert!(reported.is_current);
        let transitions = WorkloadCommand::Transitions(reported.transitions);
        self.state.apply(&transitions, self.wall());
        let orders = self
            .planner
            .orders_for_report(&report, now, Millis::ZERO, &self.state);
        self.check_rates(&report, &orders);
        self.planner.mark_dirty();
        let worker = &mut self.workers[at];
        worker.last_orders = orders.clone();
        if !worker.loses_answers {
            worker.obey(orders, self.now_ms);
        }
    }

    /// No rate for a run that is not placed on the worker, that is stopped, or that is not a
    /// best-effort one.
    fn check_rates(&self, report: &WorkerReport, orders: &WorkerOrders) {
        for rate in &orders.rates {
            let key = self.state.task_key(&rate.task).expect("the task is known");
            let mut placed = self.state.runs_placed_on(&report.worker);
            let is_here = placed.any(|(run, incarnation)| {
                run.task == key && run.run == rate.run && incarnation == report.incarnation
            });
            let is_stopped = orders.stops.contains(&(rate.task.clone(), rate.run));
            assert!(is_here && !is_stopped, "{rate:?}");
            let step = self.step(&rate.task).expect("the step is known");
            assert!(step.best_effort_cpu && rate.percent <= 100, "{rate:?}");
        }
    }
}

impl SiteWorker {
    fn report(&mut self) -> WorkerReport {
        self.sequence += 1;
        let running = self.runs.iter().map(|(task, run)| {
            let reading = run.tails.iter().max().copied().unwrap_or(800);
            ReportedRun {
                task: task.clone(),
                run: run.run,
                checkpoint: "".into(),
                percent: run.percent,
                reading: Some(RunReading(u32::try_from(reading).expect("it is small"))),
            }
        });
        WorkerReport {
            worker: format!("w{}", self.number).parse().expect("a valid id"),
            incarnation: WorkerIncarnation(self.incarnation),
            sequence: Sequence(self.sequence),
            service: "ponds".parse().expect("a valid id"),
            zone: "senec".parse().expect("a valid id"),
            rack: Some("r1".into()),
            labels: vec!["a".into(), "r1".into()],
            capacity: resources(16, 8),
            clock_ms: None,
            draining: false,
            remaining_ms: None,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    fn end(&mut self, task: TaskName, run: u32, end: RunEnd) {
        self.end_number += 1;
        self.ended.push(ReportedEnd {
            number: self.end_number,
            task,
            run,
            end,
            checkpoint: "".into(),
        });
    }

    fn obey(&mut self, orders: WorkerOrders, now_ms: u64) {
        self.ended.retain(|end| end.number > orders.acknowledged);
        for start in orders.starts {
            self.runs.entry(start.task).or_insert(SiteRun {
                run: start.run,
                started_ms: now_ms,
                percent: 0,
                rate: 100,
                next_rate: (now_ms, 100),
                tails: Vec::new(),
                missed_since_ms: None,
            });
        }
        for (task, run) in orders.stops {
            if self.runs.remove(&task).is_some() {
                self.end(task, run, RunEnd::Stopped);
            }
        }
        for rate in orders.rates {
            if let Some(run) = self.runs.get_mut(&rate.task)
                && run.next_rate.1 != rate.percent
            {
                run.next_rate = (now_ms + PACE_MS, rate.percent);
            }
        }
    }
}
