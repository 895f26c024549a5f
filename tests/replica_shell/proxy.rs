//! A TCP proxy between two replicas that can stop relaying on its open connections, but not on new
//! ones.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

/// A running proxy. It stops when it is dropped.
pub struct Proxy {
    pub address: SocketAddr,
    /// Incremented to silence all connections that were opened in an earlier generation.
    generation: Arc<watch::Sender<u64>>,
    _task: AbortOnDropHandle<()>,
}

impl Proxy {
    /// Starts a proxy that relays connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("loopback has free ports");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let generation = Arc::new(watch::Sender::new(0_u64));
        let generation_sender = Arc::clone(&generation);
        let task = tokio::spawn(async move {
            let mut relays = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                relays.spawn(relay(stream, target, generation_sender.subscribe()));
            }
        });
        Self {
            address,
            generation,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Discards all further bytes of the open connections in both directions and keeps the
    /// connections open.
    pub fn silence(&self) {
        self.generation.send_modify(|count| *count += 1);
    }
}

async fn relay(client: TcpStream, target: SocketAddr, generation: watch::Receiver<u64>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let opened_in = *generation.borrow();
    let (client_read, client_write) = split(client);
    let (server_read, server_write) = split(server);
    let forward = relay_bytes(client_read, server_write, generation.clone(), opened_in);
    let backward = relay_bytes(server_read, client_write, generation, opened_in);
    tokio::join!(forward, backward);
}

async fn relay_bytes(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    generation: watch::Receiver<u64>,
    opened_in: u64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        let is_silenced = *generation.borrow() != opened_in;
        let Some(read) = read.ok().filter(|read| *read > 0) else {
            if is_silenced {
                // The opposite end must not notice that the connection was closed.
                std::future::pending::<()>().await;
            }
            return;
        };
        if !is_silenced && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
