use std::net::SocketAddr;
use std::sync::Arc;

use gotham::handler::NewHandler;
use tokio_util::sync::CancellationToken;

use super::Result;
use crate::entry::Listener;
use crate::kernel::{Registry, StopFn};
use crate::settings::ListenerSettings;
use crate::units::Millis;

/// Address of a listener, published in the registry under the listener's name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddress(pub SocketAddr);

/// Binds a listener, publishes its address and starts serving.
///
/// The returned function drains the listener for at most `drain_max_ms`.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn start_listener<H: NewHandler + 'static>(
    registry: &Registry,
    name: &'static str,
    settings: ListenerSettings,
    handler: H,
    leaving: &CancellationToken,
    drain_max_ms: Millis,
) -> Result<StopFn> {
    let listener = Listener::bind(name, settings)
        .await
        .map_err(|cause| cause.to_string())?;
    registry.publish(name, ListenAddress(listener.address()));
    let serving = listener.serve(handler, leaving);
    let stop: StopFn = Box::new(move || {
        Box::pin(async move {
            serving.drain(drain_max_ms).await;
        })
    });
    Ok(stop)
}

/// Looks up a value that another service has published.
///
/// # Errors
/// Returns an error if no value of type `T` is published under `name`.
pub fn find_published<T: Send + Sync + 'static>(registry: &Registry, name: &str) -> Result<Arc<T>> {
    registry.find(name).map_err(|cause| cause.to_string())
}
