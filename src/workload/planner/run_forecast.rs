//! Estimates how long a run has worked and when it ends: from the progress that its worker reports
//! or, before any was reported, from the run time that is expected of its step.

use super::worker::RunProgress;
use crate::units::Millis;
use crate::workload::Step;

/// The least time between the first rise of a run's progress and its last report from which its
/// speed is judged: two reports of a small fleet. A single one may come early or late.
const WATCHED_MIN_MS: Millis = Millis(150);
/// The factor by which a run may be shorter than its expected run time, as declared estimates are
/// off by about that much.
const ESTIMATE_ERROR_FACTOR: u64 = 2;

/// A reported progress and when the report was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ProgressMark {
    pub(super) at_ms: Millis,
    pub(super) percent: u32,
}

/// How much longer a run needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RemainingTime {
    pub(super) least_ms: Millis,
    /// `None` while its progress says nothing about it.
    pub(super) most_ms: Option<Millis>,
}

impl RemainingTime {
    /// The time that remains after `elapsed_ms` more.
    pub(super) fn after(self, elapsed_ms: Millis) -> Self {
        Self {
            least_ms: self.least_ms.since(elapsed_ms),
            most_ms: self.most_ms.map(|most_ms| most_ms.since(elapsed_ms)),
        }
    }

    /// The time that remains to a gang with a further member, of which nothing is known if its
    /// worker does not list it.
    pub(super) fn and_member(self, member: Option<Self>) -> Self {
        let most_ms = member.and_then(|member| member.most_ms);
        Self {
            least_ms: member.map_or(self.least_ms, |member| member.least_ms.max(self.least_ms)),
            most_ms: self.most_ms.zip(most_ms).map(|(own, other)| own.max(other)),
        }
    }
}

impl RunProgress {
    /// How long a run has worked. What an earlier leader has seen of it is derived from its
    /// progress.
    fn worked_ms(&self, expected_ms: Millis, now: Millis) -> Millis {
        let watched_ms = now.since(self.first_seen_ms);
        if !self.is_inherited {
            return watched_ms;
        }
        let percent = u64::from(self.first_percent.min(100));
        watched_ms.saturating_add(Millis(expected_ms.get().saturating_mul(percent) / 100))
    }

    /// How long the run has worked since its last checkpoint.
    pub(super) fn unsaved_ms(&self, step: &Step, expected_ms: Millis, now: Millis) -> Millis {
        if step.checkpoints {
            now.since(self.saved_ms)
        } else {
            self.worked_ms(expected_ms, now)
        }
    }

    /// How much longer the run needs from `reported_ms` on, when it was last reported.
    ///
    /// Its speed is measured from the first rise of its progress, because a gang's member makes
    /// none while it waits for the others. Progress is reported in whole percent, so each figure
    /// may be off by one.
    pub(super) fn remaining(&self, reported_ms: Millis, expected_ms: Millis) -> RemainingTime {
        let least = u64::from(99_u32.saturating_sub(self.percent));
        let watched = self.first_rise.map(|rise| {
            let gained = u64::from(self.percent.saturating_sub(rise.percent));
            (reported_ms.since(rise.at_ms).get(), gained)
        });
        // A short pause after the first rise says nothing about the speed.
        let watched = watched
            .filter(|(watched_ms, gained)| *watched_ms >= WATCHED_MIN_MS.get() && *gained > 0);
        let Some((watched_ms, gained)) = watched else {
            let least_ms = least.saturating_mul(expected_ms.get()) / 100 / ESTIMATE_ERROR_FACTOR;
            return RemainingTime {
                least_ms: Millis(least_ms),
                most_ms: None,
            };
        };
        let most = u64::from(101_u32.saturating_sub(self.percent));
        let slowest = gained.checked_sub(1).filter(|gained| *gained > 0);
        let most_ms = slowest.map(|gained| Millis(most.saturating_mul(watched_ms) / gained));
        // A run that stands still for longer than it should need in all may never end.
        let silent_ms = reported_ms.since(self.last_progress_ms);
        RemainingTime {
            least_ms: Millis(least.saturating_mul(watched_ms) / (gained + 1)),
            most_ms: most_ms.filter(|most_ms| silent_ms <= *most_ms),
        }
    }
}
