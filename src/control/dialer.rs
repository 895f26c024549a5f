use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::BoxFuture;
use tarpc::{client, context};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::debug;

use super::call_expiry::ClockEstimate;
use super::{CallExpiry, ControlApiClient};
use crate::codec;

/// Opens connections to control replicas. It is a closure so that tests can replace the network.
pub type Dialer =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<Connection>> + Send + Sync>;

/// An open connection, with the task that drives it.
#[derive(Debug)]
pub struct Connection {
    /// The RPC client.
    pub client: ControlApiClient,
    driver: AbortHandle,
    /// What is known of the replica's clock; none before the first call that expires.
    clock: Mutex<Option<ClockEstimate>>,
}

impl Connection {
    /// Combines a client with the task that drives its connection. Dropping the connection aborts
    /// the task, and with it all calls in progress.
    #[must_use]
    pub const fn new(client: ControlApiClient, driver: AbortHandle) -> Self {
        Self {
            client,
            driver,
            clock: Mutex::new(None),
        }
    }
}

impl Connection {
    /// Whether the connection has ended, for example because the replica closed it.
    pub(super) fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }

    /// When a call expires that is given up at `given_up`. Asks for the replica's time first if the
    /// last answer is too old; `None` if there is no answer to that.
    pub(super) async fn expiry(&self, given_up: Instant) -> Option<CallExpiry> {
        let known = *self.clock();
        let valid = known.filter(|clock| clock.is_valid(Instant::now()));
        if let Some(clock) = valid {
            return Some(clock.expiry(given_up));
        }
        let mut context = context::current();
        context.deadline = given_up.into_std();
        let replica_ms = match self.client.call_clock(context).await {
            Ok(replica_ms) => replica_ms,
            Err(cause) => {
                debug!(event = "call_clock_unknown", %cause);
                return None;
            }
        };
        let clock = ClockEstimate::new(replica_ms, Instant::now());
        *self.clock() = Some(clock);
        Some(clock.expiry(given_up))
    }

    /// Asks for the replica's time again before the next call that expires.
    pub(super) fn forget_clock(&self) {
        *self.clock() = None;
    }

    fn clock(&self) -> MutexGuard<'_, Option<ClockEstimate>> {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Returns a dialer that connects by TCP.
#[must_use]
pub fn tcp_dialer() -> Dialer {
    Arc::new(|address| Box::pin(connect_tcp(address)))
}

async fn connect_tcp(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let new = ControlApiClient::new(client::Config::default(), codec::transport(stream));
    let driver = tokio::spawn(async move {
        drop(new.dispatch.await);
    });
    Ok(Connection::new(new.client, driver.abort_handle()))
}

/// Wraps a dialer to implement [`fmt::Debug`], which closures lack.
pub(super) struct OpaqueDialer(pub(super) Dialer);

impl fmt::Debug for OpaqueDialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dial")
    }
}
