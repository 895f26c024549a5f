use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::stream::{FuturesUnordered, StreamExt};
use tarpc::client::{self, NewClient};
use tarpc::context;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::debug;

use super::PeerApiClient;
use crate::codec;
use crate::replica::options::AddressBook;
use crate::replica::{Message, MessageBody};
use crate::units::ReplicaId;

/// How long a delivery may remain unacknowledged before its connection is closed.
///
/// Together with [`PING_INTERVAL`] it ensures that unresponsive connections in both directions
/// between two replicas are re-established within half a lease, so that a leader does not lose its
/// leadership because of them.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection may be unused before a ping is sent. If the opposite direction has failed
/// too, this side receives nothing, may have nothing to send, and would not notice that this
/// connection has failed.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Number of consecutive pings without a message after which a connection is closed.
const MAX_IDLE_PINGS: u32 = 25;
/// Capacity of the message queue of a peer. Further messages are dropped.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of unacknowledged deliveries to a peer.
const MAX_INFLIGHT_DELIVERIES: usize = 16;
/// Approximate size in bytes at which no further message is added to a delivery.
const TARGET_DELIVERY_BYTES: usize = 512 * 1024;

/// Maximum number of peers to which a replica maintains a link.
const MAX_LINKS: usize = 64;

/// The outgoing links to all peers. A link is created when the first message is sent to its peer.
#[derive(Debug)]
pub(in crate::replica) struct Links {
    addresses: AddressBook,
    queues: BTreeMap<ReplicaId, mpsc::Sender<Message>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Links {
    pub(in crate::replica) const fn new(addresses: AddressBook) -> Self {
        Self {
            addresses,
            queues: BTreeMap::new(),
            tasks: Vec::new(),
        }
    }

    /// Queues a message. It is dropped if the queue is full, the peer has no known address or the
    /// maximum number of links is reached.
    pub(in crate::replica) fn send(&mut self, message: Message) {
        if !self.queues.contains_key(&message.to) && !self.start_link(&message.to) {
            metrics::counter!("replica_messages_dropped", "cause" => "no_address").increment(1);
            return;
        }
        let queue = self.queues.get(&message.to);
        if queue.is_some_and(|queue| queue.try_send(message).is_err()) {
            metrics::counter!("replica_messages_dropped", "cause" => "queue_full").increment(1);
        }
    }

    fn start_link(&mut self, peer_name: &ReplicaId) -> bool {
        let Some(peer) = self.addresses.lookup(peer_name) else {
            return false;
        };
        if self.queues.len() >= MAX_LINKS {
            return false;
        }
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let link = Link {
            address: peer.peer_address,
            messages,
        };
        self.queues.insert(peer_name.clone(), queue);
        self.tasks.push(tokio::spawn(link.run()));
        true
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// An outgoing connection. Dropping it closes it immediately, even if the peer does not respond.
struct Connection {
    client: PeerApiClient,
    dispatch: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

/// The task that delivers the queued messages to one peer.
struct Link {
    address: SocketAddr,
    messages: mpsc::Receiver<Message>,
}

impl Link {
    async fn run(mut self) {
        while let Some(first) = self.messages.recv().await {
            if let Some(connection) = self.connect().await {
                self.send_over(connection, first).await;
                continue;
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
            // Queued messages are outdated by the time the peer is reachable and would only occupy
            // memory.
            while self.messages.try_recv().is_ok() {}
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let NewClient { client, dispatch } =
            PeerApiClient::new(client::Config::default(), codec::transport(stream));
        let dispatch = tokio::spawn(async move {
            if let Err(error) = dispatch.await {
                debug!(event = "peer_connection_ended", %error);
            }
        });
        Some(Connection { client, dispatch })
    }

    /// Delivers messages over a connection until it fails, stops responding or has been idle for
    /// [`MAX_IDLE_PINGS`] pings.
    async fn send_over(&mut self, connection: Connection, first: Message) {
        let mut deliveries = FuturesUnordered::new();
        let mut pings = 0;
        let batch = self.collect_batch(first);
        deliveries.push(deliver(&connection, batch));
        while pings < MAX_IDLE_PINGS {
            tokio::select! {
                Some(acknowledged) = deliveries.next(), if !deliveries.is_empty() => {
                    if !acknowledged {
                        metrics::counter!("replica_connections_closed").increment(1);
                        return;
                    }
                }
                next = timeout(PING_INTERVAL, self.messages.recv()), if deliveries.len() < MAX_INFLIGHT_DELIVERIES => {
                    let batch = match next {
                        Ok(Some(message)) => {
                            pings = 0;
                            self.collect_batch(message)
                        }
                        Ok(None) => return,
                        Err(_elapsed) => {
                            pings += 1;
                            Vec::new()
                        }
                    };
                    deliveries.push(deliver(&connection, batch));
                }
            }
        }
    }

    /// Collects queued messages into one delivery of about [`TARGET_DELIVERY_BYTES`].
    fn collect_batch(&mut self, first: Message) -> Vec<Message> {
        let mut bytes = approximate_size(&first);
        let mut batch = vec![first];
        while bytes < TARGET_DELIVERY_BYTES {
            let Ok(message) = self.messages.try_recv() else {
                break;
            };
            bytes += approximate_size(&message);
            batch.push(message);
        }
        batch
    }
}

/// Delivers a batch and returns whether the peer acknowledged it in time.
async fn deliver(connection: &Connection, batch: Vec<Message>) -> bool {
    let mut context = context::current();
    context.deadline = Instant::now() + DELIVERY_TIMEOUT;
    connection.client.deliver(context, batch).await.is_ok()
}

fn approximate_size(message: &Message) -> usize {
    match &message.body {
        MessageBody::AppendEntries { entries, .. } => {
            entries.iter().map(|e| e.approximate_size()).sum()
        }
        MessageBody::SnapshotChunk { data, .. } => data.len(),
        _ => 0,
    }
}
