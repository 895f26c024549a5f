use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Ticket;
use crate::units::{Millis, TeamId};

/// Virtual time charged for one request of a team with weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// A queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WaitingRequest {
    pub(super) ticket: Ticket,
    pub(super) deadline_ms: Millis,
    pub(super) not_before_ms: Millis,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    waiters: VecDeque<WaitingRequest>,
    /// Virtual time at which the team's next request is due.
    next_due: u64,
}

/// A weighted fair queue of the requests for one service.
///
/// Each team has a virtual clock that advances with every request served, in inverse proportion to
/// its weight; the team whose clock is furthest behind is served next. A team that was idle
/// continues at the current virtual time: it gains no priority from being idle, and does not wait
/// because others were served meanwhile.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    virtual_now: u64,
    len: usize,
}

impl FairQueue {
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    pub(super) fn team_len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.waiters.len())
    }

    /// The teams with queued requests.
    pub(super) fn teams(&self) -> impl Iterator<Item = &TeamId> {
        let waiting = |(_, queue): &(&TeamId, &TeamQueue)| !queue.waiters.is_empty();
        self.teams.iter().filter(waiting).map(|(team, _)| team)
    }

    pub(super) fn push(&mut self, team: &TeamId, waiter: WaitingRequest) {
        self.queue_of(team).waiters.push_back(waiter);
        self.len += 1;
    }

    /// Puts a request that has already waited its turn at the head of its team's queue.
    pub(super) fn push_front(&mut self, team: &TeamId, waiter: WaitingRequest) {
        self.queue_of(team).waiters.push_front(waiter);
        self.len += 1;
    }

    fn queue_of(&mut self, team: &TeamId) -> &mut TeamQueue {
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.waiters.is_empty() {
            queue.next_due = queue.next_due.max(self.virtual_now);
        }
        queue
    }

    /// Removes and returns the next request that may be sent now, for which `fits` holds, and that
    /// can still be answered by its deadline if it takes `service_ms`.
    pub(super) fn pop(
        &mut self,
        now_ms: Millis,
        service_ms: Millis,
        weight: impl Fn(&TeamId) -> u64,
        mut fits: impl FnMut(Ticket) -> bool,
    ) -> Option<Ticket> {
        let by_ms = now_ms.saturating_add(service_ms);
        let mut skipped = BTreeSet::new();
        loop {
            let (team, queue) = self
                .teams
                .iter_mut()
                .filter(|(team, queue)| !queue.waiters.is_empty() && !skipped.contains(*team))
                .min_by_key(|(_, queue)| queue.next_due)?;
            let found = queue.waiters.iter().position(|waiter| {
                let may_try = waiter.not_before_ms <= now_ms && waiter.deadline_ms > by_ms;
                may_try && fits(waiter.ticket)
            });
            let team = team.clone();
            let Some(waiter) = found.and_then(|position| queue.waiters.remove(position)) else {
                skipped.insert(team);
                continue;
            };
            self.virtual_now = self.virtual_now.max(queue.next_due);
            queue.next_due += REQUEST_COST / weight(&team).max(1);
            self.len -= 1;
            self.remove_if_idle(&team);
            return Some(waiter.ticket);
        }
    }

    pub(super) fn remove(&mut self, team: &TeamId, ticket: Ticket) {
        if let Some(queue) = self.teams.get_mut(team) {
            let before = queue.waiters.len();
            queue.waiters.retain(|waiter| waiter.ticket != ticket);
            self.len -= before - queue.waiters.len();
        }
        self.remove_if_idle(team);
    }

    /// Removes and returns the requests with a deadline no later than `by_ms`.
    pub(super) fn take_expired(&mut self, by_ms: Millis) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.teams.values_mut() {
            queue.waiters.retain(|waiter| {
                let is_expired = waiter.deadline_ms <= by_ms;
                if is_expired {
                    expired.push(waiter.ticket);
                }
                !is_expired
            });
        }
        self.len -= expired.len();
        let now = self.virtual_now;
        self.teams
            .retain(|_, queue| !queue.waiters.is_empty() || queue.next_due > now);
        expired
    }

    /// Drops an idle team unless its clock is ahead of the virtual time. If it were dropped
    /// earlier, the service that it has already received would no longer count.
    fn remove_if_idle(&mut self, team: &TeamId) {
        let idle = self
            .teams
            .get(team)
            .is_some_and(|queue| queue.waiters.is_empty() && queue.next_due <= self.virtual_now);
        if idle {
            self.teams.remove(team);
        }
    }
}
