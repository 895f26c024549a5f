//! The pure consensus core: single failures, and seeded schedules of many.

mod failures;
mod invariants;
#[path = "../support/notes.rs"]
mod notes;
mod open_group;
mod protocol;
mod release_note_failover;
mod schedules;
mod short_elections;
mod simulation;
