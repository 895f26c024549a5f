use super::core::Router;
use super::limits::REQUESTS_MAX;
use super::service_state::ServiceState;
use super::{QueuedRequest, RefusalKind};
use crate::units::{Millis, Revision};

/// Lower bound of the retry-after time given to a refused caller.
pub(super) const RETRY_AFTER_MIN_MS: Millis = Millis(1_000);

/// The part of the time to the deadline that is kept as a safety margin, as a divisor: a request is
/// refused unless its estimated latency leaves a quarter of that time free.
const DEADLINE_MARGIN: u64 = 4;

impl Router {
    /// Returns why a new request must be refused, if it must.
    ///
    /// Admission is decided on arrival, before any attempt, so the caller knows that nothing ran.
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
            .map_or(0, |endpoints| endpoints.slots);
        service.expected_latency(&request.team, slots, &self.view.in_force)
    }

    /// Estimates when the requests queued ahead will have been served.
    pub(super) fn retry_after(&self, request: &QueuedRequest) -> Millis {
        let service = self.services.get(&request.service);
        let wait_ms = service.map_or(Millis::ZERO, |service| {
            self.expected_latency(service, request)
        });
        wait_ms.max(RETRY_AFTER_MIN_MS)
    }

    /// Explains, as a suffix to a refusal, why a request found no endpoint.
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
