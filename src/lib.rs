//! marjoramknot schedules multi-accelerator jobs and service requests under team guarantees.
//!
//! The decisions are pure cores (`scheduler`, `router`, `replica`, `release_note`,
//! `request_ledger`); thin shells round them do the network and the files. docs/DESIGN.md tells why.

#![deny(missing_docs, unsafe_code, unreachable_pub)]

pub mod cli;
pub mod codec;
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
