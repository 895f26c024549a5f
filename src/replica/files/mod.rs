//! The files of a replica: log segments, term and vote, snapshot and identity.
//!
//! Every file names the folder it belongs to and is checked by a checksum. What an unfinished write
//! leaves at the end of the log is cut; anything else that is damaged or missing retires the folder:
//! the replica starts again under a new folder id and fetches the state from the others.

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

/// Result of a step on the files.
pub type Result<T> = io::Result<T>;
