use std::collections::BTreeMap;
use std::sync::Arc;

use super::admission::RETRY_AFTER_MIN_MS;
use super::dispatch::{ServiceEndpoints, dispatch_scope};
use super::endpoint_state::EndpointState;
use super::fair_queue::WaitingRequest;
use super::limits::{ATTEMPTS_MAX, IDLE_TIMEOUT_MS};
use super::request_state::{RequestState, refuse, waiting_request};
use super::service_state::ServiceState;
use super::{
    AttemptOutcome, ConnectionId, EndpointInstance, QueuedRequest, RefusalKind, RouterAction,
    RouterEvent, RouterView, Ticket, UsageReport, accepts_new_work,
};
use crate::units::{Millis, ServiceName, TeamId};

/// Assigns requests to endpoints within the entry's shares.
///
/// The router is a state machine without I/O and knows neither HTTP nor the request ledger. Its
/// caller performs the actions, commits what must be committed before the first byte is sent, and
/// reports how each attempt ended. Slots are counted only here, so a slot is released only by
/// [`RouterEvent::AttemptEnded`].
#[derive(Clone, Debug, Default)]
pub struct Router {
    pub(super) view: RouterView,
    pub(super) endpoints: BTreeMap<EndpointInstance, EndpointState>,
    pub(super) services: BTreeMap<ServiceName, ServiceState>,
    pub(super) requests: BTreeMap<Ticket, RequestState>,
    pub(super) last_connection: u64,
    /// Idle connections to any endpoint that last answered before this time are not reused.
    idle_trusted_since_ms: Millis,
    /// The endpoint instance and time of the last attempt that timed out.
    last_timeout: Option<(EndpointInstance, Millis)>,
    /// Whether the shares of the view were given up because the grant that covered them expired.
    shares_dropped: bool,
    /// The enabled endpoints by service.
    pub(super) by_service: BTreeMap<ServiceName, ServiceEndpoints>,
    /// The sum of the request weights of all teams.
    pub(super) weight_sum: u64,
    /// Round-robin offset at which the search for candidates starts.
    pub(super) rotation: usize,
}

