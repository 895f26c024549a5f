use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::units::Millis;

/// Until when this replica holds its quorum, checked against the clock by whoever asks.
///
/// A flag alone would still say yes after the replica's task was held up past the end of the lease.
/// The clock counts on while the machine is suspended: a leader that wakes must not believe in a
/// lease that the others have seen run out.
#[derive(Debug)]
pub struct LeaseClock {
    origin: Duration,
    until_ms: AtomicU64,
}

impl LeaseClock {
    /// A lease that is not held, on a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: time_since_boot(),
            until_ms: AtomicU64::new(0),
        }
    }

    /// Sets the end of the lease; [`Millis::ZERO`] ends it at once.
    pub fn set(&self, until: Millis) {
        self.until_ms.store(until.get(), Ordering::Release);
    }

    /// Whether the lease is held now.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.now().get() < self.until_ms.load(Ordering::Acquire)
    }

    /// The time since the origin.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(time_since_boot().saturating_sub(self.origin))
    }
}

/// The time since the machine started, time in suspension included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
