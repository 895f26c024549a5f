//! One worker of the model: what it runs, and what it says of that.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::BTreeMap;

use marjoramknot::units::{Sequence, Term, WorkerId};
use marjoramknot::workload::{
    ReportedEnd, ReportedRun, RunEnd, TaskName, WorkerIncarnation, WorkerReport,
};

use super::workload_parts::room;

/// One run on a worker.
#[derive(Clone, Debug)]
pub struct Work {
    pub run: u32,
    pub since_ms: u64,
    pub worked_ms: u64,
    pub stops_at_ms: Option<u64>,
}

/// A worker.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a trouble of its own"
)]
pub struct ModelWorker {
    pub id: WorkerId,
    pub life: u64,
    pub zone: &'static str,
    pub rack: String,
    pub leaving: bool,
    pub up: bool,
    /// Whether its reports and their answers are lost.
    pub cut: bool,
    /// Whether all that it starts fails.
    pub broken: bool,
    pub sequence: u64,
    pub next_report_ms: u64,
    /// When the outstanding report was sent.
    pub asked_ms: Option<u64>,
    pub lease_until_ms: u64,
    pub term: Term,
    pub runs: BTreeMap<TaskName, Work>,
    pub refused_up_to: BTreeMap<TaskName, u32>,
    pub ended: Vec<ReportedEnd>,
    pub end_number: u64,
}

impl ModelWorker {
    pub fn new(number: usize) -> Self {
        Self {
            id: format!("w{number}").parse().expect("an id"),
            life: 1,
            zone: if number.is_multiple_of(2) {
                "senec"
            } else {
                "trnava"
            },
            rack: format!("r{}", number / 4),
            leaving: false,
            up: true,
            cut: false,
            broken: false,
            sequence: 0,
            next_report_ms: number as u64 * 7,
            asked_ms: None,
            lease_until_ms: 0,
            term: Term::ZERO,
            runs: BTreeMap::new(),
            refused_up_to: BTreeMap::new(),
            ended: Vec::new(),
            end_number: 0,
        }
    }

    pub fn report(&mut self, work_ms: u64) -> WorkerReport {
        self.sequence += 1;
        let running = self
            .runs
            .iter()
            .filter(|(_task, work)| work.stops_at_ms.is_none());
        let running = running.map(|(task, work)| ReportedRun {
            task: task.clone(),
            run: work.run,
            checkpoint: "".into(),
            percent: u32::try_from(work.worked_ms * 100 / work_ms).unwrap_or(100),
        });
        WorkerReport {
            worker: self.id.clone(),
            incarnation: WorkerIncarnation(self.life),
            sequence: Sequence(self.sequence),
            service: "ponds".parse().expect("an id"),
            zone: self.zone.parse().expect("an id"),
            rack: Some(self.rack.as_str().into()),
            labels: vec!["a".into(), self.rack.as_str().into()],
            capacity: room(8, 8),
            draining: self.leaving,
            remaining_ms: None,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn end(&mut self, task: &TaskName, end: RunEnd) {
        let Some(work) = self.runs.remove(task) else {
            return;
        };
        self.list_end(task, work.run, end);
    }

    pub fn list_end(&mut self, task: &TaskName, run: u32, end: RunEnd) {
        self.end_number += 1;
        let highest = self.refused_up_to.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.ended.push(ReportedEnd {
            number: self.end_number,
            task: task.clone(),
            run,
            end,
            checkpoint: "".into(),
        });
    }

    /// The process is gone; the next one knows nothing.
    pub fn crash(&mut self) {
        self.up = false;
        self.runs.clear();
        self.ended.clear();
        self.refused_up_to.clear();
        self.term = Term::ZERO;
        self.asked_ms = None;
    }

    pub fn restart(&mut self, now_ms: u64) {
        self.up = true;
        self.cut = false;
        self.life += 1;
        self.sequence = 0;
        self.end_number = 0;
        self.next_report_ms = now_ms + 20;
        self.lease_until_ms = 0;
    }
}
