use std::collections::{BTreeMap, BTreeSet};

use crate::units::TeamId;

/// A job's place in its team's queue; smaller goes first.
///
/// The key does not change while the job waits, and jobs that come later get ever larger keys, so
/// that every job comes to the head in the end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// 0 for urgent work, 1 for work that was stopped for a zone or another team, 2 for the rest.
    pub(super) rank: u8,
    /// The time by which it wants to start.
    pub(super) start_by_ms: u64,
    /// The order of acceptance.
    pub(super) ordinal: u64,
}

/// Waiting jobs by team.
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
