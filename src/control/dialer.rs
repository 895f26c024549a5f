use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use tarpc::client;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::ControlApiClient;
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
}

impl Connection {
    /// Combines a client with the task that drives its connection. Dropping the connection aborts
    /// the task, and with it all calls in progress.
    #[must_use]
    pub const fn new(client: ControlApiClient, driver: AbortHandle) -> Self {
        Self { client, driver }
    }
}

impl Connection {
    /// Whether the connection has ended, for example because the replica closed it.
    pub(super) fn is_closed(&self) -> bool {
        self.driver.is_finished()
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
