use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::info;

use super::Connection;
use crate::budget::RESPONSE_STALLED_MIN_MS;
use crate::units::Millis;

/// Minimum idle time after which a connection may be closed to make room for another.
const IDLE_MIN_MS: Millis = Millis(100);

/// Minimum time without accepting any part of a response after which a connection may be closed to
/// make room for another. A client that reads steadily on a slow link accepts none for as long.
const UNREAD_MIN_MS: Millis = RESPONSE_STALLED_MIN_MS;

/// The open connections of a server, limited to a maximum number.
#[derive(Debug)]
pub(crate) struct Connections {
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    connection_ended: Notify,
    next_number: AtomicU64,
    room_wanted: AtomicBool,
    max: usize,
    epoch: Instant,
}

impl Connections {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            open: Mutex::default(),
            connection_ended: Notify::new(),
            next_number: AtomicU64::new(0),
            room_wanted: AtomicBool::new(false),
            max,
            epoch: Instant::now(),
        }
    }

    /// Adds a connection.
    pub(crate) fn add(&self) -> Arc<Connection> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::new(number, self.epoch));
        self.lock().insert(number, Arc::clone(&connection));
        connection
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, connection: &Connection) {
        self.lock().remove(&connection.number);
        self.connection_ended.notify_one();
    }

    /// Waits until there is room for another connection, closing the one that has been idle longest
    /// if necessary.
    ///
    /// This way clients that hold connections without sending requests cannot keep others out.
    pub(crate) async fn make_room(&self) {
        loop {
            let connection_ended = self.connection_ended.notified();
            if self.lock().len() < self.max {
                self.room_wanted.store(false, Ordering::Release);
                return;
            }
            if self.close_longest_idle() || self.close_longest_unread() {
                connection_ended.await;
            } else {
                self.room_wanted.store(true, Ordering::Release);
                // No notification is sent when a connection becomes idle, so check again after a
                // while.
                let _again = tokio::time::timeout(IDLE_MIN_MS.duration(), connection_ended).await;
            }
        }
    }

    /// Returns whether the connection of the caller is to close after its response, because all are
    /// in use and another one waits.
    ///
    /// Otherwise clients that send one request after another without a pause keep others out.
    pub(crate) fn take_room_wanted(&self) -> bool {
        self.room_wanted.load(Ordering::Relaxed) && self.room_wanted.swap(false, Ordering::AcqRel)
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for connection in self.lock().values() {
            connection.closed.cancel();
        }
    }

    /// Closes the connections that have no request in progress.
    pub(crate) fn close_idle(&self) {
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
        longest_idle.is_some_and(|(idle_ms, connection)| {
            let closed = connection.close_idle();
            if closed {
                info!(
                    event = "idle_connection_closed",
                    idle_ms = idle_ms.get(),
                    open = open.len()
                );
            }
            closed
        })
    }

    /// Closes the connection whose client has accepted no part of a response for the longest time.
    fn close_longest_unread(&self) -> bool {
        let open = self.lock();
        let unread = open.values().filter_map(|connection| {
            let unread_ms = connection.unread_ms()?;
            (unread_ms >= UNREAD_MIN_MS).then_some((unread_ms, connection))
        });
        let longest_unread = unread.max_by_key(|(unread_ms, _connection)| *unread_ms);
        longest_unread.is_some_and(|(unread_ms, connection)| {
            info!(
                event = "unread_connection_closed",
                unread_ms = unread_ms.get(),
                open = open.len()
            );
            connection.closed.cancel();
            true
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
