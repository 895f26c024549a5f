//! The daemons: services of an entry and of a control replica, assembled with the kernel.
//!
//! The `main` function of a daemon only calls [`run_daemon`]. The quickstart example and the tests
//! start the same services in one process.

mod control;
mod daemon;
mod entry;
mod forwarder;
mod group_view;
mod listener;
mod settings_feed;

pub use control::{control_services, serve_control, start_control};
pub use daemon::{Daemon, run_daemon};
pub use entry::{serve_entry, start_entry};
pub use group_view::{follow_settings, group_view_service};
pub use listener::{ListenAddress, find_published, start_listener};
pub use settings_feed::SettingsFeed;

/// Result of running a program; the error is a message for the operator.
pub type Result<T> = std::result::Result<T, String>;
