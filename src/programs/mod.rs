//! The daemons: services of an entry and of a control replica, assembled with the kernel.
//!
//! The `main` function of a daemon only calls [`run_daemon`]. The quickstart example and the tests
//! start the same services in one process.

mod control;
mod daemon;
mod entry;
mod forwarder;
mod listener;

pub use control::{control_services, serve_control, start_control};
pub use daemon::{Daemon, run_daemon};
pub use entry::{serve_entry, start_entry};
pub use listener::{ListenAddress, find_published, start_listener};

/// Result of running a program; the error is a message for the operator.
pub type Result<T> = std::result::Result<T, String>;
