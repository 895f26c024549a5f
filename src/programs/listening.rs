use std::net::SocketAddr;
use std::sync::Arc;

use gotham::handler::NewHandler;
use tokio_util::sync::CancellationToken;

use super::Result;
use crate::entry::Listener;
use crate::kernel::{Registry, Stopper};
use crate::settings::ListenerSettings;
use crate::units::Millis;

/// Where a listener listens, as it is published under the listener's name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Address(pub SocketAddr);

/// Binds a listener, publishes its address and serves until it is stopped.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen<H: NewHandler + 'static>(
    registry: &Registry,
    name: &'static str,
    settings: ListenerSettings,
    handler: H,
    leaving: &CancellationToken,
    drain_max_ms: Millis,
) -> Result<Stopper> {
    let listener = Listener::bind(name, settings)
        .await
        .map_err(|cause| cause.to_string())?;
    registry.publish(name, Address(listener.address()));
    let serving = listener.serve(handler, leaving);
    let stop: Stopper = Box::new(move || {
        Box::pin(async move {
            serving.drain(drain_max_ms).await;
        })
    });
    Ok(stop)
}

/// Finds what another service has published.
///
/// # Errors
/// Nothing of that type is published under this name.
pub fn find<T: Send + Sync + 'static>(registry: &Registry, name: &str) -> Result<Arc<T>> {
    registry.find(name).map_err(|cause| cause.to_string())
}
