//! Decides which reports may wait for an order, and when the next report is due.

use super::Planner;
use super::worker::Worker;
use crate::units::Millis;
use crate::workload::{WorkerReport, Workload};

/// The shortest time from the answer to a held report to the next report.
const REPORT_GAP_MIN_MS: Millis = Millis(50);

impl Planner {
    /// Whether the answer to a report may be held back until there is an order: the worker has no
    /// runs, so it has nothing to report meanwhile.
    #[must_use]
    pub fn may_hold(&self, report: &WorkerReport, state: &Workload) -> bool {
        let is_idle = report.running.is_empty() && report.ended.is_empty();
        is_idle && !report.draining && state.runs_placed_on(&report.worker).next().is_none()
    }

    /// Records that the answer to a worker's report is held back until `until_ms` at the latest.
    pub fn report_held(&mut self, report: &WorkerReport, until_ms: Millis) {
        if let Some(worker) = self.workers.get_mut(&report.worker) {
            worker.held_until_ms = until_ms;
        }
    }

    /// The interval between the reports of a worker, which grows with the number of workers.
    pub(super) fn report_interval_ms(&self) -> Millis {
        let count = u64::try_from(self.workers.len()).unwrap_or(u64::MAX);
        let spread = Millis(count.saturating_mul(self.options.report_spread_us) / 1_000);
        self.options.report_after_ms.max(spread)
    }

    /// Whether a worker can take tasks: its report is held or at most one interval older than a
    /// fresh one.
    pub(super) fn is_reachable(&self, worker: &Worker, now: Millis) -> bool {
        let fresh_ms = self.options.fresh_ms.max(self.report_interval_ms());
        now <= worker.held_until_ms || now.since(worker.last_report_ms) <= fresh_ms
    }
}

/// How long a worker waits for its next report after an answer that was held for `held_ms`, so that
/// held reports are no more frequent than others.
pub(super) fn report_after_held(interval_ms: Millis, held_ms: Millis) -> Millis {
    interval_ms.since(held_ms).max(REPORT_GAP_MIN_MS)
}
