//! The programs: services of an entry and of a control replica, wired through the kernel.
//!
//! A program's `main` calls [`run_daemon`] and nothing else; the quickstart and the tests start the
//! same services in one process.

mod control;
mod daemon;
mod entry;
mod forwarder;
mod listener;

pub use control::{control_services, serve_control, start_control};
pub use daemon::{Daemon, run_daemon};
pub use entry::{serve_entry, start_entry};
pub use listener::{ListenAddress, find_published, start_listener};

/// Result of running a program; the error is a sentence.
pub type Result<T> = std::result::Result<T, String>;
