use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{JobKey, JobRecord, JobTransition};
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::release_note::ClusterConfig;
use crate::units::{Accelerators, Millis, RackId, TeamId, Term, WorkerId, ZoneId};

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// This process became leader.
    Elected {
        /// The term of the leadership.
        term: Term,
        /// The configuration in force.
        in_force: Arc<ClusterConfig>,
        /// All jobs of the durable state that have not ended.
        jobs: Vec<JobRecord>,
    },
    /// A release note was committed.
    ReleaseNoteApplied {
        /// The configuration now in force.
        in_force: Arc<ClusterConfig>,
    },
    /// The acceptance of a job was committed.
    Submitted {
        /// The accepted job.
        job: Box<JobRecord>,
    },
    /// A transition was committed.
    Committed {
        /// The committed transition.
        transition: JobTransition,
    },
    /// A requested transition could not be committed and must be requested again.
    CommitFailed {
        /// The transition that failed.
        transition: JobTransition,
    },
    /// A worker polled.
    Polled {
        /// The worker's report.
        poll: WorkerPoll,
    },
    /// Time passed; sent at least every 100 ms.
    Tick,
}

/// An output of the scheduler.
#[derive(Clone, Debug)]
pub enum Action {
    /// Commit this transition, then report the result as an event.
    Commit(JobTransition),
    /// Send these orders; they replace all earlier orders of the worker.
    Order(WorkerOrders),
    /// Log this decision.
    Explain {
        /// The job that the decision is about.
        job: JobKey,
        /// The reason for the decision.
        explanation: Explanation,
    },
}

/// The reason for the latest decision about a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// A stable code, for example `waits_for_zone`.
    pub code: SmolStr,
    /// A sentence for human readers.
    pub sentence: SmolStr,
}

/// The resources of a team, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamId,
    /// Guaranteed accelerators.
    pub guaranteed: Accelerators,
    /// Accelerators in use, up to the guarantee.
    pub used: Accelerators,
    /// Accelerators in use beyond the guarantee.
    pub borrowed: Accelerators,
    /// Guaranteed accelerators that cannot be bound to workers at present.
    pub at_risk: Accelerators,
    /// Why accelerators are at risk, if any are.
    pub risk_cause: Option<SmolStr>,
    /// Number of queued jobs.
    pub waiting: u32,
    /// Number of running jobs.
    pub running: u32,
}

/// The state of a worker, for operators.
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
    /// How long the state will still last, if that is known.
    pub remaining_ms: Option<Millis>,
    /// Accelerators that the worker offers.
    pub accelerators: Accelerators,
    /// Accelerators in use by gangs.
    pub accelerators_used: Accelerators,
    /// Number of failures counted against the worker.
    pub failures: u32,
}
