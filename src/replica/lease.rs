use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::units::Millis;

/// Expiry of the leader lease, which each reader compares with the clock itself.
///
/// A plain flag would still report a valid lease if the replica's task is delayed past the end of
/// the lease. The clock includes time in which the VM is suspended: a leader that resumes must not
/// rely on a lease that has expired for the other replicas.
#[derive(Debug)]
pub struct LeaseClock {
    origin: Duration,
    until_ms: AtomicU64,
}

impl LeaseClock {
    /// Creates a lease that is not held, on a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: time_since_boot(),
            until_ms: AtomicU64::new(0),
        }
    }

    /// Sets the time at which the lease expires. [`Millis::ZERO`] ends it at once.
    pub fn set(&self, until: Millis) {
        self.until_ms.store(until.get(), Ordering::Release);
    }

    /// Whether the lease is valid now.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.now().get() < self.until_ms.load(Ordering::Acquire)
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(time_since_boot().saturating_sub(self.origin))
    }
}

/// Time since boot, including time in suspension.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
