use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::connections::Connection;

/// Bytes that a client must accept within the write time-out while more are waiting to be sent.
const PROGRESS_BYTES: usize = 16 * 1_024;

/// Maximum time without data while the rest of a refused body is read and dropped.
const DISCARD_IDLE_MAX: Duration = Duration::from_millis(500);
/// Maximum time for which the rest of a refused body is read and dropped before its connection is
/// closed. A client on a link of 1.5 Mbit/s sends [`DISCARD_MAX_BYTES`] in 5.6 s.
const DISCARD_MAX: Duration = Duration::from_secs(6);
/// Maximum size of the rest of a refused body that is read and dropped.
const DISCARD_MAX_BYTES: usize = 1_024 * 1_024;
/// Size of the buffer for dropped bytes.
const DISCARD_READ_BYTES: usize = 4_096;

/// A client socket whose writes fail once the client stops accepting data.
pub(super) struct ClientIo {
    socket: TcpStream,
    connection: Arc<Connection>,
    write_timeout: Duration,
    write_deadline: Option<Pin<Box<Sleep>>>,
    accepted_bytes: usize,
    discard_deadline: Option<Pin<Box<Sleep>>>,
    discard_end: Option<Instant>,
    discarded_bytes: usize,
}

impl ClientIo {
    pub(super) fn new(
        socket: TcpStream,
        connection: Arc<Connection>,
        write_timeout: Duration,
    ) -> Self {
        Self {
            socket,
            connection,
            write_timeout,
            write_deadline: None,
            accepted_bytes: 0,
            discard_deadline: None,
            discard_end: None,
            discarded_bytes: 0,
        }
    }

    /// Counts bytes that the client accepted. The write time-out restarts after [`PROGRESS_BYTES`].
    fn record_progress(&mut self, bytes: usize) {
        self.accepted_bytes = self.accepted_bytes.saturating_add(bytes);
        if self.accepted_bytes >= PROGRESS_BYTES {
            self.write_deadline = None;
            self.accepted_bytes = 0;
            self.connection.record_response_progress();
        }
    }

    /// Reads and drops what the client still sends, for a limited time.
    ///
    /// Closing a socket with unread data resets the connection, and the client might lose the
    /// refusal that it was sent.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let deadline = self
            .discard_deadline
            .get_or_insert_with(|| Box::pin(sleep(DISCARD_IDLE_MAX)));
        let end = *self
            .discard_end
            .get_or_insert_with(|| Instant::now() + DISCARD_MAX);
        let mut scratch = [0; DISCARD_READ_BYTES];
        while self.discarded_bytes < DISCARD_MAX_BYTES {
            let mut buf = ReadBuf::new(&mut scratch);
            match Pin::new(&mut self.socket).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.discarded_bytes += buf.filled().len();
                    let next_deadline = Instant::now() + DISCARD_IDLE_MAX;
                    deadline.as_mut().reset(next_deadline.min(end));
                }
                Poll::Ready(_ended) => return Poll::Ready(()),
                Poll::Pending => return deadline.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }

    fn poll_write_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let write_timeout = self.write_timeout;
        let write_deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        ready!(write_deadline.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.unsent.store(true, Ordering::Release);
        match Pin::new(&mut self.socket).poll_write(cx, buf) {
            Poll::Ready(Ok(accepted)) => {
                self.connection.record_read();
                self.record_progress(accepted);
                Poll::Ready(Ok(accepted))
            }
            Poll::Ready(Err(cause)) => Poll::Ready(Err(cause)),
            Poll::Pending => {
                self.connection.record_unread();
                ready!(self.poll_write_deadline(cx))?;
                Poll::Pending
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.connection.unsent.store(false, Ordering::Release);
        self.connection.release_response();
        self.write_deadline = None;
        self.accepted_bytes = 0;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard_deadline.is_none() {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
        }
        if self.connection.has_unread_body.load(Ordering::Acquire) {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
