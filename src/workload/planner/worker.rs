use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::units::{Millis, Sequence, ServiceName, ZoneId};
use crate::workload::{Resources, RunKey, WorkerIncarnation, WorkerReport};

/// Failures in a row after which a worker gets no new tasks for a while.
const QUARANTINE_FAILURES: u32 = 2;
/// How long it gets none after that; the time doubles with each further failure.
const QUARANTINE_MS: Millis = Millis(3_000);
/// The most doublings of that time.
const QUARANTINE_DOUBLINGS_MAX: u32 = 3;

/// A worker as its reports show it.
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
    /// Until when it stays at least, where it leaves.
    pub(super) available_until_ms: Option<Millis>,
    /// When it deregistered.
    pub(super) deregistered_ms: Option<Millis>,
    pub(super) last_report_ms: Millis,
    /// Until when something may run there that any leader ordered.
    pub(super) lease_until_ms: Millis,
    /// What its last report lists as running.
    pub(super) running: BTreeMap<RunKey, RunProgress>,
    /// What may have become of placed runs that are not listed.
    pub(super) unreported: BTreeMap<RunKey, UnreportedRun>,
    /// Whether its last report lists a run that has no place there.
    pub(super) has_unknown_runs: bool,
    /// Failures since the last task that did its work.
    pub(super) failures: u32,
    pub(super) quarantined_until_ms: Millis,
}

/// What may have become of a placed run that the last report does not list.
///
/// A run that is being stopped is in neither list until its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UnreportedRun {
    /// An earlier leader may have ordered its start.
    Inherited,
    /// It was told to stop at that time, and may have been started by an earlier leader.
    StopOrdered { since_ms: Millis },
    /// Its start was ordered in the answer to that report.
    StartOrdered { sequence: Sequence },
    /// It was listed as running before.
    WasRunning,
}

/// A run as the last report shows it.
#[derive(Clone, Debug)]
pub(super) struct RunProgress {
    pub(super) first_seen_ms: Millis,
    pub(super) checkpoint: SmolStr,
    /// How much of its work is done, in percent.
    pub(super) percent: u32,
    /// When that last changed, or it began.
    pub(super) last_progress_ms: Millis,
}

impl Worker {
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
            last_report_ms: Millis::ZERO,
            lease_until_ms,
            running: BTreeMap::new(),
            unreported: BTreeMap::new(),
            has_unknown_runs: false,
            failures: 0,
            quarantined_until_ms: Millis::ZERO,
        };
        worker.update_description(report);
        worker
    }

    /// Takes over what a report says of the worker itself; gives whether anything changed.
    pub(super) fn update_description(&mut self, report: &WorkerReport) -> bool {
        let same = self.capacity == report.capacity
            && self.draining == report.draining
            && self.labels == report.labels
            && self.service == report.service
            && self.zone == report.zone;
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

    /// Counts a failure; a worker on which task after task fails must not draw more work.
    pub(super) fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES {
            return;
        }
        let doublings = (self.failures - QUARANTINE_FAILURES).min(QUARANTINE_DOUBLINGS_MAX);
        let pause = Millis(QUARANTINE_MS.get() << doublings);
        self.quarantined_until_ms = now.saturating_add(pause);
    }
}
