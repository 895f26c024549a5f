use super::fair_queue::WaitingRequest;
use super::{EndpointInstance, QueuedRequest, RefusalKind, RouterAction, RouterRefusal, Ticket};
use crate::units::Millis;

/// A request that waits or has an attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) request: QueuedRequest,
    /// Endpoints that failed it; others are preferred.
    pub(super) tried_instances: Vec<EndpointInstance>,
    /// Attempts that may have run.
    pub(super) attempts: u32,
    /// Whether a silent connection has cost it time, so that it gets a new one.
    pub(super) needs_new_connection: bool,
    /// The attempt in progress.
    pub(super) sent_ms: Option<Millis>,
    /// Whether its caller was told.
    pub(super) cancelled: bool,
}

/// A request's place in the queue.
pub(super) fn waiting_request(ticket: Ticket, request: &QueuedRequest) -> WaitingRequest {
    WaitingRequest {
        ticket,
        deadline_ms: request.deadline_ms,
        not_before_ms: Millis::ZERO,
    }
}

/// Tells that a request is not tried any more.
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
