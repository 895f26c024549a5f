//! Stated limits of the router: times, counts and the sizes of queues.

use crate::units::Millis;

/// Most requests that wait for one service at one entry, over all teams.
pub const QUEUE_MAX: u32 = 1_024;
/// Most requests that one entry knows at once, waiting or in progress, over all services.
pub const REQUESTS_MAX: usize = 8_192;
/// Every team may have this many requests waiting, however many teams there are.
pub const TEAM_QUEUE_MIN: u32 = 8;
/// How long an idle connection is kept: shorter than what forgets connections on the way.
pub const IDLE_TIMEOUT_MS: Millis = Millis(5_000);
/// How fresh the last answer on a connection must be for a non-idempotent request to follow it.
pub const NON_IDEMPOTENT_IDLE_MAX_MS: Millis = Millis(500);
/// How long a closed connection still counts, so that the endpoint sees its end before a new one.
pub const CLOSE_GRACE_MS: Millis = Millis(100);
/// Bounds of the time in which an answer must begin.
pub const RESPONSE_TIMEOUT_MIN_MS: Millis = Millis(2_000);
/// See [`RESPONSE_TIMEOUT_MIN_MS`].
pub const RESPONSE_TIMEOUT_MAX_MS: Millis = Millis(30_000);
/// The time in which an answer must begin while a service has not answered yet.
pub const RESPONSE_TIMEOUT_INITIAL_MS: Millis = Millis(10_000);
/// An answer may take this many times the mean before its connection counts as silent.
pub const RESPONSE_TIMEOUT_FACTOR: u64 = 8;
/// Attempts of one request that may have run, at most.
pub const ATTEMPTS_MAX: u32 = 4;
/// Retries that a service may make at once.
pub const RETRY_BURST: u32 = 16;
/// First attempts that earn one retry.
pub const REQUESTS_PER_RETRY: u32 = 10;
/// How long a failing endpoint gets no work at first.
pub const BACKOFF_MIN_MS: Millis = Millis(500);
/// How long it gets no work at most.
pub const BACKOFF_MAX_MS: Millis = Millis(15_000);
/// How long an endpoint that calls itself busy gets no work at first.
pub const BUSY_BACKOFF_MIN_MS: Millis = Millis(50);
/// Silent or broken attempts in a row, on fresh connections, after which an endpoint gets no work.
pub const FAILURE_THRESHOLD: u32 = 2;
/// How long an endpoint without new work is remembered for what it may still run.
pub const DISABLED_RETENTION_MS: Millis = Millis(60_000);
