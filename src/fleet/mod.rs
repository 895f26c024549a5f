//! Workers and endpoints: what they announce, their leases and their health.

mod endpoint;
mod health;
mod worker;

pub use endpoint::{EndpointAnnouncement, EndpointAnswer};
pub use health::{Health, HealthState};
pub use worker::{
    Checkpoint, TaskKey, TaskOrder, TaskReport, TaskState, TaskWork, Usage, Want, WorkerCapacity,
    WorkerOrders, WorkerPoll,
};

use crate::units::Millis;

/// How long a worker may keep a task running after it sent its last answered poll.
pub const LEASE_MS: Millis = Millis(6_000);
/// How long after the poll was sent a worker may still obey an order to prepare or start.
pub const START_VALID_MS: Millis = Millis(3_000);
/// How long an entry holds a worker's poll open when there is no new order.
pub const POLL_HOLD_MS: Millis = Millis(2_000);
/// How long an endpoint's announcement counts.
pub const ANNOUNCEMENT_MS: Millis = Millis(6_000);
/// How long an entry waits for the leader's answer to an announcement.
pub const ANNOUNCEMENT_RELAY_MS: Millis = Millis(400);
