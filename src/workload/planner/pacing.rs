//! Observes interference in reports, and orders the rates of best-effort tasks beside tasks with a
//! latency target; docs/design/interference.md describes both.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use tracing::{info, warn};

use super::Planner;
use crate::units::{Millis, WorkerId};
use crate::workload::interference::{
    Change, FULL_PERCENT, Interference, ObservedRun, Pace, PaceCause, PaceStart, PaceTiming,
    RunRole,
};
use crate::workload::{
    RateOrder, ReportedRun, RunKey, Step, WorkerIncarnation, WorkerOrders, WorkerReport, Workload,
};

/// How long after a change of its rate a run is not judged by its progress. Longer than the time
/// without progress after which a run may count as stalled.
const PACED_LATELY_MS: Millis = Millis(60_000);
/// How long after a change of rates the readings beside them are not compared: until the worker has
/// received it, plus the period of a reading.
const RATE_SETTLE_MS: Millis = Millis(2_000);

/// What the leader knows of interference, and the rates that it has ordered.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    learned: Interference,
    workers: BTreeMap<WorkerId, WorkerPace>,
}

/// The rate of the best-effort tasks of a worker.
#[derive(Debug)]
struct WorkerPace {
    incarnation: WorkerIncarnation,
    pace: Pace,
    /// Whether a task with a latency target runs beside them.
    has_target: bool,
    /// The number of best-effort runs in the last report.
    runs: usize,
}

/// The runs of a report that matter here.
#[derive(Debug, Default)]
struct ReportedRoles {
    observed: Vec<ObservedRun>,
    best_effort: Vec<RunKey>,
    /// Images of the serving tasks.
    serving_images: Vec<SmolStr>,
    /// Images of the best-effort tasks.
    best_effort_images: Vec<SmolStr>,
    has_target: bool,
    /// Whether an earlier leader may have paced a best-effort run that is new to this one.
    has_inherited: bool,
    /// The largest known tail in percent of its target.
    load_percent: Option<u64>,
}

impl Pacing {
    /// Whether best-effort runs on the worker may be slow because they are paced.
    pub(super) fn is_paced_lately(&self, worker: &WorkerId, now: Millis) -> bool {
        let paced = self.workers.get(worker);
        paced.is_some_and(|paced| paced.is_paced_within(PACED_LATELY_MS, now))
    }

    /// Images that the image slows down or is slowed down by, with the larger slowdown in percent.
    pub(super) fn slowdowns(&self, image: Option<&SmolStr>) -> BTreeMap<SmolStr, u64> {
        let slowdowns = image.and_then(|image| self.learned.slowdowns(image));
        slowdowns.cloned().unwrap_or_default()
    }

    /// The images on a worker that are in a found pair.
    pub(super) fn images_on(&self, worker: &WorkerId) -> Vec<SmolStr> {
        self.learned.found_images_on(worker).cloned().collect()
    }

    fn paced_tasks(&self) -> usize {
        let paced = self.workers.values();
        let paced = paced.filter(|paced| paced.pace.percent() < FULL_PERCENT);
        paced.map(|paced| paced.runs).sum()
    }
}

impl WorkerPace {
    fn is_paced_within(&self, span_ms: Millis, now: Millis) -> bool {
        self.pace.percent() < FULL_PERCENT || now.since(self.pace.changed_ms()) < span_ms
    }
}

/// Whether runs of the step are observed or paced.
const fn concerns(step: &Step) -> bool {
    step.image.is_some() || step.latency_target_ms.is_some() || step.best_effort_cpu
}

const fn role(step: &Step) -> RunRole {
    if step.best_effort_cpu {
        RunRole::BestEffort
    } else if step.long_running && step.latency_target_ms.is_some() {
        RunRole::Serving
    } else {
        RunRole::Working
    }
}

