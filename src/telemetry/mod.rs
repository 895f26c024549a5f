//! Logging and metrics: one key=value line per event, and histograms by team and class.

mod log;
mod metrics;

pub use self::log::{LogGuard, LogLevel, init_logging};
pub use self::metrics::{
    Metrics, init_metrics, record_connections, record_control_outage, record_former_run_started,
    record_job_completion, record_lost_work, record_queue_wait, record_request, record_response,
    record_unplaced_run,
};

use thiserror::Error;

/// Result of initializing logging or metrics.
pub type Result<T> = std::result::Result<T, TelemetryError>;

/// Why logging or metrics could not be initialized.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// A log or metrics recorder is already installed in this process.
    #[error("{what} is already installed in this process")]
    AlreadyStarted {
        /// What was initialized twice.
        what: &'static str,
    },
    /// The exporter rejected the histogram buckets.
    #[error("the histogram buckets are invalid: {0}")]
    Buckets(#[from] metrics_exporter_prometheus::BuildError),
}
