//! Persistent storage of a replica: log segments, hard state (term and vote), snapshot and
//! identity.
//!
//! Each of these files contains the id of its data folder and is protected by a checksum. A torn
//! write at the end of the log is truncated. If anything else is damaged or missing, the folder is
//! retired: the replica starts again under a new folder id and fetches the state from the others.

mod folder;
mod frame;
mod hard_state_slots;
mod identity;
mod log_files;
mod open;
mod segment;
mod store;

use std::io;

pub use folder::{FileHook, FileOp, FileOutput, Folder};
pub use open::{OpenedStore, open_store};
pub use store::{Store, is_disk_full};

/// Result of a storage operation.
pub type Result<T> = io::Result<T>;
