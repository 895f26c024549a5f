//! Decides which runs start on which workers, which runs are stopped, and which are lost.

mod candidates;
mod drain;
mod former_life;
mod gang_checkpoints;
mod gang_presence;
mod gang_room;
mod guarantee;
mod idle_reports;
mod like_speed;
mod log_scale;
mod orders;
mod pacing;
mod pending;
mod plan;
mod reclaim;
mod reliability;
mod reports;
mod reservation;
mod run_forecast;
mod run_times;
mod speed_references;
mod speeds;
mod stalled;
mod team_quota;
mod unheard_ends;
mod urgent_racks;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use bon::Builder;

use self::gang_checkpoints::GangCheckpoints;
use self::gang_presence::GangPresence;
use self::guarantee::GuaranteeCoverage;
use self::pacing::Pacing;
use self::reliability::UnreliableWorkers;
use self::reservation::Reservation;
use self::run_times::RunTimeEstimates;
use self::speed_references::SpeedReferences;
use self::stalled::{AvoidedWorkers, EarlyStalls};
use self::urgent_racks::UrgentDemand;
use self::worker::Worker;
use super::{RunKey, StepKey, Transition};
use crate::units::{Millis, Term, WorkerId};

/// Timing parameters and limits of the planner, set by the operator; see docs/OPERATORS.md.
#[derive(Builder, Clone, Debug, Eq, PartialEq)]
pub struct PlannerOptions {
    /// How long runs on a worker may continue after a report without a newer lease.
    #[builder(default = Millis(6_000))]
    pub lease_ms: Millis,
    /// The interval between a worker's reports in a small fleet.
    #[builder(default = Millis(200))]
    pub report_after_ms: Millis,
    /// The report interval is at least this many microseconds for each known worker, which bounds
    /// the rate of reports in a large fleet.
    #[builder(default = 2_000)]
    pub report_spread_us: u64,
    /// A worker whose last report is older than this gets no new tasks.
    #[builder(default = Millis(1_200))]
    pub fresh_ms: Millis,
    /// The longest time that a worker takes to stop a run.
    #[builder(default = Millis(900))]
    pub stop_ms: Millis,
    /// The factor by which a task runs longer away from its data, or a gang outside one rack.
    #[builder(default = 3)]
    pub far_factor: u64,
    /// How long the members of a gang wait on their workers for each other to start.
    #[builder(default = Millis(3_000))]
    pub gang_wait_ms: Millis,
    /// The longest time until an urgent job within its team's guarantee must have started.
    #[builder(default = Millis(5_800))]
    pub urgent_start_ms: Millis,
    /// How much earlier than its due time an occurrence may start.
    #[builder(default = Millis(0))]
    pub early_ms: Millis,
    /// Placement considers the speeds of a service's workers if the fastest tenth is at least this
    /// fast, in percent of the speed of the slowest tenth; 0: never.
    #[builder(default = 0)]
    pub uneven_speed_percent: u64,
    /// Whether to learn which images slow down which, and to pace best-effort tasks.
    #[builder(default = false)]
    pub interference: bool,
    /// How long after its receipt a rate takes effect.
    #[builder(default = Millis(100))]
    pub pace_ms: Millis,
    /// For how long a task may exceed its latency target because of best-effort tasks.
    #[builder(default = Millis(4_000))]
    pub harm_ms: Millis,
}

/// Makes the leader's scheduling decisions from the replicated state and the workers' reports.
///
/// The planner reads no clock and uses no randomness: the same reports at the same times give the
/// same transitions and orders.
#[derive(Debug)]
pub struct Planner {
    options: PlannerOptions,
    term: Term,
    elected_ms: Millis,
    workers: BTreeMap<WorkerId, Worker>,
    /// Runs to stop although their job continues.
    stopping: BTreeSet<RunKey>,
    guarantees: GuaranteeCoverage,
    /// Resources that are being reclaimed, by the step for which they are reserved.
    reservations: BTreeMap<StepKey, Reservation>,
    /// Blocked steps for which nothing could be reclaimed, and when that is tried again.
    reclaim_retries: BTreeMap<StepKey, Millis>,
    /// Gangs not all of whose members are known to run yet, with the time of their placement.
    starting_gangs: BTreeMap<(StepKey, u32), Millis>,
    presence: GangPresence,
    unreliable: UnreliableWorkers,
    checkpoints: GangCheckpoints,
    run_times: RunTimeEstimates,
    speeds: SpeedReferences,
    avoided: AvoidedWorkers,
    early_stalls: EarlyStalls,
    urgent_demand: UrgentDemand,
    pacing: Pacing,
    /// Whether something changed since the last planning pass that may let a task start.
    dirty: bool,
}

/// The result of handling a worker's report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportOutcome {
    /// Whether the report is newer than every earlier one of this worker; older reports get no
    /// orders.
    pub is_current: bool,
    /// Transitions that must be committed before the report is answered.
    pub transitions: Vec<Transition>,
}

impl Planner {
    /// Creates a planner for a leadership that begins at `now`.
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
            reclaim_retries: BTreeMap::new(),
            starting_gangs: BTreeMap::new(),
            presence: GangPresence::default(),
            unreliable: UnreliableWorkers::default(),
            checkpoints: GangCheckpoints::default(),
            run_times: RunTimeEstimates::default(),
            speeds: SpeedReferences::default(),
            avoided: AvoidedWorkers::default(),
            early_stalls: EarlyStalls::default(),
            urgent_demand: UrgentDemand::default(),
            pacing: Pacing::default(),
            dirty: true,
        }
    }

    /// Requests a planning pass after a change of the replicated state that may let a task start.
    pub const fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Whether a planning pass is needed.
    #[must_use]
    pub const fn is_dirty(&self) -> bool {
        self.dirty
    }
}
