use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::former_life::{FormerLife, FormerRun};
use super::run_forecast::ProgressMark;
use super::speeds::WorkerSpeed;
use crate::units::{Millis, Sequence, ServiceName, ZoneId};
use crate::workload::{
    ANSWER_VALID_MS, Resources, RunKey, TaskName, WorkerIncarnation, WorkerReport,
};

/// Consecutive failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 2;
/// The first quarantine period; each further failure doubles it.
const QUARANTINE_MS: Millis = Millis(3_000);
/// The maximum number of times the quarantine period is doubled.
const QUARANTINE_DOUBLINGS_MAX: u32 = 3;

/// Added to the stop time before a run that the worker does not report counts as ended.
pub(super) const STOP_SLACK_MS: Millis = Millis(1_000);

/// How much slower than the leader's a worker's clock may run, in percent, as the platform
/// specifies for leases.
const CLOCK_MARGIN_PERCENT: u64 = 3;

/// How long a span that a worker measures may last by the leader's clock.
pub(super) fn on_slow_clock(span_ms: Millis) -> Millis {
    let margin = span_ms.get().saturating_mul(CLOCK_MARGIN_PERCENT) / 100;
    span_ms.saturating_add(Millis(margin))
}

/// A worker as known from its reports.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) incarnation: WorkerIncarnation,
    pub(super) sequence: Sequence,
    pub(super) service: ServiceName,
    pub(super) zone: ZoneId,
    pub(super) rack: Option<SmolStr>,
    pub(super) labels: Vec<SmolStr>,
    pub(super) capacity: Resources,
    pub(super) draining: bool,
    /// For a draining worker, the time until which it is at least available.
    pub(super) available_until_ms: Option<Millis>,
    /// When the worker deregistered.
    pub(super) deregistered_ms: Option<Millis>,
    /// When the present life was first heard, if the worker has had another one.
    pub(super) returned_ms: Option<Millis>,
    pub(super) last_report_ms: Millis,
    /// Until when the answer to its last report may be held back.
    pub(super) held_until_ms: Millis,
    /// Until when the worker may hold a lease from this or an earlier leader, so that runs on it
    /// may continue.
    pub(super) lease_until_ms: Millis,
    /// The placed runs that the last report lists as running.
    pub(super) running: BTreeMap<RunKey, RunProgress>,
    /// The possible state of placed runs that the last report does not list.
    pub(super) unreported: BTreeMap<RunKey, UnreportedRun>,
    /// Runs placed on former lives of the worker that this one may start, or has started.
    pub(super) former_runs: BTreeMap<RunKey, FormerRun>,
    /// The former life, until a report shows what this one has started of it.
    pub(super) former_life: Option<FormerLife>,
    /// Whether the last report lists a run that is not placed on this worker.
    pub(super) has_unknown_runs: bool,
    /// The tasks and run numbers that the last report lists although they are not placed on this
    /// life of the worker.
    pub(super) unplaced: BTreeSet<(TaskName, u32)>,
    /// Failures since the last task that succeeded.
    pub(super) failures: u32,
    pub(super) quarantined_until_ms: Millis,
    pub(super) speed: WorkerSpeed,
}

/// The possible state of a placed run that the worker's last report does not list.
///
/// Workers list a run that is being stopped neither as running nor as ended until it has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UnreportedRun {
    /// An earlier leader may have ordered its start, and then its stop.
    Inherited,
    /// A stop was ordered at `since_ms`; an earlier leader may have started the run.
    StopOrdered { since_ms: Millis },
    /// Its start was ordered for the `attempts`-th time in the answer to the report with this
    /// sequence number.
    StartOrdered {
        sequence: Sequence,
        /// When the report was received that was answered with the latest start order.
        ordered_ms: Millis,
        attempts: u32,
        /// For an inherited run, until when a stop that an earlier leader ordered may last.
        inherited_stop_until_ms: Option<Millis>,
    },
    /// An earlier report listed it as running.
    WasRunning,
}

/// A run as the last report shows it.
#[derive(Clone, Debug)]
pub(super) struct RunProgress {
    pub(super) first_seen_ms: Millis,
    /// The completed share of its work when it was first seen, in percent.
    pub(super) first_percent: u32,
    /// Its progress when that had first risen since it was first seen.
    pub(super) first_rise: Option<ProgressMark>,
    /// Whether an earlier leader may have started it long before it was first seen.
    pub(super) is_inherited: bool,
    pub(super) checkpoint: SmolStr,
    /// When `checkpoint` last changed, or when the run was first seen.
    pub(super) saved_ms: Millis,
    /// The completed share of its work, in percent.
    pub(super) percent: u32,
    /// When `percent` or `checkpoint` last changed, or when the run was first seen.
    pub(super) last_progress_ms: Millis,
}

