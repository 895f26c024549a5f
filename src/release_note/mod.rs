//! Release notes, by which operators add, change and withdraw definitions, and the cluster
//! configuration that results.
//!
//! A note is validated and applied as a whole; docs/DESIGN.md lists the answers to a note.

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

/// The result of parsing a note; the error lists every fault found.
pub type Result<T> = std::result::Result<T, Vec<NoteFault>>;
