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

/// Opens a connection to a control replica; a closure, so that tests can stand in for the network.
pub type Dialer =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<Connection>> + Send + Sync>;

/// An open connection with the task that drives it.
#[derive(Debug)]
pub struct Connection {
    /// Sends calls.
    pub client: ControlApiClient,
    driver: AbortHandle,
}

impl Connection {
    /// Joins a client with the task that drives its connection; dropping this ends the task, and
    /// with it all calls on the connection.
    #[must_use]
    pub const fn new(client: ControlApiClient, driver: AbortHandle) -> Self {
        Self { client, driver }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Dials by TCP.
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

/// Hides the closure from debug output.
pub(super) struct OpaqueDialer(pub(super) Dialer);

impl fmt::Debug for OpaqueDialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dial")
    }
}
