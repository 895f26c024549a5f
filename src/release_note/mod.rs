//! Release notes: what operators add, change and withdraw, and the state that is in force.
//!
//! A note is validated and applied as a whole; docs/DESIGN.md gives the answers a note can get.

mod answer;
mod apply;
mod digest;
mod fit;
mod model;
mod parse;
mod shape;
mod validate;

pub use answer::{Digest, NoteAnswer, NoteFault};
pub use model::{
    Adjacency, EndpointRule, GuaranteeSpec, GuaranteedCells, InForce, NoteItems, RackSpec,
    ReleaseNote, ServiceSpec, TeamSpec, WithdrawnNames, ZoneSpec, ZoneState,
};
pub use parse::NOTE_MAX_BYTES;

/// Result of reading a note; the error is every fault found.
pub type Result<T> = std::result::Result<T, Vec<NoteFault>>;
