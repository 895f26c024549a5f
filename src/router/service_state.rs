use super::fair_queue::FairQueue;
use super::limits::{
    QUEUE_MAX, RESPONSE_TIMEOUT_FACTOR, RESPONSE_TIMEOUT_INITIAL_MS, RESPONSE_TIMEOUT_MAX_MS,
    RESPONSE_TIMEOUT_MIN_MS, TEAM_QUEUE_MIN,
};
use super::retry_budget::RetryBudget;
use crate::release_note::InForce;
use crate::units::{Millis, TeamId};

/// Weight of one new answer time in the running mean: an eighth.
const MEAN_SHIFT: u32 = 3;

/// Rise of the shortest time with each answer: a 64th.
const FLOOR_SHIFT: u32 = 6;

/// Answers take about equally long where their mean is at most this many times the fastest.
const UNIFORM_RATIO_MAX: u64 = 4;

/// What a router knows of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: FairQueue,
    pub(super) budget: RetryBudget,
    /// Whether the last look found no endpoint for what waits.
    pub(super) starved: bool,
    /// The running mean of the time that an attempt holds its slot, in microseconds.
    mean_us: Option<u64>,
    /// The shortest of late: each answer raises it by a part, a faster one lowers it at once.
    floor_us: u64,
}

impl ServiceState {
    pub(super) fn record_response_time(&mut self, took: Millis) {
        let took_us = took.get().saturating_mul(1_000);
        let mean_us = self.mean_us.unwrap_or(took_us);
        let raised = self.floor_us + (self.floor_us >> FLOOR_SHIFT) + 1;
        self.floor_us = raised.min(took_us);
        self.mean_us = Some(mean_us - (mean_us >> MEAN_SHIFT) + (took_us >> MEAN_SHIFT));
    }

    /// How long an answer may take to begin before its connection counts as silent.
    pub(super) fn response_timeout(&self) -> Millis {
        self.mean_us.map_or(RESPONSE_TIMEOUT_INITIAL_MS, |mean_us| {
            let wait_ms = mean_us.saturating_mul(RESPONSE_TIMEOUT_FACTOR) / 1_000;
            Millis(wait_ms).clamp(RESPONSE_TIMEOUT_MIN_MS, RESPONSE_TIMEOUT_MAX_MS)
        })
    }

    /// Time that a request needs at an endpoint, as far as it can be told; zero while no others wait.
    ///
    /// Where answers take about equally long it is their mean with a quarter added. Where they
    /// differ much the fastest of late counts, so that nothing is refused that could be in time.
    pub(super) fn service_time_estimate(&self) -> Millis {
        if self.queue.len() <= 1 {
            return Millis::ZERO;
        }
        let mean_us = self.mean_us.unwrap_or_default();
        let uniform = mean_us <= self.floor_us.saturating_mul(UNIFORM_RATIO_MAX);
        let estimate_us = if uniform {
            mean_us + mean_us / 4
        } else {
            self.floor_us
        };
        Millis(estimate_us / 1_000)
    }

    /// How long a further request of `team` would take, where others wait for one of `slots`.
    pub(super) fn expected_latency(&self, team: &TeamId, slots: u32, in_force: &InForce) -> Millis {
        if self.queue.len() == 0 {
            return Millis::ZERO;
        }
        let mean_ms = Millis(self.mean_us.unwrap_or_default() / 1_000);
        let wait_ms = self.expected_wait(team, slots, in_force);
        wait_ms.saturating_add(mean_ms)
    }

    /// How long a further request of `team` would wait for one of `slots`.
    fn expected_wait(&self, team: &TeamId, slots: u32, in_force: &InForce) -> Millis {
        let Some(mean_us) = self.mean_us else {
            return Millis::ZERO;
        };
        let own = weight(in_force, team);
        let others = self.queue.teams().filter(|other| *other != team);
        let all: u64 = others.map(|other| weight(in_force, other)).sum::<u64>() + own;
        let ahead = self.queue.team_len(team) as u64;
        let by_share = ahead.saturating_mul(all) / own.max(1);
        let turns = by_share.min(self.queue.len() as u64);
        let wait_us = turns.saturating_mul(mean_us) / u64::from(slots.max(1));
        Millis(wait_us / 1_000)
    }

    /// How many requests of a team may wait: its weight's part of the whole queue.
    pub(super) fn team_queue_max(team: &TeamId, in_force: &InForce, weight_sum: u64) -> u32 {
        let part = u64::from(QUEUE_MAX).saturating_mul(weight(in_force, team)) / weight_sum.max(1);
        u32::try_from(part).unwrap_or(QUEUE_MAX).max(TEAM_QUEUE_MIN)
    }
}

pub(super) fn weight(in_force: &InForce, team: &TeamId) -> u64 {
    let spec = in_force.teams.get(team);
    u64::from(spec.map_or(1, |spec| spec.request_weight.max(1)))
}
