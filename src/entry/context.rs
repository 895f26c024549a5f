use std::fmt;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::{Exchange, Forwarder};
use crate::control::Client;
use crate::telemetry::Metrics;

/// State shared by the routes of an entry.
#[derive(Clone)]
pub struct EntryContext {
    /// The exchange with the leader, which holds the grant and the configuration in force.
    pub exchange: Arc<Exchange>,
    /// Forwards callers' requests to endpoints.
    pub forwarder: Arc<Forwarder>,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Cancelled when a planned stop begins.
    pub leaving: CancellationToken,
}

impl EntryContext {
    /// Returns the client for calls to the leader of the control group.
    #[must_use]
    pub fn client(&self) -> &Client {
        self.exchange.client()
    }
}

impl fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryContext").finish_non_exhaustive()
    }
}
