use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::{CallExpiry, EntryStatus, ExchangeAnswer, ExchangeRequest, ReportAnswer, ReportBatch};
use crate::fleet::EndpointAnnouncement;
use crate::release_note::{NoteAnswer, ReleaseNote};
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::scheduler::{
    Explanation, JobKey, JobOutcome, JobSpec, SubmitAnswer, TeamStatus, WorkerStatus,
};
use crate::units::{
    Attempt, FolderId, LogIndex, Millis, ReplicaId, Revision, ServiceName, TeamId, Term, ZoneId,
};
use crate::workload::{WorkAnswer, WorkRequest};

/// The result of a call to the control group.
pub type Result<T> = std::result::Result<T, ControlError>;

/// Why a call to the control group failed.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum ControlError {
    /// The replica is not the leader; the call had no effect.
    #[error("this replica does not lead")]
    NotLeader {
        /// The control address of the leader, if the replica knows one.
        leader: Option<SocketAddr>,
    },
    /// The change was not committed in time and may still take effect.
    #[error("the change could not be committed in time and may still take effect")]
    Uncertain,
    /// The change was rejected before it was proposed; it had no effect.
    #[error("refused: {reason}")]
    Refused {
        /// The cause, for example a full disk.
        reason: SmolStr,
    },
    /// No replica answered; it is unknown whether the call had an effect.
    #[error("no control replica answered")]
    Unreachable,
    /// The call arrived after its sender had given it up; it had no effect.
    #[error("the call arrived too late")]
    Expired,
}

/// The RPC service that the leader of the control group offers to entries.
///
/// Calls are numbered in this order on the wire, so new ones are added at the end. Those that carry
/// an expiry change something by their content alone, and are refused when they arrive after it;
/// docs/design/late-calls.md has the reasons.
#[tarpc::service]
pub trait ControlApi {
    /// Renews the entry's grant and returns state, orders and shares that changed.
    async fn exchange(request: ExchangeRequest) -> Result<ExchangeAnswer>;
    /// Passes on reports of workers and endpoints.
    async fn report(batch: ReportBatch) -> Result<ReportAnswer>;
    /// Applies a release note.
    async fn apply_note(expires: CallExpiry, note: ReleaseNote) -> Result<NoteAnswer>;
    /// Records that an attempt at a non-idempotent request begins.
    async fn begin_request(expires: CallExpiry, request: BeginRequest) -> Result<BeginAnswer>;
    /// Records how an attempt at a non-idempotent request ended.
    async fn finish_request(expires: CallExpiry, request: FinishRequest) -> Result<FinishAnswer>;
    /// Submits a job.
    async fn submit_job(expires: CallExpiry, spec: JobSpec) -> Result<SubmitAnswer>;
    /// Looks up one job, and waits up to `wait_ms` for its end.
    async fn job(key: JobKey, wait_ms: Millis) -> Result<Option<JobView>>;
    /// Lists jobs.
    async fn jobs(filter: JobFilter) -> Result<Vec<JobView>>;
    /// Requests cancellation of jobs and returns their state afterwards.
    async fn cancel_jobs(expires: CallExpiry, keys: Vec<JobKey>) -> Result<Vec<JobView>>;
    /// Returns the status of the whole deployment, for operators.
    async fn status() -> Result<Status>;
    /// Serves a call of a caller, worker or operator on the workload.
    async fn work(expires: CallExpiry, request: WorkRequest) -> Result<WorkAnswer>;
    /// Returns the addresses at which the group's replicas accept calls.
    async fn members() -> Result<Vec<SocketAddr>>;
    /// Returns the time of the clock on which calls to this replica expire.
    async fn call_clock() -> Millis;
}

/// Selects the jobs to list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobFilter {
    /// Only jobs of this team; of all teams if none is given.
    pub team: Option<TeamId>,
    /// Only jobs that have not ended.
    pub unended_only: bool,
    /// The maximum number of jobs, in order of submission.
    pub limit: u32,
}

/// A job as shown to callers and operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The job's key.
    pub key: JobKey,
    /// `waiting`, `placed`, `running` or `ended`.
    pub phase: SmolStr,
    /// The number of the latest attempt.
    pub attempt: Attempt,
    /// The outcome, once the job has ended.
    pub outcome: Option<JobOutcome>,
    /// Why the job waits, or the scheduler's latest decision about it.
    pub explanation: Option<Explanation>,
    /// The time since the job was submitted.
    pub age_ms: Millis,
}

/// The status of the whole deployment, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The status of the control group.
    pub group: GroupStatus,
    /// The revision in force on the leader.
    pub revision: Revision,
    /// The lowest revision that an entry with an unexpired grant has applied.
    pub in_force_everywhere: Revision,
    /// Entries known to the leader.
    pub entries: Vec<EntryStatus>,
    /// Availability zones, and whether work may start in each.
    pub zones: Vec<(ZoneId, bool)>,
    /// Declared services.
    pub services: Vec<ServiceName>,
    /// Teams with their guarantees and usage.
    pub teams: Vec<TeamStatus>,
    /// Endpoints, by their latest announcements.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// Workers known to the scheduler.
    pub workers: Vec<WorkerStatus>,
}

/// The status of the control group, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupStatus {
    /// The current term.
    pub term: Term,
    /// The current leader, if known.
    pub leader: Option<ReplicaId>,
    /// The index of the last committed log entry.
    pub committed: LogIndex,
    /// All replicas of the group.
    pub replicas: Vec<ReplicaStatus>,
}

/// The status of one control replica, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The replica's name.
    pub replica: ReplicaId,
    /// The id of its data folder, if known.
    pub folder: Option<FolderId>,
    /// Whether the replica votes in elections.
    pub voter: bool,
    /// The last log index that it has on disk, as far as the leader knows.
    pub matched: LogIndex,
    /// The time since the leader last received a message from it.
    pub silent_ms: Option<Millis>,
}
