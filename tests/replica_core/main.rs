//! The pure consensus core: single failures, and seeded schedules of many.

mod checks;
mod failures;
mod note_race;
#[path = "../support/notes.rs"]
mod notes;
mod open_group;
mod protocol;
mod schedules;
mod short_elections;
mod world;
