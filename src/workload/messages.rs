use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    Declaration, DeclarationFault, JobSpec, Phase, Resources, RunEnd, SpecFault, TaskName,
    WorkerIncarnation,
};
use crate::units::{Millis, Sequence, ServiceName, Term, WorkerId, ZoneId};

/// Workers drop an answer that arrives this long after they have sent the report.
pub const ANSWER_VALID_MS: Millis = Millis(1_000);

/// Requests of entries and control replicas to the leader about the workload.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkRequest {
    /// A caller's request to a queue.
    Call(QueueRequest),
    /// A worker's report, answered with orders.
    Report(Box<WorkerReport>),
    /// A worker deregisters; all of its runs have ended.
    Deregister {
        /// The worker that deregisters.
        worker: WorkerId,
    },
    /// An operator's complete declaration.
    Declare(Arc<Declaration>),
    /// Asks for the declaration in force.
    GetDeclaration,
    /// Closes an availability zone for new runs, or reopens it.
    SetZone {
        /// The availability zone.
        zone: ZoneId,
        /// Whether no new runs may start in the zone.
        closed: bool,
    },
    /// Checks that a leader is available and able to act.
    CheckLeader,
}

impl WorkRequest {
    /// The name of the kind of request, for logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Call(_) => "call",
            Self::Report(_) => "report",
            Self::Deregister { .. } => "deregister",
            Self::Declare(_) => "declare",
            Self::GetDeclaration => "get_declaration",
            Self::SetZone { .. } => "set_zone",
            Self::CheckLeader => "check_leader",
        }
    }

    /// Whether the request may change the replicated state, so that a refusal claims that it did
    /// not.
    #[must_use]
    pub const fn is_change(&self) -> bool {
        match self {
            Self::Call(call) => !matches!(call.operation, QueueOperation::Show),
            Self::Report(_) | Self::Deregister { .. } | Self::Declare(_) | Self::SetZone { .. } => {
                true
            }
            Self::GetDeclaration | Self::CheckLeader => false,
        }
    }
}

/// A caller's request to a queue or to one of its jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRequest {
    /// The requested host, without its port.
    pub host: SmolStr,
    /// The requested path: a queue's prefix, followed by a job id where one is needed.
    pub path: SmolStr,
    /// The API key that authenticates the caller's team, if one was sent.
    pub key: Option<SmolStr>,
    /// The requested operation.
    pub operation: QueueOperation,
}

/// An operation on a queue or one of its jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QueueOperation {
    /// Submits a job under the id at the end of the path.
    Submit(Arc<JobSpec>),
    /// Asks for the job's phase or, without an id, for the number of queued jobs.
    Show,
    /// Cancels the job.
    Cancel,
}

/// The answer to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerAnswer {
    /// The job is accepted; also given when it had been accepted before.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The job's current phase.
    Phase(Phase),
    /// The number of the queue's jobs none of whose tasks has been placed.
    Waiting {
        /// The number of queued jobs.
        jobs: u64,
    },
    /// No declaration is in force yet.
    NotConfigured,
    /// No queue matches the host and path.
    NoQueue,
    /// The API key is missing or unknown.
    BadKey,
    /// No such job is known.
    NoJob,
    /// The path lacks a valid job id.
    NoId,
    /// The id belongs to a job of another queue or team.
    OtherJob,
    /// The job is invalid and is never run.
    BadJob(SpecFault),
    /// Too many jobs are open; the job is rejected and is never run.
    Overloaded {
        /// How long to wait before retrying.
        retry_after_ms: Millis,
    },
}

