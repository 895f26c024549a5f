use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::units::Millis;

/// Value of [`Connection::requests`] for a connection that is being closed and accepts no further
/// request.
const CLOSING: u32 = u32::MAX;
/// Minimum idle time after which a connection may be closed to make room for another.
const IDLE_MIN_MS: Millis = Millis(100);

/// A client connection of a listener.
#[derive(Debug)]
pub(super) struct Connection {
    /// Number of requests in progress, or [`CLOSING`].
    requests: AtomicU32,
    /// End of the last request, on the listener's clock.
    idle_since_ms: AtomicU64,
    /// Whether data is waiting to be accepted by the client.
    pub(super) unsent: AtomicBool,
    /// Closes the connection immediately when cancelled.
    pub(super) closed: CancellationToken,
    epoch: Instant,
}

impl Connection {
    /// Counts a new request as in progress. Returns `None` if the connection is being closed.
    pub(super) fn begin(self: &Arc<Self>) -> Option<RequestGuard> {
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

    fn idle_ms(&self) -> Option<Millis> {
        let has_requests = self.requests.load(Ordering::Acquire) != 0;
        if has_requests || self.unsent.load(Ordering::Acquire) {
            return None;
        }
        let since = Millis(self.idle_since_ms.load(Ordering::Acquire));
        Some(Millis::from(self.epoch.elapsed()).since(since))
    }

    fn close_idle(&self) -> bool {
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
pub(super) struct RequestGuard {
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

/// The open connections of a listener, limited to a maximum number.
#[derive(Debug)]
pub(super) struct Connections {
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    connection_ended: Notify,
    max: usize,
    epoch: Instant,
}

impl Connections {
    pub(super) fn new(max: usize) -> Self {
        Self {
            open: Mutex::default(),
            connection_ended: Notify::new(),
            max,
            epoch: Instant::now(),
        }
    }

    /// Adds a connection under a number that has not been used before.
    pub(super) fn add(&self, number: u64) -> Arc<Connection> {
        let now = Millis::from(self.epoch.elapsed());
        let connection = Arc::new(Connection {
            requests: AtomicU32::new(0),
            idle_since_ms: AtomicU64::new(now.get()),
            unsent: AtomicBool::new(false),
            closed: CancellationToken::new(),
            epoch: self.epoch,
        });
        self.lock().insert(number, Arc::clone(&connection));
        connection
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, number: u64) {
        self.lock().remove(&number);
        self.connection_ended.notify_one();
    }

    /// Waits until there is room for another connection, closing the one that has been idle longest
    /// if necessary.
    ///
    /// This way clients that hold connections without sending requests cannot keep others out.
    pub(super) async fn make_room(&self) {
        loop {
            let connection_ended = self.connection_ended.notified();
            if self.lock().len() < self.max {
                return;
            }
            if self.close_longest_idle() {
                connection_ended.await;
            } else {
                // No notification is sent when a connection becomes idle, so check again after a
                // while.
                let _again = tokio::time::timeout(IDLE_MIN_MS.duration(), connection_ended).await;
            }
        }
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        for connection in self.lock().values() {
            connection.closed.cancel();
        }
    }

    /// Closes the connections that have no request in progress.
    pub(super) fn close_idle(&self) {
        for connection in self.lock().values() {
            if connection.idle_ms().is_some() {
                connection.close_idle();
            }
        }
    }

    fn close_longest_idle(&self) -> bool {
        let open = self.lock();
        let idle = open.values().filter_map(|connection| {
            let idle_ms = connection.idle_ms()?;
            (idle_ms >= IDLE_MIN_MS).then_some((idle_ms, connection))
        });
        let longest_idle = idle.max_by_key(|(idle_ms, _connection)| *idle_ms);
        longest_idle.is_some_and(|(_idle_ms, connection)| connection.close_idle())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
