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

use super::attempt_guard::OpenAttempt;
use super::endpoint_client::Sender;
use crate::router::AttemptOutcome;

/// How long an endpoint may pause within a streamed answer.
const PAUSE_MAX: Duration = Duration::from_secs(30);

/// The attempt that a streamed answer belongs to, ended when the answer ends.
#[derive(Debug)]
pub(super) struct Relayed {
    attempt: OpenAttempt,
    sender: Option<Sender>,
}

impl Relayed {
    pub(super) const fn new(attempt: OpenAttempt, sender: Sender) -> Self {
        Self {
            attempt,
            sender: Some(sender),
        }
    }

    fn end_whole(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.attempt.end_answered(sender);
        }
    }
}

pin_project! {
    /// A long answer on its way from the endpoint to the caller.
    ///
    /// Where the endpoint breaks off, the body fails, which closes the caller's connection before
    /// the end of the answer: the caller sees that it is not whole.
    pub(super) struct RelayBody {
        first: VecDeque<Bytes>,
        left_bytes: Option<u64>,
        #[pin]
        rest: Incoming,
        #[pin]
        pause: Sleep,
        relayed: Relayed,
        done: bool,
    }
}

impl RelayBody {
    pub(super) fn new(first: Vec<Bytes>, rest: Incoming, relayed: Relayed) -> Self {
        let read: u64 = first.iter().map(|bytes| bytes.len() as u64).sum();
        let left_bytes = http_body::Body::size_hint(&rest)
            .exact()
            .map(|left| left + read);
        Self {
            first: first.into(),
            left_bytes,
            rest,
            pause: sleep(PAUSE_MAX),
            relayed,
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
        if let Some(bytes) = this.first.pop_front() {
            take_off(this.left_bytes, &bytes);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if *this.done {
            return Poll::Ready(None);
        }
        match this.rest.poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.pause.as_mut().reset(Instant::now() + PAUSE_MAX);
                if let Some(bytes) = frame.data_ref() {
                    take_off(this.left_bytes, bytes);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                *this.done = true;
                this.relayed.attempt.end(AttemptOutcome::Failed);
                Poll::Ready(Some(Err(io::Error::other(cause))))
            }
            Poll::Ready(None) => {
                *this.done = true;
                this.relayed.end_whole();
                Poll::Ready(None)
            }
            Poll::Pending if this.pause.poll(cx).is_ready() => {
                *this.done = true;
                this.relayed.attempt.end(AttemptOutcome::TimedOut);
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.done && self.first.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.left_bytes
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

const fn take_off(left_bytes: &mut Option<u64>, bytes: &Bytes) {
    if let Some(left) = left_bytes {
        *left = left.saturating_sub(bytes.len() as u64);
    }
}
