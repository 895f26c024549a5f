//! Command lines of the programs, kept apart from `main` so that tests can call them.

mod daemon;
mod exit;

pub use daemon::{DaemonOptions, DaemonTask, daemon_task};
pub use exit::Exit;
