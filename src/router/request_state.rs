use super::fair_queue::WaitingRequest;
use super::{EndpointInstance, QueuedRequest, RefusalKind, RouterAction, RouterRefusal, Ticket};
use crate::units::Millis;

/// A request that is queued or has an attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) request: QueuedRequest,
    /// Endpoint instances that already had an attempt; others are preferred.
    pub(super) tried_instances: Vec<EndpointInstance>,
    /// Number of failed attempts that may have run.
    pub(super) attempts: u32,
    /// Set after an attempt timed out: the next one opens a new connection, because another idle
    /// one could be dead too.
    pub(super) needs_new_connection: bool,
    /// When the attempt in progress was started; none while queued.
    pub(super) sent_ms: Option<Millis>,
    /// Whether the caller has been answered or has left; the request ends with its attempt.
    pub(super) cancelled: bool,
}

/// Builds the queue item of a request that may be sent at once.
pub(super) fn waiting_request(ticket: Ticket, request: &QueuedRequest) -> WaitingRequest {
    WaitingRequest {
        ticket,
        deadline_ms: request.deadline_ms,
        not_before_ms: Millis::ZERO,
    }
}

pub(super) const fn refuse(
    ticket: Ticket,
    kind: RefusalKind,
    may_have_run: bool,
    retry_after_ms: Millis,
) -> RouterAction {
    let refusal = RouterRefusal {
        kind,
        may_have_run,
        retry_after_ms,
    };
    RouterAction::Refuse { ticket, refusal }
}
