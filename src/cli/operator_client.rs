use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{Instant, sleep, timeout_at};

use super::{CommandError, Result};
use crate::entry::ErrorBody;
use crate::units::Millis;

/// Maximum size of a response body, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time for one entry to answer before the next one is tried.
const ENTRY_TIMEOUT_MS: Millis = Millis(5_000);
/// Delay before all entries are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// HTTP client that tries entries in turn until one answers.
///
/// Every operators' request is idempotent, so it can be sent again.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    entries: Vec<SocketAddr>,
    timeout_ms: Millis,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A request to an operators' route of an entry.
#[derive(Clone, Debug)]
pub(super) struct ApiRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
}

impl ApiRequest {
    pub(super) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    pub(super) fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            path: path.to_owned(),
            body: body.into(),
        }
    }
}

/// Result of sending a request to one entry.
enum EntryReply {
    Answered(StatusCode, Bytes),
    NoAnswer(SmolStr),
}

impl OperatorClient {
    /// Creates a client for these entries that gives up on a request after `timeout_ms`.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, timeout_ms: Millis) -> Self {
        Self {
            entries,
            timeout_ms,
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Calls until an entry answers with something other than "unavailable".
    ///
    /// # Errors
    /// The system refused, or no entry answered in time.
    pub(super) async fn call<T: DeserializeOwned>(&self, call: &ApiRequest) -> Result<T> {
        let (status, body) = self.send(call).await?;
        if status.is_success() {
            return parse_body(&body);
        }
        Err(error_from_response(status, &body))
    }

    /// Sends a request and returns the response, whatever its status.
    pub(super) async fn send(&self, call: &ApiRequest) -> Result<(StatusCode, Bytes)> {
        let deadline = Instant::now() + self.timeout_ms.duration();
        let mut cause = SmolStr::new_static("no entry is given");
        loop {
            for entry in &self.entries {
                let until = deadline.min(Instant::now() + ENTRY_TIMEOUT_MS.duration());
                let reply = timeout_at(until, self.send_to(*entry, call)).await;
                match reply {
                    Ok(EntryReply::Answered(status, body)) => return Ok((status, body)),
                    Ok(EntryReply::NoAnswer(reason)) => cause = reason,
                    Err(_late) => cause = format_smolstr!("{entry} did not answer in time"),
                }
            }
            if self.entries.is_empty() || Instant::now() + RETRY_PAUSE >= deadline {
                return Err(CommandError::Unreachable { cause });
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn send_to(&self, entry: SocketAddr, call: &ApiRequest) -> EntryReply {
        let request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{entry}{}", call.path))
            .body(Full::new(call.body.clone()))
            .expect("an address and a checked path make a URI");
        let answer = match self.http.request(request).await {
            Ok(answer) => answer,
            Err(cause) => return EntryReply::NoAnswer(format_smolstr!("{entry}: {cause}")),
        };
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(cause) => return EntryReply::NoAnswer(format_smolstr!("{entry}: {cause}")),
        };
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return EntryReply::NoAnswer(format_smolstr!(
                "{entry}: {}",
                error_from_response(status, &body)
            ));
        }
        EntryReply::Answered(status, body)
    }
}

pub(super) fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|cause| CommandError::Refused {
        code: SmolStr::new_static("bad_answer"),
        message: format_smolstr!("the answer is not as expected: {cause}"),
    })
}

pub(super) fn error_from_response(status: StatusCode, body: &[u8]) -> CommandError {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) => CommandError::Refused {
            code: error.code,
            message: error.message,
        },
        Err(_other) => CommandError::Refused {
            code: SmolStr::new_static("bad_answer"),
            message: format_smolstr!("status {status}"),
        },
    }
}
