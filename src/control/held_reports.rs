//! Reports of idle workers, held until there is an order for them.
//!
//! Load pattern: orders travel only in answers to reports, and in a large fleet the reports of one
//! worker are far apart. A worker without runs has nothing to report meanwhile, so its open report
//! carries the next order at once, with no more reports than before.

use std::collections::{BTreeMap, BTreeSet};

use super::workload_batch::AnswerSender;
use crate::units::{Millis, WorkerId};
use crate::workload::WorkerReport;

/// How long a report is held. It is less than [`ANSWER_VALID_MS`](crate::workload::ANSWER_VALID_MS), as the answer may pass through
/// another replica.
pub(super) const REPORT_HOLD_MS: Millis = Millis(600);

/// A report whose answer is held back.
pub(super) struct HeldReport {
    pub(super) report: Box<WorkerReport>,
    pub(super) received_ms: Millis,
    pub(super) reply: AnswerSender,
}

/// The held reports, at most one for each worker.
#[derive(Default)]
pub(super) struct HeldReports {
    by_worker: BTreeMap<WorkerId, HeldReport>,
}

impl HeldReports {
    /// Holds a report and returns an earlier one of the same worker, which no longer waits for it.
    pub(super) fn hold(&mut self, held: HeldReport) -> Option<HeldReport> {
        self.by_worker.insert(held.report.worker.clone(), held)
    }

    /// Removes the reports of these workers.
    pub(super) fn take(&mut self, workers: &BTreeSet<WorkerId>) -> Vec<HeldReport> {
        let taken = workers.iter();
        taken
            .filter_map(|worker| self.by_worker.remove(worker))
            .collect()
    }

    /// Removes the reports that were held long enough.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<HeldReport> {
        let is_due = |held: &HeldReport| now.since(held.received_ms) >= REPORT_HOLD_MS;
        let due = self.by_worker.iter().filter(|(_worker, held)| is_due(held));
        let due: BTreeSet<WorkerId> = due.map(|(worker, _held)| worker.clone()).collect();
        self.take(&due)
    }

    /// Removes all reports.
    pub(super) fn take_all(&mut self) -> Vec<HeldReport> {
        std::mem::take(&mut self.by_worker).into_values().collect()
    }
}
