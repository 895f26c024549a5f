//! Newtypes for ids, sizes and times, so that the compiler rejects a team id in place of a zone id.
//!
//! All ids share one format. They parse with [`FromStr`](std::str::FromStr) and print as given.
//! Times are whole milliseconds; docs/GLOSSARY.md describes the clocks.

mod id;
mod number;
mod time;

pub use id::{
    ClassName, EndpointId, EntryId, FolderId, GroupId, IdError, JobId, RackId, ReplicaId,
    RequestId, ServiceName, TeamId, WorkerId, ZoneId,
};
pub use number::{
    Accelerators, Attempt, Bytes, Cores, Incarnation, LogIndex, MemoryMb, NoteVersion,
    OrdersVersion, Revision, Sequence, Slots, TaskIndex, Term,
};
pub use time::{Millis, WallMs};

/// Result of parsing an id.
pub type Result<T> = std::result::Result<T, IdError>;
