use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use crate::units::Millis;

/// Until when this replica holds its quorum, checked against the clock by whoever asks.
///
/// A flag alone would still say yes after the replica's task was held up past the end of the lease.
#[derive(Debug)]
pub struct LeaseClock {
    origin: Instant,
    until_ms: AtomicU64,
}

impl LeaseClock {
    /// A lease that is not held, on a clock that starts at `origin`.
    #[must_use]
    pub const fn new(origin: Instant) -> Self {
        Self {
            origin,
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
        Millis::from(self.origin.elapsed())
    }
}
