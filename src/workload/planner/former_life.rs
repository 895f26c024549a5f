//! Decides what a worker's next life may hold of the runs that were placed on its former one.
//!
//! Load pattern: a worker restarts under its old id while the answer to its last report is on its way,
//! with the order to start a run, and is cut off soon after. The worker can't tell that the answer was
//! meant for its former life: it starts the run and holds it under the lease of that answer. See
//! docs/design/returned-workers.md.

use std::collections::BTreeMap;

use tracing::info;

use super::Planner;
use super::reports::LossCause;
use super::worker::{UnreportedRun, Worker, on_slow_clock};
use crate::telemetry::record_former_run_started;
use crate::units::Millis;
use crate::workload::{
    ANSWER_VALID_MS, Placement, RunEnd, RunKey, Transition, WorkerReport, Workload,
};

/// What is known of a run that was placed on a former life of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FormerRun {
    /// The present life has not listed it.
    Unlisted,
    /// The present life has started it.
    Started,
}

/// How long answers to reports of a worker's former lives may take effect in its present one.
#[derive(Debug)]
#[expect(
    clippy::struct_field_names,
    reason = "each is a time, and a field carries its unit"
)]
pub(super) struct FormerLife {
    /// The worker's clock at the first report of the present life that this leader received with one.
    first_clock_ms: Option<Millis>,
    /// When the last answer to a report of a former life is void.
    answers_void_ms: Millis,
    /// When a lease that such an answer grants is over at the latest.
    pub(super) lease_until_ms: Millis,
}

impl FormerLife {
    /// Whether an answer to a former life may still take effect. A late acknowledgement in it would make
    /// the present life forget ends that it has not reported, so it gets no new runs meanwhile.
    pub(super) fn may_hear_answers(&self, now: Millis) -> bool {
        now < self.answers_void_ms
    }

    /// Whether a report was sent after all answers to former lives had become void. The reports that
    /// they answer were sent before the present life began, and so before its first report.
    ///
    /// The time of receipt proves nothing alone, as the report may be late, and neither does the
    /// worker's clock, as it may have jumped.
    fn is_over(&self, clock_ms: Option<Millis>, now: Millis) -> bool {
        let clocks = clock_ms.zip(self.first_clock_ms);
        let was_sent_later = clocks.is_some_and(|(clock_ms, first_ms)| {
            clock_ms.since(first_ms) >= on_slow_clock(ANSWER_VALID_MS)
        });
        (was_sent_later && !self.may_hear_answers(now)) || now > self.lease_until_ms
    }
}

impl Worker {
    /// Whether the next life of this worker may start a run: the order to start it was given, and the
    /// worker has not listed it since.
    fn may_start_in_next_life(&self, run: RunKey) -> bool {
        let is_unlisted = matches!(
            self.unreported.get(&run),
            Some(
                UnreportedRun::Inherited
                    | UnreportedRun::StopOrdered { .. }
                    | UnreportedRun::StartOrdered { .. }
            )
        );
        let is_running = self.running.contains_key(&run);
        self.former_runs.contains_key(&run) || (is_unlisted && !is_running)
    }
}

impl Planner {
    /// The runs placed on a worker's former lives that its new life may start or have started. What an
    /// earlier leader ordered is not known, so that may be all of them.
    pub(super) fn former_runs(
        &self,
        report: &WorkerReport,
        state: &Workload,
    ) -> BTreeMap<RunKey, FormerRun> {
        let former = self.workers.get(&report.worker);
        let placed = state.runs_placed_on(&report.worker);
        placed
            .filter(|(_run, incarnation)| *incarnation < report.incarnation)
            .filter(|(run, _incarnation)| {
                former.is_none_or(|former| former.may_start_in_next_life(*run))
            })
            .map(|(run, _incarnation)| (run, FormerRun::Unlisted))
            .collect()
    }

    /// The former life of a worker whose new life reports for the first time; `None` if this leader
    /// knows of none.
    pub(super) fn former_life(
        &self,
        report: &WorkerReport,
        has_former_runs: bool,
    ) -> Option<FormerLife> {
        let former = self.workers.get(&report.worker);
        if former.is_none() && !has_former_runs {
            return None;
        }
        let inherited = self.inherited_lease_end();
        let lease_end = former.map_or(inherited, |former| former.lease_until_ms.max(inherited));
        let last_report_ms = former.map_or(Millis::ZERO, |former| former.last_report_ms);
        let valid_ms = on_slow_clock(ANSWER_VALID_MS);
        Some(FormerLife {
            first_clock_ms: report.clock_ms,
            // An earlier leader decided on its last answers before this one was elected, and the
            // reports that they answer had been read before that.
            answers_void_ms: last_report_ms.max(self.elected_ms).saturating_add(valid_ms),
            lease_until_ms: lease_end.saturating_add(valid_ms),
        })
    }

    /// Where a run is that was placed on `place`: the present life of the worker may hold it, and is then
    /// the one that lists its end.
    pub(super) fn holder_of(&self, run: RunKey, place: Placement) -> Placement {
        let worker = self.workers.get(&place.worker);
        match worker.filter(|worker| worker.former_runs.contains_key(&run)) {
            Some(worker) => Placement {
                incarnation: worker.incarnation,
                ..place
            },
            None => place,
        }
    }

    /// Follows the runs of former lives in a report, and ends those that do not run and can't start any
    /// more. Those that were started are stopped like all runs that are not placed on this life; they
    /// end when the worker lists their ends.
    pub(super) fn follow_former_runs(
        &mut self,
        report: &WorkerReport,
        state: &Workload,
        now: Millis,
        transitions: &mut Vec<Transition>,
    ) {
        let Some(worker) = self.workers.get_mut(&report.worker) else {
            return;
        };
        if worker.former_life.is_none() && worker.former_runs.is_empty() {
            return;
        }
        worker.former_runs.retain(|run, _seen| {
            let task = state.task(run.task);
            task.is_some_and(|task| task.run == run.run && task.placement.is_some())
        });
        for listed in &report.running {
            let task = state.task_key(&listed.task);
            let run = task.map(|task| RunKey {
                task,
                run: listed.run,
            });
            let former = run.and_then(|run| worker.former_runs.get_mut(&run));
            if let Some(former) = former.filter(|former| **former == FormerRun::Unlisted) {
                info!(event = "former_run_started", job = %listed.task.job, task = %listed.task,
                    run = listed.run, worker = %report.worker, life = %report.incarnation,
                    report = %report.sequence);
                record_former_run_started();
                *former = FormerRun::Started;
            }
        }
        let ends = worker.former_life.take_if(|life| {
            life.first_clock_ms = life.first_clock_ms.or(report.clock_ms);
            life.is_over(report.clock_ms, now)
        });
        if ends.is_some() {
            info!(event = "former_life_over", worker = %report.worker, life = %report.incarnation);
            self.dirty = true;
        }
        if worker.former_life.is_some() {
            return;
        }
        let unlisted =
            |(run, seen): (&RunKey, &FormerRun)| (*seen == FormerRun::Unlisted).then_some(*run);
        let lost: Vec<RunKey> = worker.former_runs.iter().filter_map(unlisted).collect();
        for run in lost {
            let why = LossCause::NotStarted;
            let end = self.end_lost_run(&report.worker, run, RunEnd::Lapsed, why, state);
            transitions.push(end);
        }
    }
}
