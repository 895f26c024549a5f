//! The pure consensus core: single failures, and seeded schedules of many.

mod failures;
mod schedules;
mod world;
