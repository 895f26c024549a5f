//! What the leader decides about runs: which start where, which stop, and which are lost.

mod candidates;
mod drain;
mod gang_presence;
mod guarantee;
mod orders;
mod pending;
mod plan;
mod reclaim;
mod reports;
mod reservation;
mod stalled;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use bon::Builder;

use self::gang_presence::GangPresence;
use self::guarantee::GuaranteeCoverage;
use self::pending::RunTimeEstimates;
use self::reservation::Reservation;
use self::stalled::AvoidedWorkers;
use self::worker::Worker;
use super::{RunKey, StepKey, Transition};
use crate::units::{Millis, Term, WorkerId};

/// Times and limits of the planner; operators set them, see docs/OPERATORS.md.
#[derive(Builder, Clone, Debug, Eq, PartialEq)]
pub struct PlannerOptions {
    /// How long what runs on a worker may go on after a report.
    #[builder(default = Millis(6_000))]
    pub lease_ms: Millis,
    /// How often a worker reports at most, where there are few.
    #[builder(default = Millis(200))]
    pub report_after_ms: Millis,
    /// The time that each worker adds to the pause between reports, in microseconds.
    #[builder(default = 2_000)]
    pub report_spread_us: u64,
    /// A worker that has not reported for this long gets no new tasks.
    #[builder(default = Millis(1_200))]
    pub fresh_ms: Millis,
    /// How long a stop takes at most.
    #[builder(default = Millis(900))]
    pub stop_ms: Millis,
    /// How many times as long a task takes away from its data or its gang's rack.
    #[builder(default = 3)]
    pub far_factor: u64,
    /// How long the members of a gang wait for each other on their workers.
    #[builder(default = Millis(3_000))]
    pub gang_wait_ms: Millis,
    /// The longest time to the start of an urgent job inside its team's guarantee.
    #[builder(default = Millis(5_800))]
    pub urgent_start_ms: Millis,
    /// How much earlier than due an occurrence may start.
    #[builder(default = Millis(0))]
    pub early_ms: Millis,
}

/// What the leader knows beyond the replicated state, and the decisions that rest on it.
///
/// It holds no clock and no random source: the same reports at the same times give the same
/// transitions and orders.
#[derive(Debug)]
pub struct Planner {
    options: PlannerOptions,
    term: Term,
    elected_ms: Millis,
    workers: BTreeMap<WorkerId, Worker>,
    /// Runs that have to stop though their job goes on.
    stopping: BTreeSet<RunKey>,
    guarantees: GuaranteeCoverage,
    /// The room for which others were made to leave.
    reservations: BTreeMap<StepKey, Reservation>,
    /// Gangs of which not all members are known to run, and when they got their places.
    starting_gangs: BTreeMap<(StepKey, u32), Millis>,
    presence: GangPresence,
    run_times: RunTimeEstimates,
    avoided: AvoidedWorkers,
    /// Whether something changed that may let a task start.
    dirty: bool,
}

/// What follows from a worker's report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportOutcome {
    /// Whether the report is newer than all before it; only then it gets orders.
    pub is_current: bool,
    /// What must be committed before the report is answered.
    pub transitions: Vec<Transition>,
}

impl Planner {
    /// A planner for a leadership that began now.
    #[must_use]
    pub fn new(options: PlannerOptions, term: Term, now: Millis) -> Self {
        Self {
            options,
            term,
            elected_ms: now,
            workers: BTreeMap::new(),
            stopping: BTreeSet::new(),
            guarantees: GuaranteeCoverage::default(),
            reservations: BTreeMap::new(),
            starting_gangs: BTreeMap::new(),
            presence: GangPresence::default(),
            run_times: RunTimeEstimates::default(),
            avoided: AvoidedWorkers::default(),
            dirty: true,
        }
    }

    /// Something changed in the replicated state that may let a task start.
    pub const fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Whether a look at the waiting tasks may start some.
    #[must_use]
    pub const fn is_dirty(&self) -> bool {
        self.dirty
    }
}
