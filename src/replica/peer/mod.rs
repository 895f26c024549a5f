//! Connections between replicas: messages travel one way, in order, over `tarpc`.
//!
//! The core bears lost messages, so a link that is silent is closed and dialled again, and what was
//! on its way is dropped rather than waited for.

mod links;
mod server;

pub(super) use links::Links;
pub(super) use server::serve;

use super::Message;

/// What replicas call on each other.
#[tarpc::service]
pub(super) trait PeerApi {
    /// Takes messages in order; none as a ping.
    async fn deliver(messages: Vec<Message>);
}
