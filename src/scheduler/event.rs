use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{JobKey, JobRecord, JobTransition};
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::release_note::InForce;
use crate::units::{Accelerators, Millis, RackId, TeamId, Term, WorkerId, ZoneId};

/// What the scheduler is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// This process became leader; jobs are given from the durable state.
    Elected {
        /// The term of the leadership.
        term: Term,
        /// The state in force.
        in_force: Arc<InForce>,
        /// All jobs that have not ended.
        jobs: Vec<JobRecord>,
    },
    /// A note was committed.
    ReleaseNoteApplied {
        /// The new state in force.
        in_force: Arc<InForce>,
    },
    /// A job was committed as accepted.
    Submitted {
        /// The job.
        job: Box<JobRecord>,
    },
    /// A transition was committed.
    Committed {
        /// The transition.
        transition: JobTransition,
    },
    /// A transition that the scheduler asked for could not be committed; it must be asked for again.
    CommitFailed {
        /// The transition.
        transition: JobTransition,
    },
    /// A worker polled.
    Polled {
        /// Its report.
        poll: WorkerPoll,
    },
    /// Time passed; sent at least every 100 ms.
    Tick,
}

/// What the scheduler asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Commit this, then tell the scheduler.
    Commit(JobTransition),
    /// These orders replace the worker's earlier ones.
    Order(WorkerOrders),
    /// Log this decision.
    Explain {
        /// The job it is about.
        job: JobKey,
        /// The reason.
        explanation: Explanation,
    },
}

/// Why a job waits or was decided upon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// A stable code, for example `waits_for_zone`.
    pub code: SmolStr,
    /// A sentence for people.
    pub sentence: SmolStr,
}

/// What a team holds, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// Guaranteed accelerators.
    pub guaranteed: Accelerators,
    /// Accelerators used inside the guarantee.
    pub used: Accelerators,
    /// Accelerators borrowed beyond it.
    pub borrowed: Accelerators,
    /// Guaranteed accelerators that cannot be bound at present.
    pub at_risk: Accelerators,
    /// Why, where some are at risk.
    pub risk_cause: Option<SmolStr>,
    /// Jobs that wait.
    pub waiting: u32,
    /// Jobs that run.
    pub running: u32,
}

/// What is known of a worker, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// `up`, `lost`, `quarantined` or `probing`.
    pub state: SmolStr,
    /// How long the state still lasts, where that is known.
    pub remaining_ms: Option<Millis>,
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Accelerators in use.
    pub accelerators_used: Accelerators,
    /// Failures that count against it.
    pub failures: u32,
}
