use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::StatusCode;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pin_project_lite::pin_project;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;
use tokio::time::{Sleep, sleep};

use crate::connections::RequestGuard;

/// Error reading a request body.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit of the listener.
    #[error("the body is larger than this listener allows")]
    TooLarge,
    /// The body did not arrive within the time-out.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The body ended early or its framing is invalid.
    #[error("the body ended early")]
    Truncated,
    /// The body does not have the format that the route expects.
    #[error("the body is not as expected: {cause}")]
    Malformed {
        /// Position and reason of the parse error.
        cause: SmolStr,
    },
}

impl BodyError {
    /// Returns the HTTP status and the stable error code for the client.
    #[must_use]
    pub const fn status_and_code(&self) -> (StatusCode, &'static str) {
        match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too_large"),
            Self::TooSlow => (StatusCode::REQUEST_TIMEOUT, "too_slow"),
            Self::Truncated => (StatusCode::BAD_REQUEST, "truncated"),
            Self::Malformed { .. } => (StatusCode::BAD_REQUEST, "malformed"),
        }
    }
}

/// Reads the complete body of a request.
///
/// # Errors
/// Returns an error if the body is too large, too slow or truncated.
pub async fn read_body(state: &mut State) -> Result<Bytes, BodyError> {
    let body = Body::take_from(state);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(cause) => Err(classify_error(&cause)),
    }
}

/// Reads the complete body of a request as JSON.
///
/// # Errors
/// Returns the errors of [`read_body`], and [`BodyError::Malformed`] if the body is not the
/// expected JSON.
pub async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, BodyError> {
    let body = read_body(state).await?;
    serde_json::from_slice(&body).map_err(|cause| BodyError::Malformed {
        cause: format_smolstr!("{cause}"),
    })
}

/// Determines which limit the body exceeded. Gotham wraps the original error in another one.
fn classify_error(cause: &io::Error) -> BodyError {
    let inner = cause.get_ref().and_then(|inner| {
        inner
            .downcast_ref::<io::Error>()
            .or_else(|| inner.source()?.downcast_ref())
    });
    match inner.unwrap_or(cause).kind() {
        io::ErrorKind::FileTooLarge => BodyError::TooLarge,
        io::ErrorKind::TimedOut => BodyError::TooSlow,
        _ => BodyError::Truncated,
    }
}

pin_project! {
    /// A request body with limits on its size and on the time it takes to arrive.
    pub(super) struct LimitedBody {
        #[pin]
        inner: Incoming,
        #[pin]
        deadline: Sleep,
        remaining_bytes: usize,
    }
}

impl LimitedBody {
    pub(super) fn new(inner: Incoming, max_bytes: usize, timeout: Duration) -> Self {
        Self {
            inner,
            deadline: sleep(timeout),
            remaining_bytes: max_bytes,
        }
    }
}

impl http_body::Body for LimitedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.project();
        match this.inner.poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Buf::remaining);
                if bytes > *this.remaining_bytes {
                    return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
                }
                *this.remaining_bytes -= bytes;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => Poll::Ready(Some(Err(io::Error::other(cause)))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending if this.deadline.poll(cx).is_ready() => {
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

pin_project! {
    /// A response body that keeps the request counted as in progress until the body is sent.
    pub(super) struct GuardedBody {
        #[pin]
        inner: Body,
        guard: RequestGuard,
    }
}

impl GuardedBody {
    pub(super) const fn new(inner: Body, guard: RequestGuard) -> Self {
        Self { inner, guard }
    }
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.project().inner.poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
