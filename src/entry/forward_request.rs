use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use smol_str::SmolStr;

use super::forward_idempotent::full_body;
use crate::request_ledger::{Outcome, RequestKey, StoredResponse};
use crate::router::{QueuedRequest, RefusalKind, RouterRefusal};
use crate::units::{Millis, RequestId, ServiceName, TeamId, WallMs};

/// A caller's complete and validated request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Team of the caller.
    pub team: TeamId,
    /// Requested service.
    pub service: ServiceName,
    /// Request id chosen by the caller.
    pub id: RequestId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the caller created the id; always present for requests that are not
    /// idempotent.
    pub made_ms: Option<WallMs>,
    /// Deadline of the response, on the entry's clock.
    pub deadline_ms: Millis,
    /// HTTP method.
    pub method: Method,
    /// Path and query for the endpoint.
    pub path: SmolStr,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
}

/// Result of forwarding a request.
#[derive(Debug)]
pub enum ForwardResponse {
    /// The endpoint's response, either complete or streamed such that a truncation is detectable.
    Completed {
        /// HTTP status.
        status: StatusCode,
        /// Headers that are passed on to the caller.
        headers: HeaderMap,
        /// Response body.
        body: Body,
        /// Whether the body is forwarded as it arrives; otherwise all of it is in memory.
        streamed: bool,
    },
    /// There is no complete response.
    Failed(ForwardError),
}

/// Reason why there is no complete response, and whether the work ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// Human-readable explanation.
    pub message: SmolStr,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// Delay after which the caller should retry, if a retry can succeed.
    pub retry_after_ms: Option<Millis>,
}

impl CallerRequest {
    pub(super) fn key(&self) -> RequestKey {
        RequestKey {
            team: self.team.clone(),
            service: self.service.clone(),
            id: self.id.clone(),
        }
    }

    pub(super) fn queued(&self) -> QueuedRequest {
        QueuedRequest {
            team: self.team.clone(),
            service: self.service.clone(),
            idempotent: self.idempotent,
            deadline_ms: self.deadline_ms,
        }
    }
}

impl ForwardResponse {
    pub(super) fn stored(answer: StoredResponse) -> Self {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut headers = HeaderMap::new();
        if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
            && !content_type.is_empty()
        {
            headers.insert(http::header::CONTENT_TYPE, content_type);
        }
        Self::Completed {
            status,
            headers,
            body: full_body(answer.body.into()),
            streamed: false,
        }
    }

    /// Response to a request whose task ended without a response.
    pub(super) fn lost_request() -> Self {
        Self::unknown(
            StatusCode::BAD_GATEWAY,
            "lost",
            "the entry lost track of the request, which may have run",
        )
    }

    pub(super) fn unknown(
        status: StatusCode,
        code: &'static str,
        message: impl Into<SmolStr>,
    ) -> Self {
        Self::Failed(ForwardError {
            status,
            code,
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_after_ms: None,
        })
    }

    pub(super) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<SmolStr>,
        retry_after_ms: Option<Millis>,
    ) -> Self {
        Self::Failed(ForwardError {
            status,
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after_ms,
        })
    }

    /// Response to a request that the router refused.
    pub(super) fn from_router_refusal(refusal: &RouterRefusal) -> Self {
        let (status, code) = match refusal.kind {
            RefusalKind::NoSuchService(_) => (StatusCode::NOT_FOUND, "no_such_service"),
            RefusalKind::NoSuchTeam(_) => (StatusCode::FORBIDDEN, "no_such_team"),
            RefusalKind::QueueFull => (StatusCode::TOO_MANY_REQUESTS, "queue_full"),
            RefusalKind::WouldBeLate => (StatusCode::SERVICE_UNAVAILABLE, "would_be_late"),
            RefusalKind::DeadlinePassed(_) => (StatusCode::SERVICE_UNAVAILABLE, "deadline_passed"),
            RefusalKind::AttemptFailed => (StatusCode::BAD_GATEWAY, "attempt_failed"),
        };
        if refusal.may_have_run {
            let message = format!("{}; the work may have run", refusal.kind);
            return Self::unknown(status, code, message);
        }
        let message = format!("{}; the work did not run", refusal.kind);
        let is_transient =
            status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after_ms = is_transient.then_some(refusal.retry_after_ms);
        Self::not_run(status, code, message, retry_after_ms)
    }

    /// Response when the deadline passed before anything was sent.
    pub(super) fn deadline_before_send() -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "deadline_passed",
            "the deadline passed before anything was sent; the work did not run",
            Some(Millis(1_000)),
        )
    }

    /// Response when the deadline passed while an endpoint had the request.
    pub(super) fn deadline_after_send() -> Self {
        Self::unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline_passed",
            "the deadline passed while an endpoint had the request; the work may have run",
        )
    }
}
