use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::{ByteBudget, Holder};
use crate::codec::MAX_FRAME_BYTES;

/// Size of a frame's length prefix, see [`crate::codec`].
const PREFIX_BYTES: usize = 4;
/// Maximum size of a frame that needs no reservation. 256 connections hold at most 16 MiB in frames
/// of this size.
const UNCOUNTED_MAX_BYTES: usize = 64 * 1_024;
/// Bytes of a frame after which progress is recorded.
const PROGRESS_BYTES: usize = 16 * 1_024;

/// A stream of length-delimited frames that reserves the bytes of a frame when its prefix arrives.
///
/// Reading fails if the budget is exhausted, or if a frame has stalled and another needs its bytes.
#[derive(Debug)]
pub(crate) struct BudgetedStream<S> {
    stream: S,
    budget: ByteBudget,
    prefix: [u8; PREFIX_BYTES],
    prefix_bytes: usize,
    remaining_bytes: usize,
    unrecorded_bytes: usize,
    reserved: Option<ReservedFrame>,
}

#[derive(Debug)]
struct ReservedFrame {
    holder: Holder,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> BudgetedStream<S> {
    pub(crate) const fn new(stream: S, budget: ByteBudget) -> Self {
        Self {
            stream,
            budget,
            prefix: [0; PREFIX_BYTES],
            prefix_bytes: 0,
            remaining_bytes: 0,
            unrecorded_bytes: 0,
            reserved: None,
        }
    }

    /// Follows the frames through bytes that were received.
    fn account(&mut self, mut received: &[u8]) -> io::Result<()> {
        while !received.is_empty() {
            if self.remaining_bytes > 0 {
                let bytes = received.len().min(self.remaining_bytes);
                received = &received[bytes..];
                self.remaining_bytes -= bytes;
                self.record_progress(bytes);
                continue;
            }
            let bytes = received.len().min(PREFIX_BYTES - self.prefix_bytes);
            self.prefix[self.prefix_bytes..self.prefix_bytes + bytes]
                .copy_from_slice(&received[..bytes]);
            received = &received[bytes..];
            self.prefix_bytes += bytes;
            if self.prefix_bytes == PREFIX_BYTES {
                self.begin_frame()?;
            }
        }
        Ok(())
    }

    fn begin_frame(&mut self) -> io::Result<()> {
        self.prefix_bytes = 0;
        let announced = u32::from_be_bytes(self.prefix);
        self.remaining_bytes = usize::try_from(announced).unwrap_or(usize::MAX);
        if self.remaining_bytes <= UNCOUNTED_MAX_BYTES {
            return Ok(());
        }
        if self.remaining_bytes > MAX_FRAME_BYTES {
            self.budget.count_refusal();
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the announced frame exceeds the maximum size",
            ));
        }
        let holder = self.budget.holder();
        if holder.try_reserve(self.remaining_bytes).is_err() {
            return Err(exhausted());
        }
        let closed = Box::pin(holder.closer().clone().cancelled_owned());
        self.reserved = Some(ReservedFrame { holder, closed });
        Ok(())
    }

    fn record_progress(&mut self, bytes: usize) {
        if self.remaining_bytes == 0 {
            self.reserved = None;
            self.unrecorded_bytes = 0;
            return;
        }
        self.unrecorded_bytes += bytes;
        if let Some(reserved) = &self.reserved
            && self.unrecorded_bytes >= PROGRESS_BYTES
        {
            reserved.holder.record_progress();
            self.unrecorded_bytes = 0;
        }
    }
}

fn exhausted() -> io::Error {
    io::Error::other("the frames being received exceed the budget")
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Some(reserved) = &mut this.reserved
            && reserved.closed.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Err(exhausted()));
        }
        let before = buf.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => Poll::Ready(this.account(&buf.filled()[before..])),
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
