//! Remembers which workers were lately lost, restarted or broke a gang. Gangs are placed on them
//! last, because a gang is lost with any of its workers; single tasks are not affected.
//!
//! Load: a quarter of the workers is partitioned for 6 s, and others go down and come back every
//! 1.4 s. The state is that of one leader and ends with it.

use std::collections::BTreeMap;

use tracing::info;

use super::Planner;
use crate::units::{Millis, WorkerId};

/// How long a worker counts as unreliable after its first fault. A worker that goes down and comes
/// back repeatedly has its next fault well before that.
const UNRELIABLE_MS: Millis = Millis(15_000);
/// The longest such time, which each further fault doubles.
const UNRELIABLE_MAX_MS: Millis = Millis(60_000);

/// Why a worker counts as unreliable.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub(super) enum WorkerFault {
    /// It was silent for a lease while runs were placed on it.
    #[display("silent")]
    Silent,
    /// It restarted without having deregistered.
    #[display("restarted")]
    Restarted,
    /// Its silence broke a gang, or kept one from starting.
    #[display("broke_gang")]
    BrokeGang,
}

#[derive(Clone, Copy, Debug)]
struct Distrust {
    noted_ms: Millis,
    period_ms: Millis,
}

impl Distrust {
    fn until_ms(self) -> Millis {
        self.noted_ms.saturating_add(self.period_ms)
    }

    /// Until when a further fault counts as a repeated one.
    fn forgotten_ms(self) -> Millis {
        self.until_ms().saturating_add(self.period_ms)
    }
}

/// The workers that had a fault lately.
#[derive(Debug, Default)]
pub(super) struct UnreliableWorkers {
    by_worker: BTreeMap<WorkerId, Distrust>,
}

impl UnreliableWorkers {
    /// Whether gangs are placed on the worker last.
    pub(super) fn contains(&self, worker: &WorkerId, now: Millis) -> bool {
        let distrust = self.by_worker.get(worker);
        distrust.is_some_and(|distrust| now < distrust.until_ms())
    }

    /// Records a fault of a worker that was last heard at `heard_ms`, and returns until when the
    /// worker counts as unreliable. Faults without a report between them are one.
    fn record(&mut self, worker: &WorkerId, heard_ms: Millis, now: Millis) -> Millis {
        let known = self.by_worker.get(worker).copied();
        let period_ms = match known.filter(|known| now < known.forgotten_ms()) {
            Some(known) if heard_ms > known.noted_ms => {
                Millis((known.period_ms.get() * 2).min(UNRELIABLE_MAX_MS.get()))
            }
            Some(known) => known.period_ms,
            None => UNRELIABLE_MS,
        };
        let noted_ms = now;
        let distrust = Distrust {
            noted_ms,
            period_ms,
        };
        self.by_worker.insert(worker.clone(), distrust);
        distrust.until_ms()
    }
}

impl Planner {
    /// Records a fault of a known worker.
    pub(super) fn record_worker_fault(&mut self, id: &WorkerId, why: WorkerFault, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.deregistered_ms.is_some() {
            return;
        }
        let until_ms = self.unreliable.record(id, worker.last_report_ms, now);
        info!(event = "worker_unreliable", worker = %id, until_ms = until_ms.get(), why = %why);
    }

    /// Forgets old faults, and those of workers that are no longer known.
    pub(super) fn forget_old_faults(&mut self, now: Millis) {
        let workers = &self.workers;
        self.unreliable.by_worker.retain(|worker, distrust| {
            now < distrust.forgotten_ms() && workers.contains_key(worker)
        });
    }
}
