use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::units::Millis;

/// Value of [`Connection::requests`] for a connection that is being closed and accepts no further
/// request.
const CLOSING: u32 = u32::MAX;

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Number of the connection, unique among those of its server.
    pub(super) number: u64,
    /// Number of requests in progress, or [`CLOSING`].
    requests: AtomicU32,
    /// End of the last request, on the clock of [`Connections`](super::Connections).
    idle_since_ms: AtomicU64,
    /// Whether data is waiting to be accepted by the client.
    pub(crate) unsent: AtomicBool,
    /// Closes the connection immediately when cancelled.
    pub(crate) closed: CancellationToken,
    epoch: Instant,
}

impl Connection {
    /// Counts a new request as in progress. Returns `None` if the connection is being closed.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<RequestGuard> {
        let begun = self
            .requests
            .try_update(Ordering::AcqRel, Ordering::Acquire, |count| {
                (count != CLOSING).then(|| count + 1)
            });
        begun.ok()?;
        Some(RequestGuard {
            connection: Arc::clone(self),
        })
    }

    pub(super) fn new(number: u64, epoch: Instant) -> Self {
        Self {
            number,
            requests: AtomicU32::new(0),
            idle_since_ms: AtomicU64::new(Millis::from(epoch.elapsed()).get()),
            unsent: AtomicBool::new(false),
            closed: CancellationToken::new(),
            epoch,
        }
    }

    /// Returns how long the connection has been idle, or `None` while it is in use.
    pub(super) fn idle_ms(&self) -> Option<Millis> {
        let has_requests = self.requests.load(Ordering::Acquire) != 0;
        if has_requests || self.unsent.load(Ordering::Acquire) {
            return None;
        }
        let since = Millis(self.idle_since_ms.load(Ordering::Acquire));
        Some(Millis::from(self.epoch.elapsed()).since(since))
    }

    /// Closes the connection unless a request is in progress. Returns whether it was closed.
    pub(super) fn close_idle(&self) -> bool {
        let closing =
            self.requests
                .compare_exchange(0, CLOSING, Ordering::AcqRel, Ordering::Acquire);
        if closing.is_ok() {
            self.closed.cancel();
        }
        closing.is_ok()
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connection: Arc<Connection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = Millis::from(self.connection.epoch.elapsed());
        self.connection
            .idle_since_ms
            .store(now.get(), Ordering::Release);
        self.connection.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
