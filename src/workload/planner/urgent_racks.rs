//! Keeps whole racks free of other work for urgent jobs, as many as they needed lately.
//!
//! Load pattern: urgent gangs arrive in bursts, are short and due within seconds, and want one
//! rack, while long runs of other queues occupy every accelerator that becomes free. An urgent gang
//! that has to stop other runs first is late by a stop and two reports, and the stopped work is
//! lost.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use super::Planner;
use super::candidates::{Candidate, Candidates};
use super::guarantee::is_urgent;
use crate::units::{Millis, ServiceName};
use crate::workload::{Resources, Workload};

/// How long it takes until a peak of urgent demand no longer reserves anything.
const PEAK_FADE_MS: Millis = Millis(20_000);
/// The largest part of a service's workers that is reserved, in percent.
const RESERVED_MAX_PERCENT: u64 = 40;
/// Racks are reserved only while at least this part of the service's resources is in use, in
/// percent. Below it, pending work must not wait while workers are idle.
const BUSY_PERCENT: u64 = 60;
/// The part of the guaranteed accelerators that a new leader expects urgent jobs to need, in
/// percent, until it has seen the actual demand.
const EXPECTED_GUARANTEE_PERCENT: u64 = 25;

/// The recent peak of the urgent demand for each service.
#[derive(Debug, Default)]
pub(super) struct UrgentDemand {
    peaks: BTreeMap<ServiceName, Peak>,
    has_observed: bool,
}

/// A demand that fades from the time at which it was seen.
#[derive(Clone, Copy, Debug)]
struct Peak {
    demand: Resources,
    seen_ms: Millis,
}

impl Peak {
    fn faded(self, now: Millis) -> Resources {
        let age_ms = now.since(self.seen_ms).min(PEAK_FADE_MS).get();
        let left_percent = 100 - age_ms * 100 / PEAK_FADE_MS.get();
        self.demand.percent(left_percent)
    }
}

impl UrgentDemand {
    /// Records the present demand, which counts where it exceeds what is left of earlier peaks.
    pub(super) fn observe(&mut self, state: &Workload, now: Millis) {
        let mut seen = present_demand(state);
        if !self.has_observed && state.declaration().is_some() {
            self.has_observed = true;
            for (service, expected) in expected_demand(state) {
                let demand = seen.entry(service).or_default();
                *demand = demand.max_each(expected);
            }
        }
        for (service, demand) in seen {
            let peak = self.peaks.get(&service);
            let left = peak.map_or(Resources::ZERO, |peak| peak.faded(now));
            if !demand.fits_in(left) {
                let demand = demand.max_each(left);
                let seen_ms = now;
                self.peaks.insert(service, Peak { demand, seen_ms });
            }
        }
        self.peaks
            .retain(|_service, peak| now.since(peak.seen_ms) < PEAK_FADE_MS);
    }

    /// Marks the candidates in the racks that are reserved for urgent work.
    fn reserve_racks(&self, candidates: &mut Candidates, now: Millis) {
        for (service, peak) in &self.peaks {
            let mut racks: BTreeMap<SmolStr, Vec<usize>> = BTreeMap::new();
            let mut workers = 0;
            let mut capacity = Resources::ZERO;
            for (at, candidate) in candidates.all.iter().enumerate() {
                if candidate.service != *service {
                    continue;
                }
                workers += 1;
                capacity = capacity.saturating_add(candidate.capacity);
                if let Some(rack) = &candidate.rack {
                    racks.entry(rack.clone()).or_default().push(at);
                }
            }
            let percent = peak
                .faded(now)
                .percent_of(capacity)
                .min(RESERVED_MAX_PERCENT);
            let mut missing = workers * percent / 100;
            let mut in_order: Vec<_> = racks.into_iter().collect();
            // The order is the same in each pass and under each leader, and spreads over the zones.
            in_order.sort_by_key(|(rack, _at)| crc32fast::hash(rack.as_bytes()));
            for (_rack, members) in in_order {
                if missing == 0 {
                    break;
                }
                missing = missing.saturating_sub(members.len() as u64);
                for at in members {
                    candidates.all[at].for_urgent = true;
                }
            }
        }
    }
}

/// A service's accelerators that urgent jobs are expected to need, by the guarantees of all teams.
fn expected_demand(state: &Workload) -> BTreeMap<ServiceName, Resources> {
    let Some(declaration) = state.declaration() else {
        return BTreeMap::new();
    };
    let teams = declaration.teams.iter();
    let guaranteed = teams.map(|team| team.guaranteed_accelerators);
    let guaranteed = guaranteed.fold(0, u64::saturating_add);
    let urgent = declaration.queues.iter();
    let urgent = urgent.filter(|queue| queue.policy.priority == 0);
    let services: BTreeSet<_> = urgent.map(|queue| &queue.policy.service).collect();
    let accelerators = guaranteed.saturating_mul(EXPECTED_GUARANTEE_PERCENT) / 100;
    let expected = Resources {
        accelerators: accelerators / (services.len() as u64).max(1),
        ..Resources::ZERO
    };
    let services = services.into_iter();
    services
        .map(|service| (service.clone(), expected))
        .collect()
}

/// What the runs and the ready tasks of urgent jobs need, by service.
fn present_demand(state: &Workload) -> BTreeMap<ServiceName, Resources> {
    let mut demand: BTreeMap<ServiceName, Resources> = BTreeMap::new();
    for (_number, job) in state.open_jobs().filter(|(_number, job)| is_urgent(job)) {
        for occurrence in job.occurrences.values() {
            for (_number, step, at) in job.ready_steps(occurrence) {
                let unfinished = u64::from(step.tasks.saturating_sub(occurrence.steps[at].done));
                let of_service = demand.entry(job.policy.service.clone()).or_default();
                let needed = step.allocation().saturating_mul(unfinished);
                *of_service = of_service.saturating_add(needed);
            }
        }
    }
    demand
}

impl Planner {
    /// Updates the urgent demand and reserves racks for it.
    pub(super) fn reserve_urgent_racks(
        &mut self,
        state: &Workload,
        candidates: &mut Candidates,
        now: Millis,
    ) {
        self.urgent_demand.observe(state, now);
        self.urgent_demand.reserve_racks(candidates, now);
    }
}

impl Candidates {
    /// Whether so much is in use that work other than urgent stays out of the reserved racks.
    pub(super) fn is_busy(&self) -> bool {
        self.in_use.percent_of(self.capacity) >= BUSY_PERCENT
    }
}

impl Candidate {
    /// Whether a step may take resources of this worker now, as far as reserved racks go. Data
    /// that lies in a reserved rack is not read from afar.
    pub(super) fn is_open_to(&self, is_urgent: bool, data_rack: Option<&SmolStr>) -> bool {
        let holds_data = data_rack.is_some() && data_rack == self.rack.as_ref();
        !self.for_urgent || is_urgent || holds_data
    }
}
