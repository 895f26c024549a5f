//! Simulates workers that follow the documented worker protocol around the planner and the
//! replicated state, in virtual time.
//!
//! All randomness follows from the seed. Checks run during the simulation: no two runs of a task at
//! the same time, no start after an acknowledged end, and no worker with more accelerators in use
//! than it has.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::planner_fixtures::options;
use super::simulated_worker::{SimulatedRun, SimulatedWorker};
use super::workload_fixtures::declaration;
use marjoramknot::units::{JobId, Millis, Term, WallMs};
use marjoramknot::workload::{
    JobSpec, Phase, Planner, PlannerOptions, RunEnd, StartOrder, TaskName, Transition,
    WorkerOrders, WorkerReport, Workload, WorkloadCommand,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK_MS: u64 = 10;
/// The attempts that the queues of the declaration grant.
const ATTEMPTS_MAX: usize = 3;
/// Workers drop answers that arrive later than this, by their own clocks.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// How much slower a worker's clock may run than the leader's, in parts per thousand.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;
/// The longest time on the way of an answer that is delayed. Some are received just before workers
/// would drop them.
const ANSWER_DELAY_MAX_MS: u64 = 1_200;

/// How long a span on a worker's clock may last by the leader's clock.
const fn on_slow_clock(span_ms: u64) -> u64 {
    span_ms + span_ms * CLOCK_DRIFT_PER_MILLE / 1_000
}

/// The probabilities that the network loses or delays messages.
#[derive(Clone, Copy, Debug, Default)]
#[expect(
    clippy::struct_field_names,
    reason = "each is a probability in percent, and a field carries its unit"
)]
pub struct NetworkFaults {
    pub lost_percent: u32,
    pub delayed_percent: u32,
    /// Batches that the group refuses, for example because the leader's disk is full.
    pub refused_percent: u32,
}

/// A report, its worker and the times of its sending and receipt.
#[derive(Clone)]
struct PendingReport {
    at: usize,
    /// The worker's life that sent it.
    life: u64,
    report: WorkerReport,
    sent_ms: u64,
    received_ms: u64,
}

/// Orders on their way to a worker.
struct PendingOrders {
    due_ms: u64,
    at: usize,
    /// The life and number of the report that they answer.
    incarnation: u64,
    sequence: u64,
    sent_ms: u64,
    orders: WorkerOrders,
}

/// A leader's state and planner together with simulated workers.
pub struct Simulation {
    pub now_ms: u64,
    pub state: Workload,
    pub planner: Planner,
    pub workers: Vec<SimulatedWorker>,
    pub network_faults: NetworkFaults,
    pub starts: u32,
    /// Runs that ended because they were stopped.
    pub stopped: u32,
    /// The progress of runs that ended without success.
    pub discarded_ms: u64,
    pub seed: u64,
    pub run_duration_ms: u64,
    /// How much longer than `run_duration_ms` some tasks run.
    pub duration_spread_ms: u64,
    /// The run times of some jobs' tasks, in place of the two above.
    pub job_durations_ms: BTreeMap<JobId, u64>,
    /// How far the run times of the single tasks of such a job are apart, in percent.
    pub task_spread_percent: u64,
    /// How many times as long a gang takes that wants one rack and is spread over several.
    pub far_factor: u64,
    /// Jobs of which the first task of each step always fails.
    pub failing_jobs: BTreeSet<JobId>,
    /// How long a run works that fails.
    pub failure_delay_ms: u64,
    /// Whether a worker takes answers to the reports of its former lives.
    pub answers_cross_lives: bool,
    /// Whether workers list the starts that they refuse.
    pub lists_refusals: bool,
    options: PlannerOptions,
    term: u64,
    next_job: u64,
    commands: Vec<WorkloadCommand>,
    transitions: Vec<Transition>,
    in_flight: Option<(u64, Vec<WorkloadCommand>, Vec<PendingReport>)>,
    awaiting_commit: Vec<PendingReport>,
    answers: Vec<PendingOrders>,
    acknowledged: BTreeSet<TaskName>,
    /// Tasks that were started although a worker that still holds its lease has ended them.
    restarted: BTreeSet<TaskName>,
    /// When each task was started last.
    started_ms: BTreeMap<TaskName, u64>,
    /// When the runs of a task failed whose ends were acknowledged in time to count.
    failed_ms: BTreeMap<TaskName, Vec<u64>>,
    rng: StdRng,
}

impl Simulation {
    pub fn new(workers: usize, seed: u64) -> Self {
        Self::with_options(workers, seed, options())
    }

