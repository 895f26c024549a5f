//! Limits of the router: time-outs, retries and queue sizes.

use crate::units::Millis;

/// Maximum number of requests queued for one service at one entry, over all teams.
pub const QUEUE_MAX: u32 = 1_024;
/// Maximum number of requests queued or in progress at one entry, over all services.
pub const REQUESTS_MAX: usize = 8_192;
/// Queue places that every team has for a service, however many teams share the queue.
pub const TEAM_QUEUE_MIN: u32 = 8;
/// How long an idle connection is kept open.
///
/// It is shorter than the idle time-out of network devices on the path, which drop the state of a
/// connection without closing it.
pub const IDLE_TIMEOUT_MS: Millis = Millis(5_000);
/// Maximum idle time of a connection that may be reused for a non-idempotent request.
///
/// Such a request cannot be retried when the connection turns out to be dead.
pub const NON_IDEMPOTENT_IDLE_MAX_MS: Millis = Millis(500);
/// How long a closed connection still counts against the share, so that the endpoint sees it close
/// before a new one is opened.
pub const CLOSE_GRACE_MS: Millis = Millis(100);
/// Lower bound of the response time-out, which covers the time to the response head.
pub const RESPONSE_TIMEOUT_MIN_MS: Millis = Millis(2_000);
/// Upper bound of the response time-out.
pub const RESPONSE_TIMEOUT_MAX_MS: Millis = Millis(30_000);
/// Response time-out of a service from which no response has been received yet.
pub const RESPONSE_TIMEOUT_INITIAL_MS: Millis = Millis(10_000);
/// The response time-out as a multiple of the service's mean response time.
pub const RESPONSE_TIMEOUT_FACTOR: u64 = 8;
/// Maximum number of attempts of one request that may have run.
pub const ATTEMPTS_MAX: u32 = 4;
/// Maximum number of retries that the budget of a service can accumulate.
pub const RETRY_BURST: u32 = 16;
/// Number of new requests that add one retry to the budget of their service.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// Initial back-off of a failing endpoint; doubled with each further failure.
pub const BACKOFF_MIN_MS: Millis = Millis(500);
/// Maximum back-off of an endpoint.
pub const BACKOFF_MAX_MS: Millis = Millis(15_000);
/// Initial back-off of an endpoint that answers that it is busy.
pub const BUSY_BACKOFF_MIN_MS: Millis = Millis(50);
/// Consecutive failures after which an endpoint is backed off. A time-out counts only on a new
/// connection, since on a reused one the connection itself may be at fault.
pub const FAILURE_THRESHOLD: u32 = 2;
/// How long a disabled endpoint instance is remembered for abandoned work that it may still run
/// and that the leader has not accounted for.
pub const DISABLED_RETENTION_MS: Millis = Millis(60_000);
