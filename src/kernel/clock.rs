use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::units::{Millis, WallMs};

/// This process's monotonic clock, from its start, and its wall clock.
///
/// It stands on tokio's time, so that tests with paused time move it.
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

    /// The time since the clock started.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// The wall clock; it may jump and bounds only how long records are kept.
    #[must_use]
    pub fn wall(&self) -> WallMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMs(since_epoch.map_or(0, |span| Millis::from(span).get()))
    }
}
