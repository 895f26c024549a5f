//! A simulated worker: its runs and its reports.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::{BTreeMap, BTreeSet};

use marjoramknot::units::{Millis, Sequence, Term, WorkerId};
use marjoramknot::workload::{
    ReportedEnd, ReportedRun, RunEnd, TaskName, WorkerIncarnation, WorkerReport,
};
use smol_str::SmolStr;

use super::workload_fixtures::resources;

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    pub run: u32,
    pub started_ms: u64,
    pub progress_ms: u64,
    /// Its run time at normal speed; the simulation's if `None`.
    pub duration_ms: Option<u64>,
    pub stop_at_ms: Option<u64>,
}

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent state or fault"
)]
pub struct SimulatedWorker {
    pub id: WorkerId,
    /// The number of its present life.
    pub incarnation: u64,
    /// When its present life began, by the wall clock of its machine.
    pub born: u64,
    /// Whether its reports carry its clock.
    pub tells_clock: bool,
    /// By how much its clock has jumped ahead.
    pub clock_jump_ms: u64,
    pub zone: &'static str,
    pub rack: String,
    pub draining: bool,
    /// When a draining worker terminates, if it has announced that.
    pub leaves_at_ms: Option<u64>,
    pub is_running: bool,
    /// Whether its reports and their answers are lost.
    pub disconnected: bool,
    /// Whether its reports are lost, while answers to earlier ones still arrive.
    pub loses_reports: bool,
    /// Whether the answers to its reports are lost.
    pub loses_answers: bool,
    /// Whether every run that it starts fails.
    pub fails_all_runs: bool,
    /// Whether it reports percents that have nothing to do with its runs.
    pub invents_percents: bool,
    /// Its speed in percent of normal, a multiple of ten.
    pub speed_percent: u64,
    pub labels: Vec<SmolStr>,
    pub sequence: u64,
    pub next_report_ms: u64,
    /// When the outstanding report was sent.
    pub report_sent_ms: Option<u64>,
    pub lease_until_ms: u64,
    pub term: Term,
    pub runs: BTreeMap<TaskName, SimulatedRun>,
    pub highest_refused_run: BTreeMap<TaskName, u32>,
    pub ended: Vec<ReportedEnd>,
    pub last_end_number: u64,
    /// The ends `failed` that are not acknowledged, with their number and time, as long as the lease
    /// under which they ended lasts.
    pub failures: Vec<(u64, TaskName, u64)>,
    /// The numbers of the ends under a lease that still lasts. The others count as not taken note of,
    /// also if they are acknowledged.
    pub leased_ends: BTreeSet<u64>,
}

impl SimulatedWorker {
    pub fn new(number: usize) -> Self {
        Self {
            id: format!("w{number}").parse().expect("a valid id"),
            incarnation: 1,
            born: 1_000,
            tells_clock: true,
            clock_jump_ms: 0,
            zone: if number.is_multiple_of(2) {
                "senec"
            } else {
                "trnava"
            },
            rack: format!("r{}", number / 4),
            draining: false,
            leaves_at_ms: None,
            is_running: true,
            disconnected: false,
            loses_reports: false,
            loses_answers: false,
            fails_all_runs: false,
            invents_percents: false,
            speed_percent: 100,
            labels: vec!["a".into(), format!("r{}", number / 4).into()],
            sequence: 0,
            next_report_ms: number as u64 * 7,
            report_sent_ms: None,
            lease_until_ms: 0,
            term: Term::ZERO,
            runs: BTreeMap::new(),
            highest_refused_run: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            failures: Vec::new(),
            leased_ends: BTreeSet::new(),
        }
    }

    pub fn report(&mut self, run_duration_ms: u64, now_ms: u64) -> WorkerReport {
        self.sequence += 1;
        let running = self
            .runs
            .iter()
            .filter(|(_task, work)| work.stop_at_ms.is_none());
        let running = running.map(|(task, work)| ReportedRun {
            task: task.clone(),
            run: work.run,
            checkpoint: "".into(),
            percent: self.percent_of(work, run_duration_ms),
            reading: None,
        });
        WorkerReport {
            worker: self.id.clone(),
            incarnation: WorkerIncarnation(self.born),
            sequence: Sequence(self.sequence),
            service: "ponds".parse().expect("a valid id"),
            zone: self.zone.parse().expect("a valid id"),
            rack: Some(self.rack.as_str().into()),
            labels: self.labels.clone(),
            capacity: resources(8, 8),
            clock_ms: self.clock(now_ms),
            draining: self.draining,
            remaining_ms: self
                .leaves_at_ms
                .map(|at| Millis(at.saturating_sub(now_ms))),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    fn clock(&self, now_ms: u64) -> Option<Millis> {
        let clock_ms = self.incarnation * 1_000_000 + now_ms + self.clock_jump_ms;
        self.tells_clock.then_some(Millis(clock_ms))
    }

    fn percent_of(&self, work: &SimulatedRun, run_duration_ms: u64) -> u32 {
        if self.invents_percents {
            let invented = [0, 100, 3, u32::MAX, 41, 0, 250, 99];
            let at = usize::try_from(self.sequence).expect("a small number") % invented.len();
            return invented[at];
        }
        let duration_ms = work.duration_ms.unwrap_or(run_duration_ms);
        u32::try_from(work.progress_ms * 100 / duration_ms).unwrap_or(100)
    }

    pub fn end(&mut self, task: &TaskName, end: RunEnd) {
        let Some(work) = self.runs.remove(task) else {
            return;
        };
        self.add_end(task, work.run, end);
    }

    pub fn add_end(&mut self, task: &TaskName, run: u32, end: RunEnd) {
        self.last_end_number += 1;
        self.leased_ends.insert(self.last_end_number);
        let highest = self.highest_refused_run.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.ended.push(ReportedEnd {
            number: self.last_end_number,
            task: task.clone(),
            run,
            end,
            checkpoint: "".into(),
        });
    }

    /// Forgets which ends still count, as the lease under which they ended is over.
    pub fn lapse(&mut self) {
        self.failures.clear();
        self.leased_ends.clear();
    }

    /// Ends a partition in either direction.
    pub fn reconnect(&mut self) {
        self.disconnected = false;
        self.loses_reports = false;
        self.loses_answers = false;
    }

    /// Ends the process; after a restart it knows nothing of its earlier runs.
    pub fn crash(&mut self) {
        self.is_running = false;
        self.runs.clear();
        self.ended.clear();
        self.lapse();
        self.highest_refused_run.clear();
        self.term = Term::ZERO;
        self.report_sent_ms = None;
    }

    /// Restarts after the wall clock of the machine was set back.
    pub fn restart_with_earlier_birth(&mut self, now_ms: u64) {
        let born = self.born;
        self.restart(now_ms);
        self.born = born - 1;
    }

    pub fn restart(&mut self, now_ms: u64) {
        self.is_running = true;
        self.reconnect();
        self.draining = false;
        self.leaves_at_ms = None;
        self.incarnation += 1;
        self.born += 1;
        self.sequence = 0;
        self.last_end_number = 0;
        self.next_report_ms = now_ms + 20;
        self.lease_until_ms = 0;
    }
}
