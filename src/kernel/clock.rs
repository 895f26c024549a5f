use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::units::{Millis, WallMs};

/// Monotonic clock that starts at zero, with access to the wall clock.
///
/// The monotonic time comes from tokio, so that tests with paused time can advance it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at [`Millis::ZERO`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock started.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// Returns the wall-clock time.
    ///
    /// It may jump, so it must only limit how long records are kept.
    #[must_use]
    pub fn wall(&self) -> WallMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMs(since_epoch.map_or(0, |span| Millis::from(span).get()))
    }
}
