//! Stops runs on draining workers early enough that their ends and checkpoints can still be
//! reported.

use tracing::info;

use super::Planner;
use crate::units::Millis;

/// How long it takes until the end of a stopped run is reported and acknowledged.
const END_ACKNOWLEDGE_MS: Millis = Millis(300);

impl Planner {
    /// Stops the runs on workers that are about to leave.
    ///
    /// An end in a worker's last moments would never be reported, and whether the task succeeded
    /// would remain unknown.
    pub(super) fn stop_on_departing_workers(&mut self, now: Millis) {
        let needed = self
            .options
            .stop_ms
            .saturating_add(self.report_interval_ms())
            .saturating_add(END_ACKNOWLEDGE_MS);
        for (id, worker) in &self.workers {
            let available_until = worker.available_until_ms.filter(|_until| worker.draining);
            let is_due = available_until.is_some_and(|until| now.saturating_add(needed) >= until);
            if !is_due || worker.deregistered_ms.is_some() {
                continue;
            }
            for run in worker.running.keys() {
                if self.stopping.insert(*run) {
                    info!(event = "run_stopped_before_leave", run = %run, worker = %id);
                }
            }
        }
    }
}
