use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tracing::debug;

use super::PeerApi;
use crate::budget::{BudgetLimits, BudgetedStream, ByteBudget};
use crate::codec;
use crate::replica::Message;

/// How long a connection may be silent before it is closed. Peers send pings much more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The name of the listener for replicas in the metrics.
const LISTENER: &str = "peers";
/// Maximum number of open connections. Further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 256;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Queue of received messages.
#[derive(Clone)]
struct Inbox {
    messages: mpsc::Sender<Message>,
}

impl PeerApi for Inbox {
    async fn deliver(self, _context: Context, messages: Vec<Message>) {
        for message in messages {
            if self.messages.try_send(message).is_err() {
                metrics::counter!("replica_messages_dropped", "cause" => "inbox_full").increment(1);
            }
        }
    }
}

/// Accepts connections from other replicas until the task is aborted.
pub(in crate::replica) async fn serve(listener: TcpListener, messages: mpsc::Sender<Message>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let budget = ByteBudget::new(
        LISTENER,
        BudgetLimits::without_small_reserve(codec::FRAMES_BUDGET_BYTES),
    );
    let mut connections = JoinSet::new();
    loop {
        let permit = Arc::clone(&permits).acquire_owned().await;
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _address)) => {
                let inbox = Inbox {
                    messages: messages.clone(),
                };
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                let stream = BudgetedStream::new(stream, budget.clone());
                connections.spawn(async move {
                    serve_connection(stream, inbox).await;
                    drop(permit);
                });
            }
            Err(error) => {
                debug!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Processes the requests of a connection sequentially, which preserves the order of messages.
async fn serve_connection(stream: BudgetedStream<TcpStream>, inbox: Inbox) {
    let channel = BaseChannel::with_defaults(codec::transport(stream));
    let mut requests = Box::pin(channel.requests());
    while let Ok(Some(Ok(request))) = timeout(IDLE_TIMEOUT, requests.next()).await {
        request.execute(inbox.clone().serve()).await;
    }
}
