//! Connections between replicas. Each link carries messages in one direction, in order, over
//! `tarpc`.
//!
//! The consensus core tolerates lost messages. A connection that does not respond is therefore
//! closed and re-established, and the messages in flight are dropped.

mod links;
mod server;

pub(super) use links::Links;
pub(super) use server::serve;

use super::Message;

/// RPC interface between replicas.
#[tarpc::service]
pub(super) trait PeerApi {
    /// Delivers messages in order. An empty list serves as a ping.
    async fn deliver(messages: Vec<Message>);
}
