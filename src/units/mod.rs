//! Newtypes for ids, sizes and times, so that a team is never passed where a zone is meant.
//!
//! Every id parses from text with [`FromStr`](std::str::FromStr) under one rule and prints
//! as it was given. Times are whole milliseconds; see docs/GLOSSARY.md for the clocks.

mod id;
mod number;
mod time;

pub use id::{
    ClassName, EndpointId, EntryId, FolderId, GroupId, IdError, JobId, RackId, ReplicaId,
    RequestId, ServiceName, TeamId, VmId, WorkerId, ZoneId,
};
pub use number::{
    Accelerators, Attempt, Bytes, Cores, Incarnation, LogIndex, MemoryMb, NoteVersion,
    OrdersVersion, Revision, Sequence, Slots, TaskIndex, Term,
};
pub use time::{Millis, WallMs};

/// Result of parsing a unit.
pub type Result<T> = std::result::Result<T, IdError>;
