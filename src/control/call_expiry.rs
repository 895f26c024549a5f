//! Limits how late a call can be carried out, without comparing the clocks of two processes.
//!
//! Failure: a partition holds up a call whose sender has meanwhile given up, closed the connection
//! and answered its own caller. When the partition heals the call arrives, and would undo what was
//! changed since. See docs/design/late-calls.md.

use derive_more::Display;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::kernel::Clock;
use crate::units::Millis;

/// How far a replica's clock may run behind the client's, in percent.
const CLOCK_MARGIN_PERCENT: u32 = 2;
/// After this time an estimate of a replica's clock is renewed before the next call, so that the
/// margin takes no more than a tenth of the time of a short attempt.
const ESTIMATE_VALID: Duration = Duration::from_secs(2);

/// The time after which a replica refuses a call, on the call clock of that replica.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallExpiry(pub Millis);

/// The clock of a replica on which calls expire. It includes time in which the VM is suspended,
/// since clients give up calls meanwhile.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallClock {
    clock: Clock,
    suspended_at_start: Duration,
}

impl CallClock {
    pub(super) fn start() -> Self {
        Self {
            clock: Clock::start(),
            suspended_at_start: time_suspended(),
        }
    }

    pub(super) fn now(&self) -> Millis {
        let suspended = time_suspended().saturating_sub(self.suspended_at_start);
        self.clock.now().saturating_add(suspended.into())
    }

    /// Whether the sender of a call has given it up.
    pub(super) fn has_passed(&self, expiry: CallExpiry) -> bool {
        self.now() > expiry.0
    }
}

/// How long the VM has been suspended since it booted.
fn time_suspended() -> Duration {
    let read = |clock| {
        let time = clock_gettime(clock);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
    };
    // Read in this order, the difference is never too small.
    let monotonic = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(monotonic)
}

/// What a client knows of the call clock of a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockEstimate {
    /// The replica's time when it answered.
    replica_ms: Millis,
    /// When the client had received that answer.
    received: Instant,
}

impl ClockEstimate {
    pub(super) const fn new(replica_ms: Millis, received: Instant) -> Self {
        Self {
            replica_ms,
            received,
        }
    }

    pub(super) fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) <= ESTIMATE_VALID
    }

    /// When a call expires whose sender gives it up at `given_up`. At that time the replica's clock
    /// shows at least this: it had moved on since its answer was sent, which was before the answer
    /// was received.
    pub(super) fn expiry(&self, given_up: Instant) -> CallExpiry {
        let elapsed = given_up.saturating_duration_since(self.received);
        let least = elapsed.saturating_sub(elapsed * CLOCK_MARGIN_PERCENT / 100);
        CallExpiry(self.replica_ms.saturating_add(least.into()))
    }
}
