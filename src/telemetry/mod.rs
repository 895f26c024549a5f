//! Logs and metrics: one key=value line an event, and histograms by team and class.

mod log;
mod metrics;

pub use self::log::{LogGuard, LogLevel, init_logging};
pub use self::metrics::{
    Metrics, init_metrics, record_connections, record_job_completion, record_queue_wait,
    record_request, record_response,
};

use thiserror::Error;

/// Result of starting logs or metrics.
pub type Result<T> = std::result::Result<T, TelemetryError>;

/// Why logs or metrics did not start.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// Another log or recorder is installed in this process.
    #[error("{what} is started twice in one process")]
    AlreadyStarted {
        /// What was started.
        what: &'static str,
    },
    /// The histograms' buckets are not accepted.
    #[error("the histograms are not accepted: {0}")]
    Buckets(#[from] metrics_exporter_prometheus::BuildError),
}