impl Router {
    /// Creates a router without a view; requests are queued until it receives one.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle(&mut self, event: RouterEvent, now: Millis) -> Vec<RouterAction> {
        let mut actions = Vec::new();
        let scope = dispatch_scope(&event);
        match event {
            RouterEvent::ViewChanged(view) => self.apply_view(view, now, &mut actions),
            RouterEvent::Arrived { ticket, request } => {
                self.admit_request(ticket, request, now, &mut actions);
            }
            RouterEvent::RetryScheduled {
                ticket,
                not_before_ms,
            } => self.requeue(ticket, not_before_ms),
            RouterEvent::Cancelled { ticket } => self.cancel(ticket),
            RouterEvent::AttemptEnded {
                ticket,
                instance,
                connection,
                outcome,
            } => {
                self.end_attempt(instance.clone(), connection, outcome, now, &mut actions);
                self.continue_request(ticket, instance, outcome, now, &mut actions);
            }
            RouterEvent::ConnectionClosed {
                instance,
                connection,
            } => {
                if let Some(state) = self.endpoints.get_mut(&instance) {
                    state.close(connection, now);
                }
            }
            RouterEvent::Tick => self.tick(now, &mut actions),
        }
        self.dispatch_waiting(&scope, now, &mut actions);
        actions
    }

    /// Reports the usage of this entry's shares, for its exchange with the leader.
    ///
    /// If the grant has expired, the report gives up the shares. From then on the leader may assign
    /// them to other entries, so the router starts no work until it receives new shares.
    pub fn report(&mut self, now: Millis) -> UsageReport {
        if now >= self.view.granted_until_ms {
            self.shares_dropped = true;
        }
        let endpoints = self.endpoints.iter().map(|(instance, state)| {
            let service = self.services.get(&state.share.service);
            let waiting = service.map_or(0, |service| service.queue.len());
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            state.report(instance, waiting, !self.shares_dropped)
        });
        let endpoints = endpoints.collect();
        let shares_version = if self.shares_dropped {
            0
        } else {
            self.view.shares_version
        };
        UsageReport {
            shares_version,
            endpoints,
        }
    }

    pub(super) fn may_start(&self, now: Millis) -> bool {
        !self.shares_dropped && now < self.view.granted_until_ms
    }

    /// Whether an attempt that the router ordered may still be sent: the grant holds and the
    /// endpoint instance accepts new work.
    #[must_use]
    pub fn may_send(&self, instance: &EndpointInstance, now: Millis) -> bool {
        let enabled = self
            .endpoints
            .get(instance)
            .is_some_and(|state| state.enabled);
        enabled && self.may_start(now)
    }

    /// Whether the team exists in the state in force.
    #[must_use]
    pub fn has_team(&self, team: &TeamId) -> bool {
        self.view.in_force.teams.contains_key(team)
    }

    /// The maximum deadline of a service; none if the service does not exist.
    #[must_use]
    pub fn deadline_max(&self, service: &ServiceName) -> Option<Millis> {
        let spec = self.view.in_force.services.get(service)?;
        Some(spec.deadline_max_ms)
    }

    /// Number of queued requests, over all services.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services
            .values()
            .map(|service| service.queue.len())
            .sum()
    }

    /// Number of requests that are queued or in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    fn apply_view(&mut self, view: RouterView, now: Millis, actions: &mut Vec<RouterAction>) {
        // The current list was given up with its grant; only a new one restores the shares.
        self.shares_dropped &= Arc::ptr_eq(&self.view.shares, &view.shares);
        for state in self.endpoints.values_mut() {
            state.disable(now);
        }
        for share in view.shares.iter() {
            let instance = EndpointInstance {
                endpoint: share.endpoint.clone(),
                incarnation: share.incarnation,
            };
            let state = self
                .endpoints
                .entry(instance)
                .or_insert_with(|| EndpointState::new(share.clone()));
            state.share = share.clone();
            let wanted = accepts_new_work(&share.endpoint, &share.zone, &view.in_force);
            if wanted && !share.leaving {
                state.enable();
            }
        }
        let declared = &view.in_force.services;
        self.services
            .retain(|name, service| service.queue.len() > 0 || declared.contains_key(name));
        self.view = view;
        self.rebuild_index();
        self.close_stale_connections(now, actions);
    }

    fn admit_request(
        &mut self,
        ticket: Ticket,
        request: QueuedRequest,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) {
        if let Some(kind) = self.refusal_reason(&request, now) {
            let retry_after_ms = self.retry_after(&request);
            actions.push(refuse(ticket, kind, false, retry_after_ms));
            return;
        }
        let service = self.services.entry(request.service.clone()).or_default();
        service.budget.earn();
        service
            .queue
            .push(&request.team, waiting_request(ticket, &request));
        let state = RequestState {
            request,
            tried_instances: Vec::new(),
            attempts: 0,
            needs_new_connection: false,
            sent_ms: None,
            cancelled: false,
        };
        self.requests.insert(ticket, state);
    }

    /// Puts a request back at the head of its team's queue, since it has already waited its turn.
    fn requeue(&mut self, ticket: Ticket, not_before_ms: Millis) {
        let Some(state) = self.requests.get_mut(&ticket) else {
            return;
        };
        if state.cancelled || state.sent_ms.is_some() {
            return;
        }
        let waiter = WaitingRequest {
            not_before_ms,
            ..waiting_request(ticket, &state.request)
        };
        let service = self
            .services
            .entry(state.request.service.clone())
            .or_default();
        service.queue.remove(&state.request.team, ticket);
        service.queue.push_front(&state.request.team, waiter);
    }

    fn cancel(&mut self, ticket: Ticket) {
        let Some(state) = self.requests.get_mut(&ticket) else {
            return;
        };
        state.cancelled = true;
        if state.sent_ms.is_none() {
            self.remove_request(ticket);
        }
    }

    fn remove_request(&mut self, ticket: Ticket) {
        if let Some(state) = self.requests.remove(&ticket)
            && let Some(service) = self.services.get_mut(&state.request.service)
        {
            service.queue.remove(&state.request.team, ticket);
        }
    }

    /// Releases the slot and connection of an attempt that ended.
    fn end_attempt(
        &mut self,
        instance: EndpointInstance,
        connection: ConnectionId,
        outcome: AttemptOutcome,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(state) = self.endpoints.get_mut(&instance) else {
            return;
        };
        if state.end_attempt(connection, outcome, now) {
            self.distrust_idle_connections(instance, now);
            self.close_stale_connections(now, actions);
        }
    }

    /// Completes, requeues or refuses a request whose attempt ended.
    fn continue_request(
        &mut self,
        ticket: Ticket,
        instance: EndpointInstance,
        outcome: AttemptOutcome,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(state) = self.requests.get_mut(&ticket) else {
            return;
        };
        let sent_ms = state.sent_ms.take().unwrap_or(now);
        if state.cancelled {
            self.remove_request(ticket);
            return;
        }
        state.tried_instances.push(instance);
        state.needs_new_connection |= outcome == AttemptOutcome::TimedOut;
        match outcome {
            AttemptOutcome::Completed { .. } => {
                let service = self.services.entry(state.request.service.clone());
                service
                    .or_default()
                    .record_response_time(now.since(sent_ms));
                self.remove_request(ticket);
            }
            AttemptOutcome::Released { .. } => {}
            AttemptOutcome::Abandoned => self.remove_request(ticket),
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
            | AttemptOutcome::Busy { .. } => {
                self.requeue(ticket, now);
            }
            AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                self.retry_or_refuse(ticket, now, actions);
            }
        }
    }

    /// Handles the failure of an attempt that may have run: retries an idempotent request within
    /// its attempt limit, its deadline and the retry budget of its service, and refuses it
    /// otherwise.
    fn retry_or_refuse(&mut self, ticket: Ticket, now: Millis, actions: &mut Vec<RouterAction>) {
        let Some(state) = self.requests.get_mut(&ticket) else {
            return;
        };
        state.attempts += 1;
        let service = self
            .services
            .entry(state.request.service.clone())
            .or_default();
        let may_retry = state.request.idempotent
            && state.attempts < ATTEMPTS_MAX
            && state.request.deadline_ms > now
            && service.budget.spend();
        if may_retry {
            self.requeue(ticket, now);
            return;
        }
        self.remove_request(ticket);
        let kind = RefusalKind::AttemptFailed;
        actions.push(refuse(ticket, kind, true, RETRY_AFTER_MIN_MS));
    }

    /// Stops the reuse of idle connections that may be dead, after an attempt timed out.
    ///
    /// A time-out discards the older idle connections to the same endpoint. A second endpoint
    /// timing out within twice the idle time-out discards those to all endpoints, because a device
    /// on the path has probably dropped its connection state.
    fn distrust_idle_connections(&mut self, instance: EndpointInstance, now: Millis) {
        let other = self.last_timeout.as_ref().is_some_and(|(last, at_ms)| {
            *last != instance
                && now.since(*at_ms) <= IDLE_TIMEOUT_MS.saturating_add(IDLE_TIMEOUT_MS)
        });
        if other {
            self.idle_trusted_since_ms = now;
        }
        self.last_timeout = Some((instance, now));
    }

    fn close_stale_connections(&mut self, now: Millis, actions: &mut Vec<RouterAction>) {
        for (instance, state) in &mut self.endpoints {
            let timed_out_ms = self
                .last_timeout
                .as_ref()
                .filter(|(last, _)| last == instance)
                .map_or(Millis::ZERO, |(_, at_ms)| *at_ms);
            let idle_trusted_since_ms = timed_out_ms.max(self.idle_trusted_since_ms);
            let stale = state.take_stale(idle_trusted_since_ms, now);
            let close = |connection| RouterAction::Close {
                instance: instance.clone(),
                connection,
            };
            actions.extend(stale.into_iter().map(close));
        }
        self.endpoints.retain(|_, state| !state.is_removable(now));
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<RouterAction>) {
        let mut expired = Vec::new();
        for service in self.services.values_mut() {
            // Also refuses requests that an endpoint could no longer answer by their deadline.
            let by_ms = now.saturating_add(service.service_time_estimate());
            expired.append(&mut service.queue.take_expired(by_ms));
        }
        for ticket in expired {
            let state = self.requests.remove(&ticket);
            let may_have_run = state.as_ref().is_some_and(|state| state.attempts > 0);
            let kind = RefusalKind::DeadlinePassed(self.wait_reason(now).into());
            actions.push(refuse(ticket, kind, may_have_run, RETRY_AFTER_MIN_MS));
        }
        self.close_stale_connections(now, actions);
    }
}
