//! A stand-in between two replicas that goes silent on the connections it has, not on new ones.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

/// The stand-in; it ends when it is dropped.
pub struct Proxy {
    pub address: SocketAddr,
    swallowed: Arc<watch::Sender<u64>>,
    _task: AbortOnDropHandle<()>,
}

impl Proxy {
    /// Relays connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("loopback has free ports");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let swallowed = Arc::new(watch::Sender::new(0_u64));
        let watched = Arc::clone(&swallowed);
        let task = tokio::spawn(async move {
            let mut relays = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                relays.spawn(relay(stream, target, watched.subscribe()));
            }
        });
        Self {
            address,
            swallowed,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// From now on all present connections swallow every byte, both ways, and stay open.
    pub fn swallow(&self) {
        self.swallowed.send_modify(|count| *count += 1);
    }
}

async fn relay(near: TcpStream, target: SocketAddr, swallowed: watch::Receiver<u64>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let born = *swallowed.borrow();
    let (near_read, near_write) = split(near);
    let (far_read, far_write) = split(far);
    let out = pump(near_read, far_write, swallowed.clone(), born);
    let back = pump(far_read, near_write, swallowed, born);
    tokio::join!(out, back);
}

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    swallowed: watch::Receiver<u64>,
    born: u64,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        let silent = *swallowed.borrow() != born;
        let Some(read) = read.ok().filter(|read| *read > 0) else {
            if silent {
                // The other end never learns that this one is gone.
                std::future::pending::<()>().await;
            }
            return;
        };
        if !silent && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
