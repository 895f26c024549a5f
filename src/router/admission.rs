use super::core::Router;
use super::limits::REQUESTS_MAX;
use super::service_state::ServiceState;
use super::{QueuedRequest, RefusalKind};
use crate::units::{Millis, Revision};

/// The shortest time after which it is worth coming again.
pub(super) const RETRY_AFTER_MIN_MS: Millis = Millis(1_000);

/// The part of a deadline that estimates must leave free, as a divisor: a quarter.
const DEADLINE_MARGIN: u64 = 4;

impl Router {
    /// What is refused is refused at once, while nothing of it has run.
    pub(super) fn refusal_reason(
        &self,
        request: &QueuedRequest,
        now: Millis,
    ) -> Option<RefusalKind> {
        let in_force = &self.view.in_force;
        let has_state = in_force.revision > Revision::ZERO;
        if has_state && !in_force.services.contains_key(&request.service) {
            return Some(RefusalKind::NoSuchService(request.service.clone()));
        }
        if has_state && !in_force.teams.contains_key(&request.team) {
            return Some(RefusalKind::NoSuchTeam(request.team.clone()));
        }
        if request.deadline_ms <= now {
            return Some(RefusalKind::DeadlinePassed("".into()));
        }
        if self.requests.len() >= REQUESTS_MAX {
            return Some(RefusalKind::QueueFull);
        }
        let service = self.services.get(&request.service)?;
        let waiting = service.queue.team_len(&request.team);
        if waiting
            >= ServiceState::team_queue_max(&request.team, in_force, self.weight_sum) as usize
        {
            return Some(RefusalKind::QueueFull);
        }
        let left_ms = request.deadline_ms.since(now).get();
        let usable_ms = left_ms - left_ms / DEADLINE_MARGIN;
        let time_ms = self.expected_latency(service, request);
        (time_ms.get() >= usable_ms).then_some(RefusalKind::WouldBeLate)
    }

    pub(super) fn expected_latency(
        &self,
        service: &ServiceState,
        request: &QueuedRequest,
    ) -> Millis {
        let slots = self
            .by_service
            .get(&request.service)
            .map_or(0, |of| of.slots);
        service.expected_latency(&request.team, slots, &self.view.in_force)
    }

    /// When the queue before the caller will have passed.
    pub(super) fn retry_after(&self, request: &QueuedRequest) -> Millis {
        let service = self.services.get(&request.service);
        let wait_ms = service.map_or(Millis::ZERO, |service| {
            self.expected_latency(service, request)
        });
        wait_ms.max(RETRY_AFTER_MIN_MS)
    }

    pub(super) fn wait_reason(&self, now: Millis) -> &'static str {
        if !self.may_start(now) {
            ", while this entry had no leave of the control group to start work"
        } else if self.view.shares.is_empty() {
            ", while no endpoint took new work"
        } else {
            ""
        }
    }
}
