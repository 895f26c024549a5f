//! The programs: services of an entry and of a control replica, wired through the kernel.
//!
//! A program's `main` calls [`run_daemon`] and nothing else; the quickstart and the tests start the
//! same services in one process.

mod control;
mod daemon;
mod entry;
mod forwarding;
mod listening;

pub use control::{control_core, serve_control, start_control};
pub use daemon::{Daemon, run_daemon};
pub use entry::{serve_entry, start_entry};
pub use listening::{Address, find, listen};

/// Result of running a program; the error is a sentence.
pub type Result<T> = std::result::Result<T, String>;
