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

/// How long a delivery may stay unanswered before its connection is given up.
///
/// With [`PING_INTERVAL`] both directions between two replicas are dialled anew within half a lease, so
/// that silent connections depose no leader.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection that was not used for this long is pinged: the other direction may be silent as well
/// and nothing be sent here because of it.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// How long a dial may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait after a dial that failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// A connection without messages is closed after so many pings.
const MAX_IDLE_PINGS: u32 = 25;
/// Messages that wait for one peer; more are dropped.
const QUEUE_CAPACITY: usize = 1_024;
/// Deliveries that may be on their way to one peer.
const MAX_INFLIGHT_DELIVERIES: usize = 16;
/// Roughly the most bytes in one delivery.
const TARGET_DELIVERY_BYTES: usize = 512 * 1024;

/// The most peers that a replica keeps a link to.
const MAX_LINKS: usize = 64;

/// The ways to all peers; a link starts with the first message to its peer.
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

    /// Queues a message; it is dropped where the queue is full or the peer has no address.
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

/// A connection; dropping it closes it at once, also where the other end is silent.
struct Connection {
    client: PeerApiClient,
    dispatch: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

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
            // Old messages are of no use once the peer is there, but fill the memory.
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

    /// Sends over one connection until it fails, is silent, or is no longer needed.
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

    /// Takes what else is queued into one delivery, up to its size.
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
