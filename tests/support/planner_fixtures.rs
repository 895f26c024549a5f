//! The planner's settings that the workload's tests share.

use marjoramknot::units::Millis;
use marjoramknot::workload::PlannerOptions;

/// How long a stop takes at most.
pub const STOP_MS: u64 = 300;
/// How long the members of a gang wait for each other.
pub const GANG_WAIT_MS: u64 = 3_000;

pub fn options() -> PlannerOptions {
    PlannerOptions::builder()
        .lease_ms(Millis(4_000))
        .stop_ms(Millis(STOP_MS))
        .gang_wait_ms(Millis(GANG_WAIT_MS))
        .build()
}
