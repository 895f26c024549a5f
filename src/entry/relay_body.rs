use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use pin_project_lite::pin_project;
use tokio::time::{Instant, Sleep, sleep};

use super::attempt_guard::AttemptGuard;
use super::endpoint_client::RequestSender;
use crate::router::AttemptOutcome;

/// Maximum time between two frames of a streamed response.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The attempt that a streamed response belongs to. It ends with the response.
#[derive(Debug)]
pub(super) struct StreamedAttempt {
    attempt: AttemptGuard,
    sender: Option<RequestSender>,
}

impl StreamedAttempt {
    pub(super) const fn new(attempt: AttemptGuard, sender: RequestSender) -> Self {
        Self {
            attempt,
            sender: Some(sender),
        }
    }

    fn end_completed(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.attempt.end_answered(sender);
        }
    }
}

pin_project! {
    /// Body of a large response that is streamed from the endpoint to the caller.
    ///
    /// If the endpoint breaks off, the body fails and the caller's connection is closed before the
    /// end of the response, so that the caller detects the truncation.
    pub(super) struct RelayBody {
        buffered: VecDeque<Bytes>,
        remaining_bytes: Option<u64>,
        #[pin]
        rest: Incoming,
        #[pin]
        idle_timeout: Sleep,
        streamed: StreamedAttempt,
        done: bool,
    }
}

impl RelayBody {
    pub(super) fn new(buffered: Vec<Bytes>, rest: Incoming, streamed: StreamedAttempt) -> Self {
        let buffered_bytes: u64 = buffered.iter().map(|bytes| bytes.len() as u64).sum();
        let remaining_bytes = http_body::Body::size_hint(&rest)
            .exact()
            .map(|remaining| remaining + buffered_bytes);
        Self {
            buffered: buffered.into(),
            remaining_bytes,
            rest,
            idle_timeout: sleep(STREAM_IDLE_TIMEOUT),
            streamed,
            done: false,
        }
    }
}

impl http_body::Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut this = self.project();
        if let Some(bytes) = this.buffered.pop_front() {
            subtract_length(this.remaining_bytes, &bytes);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if *this.done {
            return Poll::Ready(None);
        }
        match this.rest.poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.idle_timeout
                    .as_mut()
                    .reset(Instant::now() + STREAM_IDLE_TIMEOUT);
                if let Some(bytes) = frame.data_ref() {
                    subtract_length(this.remaining_bytes, bytes);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                *this.done = true;
                this.streamed.attempt.end(AttemptOutcome::Failed);
                Poll::Ready(Some(Err(io::Error::other(cause))))
            }
            Poll::Ready(None) => {
                *this.done = true;
                this.streamed.end_completed();
                Poll::Ready(None)
            }
            Poll::Pending if this.idle_timeout.poll(cx).is_ready() => {
                *this.done = true;
                this.streamed.attempt.end(AttemptOutcome::TimedOut);
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.done && self.buffered.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

const fn subtract_length(remaining_bytes: &mut Option<u64>, bytes: &Bytes) {
    if let Some(remaining) = remaining_bytes {
        *remaining = remaining.saturating_sub(bytes.len() as u64);
    }
}
