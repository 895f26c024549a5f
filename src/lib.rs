//! marjoramknot schedules multi-accelerator jobs and service requests under team guarantees.
//!
//! Decisions are made by modules without I/O (`scheduler`, `router`, `replica`, `release_note`,
//! `request_ledger`); thin layers around them handle the network and files. docs/DESIGN.md gives
//! the reasons.
//!
//! A release note is validated and applied as a whole:
//!
//! ```
//! use marjoramknot::release_note::{ClusterConfig, ReleaseNote};
//! use marjoramknot::units::{Accelerators, Revision};
//!
//! let note = ReleaseNote::parse(
//!     r#"
//!     version = 1
//!
//!     [[added.teams]]
//!     name = "judges"
//!
//!     [[added.guarantees]]
//!     team = "judges"
//!     cells = [{ count = 2, accelerators = 8, adjacency = "rack" }]
//!
//!     [[added.zones]]
//!     name = "Senec"
//!     racks = [{ name = "senec-1", workers = 6, accelerators = 8, cores = 32, memory_mb = 65536 }]
//!     "#,
//! )
//! .expect("the note is well-formed");
//! let mut in_force = ClusterConfig::default();
//! assert!(in_force.validate(&note).is_empty());
//! in_force.apply(&note, Revision(1));
//! assert_eq!(in_force.guarantees["judges"].cells[0].accelerators, Accelerators(8));
//! ```
//!
//! `cargo run --release --example quickstart` runs a whole deployment in one process.
//! docs/INTERFACES.md describes the HTTP routes, docs/OPERATORS.md the tasks of operators.

#![deny(missing_docs, unsafe_code, unreachable_pub)]

pub mod budget;
pub mod cli;
pub mod codec;
mod connections;
pub mod control;
pub mod entry;
pub mod fleet;
pub mod kernel;
pub mod programs;
pub mod release_note;
pub mod replica;
pub mod request_ledger;
pub mod router;
pub mod scheduler;
pub mod settings;
pub mod telemetry;
pub mod units;
pub mod workload;
