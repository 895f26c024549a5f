//! Stops runs on draining workers: those that can end neither in time nor save anything at once, the
//! others early enough that their ends and checkpoints can still be reported.
//!
//! Load pattern: a worker announces that it leaves in about 2 s while it runs members of gangs
//! without checkpoints, most of which need longer. What these do until they are stopped is lost, and
//! meanwhile all workers of the gang are occupied.

use tracing::info;

use super::Planner;
use super::run_forecast::RemainingTime;
use super::worker::RunProgress;
use crate::units::Millis;
use crate::workload::{RunKey, TaskKey, Workload};

/// How long it takes until the end of a stopped run is reported and acknowledged.
const END_ACKNOWLEDGE_MS: Millis = Millis(300);
/// By how much the forecast must exceed the time left, in percent of that. A stop that was not
/// needed loses the whole run, a missing one only what is left of the notice.
const FORECAST_MARGIN_PERCENT: u64 = 10;

/// What happens to a run on a draining worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Departure {
    /// It goes on.
    Continue,
    /// It is stopped in time for its end and checkpoint to be reported.
    Stop,
    /// It cannot end in time, so that it is stopped at once, a gang as a whole.
    StopFutile(RemainingTime),
}

/// The times that a draining worker has left.
#[derive(Clone, Copy, Debug)]
struct TimeLeft {
    /// Until a run must be ordered to stop so that its end can still be reported.
    to_stop_ms: Millis,
    /// Until a run must have ended by itself so that its end can still be reported.
    to_end_ms: Millis,
}

impl Planner {
    /// Stops the runs on workers that are about to leave.
    ///
    /// An end in a worker's last moments would never be reported, and whether the task succeeded
    /// would remain unknown.
    pub(super) fn stop_on_departing_workers(&mut self, state: &Workload, now: Millis) {
        let stopped_by = now.saturating_add(END_ACKNOWLEDGE_MS);
        let ordered_by = stopped_by
            .saturating_add(self.options.stop_ms)
            .saturating_add(self.report_interval_ms());
        let mut stops = Vec::new();
        for (id, worker) in &self.workers {
            let available_until = worker.available_until_ms.filter(|_until| worker.draining);
            let Some(until_ms) = available_until.filter(|_until| worker.deregistered_ms.is_none())
            else {
                continue;
            };
            let left = TimeLeft {
                to_stop_ms: until_ms.since(ordered_by),
                to_end_ms: until_ms.since(stopped_by),
            };
            for (run, seen) in &worker.running {
                let remaining = self.remaining(*run, (seen, worker.last_report_ms), state, now);
                let departure = decide_departure(remaining, left);
                if departure != Departure::Continue && !self.stopping.contains(run) {
                    stops.push((id.clone(), *run, departure, left));
                }
            }
        }
        for (worker, run, departure, left) in stops {
            let is_new = self.stopping.insert(run);
            match departure {
                Departure::StopFutile(remaining) if is_new => {
                    let is_gang = state.step(run.task.step).is_some_and(|(step, _)| step.gang);
                    info!(event = "run_cannot_end", run = %run, gang = is_gang, worker = %worker,
                        remaining_ms = remaining.least_ms.get(), left_ms = left.to_end_ms.get());
                    if is_gang {
                        self.stop_gang(run.task.step, run.run, state);
                    }
                }
                Departure::Stop if is_new => {
                    info!(event = "run_stopped_before_leave", run = %run, worker = %worker);
                }
                _ => {}
            }
        }
    }

    /// How much longer a run needs; `None` if its next run can use what it saves when it is
    /// stopped, or if users need it meanwhile.
    fn remaining(
        &self,
        run: RunKey,
        (seen, reported_ms): (&RunProgress, Millis),
        state: &Workload,
        now: Millis,
    ) -> Option<RemainingTime> {
        let job = state.job(run.task.step.job)?;
        let (step, tasks) = state.step(run.task.step)?;
        if step.checkpoints || step.long_running {
            return None;
        }
        let expected_ms = self.run_times.estimate(job, step);
        let remaining = seen.remaining(reported_ms, expected_ms);
        let remaining = remaining.after(now.since(reported_ms));
        if !step.gang {
            return Some(remaining);
        }
        // A gang ends with the last of its members.
        let members = 0..u32::try_from(tasks.tasks.len()).unwrap_or_default();
        let members = members.map(|index| {
            let task = TaskKey { index, ..run.task };
            let place = state.task(task)?.placement.as_ref()?;
            let worker = self.workers.get(&place.worker)?;
            let seen = worker.running.get(&RunKey { task, ..run })?;
            let remaining = seen.remaining(worker.last_report_ms, expected_ms);
            Some(remaining.after(now.since(worker.last_report_ms)))
        });
        Some(members.fold(remaining, RemainingTime::and_member))
    }
}

/// Decides what happens to a run that needs `remaining` on a worker that has `left`.
fn decide_departure(remaining: Option<RemainingTime>, left: TimeLeft) -> Departure {
    let to_end_ms = left.to_end_ms.get();
    let margin_ms = to_end_ms.saturating_mul(FORECAST_MARGIN_PERCENT) / 100;
    let is_futile =
        |remaining: &RemainingTime| remaining.least_ms.get() > to_end_ms.saturating_add(margin_ms);
    let ends_in_time = remaining
        .and_then(|remaining| remaining.most_ms)
        .is_some_and(|most_ms| most_ms <= left.to_end_ms);
    match remaining.filter(is_futile) {
        Some(remaining) if left.to_stop_ms > Millis::ZERO => Departure::StopFutile(remaining),
        _ if left.to_stop_ms > Millis::ZERO || ends_in_time => Departure::Continue,
        _ => Departure::Stop,
    }
}
