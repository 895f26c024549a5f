use super::fair_queue::FairQueue;
use super::limits::{
    QUEUE_MAX, RESPONSE_TIMEOUT_FACTOR, RESPONSE_TIMEOUT_INITIAL_MS, RESPONSE_TIMEOUT_MAX_MS,
    RESPONSE_TIMEOUT_MIN_MS, TEAM_QUEUE_MIN,
};
use super::retry_budget::RetryBudget;
use crate::release_note::ClusterConfig;
use crate::units::{Millis, TeamId};

/// Weight of a new response time in the moving average, as a shift: 1/8.
const MEAN_SHIFT: u32 = 3;

/// Rise of the minimum response time with each response, as a shift: 1/64.
const FLOOR_SHIFT: u32 = 6;

/// Response times count as uniform if their mean is at most this many times the recent minimum.
const UNIFORM_RATIO_MAX: u64 = 4;

/// Queue, retry budget and response times of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: FairQueue,
    pub(super) budget: RetryBudget,
    /// Whether the last search found no endpoint for the queued requests.
    pub(super) starved: bool,
    /// Moving average of the time that an attempt holds its slot, in microseconds.
    mean_us: Option<u64>,
    /// Recent minimum of that time, in microseconds: each response raises it slightly, and a faster
    /// response lowers it at once.
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

    /// How long to wait for the response head before the attempt is timed out.
    pub(super) fn response_timeout(&self) -> Millis {
        self.mean_us.map_or(RESPONSE_TIMEOUT_INITIAL_MS, |mean_us| {
            let wait_ms = mean_us.saturating_mul(RESPONSE_TIMEOUT_FACTOR) / 1_000;
            Millis(wait_ms).clamp(RESPONSE_TIMEOUT_MIN_MS, RESPONSE_TIMEOUT_MAX_MS)
        })
    }

    /// Estimates how long an endpoint takes to answer; zero unless more than one request is queued.
    ///
    /// If response times are uniform, the estimate is their mean plus a quarter. Otherwise it is
    /// the recent minimum, so that no request is refused that could still be answered in time.
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

    /// Estimates the latency of a further request of `team`: the time in the queue for one of
    /// `slots` and the mean response time; zero while the queue is empty.
    pub(super) fn expected_latency(
        &self,
        team: &TeamId,
        slots: u32,
        in_force: &ClusterConfig,
    ) -> Millis {
        if self.queue.len() == 0 {
            return Millis::ZERO;
        }
        let mean_ms = Millis(self.mean_us.unwrap_or_default() / 1_000);
        let wait_ms = self.expected_wait(team, slots, in_force);
        wait_ms.saturating_add(mean_ms)
    }

    /// Estimates how long a further request of `team` would be queued for one of `slots`.
    fn expected_wait(&self, team: &TeamId, slots: u32, in_force: &ClusterConfig) -> Millis {
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

    /// Maximum number of queued requests of a team: the part of the queue in proportion to its
    /// weight, but at least [`TEAM_QUEUE_MIN`].
    pub(super) fn team_queue_max(team: &TeamId, in_force: &ClusterConfig, weight_sum: u64) -> u32 {
        let part = u64::from(QUEUE_MAX).saturating_mul(weight(in_force, team)) / weight_sum.max(1);
        u32::try_from(part).unwrap_or(QUEUE_MAX).max(TEAM_QUEUE_MIN)
    }
}

/// The team's request weight; 1 if the team does not exist.
pub(super) fn weight(in_force: &ClusterConfig, team: &TeamId) -> u64 {
    let spec = in_force.teams.get(team);
    u64::from(spec.map_or(1, |spec| spec.request_weight.max(1)))
}
