use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::budget::{BudgetError, ByteBudget, Holder};
use crate::units::Millis;

/// Value of [`Connection::requests`] for a connection that is being closed and accepts no further
/// request.
const CLOSING: u32 = u32::MAX;

/// Bytes reserved for responses.
#[derive(Debug)]
struct UnsentResponse {
    holder: Arc<Holder>,
    bytes: usize,
}

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
    /// Since when the client has accepted nothing of what was written, or 0.
    unread_since_ms: AtomicU64,
    /// Whether the rest of a refused body is still to come.
    pub(crate) has_unread_body: AtomicBool,
    /// Reservation of the responses that the client has not accepted yet.
    unsent_response: Mutex<Option<UnsentResponse>>,
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

    /// Reserves bytes for a response until the client has accepted all that was written to it.
    ///
    /// A client that accepts nothing while others need the bytes is disconnected.
    pub(crate) async fn hold_response(
        &self,
        budget: &ByteBudget,
        bytes: usize,
    ) -> std::result::Result<(), BudgetError> {
        let held = self.lock_response().take();
        let (holder, before) = held.map_or_else(
            || {
                let holder = budget.response_holder(self.closed.clone());
                (Arc::new(holder), 0)
            },
            |held| (held.holder, held.bytes),
        );
        let bytes = before + bytes;
        holder.reserve(bytes).await?;
        *self.lock_response() = Some(UnsentResponse { holder, bytes });
        Ok(())
    }

    /// Records that the client has accepted part of a response.
    pub(crate) fn record_response_progress(&self) {
        if let Some(held) = &*self.lock_response() {
            held.holder.record_progress();
        }
    }

    /// Releases the bytes of responses, all of which the client has accepted.
    pub(crate) fn release_response(&self) {
        drop(self.lock_response().take());
    }

    fn lock_response(&self) -> MutexGuard<'_, Option<UnsentResponse>> {
        self.unsent_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the client does not accept data at present.
    pub(crate) fn record_unread(&self) {
        let now = Millis::from(self.epoch.elapsed()).get().max(1);
        // Where it is set already, the earlier write counts.
        let _set =
            self.unread_since_ms
                .compare_exchange(0, now, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Records that the client has accepted data.
    pub(crate) fn record_read(&self) {
        if self.unread_since_ms.load(Ordering::Relaxed) != 0 {
            self.unread_since_ms.store(0, Ordering::Release);
        }
    }

    /// Returns for how long the client has accepted nothing, or `None` where nothing is waiting.
    pub(super) fn unread_ms(&self) -> Option<Millis> {
        let since = self.unread_since_ms.load(Ordering::Acquire);
        (since != 0).then(|| Millis::from(self.epoch.elapsed()).since(Millis(since)))
    }

    pub(super) fn new(number: u64, epoch: Instant) -> Self {
        Self {
            number,
            requests: AtomicU32::new(0),
            idle_since_ms: AtomicU64::new(Millis::from(epoch.elapsed()).get()),
            unsent: AtomicBool::new(false),
            unread_since_ms: AtomicU64::new(0),
            has_unread_body: AtomicBool::new(false),
            unsent_response: Mutex::default(),
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
