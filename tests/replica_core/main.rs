//! The pure consensus core: single failures, and seeded schedules of many.

mod checks;
mod failures;
mod note_race;
mod open_group;
#[path = "../support/notes.rs"]
mod notes;
mod protocol;
mod schedules;
mod world;
