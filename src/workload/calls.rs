use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    Amount, Declaration, DeclarationFault, JobSpec, Life, MaintenanceNumber, Phase, RunEnd,
    SpecFault, TaskName,
};
use crate::units::{Millis, Sequence, ServiceName, Term, VmId, WorkerId, ZoneId};

/// What entries and control replicas ask of the leader about the workload.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkRequest {
    /// A caller's call.
    Call(CallerCall),
    /// A worker's report, which gets orders.
    Report(Box<WorkerReport>),
    /// A worker is gone for good; all that it ran has ended.
    Left {
        /// The worker.
        worker: WorkerId,
    },
    /// An operator's complete declaration.
    Declare(Arc<Declaration>),
    /// The declaration in force.
    ReadDeclaration,
    /// Closes an availability zone for new runs, or opens it again.
    SetZone {
        /// The zone.
        zone: ZoneId,
        /// Whether it is closed.
        closed: bool,
    },
    /// Asks for a maintenance of VMs.
    Maintain {
        /// The operator's number.
        number: MaintenanceNumber,
        /// The VMs.
        vms: BTreeSet<VmId>,
        /// How long all of it may take.
        duration_ms: Millis,
        /// How many VMs may be down at once.
        down_max: u32,
    },
    /// How far a maintenance is.
    ShowMaintenance(MaintenanceNumber),
    /// Whether a leader can act.
    Check,
}

/// A caller's call on a queue or a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerCall {
    /// The host that it names.
    pub host: SmolStr,
    /// The path that it names.
    pub path: SmolStr,
    /// The key that it carries.
    pub key: Option<SmolStr>,
    /// What it wants.
    pub request: CallerRequest,
}

/// What a caller wants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerRequest {
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
    pub life: Life,
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
    pub room: Amount,
    /// Whether it leaves and takes no new tasks.
    pub leaving: bool,
    /// How long it stays at least, where it leaves.
    pub stays_ms: Option<Millis>,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<ListedEnd>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// The last saved progress, empty where there is none.
    pub saved: SmolStr,
    /// How much of its work is done.
    pub percent: u32,
    /// For a lasting task the tail of its response times in milliseconds, else the processor time in use in
    /// thousandths of a core; of the last half second, none where the worker does not tell.
    pub load: Option<u64>,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedEnd {
    /// The number of the end in this life.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// The saved progress, empty where there is none.
    pub saved: SmolStr,
}

/// A start that a worker is ordered to carry out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The task.
    pub task: TaskName,
    /// The number of the start.
    pub run: u32,
    /// What it runs.
    pub payload: SmolStr,
    /// The progress to resume from, empty where there is none.
    pub saved: SmolStr,
    /// The permit of the policy service, where the queue needs one.
    pub permit: Option<SmolStr>,
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
    pub starts: Vec<Start>,
    /// What to stop.
    pub stops: Vec<(TaskName, u32)>,
    /// At what share of its speed a run may work, in percent.
    pub paces: Vec<(TaskName, u32, u32)>,
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
    /// Whether a maintenance is complete; none where it is not known.
    Maintenance(Option<bool>),
    /// The text of the declaration in force; none before the first.
    Declaration(Option<Arc<Declaration>>),
}
