//! Command lines of the programs, kept apart from `main` so that tests can call them.

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

/// Why an operator's command was not done.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CommandError {
    /// The command line is wrong; nothing was asked.
    #[error("{fault}")]
    Usage {
        /// What is wrong.
        fault: SmolStr,
    },
    /// The system answered that it did not do it.
    #[error("{code}: {message}")]
    Refused {
        /// The answer's code.
        code: SmolStr,
        /// The answer's sentence.
        message: SmolStr,
    },
    /// No entry gave an answer in time; a change may have taken effect and is safe to send again.
    #[error("no answer: {cause}")]
    Unreachable {
        /// What the last entry tried gave.
        cause: SmolStr,
    },
}

impl CommandError {
    /// How the program ends.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. } => Exit::Usage,
            Self::Refused { .. } => Exit::Failed,
            Self::Unreachable { .. } => Exit::Unreachable,
        }
    }
}
