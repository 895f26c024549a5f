use derive_more::{Display, FromStr};
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use super::{Result, TelemetryError};

/// Minimum level of the events that are logged.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, PartialEq)]
pub enum LogLevel {
    /// Only events on which an operator must act.
    #[display("error")]
    Error,
    /// Also events that may need attention.
    #[display("warn")]
    Warn,
    /// Also every decision.
    #[default]
    #[display("info")]
    Info,
    /// Also every message.
    #[display("debug")]
    Debug,
    /// All events.
    #[display("trace")]
    Trace,
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::ERROR,
            LogLevel::Warn => Self::WARN,
            LogLevel::Info => Self::INFO,
            LogLevel::Debug => Self::DEBUG,
            LogLevel::Trace => Self::TRACE,
        }
    }
}

/// Selects this program's events at `level`, and only errors of libraries.
///
/// Events of libraries have no event name. `tarpc` is silenced because it logs every missed
/// deadline; the connection is then retired, which is logged here.
fn event_filter(level: LogLevel) -> Targets {
    Targets::new()
        .with_default(LevelFilter::ERROR)
        .with_target("tarpc", LevelFilter::OFF)
        .with_target(env!("CARGO_CRATE_NAME"), Level::from(level))
}

/// Maximum number of buffered log lines; further lines are dropped and counted.
const BUFFERED_LINES_MAX: usize = 4_096;

/// Keeps the log's writer thread alive; dropping it flushes the buffered lines.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
}

/// Starts logging to standard output, one key=value line per event.
///
/// A stalled reader of the output does not delay requests, because lines that cannot be buffered
/// are dropped.
///
/// # Errors
/// Returns [`TelemetryError::AlreadyStarted`] if this process already has a log.
pub fn init_logging(level: LogLevel) -> Result<LogGuard> {
    let (output, writer) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    let lines = tracing_logfmt::builder()
        .with_level(true)
        .with_target(false)
        .layer()
        .with_writer(output);
    tracing_subscriber::registry()
        .with(event_filter(level))
        .with(lines)
        .try_init()
        .map_err(|_installed| TelemetryError::AlreadyStarted { what: "the log" })?;
    Ok(LogGuard { _writer: writer })
}
