//! Workers and endpoints: what they announce, their leases and their health.

mod endpoint;
mod health;
mod worker;

pub use endpoint::{AnnouncementResponse, EndpointAnnouncement};
pub use health::{HealthState, WorkerHealth};
pub use worker::{
    Checkpoint, DesiredState, TaskKey, TaskOrder, TaskReport, TaskSpec, TaskState, WorkerCapacity,
    WorkerOrders, WorkerPoll, WorkerUsage,
};

use crate::units::Millis;

/// How long a worker may keep a task running after it sent its last answered poll.
pub const LEASE_MS: Millis = Millis(6_000);
/// How long after the poll was sent a worker may still obey an order to prepare or start.
pub const START_VALID_MS: Millis = Millis(3_000);
/// How long an entry holds a worker's poll open when there is no new order.
pub const POLL_HOLD_MS: Millis = Millis(2_000);
/// How long an endpoint's announcement counts.
pub const ANNOUNCEMENT_TTL_MS: Millis = Millis(6_000);
/// How long an entry waits for the leader's answer to an announcement.
pub const ANNOUNCEMENT_RELAY_TIMEOUT_MS: Millis = Millis(400);
