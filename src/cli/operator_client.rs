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

/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Longest time that one entry may take before the next is asked.
const TRY_MS: Millis = Millis(5_000);
/// Pause after all entries were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Asks entries in turn; every operators' call is idempotent, so it may be sent again.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    entries: Vec<SocketAddr>,
    within_ms: Millis,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// An operators' call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
}

impl Call {
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

/// What one entry gave.
enum Tried {
    Answered(StatusCode, Bytes),
    Nothing(SmolStr),
}

impl OperatorClient {
    /// A client of these entries that gives up after `within_ms`.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, within_ms: Millis) -> Self {
        Self {
            entries,
            within_ms,
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Calls until an entry answers with something other than "unavailable".
    ///
    /// # Errors
    /// The system refused, or no entry answered in time.
    pub(super) async fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T> {
        let (status, body) = self.ask(call).await?;
        if status.is_success() {
            return parse(&body);
        }
        Err(refusal(status, &body))
    }

    /// Calls and gives the answer with whatever status it has.
    pub(super) async fn ask(&self, call: &Call) -> Result<(StatusCode, Bytes)> {
        let deadline = Instant::now() + self.within_ms.duration();
        let mut cause = SmolStr::new_static("no entry is given");
        loop {
            for entry in &self.entries {
                let until = deadline.min(Instant::now() + TRY_MS.duration());
                let tried = timeout_at(until, self.ask_one(*entry, call)).await;
                match tried {
                    Ok(Tried::Answered(status, body)) => return Ok((status, body)),
                    Ok(Tried::Nothing(nothing)) => cause = nothing,
                    Err(_late) => cause = format_smolstr!("{entry} did not answer in time"),
                }
            }
            if self.entries.is_empty() || Instant::now() + ROUND_PAUSE >= deadline {
                return Err(CommandError::Unreachable { cause });
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    async fn ask_one(&self, entry: SocketAddr, call: &Call) -> Tried {
        let request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{entry}{}", call.path))
            .body(Full::new(call.body.clone()))
            .expect("an address and a checked path make a URI");
        let answer = match self.http.request(request).await {
            Ok(answer) => answer,
            Err(cause) => return Tried::Nothing(format_smolstr!("{entry}: {cause}")),
        };
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES);
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(cause) => return Tried::Nothing(format_smolstr!("{entry}: {cause}")),
        };
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Tried::Nothing(format_smolstr!("{entry}: {}", refusal(status, &body)));
        }
        Tried::Answered(status, body)
    }
}

pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|cause| CommandError::Refused {
        code: SmolStr::new_static("bad_answer"),
        message: format_smolstr!("the answer is not as expected: {cause}"),
    })
}

pub(super) fn refusal(status: StatusCode, body: &[u8]) -> CommandError {
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