    pub fn with_options(workers: usize, seed: u64, options: PlannerOptions) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            state: Workload::default(),
            planner: Planner::new(options.clone(), Term(1), Millis::ZERO),
            workers: (0..workers).map(SimulatedWorker::new).collect(),
            network_faults: NetworkFaults::default(),
            starts: 0,
            stopped: 0,
            discarded_ms: 0,
            seed,
            run_duration_ms: 1_500,
            duration_spread_ms: 0,
            job_durations_ms: BTreeMap::new(),
            task_spread_percent: 0,
            far_factor: 1,
            failing_jobs: BTreeSet::new(),
            failure_delay_ms: 100,
            answers_cross_lives: false,
            lists_refusals: false,
            options,
            term: 1,
            next_job: 0,
            commands: Vec::new(),
            transitions: Vec::new(),
            in_flight: None,
            awaiting_commit: Vec::new(),
            answers: Vec::new(),
            acknowledged: BTreeSet::new(),
            restarted: BTreeSet::new(),
            started_ms: BTreeMap::new(),
            failed_ms: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        let declare = WorkloadCommand::Declare(Arc::new(declaration()));
        simulation.state.apply(&declare, WallMs(0));
        simulation
    }

    pub fn pick(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    fn with_probability(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn wall(&self) -> WallMs {
        WallMs(1_000_000 + self.now_ms)
    }

    pub fn submit(&mut self, prefix: &str, team: &str, spec: JobSpec) -> JobId {
        self.next_job += 1;
        let id: JobId = format!("job{}", self.next_job).parse().expect("a valid id");
        self.commands.push(WorkloadCommand::Submit {
            id: id.clone(),
            host: "ponds.example".into(),
            path: format!("{prefix}{id}").into(),
            team: Some(team.parse().expect("a valid id")),
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

    /// A deregistration of a worker arrives, of whichever of its lives.
    pub fn deregister(&mut self, at: usize) {
        let id = self.workers[at].id.clone();
        let departs = self.planner.worker_left(&id, Millis(self.now_ms));
        self.commands.extend(departs);
    }

    /// Replaces the leader. Commands that are being committed take effect or are lost, with equal
    /// probability.
    pub fn change_leader(&mut self) {
        if let Some((_due, commands, _held)) = self.in_flight.take()
            && self.with_probability(50)
        {
            let wall = self.wall();
            for command in &commands {
                self.state.apply(command, wall);
            }
        }
        self.awaiting_commit.clear();
        self.transitions.clear();
        self.term += 1;
        let options = self.options.clone();
        self.planner = Planner::new(options, Term(self.term), Millis(self.now_ms));
    }

    pub fn run(&mut self, span_ms: u64) {
        let until = self.now_ms + span_ms;
        while self.now_ms < until {
            self.tick();
        }
    }

    pub fn run_until(&mut self, most_ms: u64, what: &str, done: impl Fn(&Self) -> bool) {
        let until = self.now_ms + most_ms;
        while !done(self) {
            assert!(
                self.now_ms < until,
                "seed {}: not reached in time: {what}",
                self.seed
            );
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.advance_runs();
        self.deliver_answers();
        for at in 0..self.workers.len() {
            self.send_report(at);
        }
        self.commit();
        if self.now_ms.is_multiple_of(250) {
            self.planner.mark_dirty();
        }
        self.plan();
        self.check_no_duplicate_runs();
    }

    /// Terminates the workers whose announced time has come, together with their runs, and restarts
    /// them after `absent_ms`.
    pub fn terminate_leaving(&mut self, absent_ms: u64) {
        for worker in &mut self.workers {
            let Some(at_ms) = worker.leaves_at_ms else {
                continue;
            };
            if worker.is_running && self.now_ms >= at_ms {
                let lost = worker.runs.values().map(|run| run.progress_ms);
                self.discarded_ms += lost.sum::<u64>();
                worker.crash();
            } else if self.now_ms >= at_ms + absent_ms {
                worker.restart(self.now_ms);
            }
        }
    }

    fn send_report(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        if worker
            .report_sent_ms
            .is_some_and(|sent| self.now_ms >= sent + on_slow_clock(ANSWER_TIMEOUT_MS))
        {
            worker.report_sent_ms = None;
            worker.next_report_ms = self.now_ms;
        }
        if !worker.is_running
            || worker.report_sent_ms.is_some()
            || self.now_ms < worker.next_report_ms
        {
            return;
        }
        worker.report_sent_ms = Some(self.now_ms);
        let life = worker.incarnation;
        let report = worker.report(self.run_duration_ms, self.now_ms);
        let is_lost = worker.disconnected || worker.loses_reports;
        if is_lost || self.with_probability(self.network_faults.lost_percent) {
            return;
        }
        let now = Millis(self.now_ms);
        let reported = self.planner.handle_report(&report, &self.state, now);
        if !reported.is_current {
            return;
        }
        let waits = !reported.transitions.is_empty();
        self.transitions.extend(reported.transitions);
        let pending = PendingReport {
            at,
            life,
            report,
            sent_ms: self.now_ms,
            received_ms: self.now_ms,
        };
        if waits {
            self.awaiting_commit.push(pending);
        } else {
            self.answer(pending);
        }
    }

    fn answer(&mut self, pending: PendingReport) {
        let PendingReport {
            at,
            life,
            report,
            sent_ms,
            received_ms,
        } = pending;
        let orders =
            self.planner
                .orders_for_report(&report, Millis(received_ms), Millis::ZERO, &self.state);
        let late = self.with_probability(self.network_faults.delayed_percent);
        let delay = if late {
            self.rng.random_range(10..=ANSWER_DELAY_MAX_MS)
        } else {
            10
        };
        if !self.with_probability(self.network_faults.lost_percent) {
            self.answers.push(PendingOrders {
                due_ms: self.now_ms + delay,
                at,
                incarnation: life,
                sequence: report.sequence.get(),
                sent_ms,
                orders,
            });
        }
    }

    /// A worker to which an order to start something is on its way for at least `span_ms` more.
    pub fn awaits_start(&self, span_ms: u64) -> Option<usize> {
        let is_it = |answer: &&PendingOrders| {
            !answer.orders.starts.is_empty() && answer.due_ms >= self.now_ms + span_ms
        };
        self.answers.iter().find(is_it).map(|answer| answer.at)
    }

    fn deliver_answers(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.due_ms <= now_ms);
        self.answers = later;
        for answer in due {
            self.deliver_answer(answer);
        }
    }

    fn deliver_answer(&mut self, answer: PendingOrders) {
        let PendingOrders {
            at,
            incarnation,
            sequence,
            sent_ms,
            orders,
            ..
        } = answer;
        let stop_ms = self.options.stop_ms.get();
        let worker = &mut self.workers[at];
        let is_current = worker.report_sent_ms.is_some()
            && worker.incarnation == incarnation
            && worker.sequence == sequence;
        let is_of_former_life = self.answers_cross_lives
            && incarnation < worker.incarnation
            && self.now_ms <= sent_ms + on_slow_clock(ANSWER_TIMEOUT_MS);
        let is_lost = worker.disconnected || worker.loses_answers || !worker.is_running;
        if !(is_current || is_of_former_life) || is_lost || orders.term < worker.term {
            return;
        }
        worker.term = orders.term;
        if is_current {
            worker.report_sent_ms = None;
            worker.next_report_ms = self.now_ms + orders.report_after_ms.get();
        }
        let Some(lease) = orders.lease_ms else {
            return;
        };
        // The present life counts the lease of an answer to a former one from its receipt.
        let sent = if is_current { sent_ms } else { self.now_ms };
        if self.now_ms > worker.lease_until_ms {
            worker.lapse();
        }
        let lease_until_ms = sent + on_slow_clock(lease.get());
        worker.lease_until_ms = worker.lease_until_ms.max(lease_until_ms);
        for end in &worker.ended {
            let counts = worker.leased_ends.contains(&end.number);
            if counts && end.number <= orders.acknowledged && end.end == RunEnd::Done {
                assert!(
                    !self.restarted.contains(&end.task),
                    "seed {}: {} was started again after its end, which is now acknowledged",
                    self.seed,
                    end.task
                );
                self.acknowledged.insert(end.task.clone());
            }
        }
        worker.ended.retain(|end| end.number > orders.acknowledged);
        let (acknowledged, left) = std::mem::take(&mut worker.failures)
            .into_iter()
            .partition(|(number, ..)| *number <= orders.acknowledged);
        worker.failures = left;
        self.check_attempts(acknowledged);
        let worker = &mut self.workers[at];
        for (task, run) in orders.stops {
            let highest = worker.highest_refused_run.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            let run = worker
                .runs
                .get_mut(&task)
                .filter(|active| active.run == run);
            if let Some(run) = run {
                run.stop_at_ms.get_or_insert(self.now_ms + stop_ms);
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
            "seed {seed}: {} started again after its acknowledged end",
            start.task
        );
        let worker = &mut self.workers[at];
        let refused = worker
            .highest_refused_run
            .get(&start.task)
            .copied()
            .unwrap_or(0);
        if worker.runs.contains_key(&start.task) || start.run <= refused {
            if self.lists_refusals {
                worker.add_end(&start.task, start.run, RunEnd::Refused);
            }
            return;
        }
        // An order that the worker refuses begins nothing.
        let has_ended = |worker: &SimulatedWorker| {
            let mut ended = worker.ended.iter();
            ended.any(|end| end.task == start.task && end.end == RunEnd::Done)
        };
        let is_leased =
            |worker: &&SimulatedWorker| worker.is_running && self.now_ms <= worker.lease_until_ms;
        if self.workers.iter().filter(is_leased).any(has_ended) {
            self.restarted.insert(start.task.clone());
        }
        let has_own = self.job_durations_ms.contains_key(&start.task.job);
        let duration_ms = has_own.then(|| self.duration_of(&start.task));
        self.started_ms.insert(start.task.clone(), self.now_ms);
        let worker = &mut self.workers[at];
        self.starts += 1;
        worker.runs.insert(
            start.task.clone(),
            SimulatedRun {
                run: start.run,
                started_ms: self.now_ms,
                progress_ms: 0,
                duration_ms,
                stop_at_ms: None,
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
            "seed {seed}: {} runs tasks with {used} accelerators in total",
            self.workers[at].id
        );
    }

    /// Checks that no task was started after its last attempt, given further failures that count.
    fn check_attempts(&mut self, failures: Vec<(u64, TaskName, u64)>) {
        for (_number, task, ended_ms) in failures {
            let failed_ms = self.failed_ms.entry(task.clone()).or_default();
            failed_ms.push(ended_ms);
            failed_ms.sort_unstable();
            let last_ms = failed_ms.get(ATTEMPTS_MAX - 1);
            let started_ms = self.started_ms.get(&task);
            assert!(
                last_ms.is_none_or(|last| started_ms.is_none_or(|started| started <= last)),
                "seed {}: {task} was started at {started_ms:?} after the failures at {failed_ms:?}",
                self.seed
            );
        }
    }

    /// Whether all members of the task's gang run; none makes progress before that.
    fn is_gang_present(&self, task: &TaskName, run: u32) -> bool {
        let Some(key) = self.state.task_key(task) else {
            return true;
        };
        let Some((step, _tasks)) = self.state.step(key.step) else {
            return true;
        };
        if !step.gang {
            return true;
        }
        let is_running = |index| {
            let member = TaskName {
                index,
                ..task.clone()
            };
            self.workers.iter().any(|worker| {
                worker.is_running
                    && worker
                        .runs
                        .get(&member)
                        .is_some_and(|active| active.run == run)
            })
        };
        (0..step.tasks).all(is_running)
    }

    /// Whether a member of the task's gang has ended with success; the others then do so as well.
    fn has_gang_succeeded(&self, task: &TaskName, run: u32) -> bool {
        let is_member = |other: &TaskName| {
            (&other.job, other.occurrence, other.step) == (&task.job, task.occurrence, task.step)
        };
        let mut ended = self.workers.iter().flat_map(|worker| &worker.ended);
        ended.any(|end| end.end == RunEnd::Done && end.run == run && is_member(&end.task))
    }

    /// A task's run time, which is the same in each run and for all members of a gang.
    fn duration_of(&self, task: &TaskName) -> u64 {
        /// Spreads the run times of neighboring tasks.
        const STRIDE_MS: u64 = 769;
        /// The same for jobs with a run time of their own.
        const STRIDE_PERCENT: u64 = 37;
        let key = self.state.task_key(task);
        let is_gang = key.and_then(|key| self.state.step(key.step));
        let is_gang = is_gang.is_some_and(|(step, _tasks)| step.gang);
        let index = if is_gang { 0 } else { u64::from(task.index) };
        if let Some(duration_ms) = self.job_durations_ms.get(&task.job) {
            let spread = self.task_spread_percent;
            let percent = 100 - spread / 2 + index * STRIDE_PERCENT % (spread + 1);
            return duration_ms * percent / 100;
        }
        let further = index * STRIDE_MS % (self.duration_spread_ms + 1);
        self.run_duration_ms + further
    }

    /// The speed of a run in percent of normal. A gang is as slow as its slowest member.
    fn speed_percent_of(&self, at: usize, task: &TaskName, run: u32) -> u64 {
        let own = self.workers[at].speed_percent;
        let key = self.state.task_key(task);
        let Some((step, tasks)) = key.and_then(|key| self.state.step(key.step)) else {
            return own;
        };
        if !step.gang {
            return own;
        }
        let places = tasks.tasks.iter().filter(|task| task.run == run);
        let places = places.filter_map(|task| task.placement.as_ref());
        let number = |id: &str| id.trim_start_matches('w').parse::<usize>();
        let members: Vec<&SimulatedWorker> = places
            .filter_map(|place| self.workers.get(number(place.worker.as_str()).ok()?))
            .collect();
        let speeds = members.iter().map(|worker| worker.speed_percent);
        let slowest = speeds.min().unwrap_or(own);
        let is_spread = members.iter().any(|worker| worker.rack != members[0].rack);
        if step.same_rack && is_spread {
            slowest / self.far_factor
        } else {
            slowest
        }
    }

    fn advance_runs(&mut self) {
        let listed: Vec<(usize, TaskName, u32)> = self
            .workers
            .iter()
            .enumerate()
            .flat_map(|(at, worker)| {
                let runs = worker.runs.iter();
                runs.map(move |(task, run)| (at, task.clone(), run.run))
            })
            .collect();
        for (at, task, run) in listed {
            let present = self.is_gang_present(&task, run);
            let succeeded = !present && self.has_gang_succeeded(&task, run);
            let duration_ms = self.duration_of(&task);
            let gained_ms = TICK_MS * self.speed_percent_of(at, &task, run) / 100;
            let fails = task.index == 0 && self.failing_jobs.contains(&task.job);
            let worker = &mut self.workers[at];
            let Some(run) = worker.runs.get_mut(&task) else {
                continue;
            };
            let end = if self.now_ms > worker.lease_until_ms {
                Some(RunEnd::Lapsed)
            } else if run.stop_at_ms.is_some_and(|stop| self.now_ms >= stop) {
                Some(RunEnd::Stopped)
            } else if (worker.fails_all_runs || fails)
                && self.now_ms > run.started_ms + self.failure_delay_ms
            {
                Some(RunEnd::Failed)
            } else if present {
                run.progress_ms += gained_ms;
                (run.progress_ms >= duration_ms).then_some(RunEnd::Done)
            } else if run.progress_ms > 0 {
                Some(if succeeded {
                    RunEnd::Done
                } else {
                    RunEnd::Broken
                })
            } else {
                // A stop that begins in the last moment takes its full time.
                let waited = self.now_ms - run.started_ms;
                let waits_no_more = waited > on_slow_clock(self.options.gang_wait_ms.get());
                (waits_no_more && run.stop_at_ms.is_none()).then_some(RunEnd::Alone)
            };
            if let Some(end) = end {
                if end != RunEnd::Done {
                    self.discarded_ms += run.progress_ms;
                }
                self.stopped += u32::from(end == RunEnd::Stopped);
                worker.end(&task, end);
                if end == RunEnd::Failed {
                    let number = worker.last_end_number;
                    worker.failures.push((number, task, self.now_ms));
                }
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
        let Some((_due, commands, reports)) = self.in_flight.take() else {
            return;
        };
        if self.with_probability(self.network_faults.refused_percent) {
            // The waiting reports get no answer. Submissions are repeated by their callers.
            let submits = commands
                .into_iter()
                .filter(|command| !matches!(command, WorkloadCommand::Transitions(_)));
            self.commands.extend(submits);
            return;
        }
        let wall = self.wall();
        for command in &commands {
            self.state.apply(command, wall);
        }
        self.planner.mark_dirty();
        for report in reports {
            self.answer(report);
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
        let reports = std::mem::take(&mut self.awaiting_commit);
        self.in_flight = Some((self.now_ms + delay, commands, reports));
    }

    fn check_no_duplicate_runs(&self) {
        let mut running = BTreeSet::new();
        for worker in self.workers.iter().filter(|worker| worker.is_running) {
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

    /// Checks that restoring a snapshot gives the same state.
    pub fn check_snapshot(&self) {
        let bytes = postcard::to_allocvec(&self.state).expect("a state encodes");
        let mut restored: Workload = postcard::from_bytes(&bytes).expect("a state decodes");
        restored.rebuild_index();
        assert_eq!(restored, self.state, "seed {}", self.seed);
    }
}