impl ReportedRoles {
    fn add(&mut self, run: RunKey, step: &Step, reported: &ReportedRun, is_paced: bool) {
        let role = role(step);
        match role {
            RunRole::BestEffort => {
                self.best_effort.push(run);
                self.best_effort_images.extend(step.image.clone());
            }
            RunRole::Serving => {
                self.has_target = true;
                self.serving_images.extend(step.image.clone());
                let target_ms = step.latency_target_ms.map_or(0, Millis::get).max(1);
                let load = reported
                    .reading
                    .map(|tail| u64::from(tail.0).saturating_mul(100).div_ceil(target_ms));
                self.load_percent = self.load_percent.max(load);
            }
            RunRole::Working => {}
        }
        if let Some(image) = &step.image {
            self.observed.push(ObservedRun {
                run,
                image: image.clone(),
                role,
                percent: reported.percent,
                reading: reported.reading,
                is_paced: is_paced && role == RunRole::BestEffort,
            });
        }
    }

    fn start(&self, learned: &Interference) -> PaceStart {
        let is_harmful = |best_effort: &SmolStr| {
            let mut serving = self.serving_images.iter();
            serving.any(|image| learned.slowdown_percent(image, best_effort) > 0)
        };
        if self.has_inherited {
            PaceStart::Inherited
        } else if self.best_effort_images.iter().any(is_harmful) {
            PaceStart::Harmful
        } else {
            PaceStart::Unknown
        }
    }
}

impl Planner {
    /// Learns from the runs of a report and adapts the rate of its best-effort runs.
    pub(super) fn observe_interference(
        &mut self,
        report: &WorkerReport,
        state: &Workload,
        now: Millis,
    ) {
        if !self.options.interference {
            return;
        }
        let roles = self.roles_in(report, state, now);
        let changes = self
            .pacing
            .learned
            .observe(&report.worker, &roles.observed, now);
        for change in &changes {
            let (image, beside) = (&change.image, &change.beside);
            let (slowdown_percent, samples) = (change.slowdown_percent, change.samples);
            match change.change {
                Change::Found => {
                    info!(event = "interference_found", %image, %beside, slowdown_percent, samples);
                }
                Change::Forgotten => {
                    info!(event = "interference_forgotten", %image, %beside, slowdown_percent,
                        samples);
                }
            }
        }
        if !changes.is_empty() {
            metrics::gauge!("interference_pairs")
                .set(gauge_value(self.pacing.learned.found_pairs()));
        }
        self.adapt_rate(report, &roles, now);
    }

    fn roles_in(&self, report: &WorkerReport, state: &Workload, now: Millis) -> ReportedRoles {
        let mut roles = ReportedRoles::default();
        let Some(worker) = self.workers.get(&report.worker) else {
            return roles;
        };
        // Looking up reported names takes most of the time, so it is left out where nothing needs it.
        let mut steps = worker
            .running
            .keys()
            .filter_map(|run| state.step(run.task.step));
        if !steps.any(|(step, _tasks)| concerns(step)) {
            return roles;
        }
        let paced = self.pacing.workers.get(&report.worker);
        let is_paced = paced.is_some_and(|paced| paced.is_paced_within(RATE_SETTLE_MS, now));
        for reported in &report.running {
            let Some(task) = state.task_key(&reported.task) else {
                continue;
            };
            let run = RunKey {
                task,
                run: reported.run,
            };
            let (Some(progress), Some((step, _tasks))) =
                (worker.running.get(&run), state.step(task.step))
            else {
                continue;
            };
            let is_new = progress.first_seen_ms == now;
            roles.has_inherited |= step.best_effort_cpu && progress.is_inherited && is_new;
            roles.add(run, step, reported, is_paced);
        }
        roles
    }

