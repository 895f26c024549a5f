//! The pure consensus core: single failures, and seeded schedules of many.

mod checks;
mod failures;
mod protocol;
mod schedules;
mod world;
