//! Tracks for how long no replica of the control group has answered as the leader, and derives from
//! it when a caller is asked to retry.
//!
//! Load: a few hundred calls a second, all of which fail within a moment when the leader is lost.
//! Their failures are reported in any order, also after another call has found the next leader.

use crate::units::Millis;

/// Longest time after which a caller is asked to retry: about as long as a group takes that has to
/// replace a replica.
const RETRY_AFTER_MAX_S: u64 = 10;

/// What happened to an attempt at a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutageEvent {
    /// A replica answered as the leader.
    LeaderAnswered,
    /// An attempt that began at this time reached no leader.
    AttemptFailed {
        /// When the attempt began.
        began_ms: Millis,
    },
}

/// A change to report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutageAction {
    /// No replica answers as the leader any more.
    Lost {
        /// Time since the first attempt that reached no leader began.
        since_ms: Millis,
    },
    /// A replica answers as the leader again.
    Found {
        /// How long no leader answered.
        lost_ms: Millis,
    },
}

/// Whether a replica answers as the leader, and since when none does.
#[derive(Debug, Default)]
pub struct Outage {
    last_answer_ms: Option<Millis>,
    lost_since_ms: Option<Millis>,
}

impl Outage {
    /// Processes an event and returns the change to report, if any.
    ///
    /// A failed attempt starts an outage only if no leader has answered since it began: a single
    /// call may fail for other reasons, or at a replica that no longer leads.
    pub fn handle(&mut self, event: OutageEvent, now: Millis) -> Option<OutageAction> {
        match event {
            OutageEvent::LeaderAnswered => {
                self.last_answer_ms = self.last_answer_ms.max(Some(now));
                let since_ms = self.lost_since_ms.take()?;
                let lost_ms = now.since(since_ms);
                Some(OutageAction::Found { lost_ms })
            }
            OutageEvent::AttemptFailed { began_ms } => {
                let is_outdated = self.last_answer_ms.is_some_and(|at| at >= began_ms);
                if self.is_lost() || is_outdated {
                    return None;
                }
                self.lost_since_ms = Some(began_ms);
                let since_ms = now.since(began_ms);
                Some(OutageAction::Lost { since_ms })
            }
        }
    }

    /// Whether no replica answers as the leader.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_since_ms.is_some()
    }

    /// How long no leader has answered. Zero if there is no outage.
    #[must_use]
    pub fn lost_ms(&self, now: Millis) -> Millis {
        self.lost_since_ms
            .map_or(Millis::ZERO, |since| now.since(since))
    }
}

/// After how many whole seconds a caller should retry, given how long no leader has answered.
///
/// An outage is expected to last half as long again as it has lasted. Callers are spread by their
/// key, for example a job's id, over that time and as long after it, so that they do not all come
/// back at once.
#[must_use]
pub fn retry_after_s(lost_ms: Millis, key: &str) -> u64 {
    let expected_s = lost_ms.get().div_ceil(2_000);
    let earliest_s = expected_s.clamp(1, RETRY_AFTER_MAX_S / 2);
    let hash = u64::from(crc32fast::hash(key.as_bytes()));
    let spread = hash % (earliest_s + 1);
    (earliest_s + spread).min(RETRY_AFTER_MAX_S)
}