    fn adapt_rate(&mut self, report: &WorkerReport, roles: &ReportedRoles, now: Millis) {
        let timing = self.pace_timing();
        let Pacing { learned, workers } = &mut self.pacing;
        let known = workers.get(&report.worker);
        let is_current = known.is_some_and(|paced| paced.incarnation == report.incarnation);
        let is_needed = !roles.best_effort.is_empty()
            && (roles.has_target || roles.has_inherited || is_current);
        if !is_needed {
            if workers.remove(&report.worker).is_some() {
                self.record_paced_tasks();
            }
            return;
        }
        if !is_current {
            let paced = WorkerPace {
                incarnation: report.incarnation,
                pace: Pace::new(roles.start(learned), now),
                has_target: roles.has_target,
                runs: 0,
            };
            workers.insert(report.worker.clone(), paced);
        }
        let Some(paced) = workers.get_mut(&report.worker) else {
            return;
        };
        paced.has_target = roles.has_target;
        let is_counted = paced.runs == roles.best_effort.len();
        paced.runs = roles.best_effort.len();
        let cause = if roles.has_target {
            paced.pace.observe(roles.load_percent, timing, now)
        } else {
            paced.pace.release(now)
        };
        let percent = paced.pace.percent();
        let is_over = !roles.has_target && !paced.is_paced_within(PACED_LATELY_MS, now);
        if is_over {
            workers.remove(&report.worker);
        }
        for run in roles.best_effort.iter().filter(|_run| cause.is_some()) {
            let why = cause.unwrap_or(PaceCause::NoTarget);
            if why == PaceCause::TargetMissed {
                warn!(event = "task_paced", run = %run, percent, why = %why);
            } else {
                info!(event = "task_paced", run = %run, percent, why = %why);
            }
        }
        if cause.is_some() || !is_counted {
            self.record_paced_tasks();
        }
    }

    /// Adds the rates of the worker's best-effort runs to its orders.
    ///
    /// A report does not show whether an earlier rate arrived, so it is repeated while it is below
    /// the full one and, at the full one, for the longest lease after the change. A worker renews
    /// its lease by an answer only, so by then it has the rate or has ended the run.
    pub(super) fn add_rates(
        &self,
        orders: &mut WorkerOrders,
        report: &WorkerReport,
        state: &Workload,
        now: Millis,
    ) {
        let Some(paced) = self.pacing.workers.get(&report.worker) else {
            return;
        };
        if paced.incarnation != report.incarnation {
            return;
        }
        if paced.has_target {
            let longest_ms = self.pace_timing().report_interval_ms();
            orders.report_after_ms = orders.report_after_ms.min(longest_ms);
        }
        let repeated_until_ms = self.lease_end(paced.pace.changed_ms());
        if paced.pace.percent() == FULL_PERCENT && now > repeated_until_ms {
            return;
        }
        for (run, incarnation) in state.runs_placed_on(&report.worker) {
            let step = state.step(run.task.step);
            let is_best_effort = step.is_some_and(|(step, _tasks)| step.best_effort_cpu);
            if !is_best_effort || incarnation != report.incarnation {
                continue;
            }
            let Some(task) = state.task_name(run.task) else {
                continue;
            };
            let is_started = orders
                .starts
                .iter()
                .any(|start| start.task == task && start.run == run.run);
            let is_running = report
                .running
                .iter()
                .any(|reported| reported.task == task && reported.run == run.run);
            let is_stopped = orders
                .stops
                .iter()
                .any(|(stopped, number)| *stopped == task && *number == run.run);
            if (is_started || is_running) && !is_stopped {
                orders.rates.push(RateOrder {
                    task,
                    run: run.run,
                    percent: paced.pace.percent(),
                });
            }
        }
    }

    /// Drops what is kept for workers that are no longer known.
    pub(super) fn forget_interference_of_lost_workers(&mut self) {
        let workers = &self.workers;
        let pacing = &mut self.pacing;
        pacing
            .learned
            .retain_workers(|worker| workers.contains_key(worker));
        let before = pacing.workers.len();
        pacing
            .workers
            .retain(|worker, _paced| workers.contains_key(worker));
        if pacing.workers.len() < before {
            self.record_paced_tasks();
        }
    }

    const fn pace_timing(&self) -> PaceTiming {
        PaceTiming {
            pace_ms: self.options.pace_ms,
            harm_ms: self.options.harm_ms,
        }
    }

    fn record_paced_tasks(&self) {
        metrics::gauge!("paced_tasks").set(gauge_value(self.pacing.paced_tasks()));
    }
}

fn gauge_value(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
