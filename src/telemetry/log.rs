use derive_more::{Display, FromStr};
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use super::{Result, TelemetryError};

/// How much the log tells.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, PartialEq)]
pub enum LogLevel {
    /// Only what an operator must act on.
    #[display("error")]
    Error,
    /// Also what may need a look.
    #[display("warn")]
    Warn,
    /// Also each decision.
    #[default]
    #[display("info")]
    Info,
    /// Also each message.
    #[display("debug")]
    Debug,
    /// Everything.
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

/// This program's events at its level; of the libraries' only errors, as theirs have no event name.
///
/// Missed deadlines of `tarpc` are left out: each is a connection that is retired, which is logged.
fn event_filter(level: LogLevel) -> Targets {
    Targets::new()
        .with_default(LevelFilter::ERROR)
        .with_target("tarpc", LevelFilter::OFF)
        .with_target(env!("CARGO_CRATE_NAME"), Level::from(level))
}

/// Lines that wait to be written; further ones are dropped and counted.
const BUFFERED_LINES_MAX: usize = 4_096;

/// Keeps the log's writer alive; dropping it writes what waits.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
}

/// Writes one key=value line an event to standard output from now on.
///
/// A reader that stalls holds up no request: lines that cannot be written are dropped.
///
/// # Errors
/// [`TelemetryError::AlreadyStarted`] where this process has a log.
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
