use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    Declaration, DeclarationFault, JobSpec, Phase, Resources, RunEnd, SpecFault, TaskName,
    WorkerIncarnation,
};
use crate::units::{Millis, Sequence, ServiceName, Term, WorkerId, ZoneId};

/// What entries and control replicas ask of the leader about the workload.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkRequest {
    /// A caller's call.
    Call(QueueRequest),
    /// A worker's report, which gets orders.
    Report(Box<WorkerReport>),
    /// A worker is gone for good; all that it ran has ended.
    Deregister {
        /// The worker.
        worker: WorkerId,
    },
    /// An operator's complete declaration.
    Declare(Arc<Declaration>),
    /// The declaration in force.
    GetDeclaration,
    /// Closes an availability zone for new runs, or opens it again.
    SetZone {
        /// The zone.
        zone: ZoneId,
        /// Whether it is closed.
        closed: bool,
    },
    /// Whether a leader can act.
    CheckLeader,
}

/// A caller's call on a queue or a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRequest {
    /// The host that it names.
    pub host: SmolStr,
    /// The path that it names.
    pub path: SmolStr,
    /// The key that it carries.
    pub key: Option<SmolStr>,
    /// What it wants.
    pub operation: QueueOperation,
}

/// What a caller wants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QueueOperation {
    /// To submit a job under the id that ends the path.
    Submit(Arc<JobSpec>),
    /// To know where the job stands, or how many jobs of the queue wait.
    Show,
    /// To cancel the job.
    Cancel,
}

/// What a caller is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerAnswer {
    /// The job is accepted, now or before.
    Accepted,
    /// The job is cancelled, or had ended.
    Cancelled,
    /// Where the job stands.
    Phase(Phase),
    /// Jobs of the queue for which no task has started.
    Waiting {
        /// How many.
        jobs: u64,
    },
    /// There is no configuration yet.
    NotConfigured,
    /// No queue takes the call.
    NoQueue,
    /// The key is missing or unknown.
    BadKey,
    /// The job is not known.
    NoJob,
    /// The path names no job where one is needed.
    NoId,
    /// The id belongs to a job of another queue or team.
    OtherJob,
    /// The job is refused and never runs.
    BadJob(SpecFault),
    /// Too much waits; the job is refused and never runs.
    Overloaded {
        /// When to come again.
        retry_after_ms: Millis,
    },
}

/// What a worker says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: WorkerIncarnation,
    /// The number of the report in this life.
    pub sequence: Sequence,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: Option<SmolStr>,
    /// All its labels.
    pub labels: Vec<SmolStr>,
    /// All that its tasks may take together.
    pub capacity: Resources,
    /// Whether it leaves and takes no new tasks.
    pub draining: bool,
    /// How long it stays at least, where it leaves.
    pub remaining_ms: Option<Millis>,
    /// What runs.
    pub running: Vec<ReportedRun>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<ReportedEnd>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// The last saved progress, empty where there is none.
    pub checkpoint: SmolStr,
    /// How much of its work is done.
    pub percent: u32,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedEnd {
    /// The number of the end in this life.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// The saved progress, empty where there is none.
    pub checkpoint: SmolStr,
}

/// A start that a worker is ordered to carry out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// What it runs.
    pub payload: SmolStr,
    /// The progress to resume from, empty where there is none.
    pub checkpoint: SmolStr,
}

/// What a worker is told.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerOrders {
    /// How long all that runs there may go on, from when the report was sent; none where the report
    /// is out of date and orders nothing.
    pub lease_ms: Option<Millis>,
    /// The ends up to this number are committed.
    pub acknowledged: u64,
    /// The leader's term; workers obey only the highest that they have seen.
    pub term: Term,
    /// What to start.
    pub starts: Vec<StartOrder>,
    /// What to stop.
    pub stops: Vec<(TaskName, u32)>,
    /// When to report again at the latest.
    pub report_after_ms: Millis,
}

/// What the leader answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkAnswer {
    /// To a caller.
    Call(CallerAnswer),
    /// To a worker, with the name of the replica that leads.
    Orders(Box<WorkerOrders>),
    /// It is done.
    Done,
    /// The declaration is refused.
    Invalid(DeclarationFault),
    /// The text of the declaration in force; none before the first.
    Declaration(Option<Arc<Declaration>>),
}
