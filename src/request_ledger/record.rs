use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{
    EndpointId, EntryId, Incarnation, Millis, RequestId, Sequence, ServiceName, TeamId, WallMs,
};

/// A request's identity: ids are unique within a team and service.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{team}/{service}/{id}")]
pub struct RequestKey {
    /// The caller's team.
    pub team: TeamId,
    /// The service asked.
    pub service: ServiceName,
    /// The caller's id.
    pub id: RequestId,
}

/// SHA-256 of method, path and body: a resend must have the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ContentDigest(pub [u8; 32]);

/// What a caller is told of a request that has no whole answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work did not run: no byte went out, or the endpoint said so itself.
    #[display("not_run")]
    NotRun,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
    /// The work ran and failed.
    #[display("failed")]
    Failed,
}

/// A whole answer as the endpoint gave it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty where none was given.
    pub content_type: SmolStr,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Asks to commit that an attempt at a non-idempotent request begins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BeginRequest {
    /// The request.
    pub key: RequestKey,
    /// Its content.
    pub content: ContentDigest,
    /// When the caller made the id, so that an id older than the window is refused. A resend names
    /// the same time; a request without one is refused as too old, because its age is not known.
    pub made_ms: Option<WallMs>,
    /// The entry that will send it.
    pub entry: EntryId,
    /// The run of that entry's process.
    pub entry_incarnation: Incarnation,
    /// Larger in each attempt that this run of the entry begins, so that a delayed or repeated call
    /// is never taken for another attempt.
    pub sequence: Sequence,
    /// The endpoint it will be sent to.
    pub endpoint: EndpointId,
    /// The run of that endpoint's process.
    pub endpoint_incarnation: Incarnation,
    /// How long the attempt may take; after it the record turns to unknown.
    pub deadline_ms: Millis,
}

/// What `begin` answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BeginAnswer {
    /// The attempt is recorded and the entry may send.
    Begun,
    /// Another attempt is in progress; ask again until it ends.
    InProgress,
    /// The request has been answered; this is the answer.
    Answered(StoredResponse),
    /// An attempt may have run and its answer is not known.
    Unknown,
    /// The id was used with other content.
    ContentMismatch,
    /// The id is older than the window in which records are kept.
    TooOld,
    /// The id claims to be made later than the leader's clock allows; nothing was recorded.
    MadeInFuture,
    /// The ledger is at its limit; nothing was recorded.
    Full,
}

/// Tells how an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishRequest {
    /// The request.
    pub key: RequestKey,
    /// The entry that had begun it.
    pub entry: EntryId,
    /// The run of that entry's process.
    pub entry_incarnation: Incarnation,
    /// The attempt's number, as in its begin.
    pub sequence: Sequence,
    /// How it ended.
    pub state: RecordState,
}

/// Where a recorded request stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// An attempt is in progress.
    Begun,
    /// The attempt certainly never reached the endpoint; another may begin.
    NotSent,
    /// The answer.
    Answered(StoredResponse),
    /// The attempt may have run.
    Unknown,
}

/// What `finish` answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FinishAnswer {
    /// The state is recorded.
    Recorded,
    /// An earlier final state stands; this is it.
    NotRecorded(RecordState),
    /// There is no such attempt.
    NoSuchAttempt,
}