/// A worker's periodic report of its state and its runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The reporting worker.
    pub worker: WorkerId,
    /// The worker's incarnation, which grows with each restart.
    pub incarnation: WorkerIncarnation,
    /// The report's sequence number within this incarnation.
    pub sequence: Sequence,
    /// The service that the worker belongs to.
    pub service: ServiceName,
    /// The worker's availability zone.
    pub zone: ZoneId,
    /// The worker's rack, if known.
    pub rack: Option<SmolStr>,
    /// All labels that a step may require.
    pub labels: Vec<SmolStr>,
    /// The total resources available to tasks, including those in use.
    pub capacity: Resources,
    /// The worker's own clock when it sent the report, from any start; `None` if it has none.
    pub clock_ms: Option<Millis>,
    /// Whether the worker is shutting down and takes no new tasks.
    pub draining: bool,
    /// The minimum time for which a draining worker remains available.
    pub remaining_ms: Option<Millis>,
    /// Runs in progress, except those that are being stopped.
    pub running: Vec<ReportedRun>,
    /// Ended runs that the leader has not acknowledged.
    pub ended: Vec<ReportedEnd>,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedRun {
    /// The task that runs.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The last saved checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// The completed share of the work, in percent.
    pub percent: u32,
    /// The task's performance over the last half second, if the worker knows it.
    pub reading: Option<RunReading>,
}

/// An approximate reading of a run: the tail of its response times in milliseconds if the task
/// serves with a latency target, and otherwise the processor time in use in millicores.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RunReading(pub u32);

/// A run that a worker reports as ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedEnd {
    /// The number of this end within the worker's incarnation, used for acknowledgement.
    pub number: u64,
    /// The task that ran.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// The saved checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// An order to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartOrder {
    /// The task to start.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The payload of the job, passed to the task unchanged.
    pub payload: SmolStr,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: SmolStr,
}

/// An order that limits the work of a best-effort run, and with it its interference.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateOrder {
    /// The task whose run is paced.
    pub task: TaskName,
    /// The run number.
    pub run: u32,
    /// The share of its full speed at which the run may work, in percent; 100 at its start.
    pub percent: u32,
}

/// The leader's orders in answer to a worker's report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerOrders {
    /// How long the worker's runs may continue, counted from when the report was sent; `None` if
    /// the report was out of date and these orders are void.
    pub lease_ms: Option<Millis>,
    /// Ends up to this number are committed and need not be reported again.
    pub acknowledged: u64,
    /// The leader's term; workers obey only the highest term that they have seen.
    pub term: Term,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop, as task and run number.
    pub stops: Vec<(TaskName, u32)>,
    /// The rates of paced runs.
    pub rates: Vec<RateOrder>,
    /// How long the worker may wait before its next report.
    pub report_after_ms: Millis,
}

/// The leader's answer to a [`WorkRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkAnswer {
    /// The answer to a caller.
    Call(CallerAnswer),
    /// Orders for a worker.
    Orders(Box<WorkerOrders>),
    /// The request was carried out.
    Done,
    /// The declaration is rejected.
    Invalid(DeclarationFault),
    /// The declaration in force; `None` before the first one.
    Declaration(Option<Arc<Declaration>>),
}

impl WorkAnswer {
    /// Whether the request was rejected for what is declared or known now. An earlier attempt at the
    /// same request may have been accepted before that changed.
    ///
    /// The other refusals follow from the request itself, or are decided where a job that was
    /// accepted before is recognized.
    #[must_use]
    pub const fn is_refused_by_state(&self) -> bool {
        match self {
            Self::Call(answer) => answer.is_refused_by_state(),
            Self::Invalid(_) | Self::Orders(_) | Self::Done | Self::Declaration(_) => false,
        }
    }
}

impl CallerAnswer {
    const fn is_refused_by_state(&self) -> bool {
        match self {
            Self::NotConfigured
            | Self::NoQueue
            | Self::BadKey
            | Self::NoJob
            | Self::NoId
            | Self::OtherJob => true,
            Self::Accepted
            | Self::Cancelled
            | Self::Phase(_)
            | Self::Waiting { .. }
            | Self::BadJob(_)
            | Self::Overloaded { .. } => false,
        }
    }
}
