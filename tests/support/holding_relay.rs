//! A TCP relay in front of a control replica that holds up all bytes during a partition and delivers
//! them afterwards, also if the client has closed its connection meanwhile.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The relay, whose address stands for that of the replica.
pub struct HoldingRelay {
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
    sent: Arc<Mutex<Vec<u8>>>,
}

impl HoldingRelay {
    pub async fn start(replica: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let is_cut = watch::Sender::new(false);
        let sent = Arc::new(Mutex::new(Vec::new()));
        let (cuts, records) = (is_cut.clone(), Arc::clone(&sent));
        tokio::spawn(async move {
            while let Ok((client, _peer)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(replica).await else {
                    continue;
                };
                let (client_reads, client_writes) = client.into_split();
                let (server_reads, server_writes) = server.into_split();
                let records = Arc::clone(&records);
                let record = move |bytes: &[u8]| {
                    let mut records = records.lock().expect("no test thread panics");
                    records.extend_from_slice(bytes);
                };
                tokio::spawn(relay(client_reads, server_writes, cuts.subscribe(), record));
                tokio::spawn(relay(
                    server_reads,
                    client_writes,
                    cuts.subscribe(),
                    |_bytes| {},
                ));
            }
        });
        Self {
            address,
            is_cut,
            sent,
        }
    }

    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    pub fn heal(&self) {
        self.is_cut.send_replace(false);
    }

    /// Whether clients have sent this text, delivered or not.
    pub fn was_sent(&self, text: &str) -> bool {
        let sent = self.sent.lock().expect("no test thread panics");
        sent.windows(text.len())
            .any(|window| window == text.as_bytes())
    }
}

/// Passes on what arrives, in order, except during a cut.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<bool>,
    record: impl Fn(&[u8]) + Send,
) {
    let mut buffer = [0; 16_384];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or_default();
        record(&buffer[..read]);
        if cut.wait_for(|cut| !cut).await.is_err() || read == 0 {
            drop(to.shutdown().await);
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
