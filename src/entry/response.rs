use std::convert::Infallible;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::request_ledger::Outcome;

/// Marks a response that is forwarded as it arrives, so that at most its first 32 KiB are in memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamedResponse;

/// JSON body of every error response; docs/INTERFACES.md lists the codes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Stable machine-readable code, for example `too_large`.
    pub code: SmolStr,
    /// Human-readable explanation.
    pub message: SmolStr,
    /// Whether the work ran, for requests that ask for work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// Builds a response with a JSON body.
///
/// # Panics
/// Panics if the value cannot be represented as JSON, for example a map with non-string keys.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let json = serde_json::to_vec(value).expect("responses have string keys and finite numbers");
    response_with_type(status, "application/json", Bytes::from(json))
}

/// Builds a response with a plain-text body.
#[must_use]
pub fn text_response(status: StatusCode, text: String) -> Response<Body> {
    response_with_type(status, "text/plain; charset=utf-8", Bytes::from(text))
}

/// Builds an error response. Responses with status 429 or 503 ask the client to retry after one
/// second.
#[must_use]
pub fn error_response(
    status: StatusCode,
    code: &str,
    message: impl Into<SmolStr>,
    outcome: Option<Outcome>,
) -> Response<Body> {
    let error = ErrorBody {
        code: code.into(),
        message: message.into(),
        outcome,
    };
    let mut answer = json_response(status, &error);
    if matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    ) {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    answer
}

fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Body> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(Body::new(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}
