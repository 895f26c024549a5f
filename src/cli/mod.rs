//! Command-line interfaces of the programs, separate from `main` so that tests can call them.

mod commands;
mod daemon;
mod exit;
mod job_commands;
mod note_command;
mod operator_client;
mod options;
mod table;
mod views;

use smol_str::SmolStr;
use thiserror::Error;

pub use commands::{CtlOutput, run_ctl};
pub use daemon::{DaemonAction, DaemonOptions, parse_daemon_args};
pub use exit::Exit;
pub use operator_client::OperatorClient;
pub use options::{CtlCommand, CtlOptions};

/// Result of an operator's command.
pub type Result<T> = std::result::Result<T, CommandError>;

/// Why an operator's command failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CommandError {
    /// The command line is invalid; no request was sent.
    #[error("{fault}")]
    Usage {
        /// What is wrong.
        fault: SmolStr,
    },
    /// An entry refused the request.
    #[error("{code}: {message}")]
    Refused {
        /// Machine-readable code of the response.
        code: SmolStr,
        /// Human-readable message of the response.
        message: SmolStr,
    },
    /// No entry answered in time. A change may have taken effect and can safely be retried.
    #[error("no answer: {cause}")]
    Unreachable {
        /// Failure of the last entry tried.
        cause: SmolStr,
    },
}

impl CommandError {
    /// Returns the exit status for this error.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. } => Exit::Usage,
            Self::Refused { .. } => Exit::Failed,
            Self::Unreachable { .. } => Exit::Unreachable,
        }
    }
}