impl UnreportedRun {
    /// Whether an earlier leader placed the run.
    pub(super) const fn is_inherited(self) -> bool {
        match self {
            Self::Inherited | Self::StopOrdered { .. } => true,
            Self::StartOrdered {
                inherited_stop_until_ms,
                ..
            } => inherited_stop_until_ms.is_some(),
            Self::WasRunning => false,
        }
    }

    /// Whether the run may still be on its way to a stop that an earlier leader ordered. The worker
    /// refuses its start meanwhile, so a refusal does not prove that it does not run.
    pub(super) fn may_be_stopping(self, now: Millis, stop_ms: Millis) -> bool {
        match self {
            Self::Inherited => true,
            Self::StopOrdered { since_ms } => now < stop_end(since_ms, stop_ms),
            Self::StartOrdered {
                inherited_stop_until_ms,
                ..
            } => inherited_stop_until_ms.is_some_and(|until_ms| now < until_ms),
            Self::WasRunning => false,
        }
    }
}

/// When a stop is certainly over that was ordered at `since_ms`, or by an earlier leader before then.
pub(super) fn stop_end(since_ms: Millis, stop_ms: Millis) -> Millis {
    since_ms
        .saturating_add(stop_ms)
        .saturating_add(STOP_SLACK_MS)
}

/// When the worker drops an answer to a report that was received at `received_ms`, at the latest.
fn answer_end(received_ms: Millis) -> Millis {
    received_ms.saturating_add(on_slow_clock(ANSWER_VALID_MS))
}

impl Worker {
    /// The latest time at which a placed run can have started, if it did; `None` if no start was
    /// ordered. An earlier leader gave its last orders before `elected_ms`.
    pub(super) fn latest_start(&self, run: RunKey, elected_ms: Millis) -> Option<Millis> {
        if let Some(seen) = self.running.get(&run) {
            return Some(seen.first_seen_ms);
        }
        match self.unreported.get(&run)? {
            UnreportedRun::Inherited | UnreportedRun::StopOrdered { .. } => {
                Some(answer_end(elected_ms))
            }
            UnreportedRun::StartOrdered { ordered_ms, .. } => Some(answer_end(*ordered_ms)),
            UnreportedRun::WasRunning => Some(self.last_report_ms),
        }
    }

    /// The same for an inherited run on a worker that has not reported to this leader.
    pub(super) fn latest_inherited_start(elected_ms: Millis) -> Millis {
        answer_end(elected_ms)
    }

    pub(super) fn new(report: &WorkerReport, lease_until_ms: Millis) -> Self {
        let mut worker = Self {
            incarnation: report.incarnation,
            sequence: Sequence::ZERO,
            service: report.service.clone(),
            zone: report.zone.clone(),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::ZERO,
            draining: false,
            available_until_ms: None,
            deregistered_ms: None,
            returned_ms: None,
            last_report_ms: Millis::ZERO,
            held_until_ms: Millis::ZERO,
            lease_until_ms,
            running: BTreeMap::new(),
            unreported: BTreeMap::new(),
            former_runs: BTreeMap::new(),
            former_life: None,
            has_unknown_runs: false,
            unplaced: BTreeSet::new(),
            failures: 0,
            quarantined_until_ms: Millis::ZERO,
            speed: WorkerSpeed::default(),
        };
        worker.update_description(report);
        worker
    }

    /// Updates the worker's attributes from a report and returns whether any of the compared ones
    /// changed.
    pub(super) fn update_description(&mut self, report: &WorkerReport) -> bool {
        let same = self.capacity == report.capacity
            && self.draining == report.draining
            && self.labels == report.labels
            && self.service == report.service
            && self.zone == report.zone;
        if self.capacity != report.capacity
            || self.labels != report.labels
            || self.service != report.service
        {
            self.speed = WorkerSpeed::default();
        }
        if !same {
            self.service.clone_from(&report.service);
            self.zone.clone_from(&report.zone);
            self.rack.clone_from(&report.rack);
            self.labels.clone_from(&report.labels);
            self.capacity = report.capacity;
            self.draining = report.draining;
        }
        !same
    }

    pub(super) const fn record_success(&mut self) {
        self.failures = 0;
        self.quarantined_until_ms = Millis::ZERO;
    }

    /// Counts a failure and quarantines the worker after consecutive ones, because a worker on
    /// which tasks fail fast would otherwise attract ever more of them.
    pub(super) fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES {
            return;
        }
        let doublings = (self.failures - QUARANTINE_FAILURES).min(QUARANTINE_DOUBLINGS_MAX);
        let period = Millis(QUARANTINE_MS.get() << doublings);
        self.quarantined_until_ms = now.saturating_add(period);
    }
}
