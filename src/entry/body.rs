use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State, StateData};
use http::StatusCode;
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Collected};
use hyper::body::Incoming;
use pin_project_lite::pin_project;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;
use tokio::time::{Sleep, sleep};

use crate::budget::{ByteBudget, Holder};
use crate::connections::RequestGuard;

/// First reservation of a body without a length. Most requests are smaller.
const UNKNOWN_LENGTH_BYTES: usize = 4 * 1_024;
/// Bytes after which progress is recorded, so that a client that sends single bytes counts as
/// stalled.
const PROGRESS_BYTES: usize = 4 * 1_024;

/// Error reading a request body.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body exceeds the size limit of the listener.
    #[error("the body is larger than this listener allows")]
    TooLarge,
    /// The body did not arrive within the time-out.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// Too much is being received to take this body, or it made no progress while others needed
    /// its memory.
    #[error("too much is being received at present; the request was not carried out")]
    Overloaded,
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
            Self::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
            Self::Truncated => (StatusCode::BAD_REQUEST, "truncated"),
            Self::Malformed { .. } => (StatusCode::BAD_REQUEST, "malformed"),
        }
    }
}

/// Reads the complete body of a request.
///
/// Its bytes are reserved in the listener's budget until the request has been answered and the
/// returned bytes are dropped.
///
/// # Errors
/// Returns an error if the body is too large, too slow or truncated, or if the listener's budget is
/// exhausted.
pub async fn read_body(state: &mut State) -> Result<Bytes, BodyError> {
    let mut body = Body::take_from(state);
    let Some(reservation) = state.try_borrow::<BodyReservation>().cloned() else {
        let collected = body.collect().await;
        return collected
            .map(Collected::to_bytes)
            .map_err(|cause| classify_error(&cause));
    };
    let read = reservation.read(&mut body).await;
    if read.is_err() {
        reservation.refused.store(true, Ordering::Release);
    }
    read
}

/// Releases the reservation of a request's body before the request is answered.
///
/// Handlers that wait after decoding call this once they have dropped the body, so that requests in
/// a wait do not exhaust the listener's budget.
pub fn release_body(state: &mut State) {
    drop(state.try_take::<BodyReservation>());
}

/// Reserves memory for what is decoded from a body, in addition to the body itself.
///
/// Together they count for at most the size limit of one body, so that each request fits.
///
/// # Errors
/// Returns an error if the listener's budget is exhausted.
pub async fn reserve_decoded(state: &mut State, bytes: usize) -> Result<(), BodyError> {
    let Some(reservation) = state.try_borrow::<BodyReservation>().cloned() else {
        return Ok(());
    };
    let shared = &reservation.shared;
    let wanted_bytes = shared.read_bytes.load(Ordering::Acquire) + bytes;
    reserve(&shared.holder, wanted_bytes.min(shared.max_bytes)).await
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

/// The reservation of a request's body, which lasts until the last clone is dropped.
#[derive(Clone, Debug)]
pub(super) struct BodyReservation {
    shared: Arc<SharedReservation>,
    /// Whether the body was refused before all of it was read.
    refused: Arc<AtomicBool>,
}

impl StateData for BodyReservation {}

#[derive(Debug)]
struct SharedReservation {
    holder: Holder,
    max_bytes: usize,
    /// Size of the body, once it has been read.
    read_bytes: AtomicUsize,
}

impl BodyReservation {
    pub(super) fn new(budget: &ByteBudget, max_bytes: usize) -> Self {
        Self {
            shared: Arc::new(SharedReservation {
                holder: budget.holder(),
                max_bytes,
                read_bytes: AtomicUsize::new(0),
            }),
            refused: Arc::default(),
        }
    }

    /// Returns a flag that is set when the body is refused, so that the rest of it may be unread.
    /// The flag does not keep the reservation.
    pub(super) fn refused(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.refused)
    }

    async fn read(&self, body: &mut Body) -> Result<Bytes, BodyError> {
        let SharedReservation {
            holder, max_bytes, ..
        } = &*self.shared;
        let hint = http_body::Body::size_hint(body);
        let announced = hint.exact().map(usize::try_from);
        let mut reserved_bytes = match announced {
            Some(Ok(0)) => return Ok(Bytes::new()),
            Some(Ok(announced)) if announced <= *max_bytes => announced,
            Some(_too_large) => return Err(BodyError::TooLarge),
            None => UNKNOWN_LENGTH_BYTES.min(*max_bytes),
        };
        reserve(holder, reserved_bytes).await?;
        // Frames are copied, since each one keeps the whole buffer that it was read into.
        let mut whole = Vec::with_capacity(reserved_bytes);
        let mut recorded_bytes = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = holder.closer().cancelled() => return Err(BodyError::Overloaded),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|cause| classify_error(&cause))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed_bytes = whole.len() + data.len();
            if needed_bytes > reserved_bytes {
                reserved_bytes = needed_bytes.max(2 * reserved_bytes).min(*max_bytes);
                reserve(holder, reserved_bytes).await?;
                whole.reserve_exact(reserved_bytes - whole.len());
            }
            whole.extend_from_slice(&data);
            if whole.len() - recorded_bytes >= PROGRESS_BYTES {
                recorded_bytes = whole.len();
                holder.record_progress();
            }
        }
        holder.complete();
        self.shared.read_bytes.store(whole.len(), Ordering::Release);
        Ok(Bytes::from_owner(HeldBody {
            whole,
            _reservation: self.clone(),
        }))
    }
}

/// A complete body that keeps its reservation as long as any part of it is in memory.
struct HeldBody {
    whole: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.whole
    }
}

async fn reserve(holder: &Holder, bytes: usize) -> Result<(), BodyError> {
    let reserved = holder.reserve(bytes).await;
    reserved.map_err(|_exhausted| BodyError::Overloaded)
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
