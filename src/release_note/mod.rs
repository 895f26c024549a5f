//! Release notes: what operators add, change and withdraw, and the state that is in force.
//!
//! A note is validated and applied as a whole; docs/DESIGN.md gives the answers a note can get.

mod answer;
mod apply;
mod digest;
mod limits;
mod model;
mod packing;
mod parse;
mod validate;

pub use answer::{Digest, NoteAnswer, NoteFault};
pub use model::{
    Adjacency, ClusterConfig, EndpointRule, GuaranteeSpec, GuaranteedCells, NoteDefinitions,
    RackSpec, ReleaseNote, ServiceSpec, TeamSpec, WithdrawnNames, ZoneSpec, ZoneState,
};
pub(crate) use packing::{CellGroupId, RackAllocation, pack_guarantees};
pub use parse::NOTE_MAX_BYTES;

/// Result of reading a note; the error is every fault found.
pub type Result<T> = std::result::Result<T, Vec<NoteFault>>;
