use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{
    EndpointId, EntryId, Incarnation, Millis, RequestId, Sequence, ServiceName, TeamId, WallMs,
};

/// Identifies a request; ids are unique within a team and service.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{team}/{service}/{id}")]
pub struct RequestKey {
    /// The caller's team.
    pub team: TeamId,
    /// The service that the request is sent to.
    pub service: ServiceName,
    /// The id that the caller chose.
    pub id: RequestId,
}

/// The SHA-256 digest of method, path and body; a resend must have the same digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ContentDigest(pub [u8; 32]);

/// What a caller is told about a request without a complete response.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work did not run: no byte was sent, or the endpoint reported that it did not run it.
    #[display("not_run")]
    NotRun,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
    /// The work ran and failed.
    #[display("failed")]
    Failed,
}

/// A complete response as received from the endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The content type; empty if the response had none.
    pub content_type: SmolStr,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Asks to commit that an attempt at a non-idempotent request begins, before anything is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BeginRequest {
    /// The request.
    pub key: RequestKey,
    /// The digest of the request's content.
    pub content: ContentDigest,
    /// When the caller made the id; an id older than the deduplication window is refused. A resend
    /// carries the same time. A request without one is refused as too old, since its age is
    /// unknown.
    pub made_ms: Option<WallMs>,
    /// The entry that will send the request.
    pub entry: EntryId,
    /// The incarnation of that entry's process.
    pub entry_incarnation: Incarnation,
    /// Increases with each attempt that this incarnation of the entry begins, so that a delayed or
    /// repeated call is never taken for another attempt.
    pub sequence: Sequence,
    /// The endpoint that the request will be sent to.
    pub endpoint: EndpointId,
    /// The incarnation of that endpoint's process.
    pub endpoint_incarnation: Incarnation,
    /// How long the attempt may take; once this and the clock margin have passed without a report,
    /// the record becomes [`RecordState::Unknown`].
    pub deadline_ms: Millis,
}

/// The answer to a [`BeginRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BeginAnswer {
    /// The attempt is recorded and the entry may send the request.
    Begun,
    /// Another attempt is in progress; the entry asks again until it ends.
    InProgress,
    /// The request already has this response.
    Answered(StoredResponse),
    /// An earlier attempt may have run and its response is not known.
    Unknown,
    /// The id was used with other content.
    ContentMismatch,
    /// The id is older than the deduplication window, or its age is not known.
    TooOld,
    /// The id's time is further ahead of the leader's clock than the allowed skew; nothing was
    /// recorded.
    MadeInFuture,
    /// The ledger or the team's part of it is full; nothing was recorded.
    Full,
}

/// Reports how an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishRequest {
    /// The request.
    pub key: RequestKey,
    /// The entry that began the attempt.
    pub entry: EntryId,
    /// The incarnation of that entry's process.
    pub entry_incarnation: Incarnation,
    /// The attempt's sequence number, as in its [`BeginRequest`].
    pub sequence: Sequence,
    /// How the attempt ended.
    pub state: RecordState,
}

/// The state of a recorded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// An attempt is in progress.
    Begun,
    /// The attempt is known not to have reached the endpoint; another attempt may begin.
    NotSent,
    /// The request has this response.
    Answered(StoredResponse),
    /// The attempt may have run, and its response is not known.
    Unknown,
}

/// The answer to a [`FinishRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FinishAnswer {
    /// The reported state is recorded.
    Recorded,
    /// The reported state was not recorded, because an earlier one is final or the response does
    /// not fit; the record holds this state.
    NotRecorded(RecordState),
    /// The ledger has no record of this attempt.
    NoSuchAttempt,
}
