//! Decides which checkpoint is recorded with the end of a gang's member, so that the gang resumes
//! from the newest one.
//!
//! Load pattern: a gang that checkpoints every 0.5 to 2 s of work is stopped for urgent work or
//! because a worker leaves. The member that is stopped first saves a checkpoint; the others end as
//! broken, with their last periodic checkpoint or none, and are often reported later. Checkpoints
//! are opaque, so the way in which a member ended tells which of them is newer.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::workload::{RunEnd, RunKey, StepKey};

/// How recent a member's checkpoint is relative to those of other members of the same run. The
/// derived order goes from older to newer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CheckpointAge {
    /// The last periodic checkpoint of a member that ended by itself or with its gang.
    Periodic,
    /// Saved when the member was stopped.
    SavedAtStop,
}

/// The newest known checkpoint of the latest run of each gang that has not succeeded.
///
/// The leader's planner keeps this outside the replicated state, so it is lost with the leader; the
/// last end that is reported then decides.
#[derive(Debug, Default)]
pub(super) struct GangCheckpoints {
    newest: BTreeMap<(StepKey, u32), (CheckpointAge, SmolStr)>,
}

impl GangCheckpoints {
    /// Records the listed end of a gang's member and returns the checkpoint to commit with it.
    ///
    /// A checkpoint that is older than a known one is replaced by that one rather than dropped: the
    /// batch with the end of the member that saved it may have been refused.
    pub(super) fn member_ended(&mut self, run: RunKey, end: RunEnd, saved: &SmolStr) -> SmolStr {
        let age = if end == RunEnd::Stopped {
            CheckpointAge::SavedAtStop
        } else {
            CheckpointAge::Periodic
        };
        let gang = (run.task.step, run.run);
        let known = self.newest.get(&gang);
        if let Some((known_age, known)) = known
            && (saved.is_empty() || *known_age > age)
        {
            return known.clone();
        }
        if !saved.is_empty() {
            self.newest.insert(gang, (age, saved.clone()));
        }
        saved.clone()
    }

    /// The checkpoint to commit for a member that is lost, whose last reported checkpoint is older
    /// than that of any listed end; `None` if there is none.
    pub(super) fn for_lost_member(&self, run: RunKey) -> Option<SmolStr> {
        let newest = self.newest.get(&(run.task.step, run.run));
        newest.map(|(_age, saved)| saved.clone())
    }

    /// Forgets the runs for which `is_current` does not hold.
    pub(super) fn retain(&mut self, is_current: impl Fn((StepKey, u32)) -> bool) {
        self.newest.retain(|gang, _newest| is_current(*gang));
    }
}
