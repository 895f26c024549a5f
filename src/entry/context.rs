use std::fmt;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::{Exchange, Forwarder};
use crate::control::Client;
use crate::telemetry::Metrics;

/// What the routes of an entry work on.
#[derive(Clone)]
pub struct EntryContext {
    /// The exchange with the leader, which holds the grant and the state in force.
    pub exchange: Arc<Exchange>,
    /// What carries callers' requests to endpoints.
    pub forwarder: Arc<Forwarder>,
    /// This process's metrics.
    pub metrics: Metrics,
    /// Cancelled once a planned stop has begun.
    pub leaving: CancellationToken,
}

impl EntryContext {
    /// Calls to the leader.
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
