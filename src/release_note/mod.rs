//! Release notes: what operators add, change and withdraw, and the state that is in force.
//!
//! A note is validated and applied as a whole; docs/DESIGN.md gives the answers a note can get.

mod answer;
mod model;

pub use answer::{Digest, NoteAnswer, NoteFault};
pub use model::{
    Adjacency, EndpointRule, GuaranteeSpec, GuaranteedCells, InForce, NoteItems, RackSpec,
    ReleaseNote, ServiceSpec, TeamSpec, WithdrawnNames, ZoneSpec, ZoneState,
};
