use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::connections::Connection;

/// Bytes that a client must accept within the write time-out while more are waiting to be sent.
const PROGRESS_BYTES: usize = 16 * 1_024;

/// A client socket whose writes fail once the client stops accepting data.
pub(super) struct ClientIo {
    socket: TcpStream,
    connection: Arc<Connection>,
    write_timeout: Duration,
    write_deadline: Option<Pin<Box<Sleep>>>,
    accepted_bytes: usize,
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
        }
    }

    /// Counts bytes that the client accepted. The write time-out restarts after [`PROGRESS_BYTES`].
    fn record_progress(&mut self, bytes: usize) {
        self.accepted_bytes = self.accepted_bytes.saturating_add(bytes);
        if self.accepted_bytes >= PROGRESS_BYTES {
            self.write_deadline = None;
            self.accepted_bytes = 0;
        }
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
                self.record_progress(accepted);
                Poll::Ready(Ok(accepted))
            }
            Poll::Ready(Err(cause)) => Poll::Ready(Err(cause)),
            Poll::Pending => {
                ready!(self.poll_write_deadline(cx))?;
                Poll::Pending
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.connection.unsent.store(false, Ordering::Release);
        self.write_deadline = None;
        self.accepted_bytes = 0;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
