//! Bounds the share of the leader's time that planning passes take.
//!
//! Load pattern: in a large and full fleet a pass takes tens of milliseconds, and each batch of
//! ended runs calls for another one. Without a bound, reports wait behind passes until their
//! workers no longer wait for an answer.

use tracing::info;

use crate::units::Millis;

/// A pass starts at the earliest after this many times the duration of the one before.
const PAUSE_FACTOR: u64 = 2;
/// The longest pause between two passes.
const PAUSE_MAX_MS: Millis = Millis(200);
/// How often the load is logged.
const LOG_INTERVAL_MS: Millis = Millis(10_000);

/// When the next pass may start, and how long passes took since the last log line.
#[derive(Debug, Default)]
pub(super) struct PlanningLoad {
    next_ms: Millis,
    logged_ms: Millis,
    passes: u64,
    total_ms: u64,
    longest_ms: u64,
}

impl PlanningLoad {
    /// Whether a pass may start now.
    pub(super) fn may_start(&self, now: Millis) -> bool {
        now >= self.next_ms
    }

    /// Records a pass.
    pub(super) fn record(&mut self, started_ms: Millis, ended_ms: Millis) {
        let took_ms = ended_ms.since(started_ms).get();
        let pause = Millis(took_ms * PAUSE_FACTOR).min(PAUSE_MAX_MS);
        self.next_ms = ended_ms.saturating_add(pause);
        self.passes += 1;
        self.total_ms += took_ms;
        self.longest_ms = self.longest_ms.max(took_ms);
        if ended_ms.since(self.logged_ms) >= LOG_INTERVAL_MS {
            info!(
                event = "planning_load",
                passes = self.passes,
                total_ms = self.total_ms,
                longest_ms = self.longest_ms
            );
            *self = Self {
                next_ms: self.next_ms,
                logged_ms: ended_ms,
                ..Self::default()
            };
        }
    }
}
