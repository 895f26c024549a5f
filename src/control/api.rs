use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::{EntryStatus, ExchangeAnswer, ExchangeRequest, ReportAnswer, ReportBatch};
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

/// Result of a call to the control group.
pub type Result<T> = std::result::Result<T, ControlError>;

/// Why the control group did not do what was asked.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum ControlError {
    /// This replica does not lead; nothing was done.
    #[error("this replica does not lead")]
    NotLeader {
        /// Where the leader is thought to be.
        leader: Option<SocketAddr>,
    },
    /// The leader could not commit in time; the change may still take effect.
    #[error("the change could not be committed in time and may still take effect")]
    Uncertain,
    /// The change was refused before it was proposed; nothing was done.
    #[error("refused: {reason}")]
    Refused {
        /// Why, for example a full disk.
        reason: SmolStr,
    },
    /// No replica answered; nothing is known.
    #[error("no control replica answered")]
    Unreachable,
}

/// What entries ask of the control group's leader.
#[tarpc::service]
pub trait ControlApi {
    /// Renews the grant and brings the entry up to date.
    async fn exchange(request: ExchangeRequest) -> Result<ExchangeAnswer>;
    /// Takes reports of workers and endpoints.
    async fn report(batch: ReportBatch) -> Result<ReportAnswer>;
    /// Applies a release note.
    async fn apply_note(note: ReleaseNote) -> Result<NoteAnswer>;
    /// Records the begin of a non-idempotent request.
    async fn begin_request(request: BeginRequest) -> Result<BeginAnswer>;
    /// Records its end.
    async fn finish_request(request: FinishRequest) -> Result<FinishAnswer>;
    /// Submits a job.
    async fn submit_job(spec: JobSpec) -> Result<SubmitAnswer>;
    /// Looks up one job; `wait_ms` holds the answer until the job ends.
    async fn job(key: JobKey, wait_ms: Millis) -> Result<Option<JobView>>;
    /// Lists jobs.
    async fn jobs(filter: JobFilter) -> Result<Vec<JobView>>;
    /// Cancels jobs and gives their state after it.
    async fn cancel_jobs(keys: Vec<JobKey>) -> Result<Vec<JobView>>;
    /// The whole status, for operators.
    async fn status() -> Result<Status>;
    /// A caller's, worker's or operator's call on the workload.
    async fn work(request: WorkRequest) -> Result<WorkAnswer>;
}

/// Which jobs to list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobFilter {
    /// Only this team's.
    pub team: Option<TeamId>,
    /// Only jobs that have not ended.
    pub unended_only: bool,
    /// At most this many, in order of submission.
    pub limit: u32,
}

/// A job as callers and operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// The job.
    pub key: JobKey,
    /// `waiting`, `placed`, `running` or `ended`.
    pub phase: SmolStr,
    /// The last attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Option<JobOutcome>,
    /// Why it waits or what was decided last.
    pub explanation: Option<Explanation>,
    /// How long it has been known.
    pub age_ms: Millis,
}

/// The whole status, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The control group.
    pub group: GroupStatus,
    /// The revision in force at the leader.
    pub revision: Revision,
    /// The lowest revision among entries with a live grant.
    pub in_force_everywhere: Revision,
    /// Entries.
    pub entries: Vec<EntryStatus>,
    /// Zones with whether work may start there.
    pub zones: Vec<(ZoneId, bool)>,
    /// Services.
    pub services: Vec<ServiceName>,
    /// Teams.
    pub teams: Vec<TeamStatus>,
    /// Endpoints as they last announced themselves.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
}

/// The control group, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupStatus {
    /// The term.
    pub term: Term,
    /// The leader.
    pub leader: Option<ReplicaId>,
    /// The last committed position.
    pub committed: LogIndex,
    /// All replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// One replica, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// Its name.
    pub replica: ReplicaId,
    /// Its data folder.
    pub folder: Option<FolderId>,
    /// Whether it votes.
    pub voter: bool,
    /// The last position that it holds on disk, as far as the leader knows.
    pub matched: LogIndex,
    /// How long ago the leader heard of it.
    pub silent_ms: Option<Millis>,
}
