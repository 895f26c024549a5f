use std::collections::{BTreeMap, BTreeSet};

use crate::units::TeamId;

/// A job's position in its team's queue; smaller keys go first.
///
/// The key does not change while the job is queued, and later jobs get ever larger keys, so every
/// job reaches the head eventually.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// 0 for urgent jobs, 1 for jobs that were preempted, moved or lost a worker, 2 for all others.
    pub(super) rank: u8,
    /// The time by which the job should start, on the queue's clock.
    pub(super) start_by_ms: u64,
    /// The order of acceptance, which breaks ties.
    pub(super) ordinal: u64,
}

/// Queued jobs by team.
#[derive(Debug, Default)]
pub(super) struct Queue {
    teams: BTreeMap<TeamId, BTreeSet<QueueKey>>,
}

impl Queue {
    pub(super) fn insert(&mut self, team: &TeamId, key: QueueKey) {
        self.teams.entry(team.clone()).or_default().insert(key);
    }

    pub(super) fn remove(&mut self, team: &TeamId, key: QueueKey) {
        let Some(keys) = self.teams.get_mut(team) else {
            return;
        };
        keys.remove(&key);
        if keys.is_empty() {
            self.teams.remove(team);
        }
    }

    pub(super) fn len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, BTreeSet::len)
    }

    pub(super) fn teams(&self) -> impl Iterator<Item = (&TeamId, &BTreeSet<QueueKey>)> {
        self.teams.iter()
    }
}
