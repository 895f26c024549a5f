//! Protocol types of workers and endpoints, their lease times, and worker health.

mod endpoint;
mod health;
mod worker;

pub use endpoint::{AnnouncementResponse, EndpointAnnouncement};
pub use health::{HealthState, WorkerHealth};
pub use worker::{
    Checkpoint, DesiredState, TaskKey, TaskOrder, TaskReport, TaskSpec, TaskState, Usage,
    WorkerCapacity, WorkerOrders, WorkerPoll,
};

use crate::units::Millis;

/// How long a worker may keep a task running after it sent its last poll that was answered.
pub const LEASE_MS: Millis = Millis(6_000);
/// How long after it sent a poll a worker may still obey the order to prepare or start a task.
pub const START_VALID_MS: Millis = Millis(3_000);
/// How long an entry holds a worker's poll open while there are no new orders.
pub const POLL_HOLD_MS: Millis = Millis(2_000);
/// How long an endpoint's announcement stays valid.
pub const ANNOUNCEMENT_TTL_MS: Millis = Millis(6_000);
/// How long an entry waits for the leader's response to a relayed announcement.
pub const ANNOUNCEMENT_RELAY_TIMEOUT_MS: Millis = Millis(400);
