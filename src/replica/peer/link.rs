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
/// With [`PING_AFTER`] both directions between two replicas are dialled anew within half a lease, so
/// that silent connections depose no leader.
const ANSWER_DEADLINE: Duration = Duration::from_millis(250);
/// A connection that was not used for this long is pinged: the other direction may be silent as well
/// and nothing be sent here because of it.
const PING_AFTER: Duration = Duration::from_millis(250);
/// How long a dial may take.
const DIAL_DEADLINE: Duration = Duration::from_millis(400);
/// How long to wait after a dial that failed.
const REDIAL_DELAY: Duration = Duration::from_millis(50);
/// A connection without messages is closed after so many pings.
const IDLE_PINGS: u32 = 25;
/// Messages that wait for one peer; more are dropped.
const QUEUE_MESSAGES: usize = 1_024;
/// Deliveries that may be on their way to one peer.
const MAX_DELIVERIES: usize = 16;
/// Roughly the most bytes in one delivery.
const DELIVERY_BYTES: usize = 512 * 1024;

/// The most peers that a replica keeps a link to.
const LINKS_MAX: usize = 64;

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
        if !self.queues.contains_key(&message.to) && !self.open(&message.to) {
            metrics::counter!("replica_messages_dropped", "cause" => "no_address").increment(1);
            return;
        }
        let queue = self.queues.get(&message.to);
        if queue.is_some_and(|queue| queue.try_send(message).is_err()) {
            metrics::counter!("replica_messages_dropped", "cause" => "queue_full").increment(1);
        }
    }

    fn open(&mut self, name: &ReplicaId) -> bool {
        let Some(peer) = self.addresses.lookup(name) else {
            return false;
        };
        if self.queues.len() >= LINKS_MAX {
            return false;
        }
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let link = Link {
            address: peer.peer_address,
            messages,
        };
        self.queues.insert(name.clone(), queue);
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
            if let Some(connection) = self.dial().await {
                self.use_connection(connection, first).await;
                continue;
            }
            tokio::time::sleep(REDIAL_DELAY).await;
            // Old messages are of no use once the peer is there, but fill the memory.
            while self.messages.try_recv().is_ok() {}
        }
    }

    async fn dial(&self) -> Option<Connection> {
        let dialled = timeout(DIAL_DEADLINE, TcpStream::connect(self.address)).await;
        let stream = dialled.ok()?.ok()?;
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
    async fn use_connection(&mut self, connection: Connection, first: Message) {
        let mut deliveries = FuturesUnordered::new();
        let mut pings = 0;
        let batch = self.gather(first);
        deliveries.push(deliver(&connection, batch));
        while pings < IDLE_PINGS {
            tokio::select! {
                Some(answered) = deliveries.next(), if !deliveries.is_empty() => {
                    if !answered {
                        metrics::counter!("replica_connections_closed").increment(1);
                        return;
                    }
                }
                next = timeout(PING_AFTER, self.messages.recv()), if deliveries.len() < MAX_DELIVERIES => {
                    let batch = match next {
                        Ok(Some(message)) => {
                            pings = 0;
                            self.gather(message)
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
    fn gather(&mut self, first: Message) -> Vec<Message> {
        let mut bytes = size(&first);
        let mut batch = vec![first];
        while bytes < DELIVERY_BYTES {
            let Ok(message) = self.messages.try_recv() else {
                break;
            };
            bytes += size(&message);
            batch.push(message);
        }
        batch
    }
}

async fn deliver(connection: &Connection, batch: Vec<Message>) -> bool {
    let mut context = context::current();
    context.deadline = Instant::now() + ANSWER_DEADLINE;
    connection.client.deliver(context, batch).await.is_ok()
}

fn size(message: &Message) -> usize {
    match &message.body {
        MessageBody::AppendEntries { entries, .. } => {
            entries.iter().map(|e| e.approximate_size()).sum()
        }
        MessageBody::SnapshotChunk { data, .. } => data.len(),
        _ => 0,
    }
}
