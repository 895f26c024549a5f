use super::core::Router;
use super::endpoint_state::{ConnectionChoice, EndpointState};
use super::request_state::RequestState;
use super::service_state::{ServiceState, weight};
use super::{
    AttemptOutcome, ConnectionId, EndpointInstance, RouterAction, RouterEvent, SendOrder, Ticket,
};
use crate::units::{Millis, ServiceName};

/// An endpoint that can accept a request now.
#[derive(Debug)]
struct Candidate {
    instance: EndpointInstance,
    /// Used slots in thousandths of the share's slots.
    load: u32,
    idempotent: Option<ConnectionChoice>,
    non_idempotent: Option<ConnectionChoice>,
    new_connection: Option<ConnectionChoice>,
}

/// Maximum number of endpoints compared for one request.
///
/// The least loaded of this many is close to the least loaded of all, and the cost of a choice does
/// not grow with the number of endpoints.
const CANDIDATES_MAX: usize = 8;

/// The enabled endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceEndpoints {
    pub(super) instances: Vec<EndpointInstance>,
    /// Total slots of the entry's shares of these endpoints.
    pub(super) slots: u32,
}

/// The queued requests that an event may have made dispatchable.
#[derive(Clone, Debug)]
pub(super) enum DispatchScope {
    /// No requests.
    None,
    /// Requests for this service, which has a new request.
    Service(ServiceName),
    /// Requests that this endpoint, which has a free slot, can serve.
    Instance(EndpointInstance),
    /// Requests for any service.
    All,
}

impl Router {
    /// Sends queued requests to endpoints with a free slot, in fair order among teams.
    pub(super) fn dispatch_waiting(
        &mut self,
        scope: &DispatchScope,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) {
        if !self.may_start(now) {
            return;
        }
        match scope {
            DispatchScope::None => {}
            DispatchScope::Service(name) => {
                // If the requests ahead found no endpoint, the new one does not find one either,
                // and the search is skipped.
                let behind = |service: &ServiceState| service.starved && service.queue.len() > 1;
                if !self.services.get(name).is_none_or(behind) {
                    self.dispatch_service(name, now, actions);
                }
            }
            DispatchScope::Instance(instance) => self.dispatch_to_instance(instance, now, actions),
            DispatchScope::All => {
                let names: Vec<ServiceName> = self.services.keys().cloned().collect();
                for name in names {
                    self.dispatch_service(&name, now, actions);
                }
            }
        }
    }

    /// Sends a service's queued requests until the queue is empty or no endpoint accepts one.
    fn dispatch_service(
        &mut self,
        name: &ServiceName,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) {
        if self.services[name].queue.len() == 0 {
            return;
        }
        loop {
            let mut candidates = self.candidates(name, now);
            let starved = candidates.is_empty();
            let sent = self.dispatch_to_candidates(name, &mut candidates, now, actions);
            let service = self.services.entry(name.clone()).or_default();
            service.starved = starved;
            if sent == 0 || service.queue.len() == 0 {
                break;
            }
        }
        self.close_idle_for_new(name, actions, now);
    }

    /// Sends queued requests to one endpoint.
    fn dispatch_to_instance(
        &mut self,
        instance: &EndpointInstance,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) {
        let Some(state) = self.endpoints.get(instance) else {
            return;
        };
        let name = state.share.service.clone();
        let has_waiting = self.services.get(&name).map_or(0, |s| s.queue.len()) > 0;
        if let Some(candidate) = Candidate::of(instance, state, now).filter(|_| has_waiting) {
            self.dispatch_to_candidates(&name, &mut vec![candidate], now, actions);
        }
    }

    fn dispatch_to_candidates(
        &mut self,
        name: &ServiceName,
        candidates: &mut Vec<Candidate>,
        now: Millis,
        actions: &mut Vec<RouterAction>,
    ) -> usize {
        let before = actions.len();
        while let Some(order) = self.next_order(name, candidates, now) {
            actions.push(RouterAction::Send(order));
        }
        actions.len() - before
    }

    /// Collects up to [`CANDIDATES_MAX`] endpoints that can accept a request, from an offset that
    /// advances with each call.
    fn candidates(&mut self, name: &ServiceName, now: Millis) -> Vec<Candidate> {
        let Some(ServiceEndpoints { instances, .. }) = self.by_service.get(name) else {
            return Vec::new();
        };
        let count = instances.len();
        self.rotation = self.rotation.wrapping_add(1);
        let positions = (0..count).map(|offset| (self.rotation + offset) % count);
        positions
            .filter_map(|position| {
                let instance = &instances[position];
                Candidate::of(instance, self.endpoints.get(instance)?, now)
            })
            .take(CANDIDATES_MAX)
            .collect()
    }

    /// Rebuilds the index of enabled endpoints and the sum of weights after the view changed.
    pub(super) fn rebuild_index(&mut self) {
        self.by_service.clear();
        for (instance, state) in self.endpoints.iter().filter(|(_, state)| state.enabled) {
            let of_service = self.by_service.entry(state.share.service.clone());
            let of_service = of_service.or_default();
            of_service.instances.push(instance.clone());
            let slots = state.share.slots.get();
            of_service.slots = of_service.slots.saturating_add(slots);
        }
        let teams = self.view.in_force.teams.values();
        self.weight_sum = teams
            .map(|team| u64::from(team.request_weight.max(1)))
            .sum();
    }

    fn next_order(
        &mut self,
        name: &ServiceName,
        candidates: &mut Vec<Candidate>,
        now: Millis,
    ) -> Option<SendOrder> {
        if candidates.is_empty() {
            return None;
        }
        let service = self.services.get_mut(name)?;
        let in_force = &self.view.in_force;
        let requests = &self.requests;
        let mut chosen = None;
        let service_ms = service.service_time_estimate();
        let ticket = service.queue.pop(
            now,
            service_ms,
            |team| weight(in_force, team),
            |ticket| {
                let state = requests.get(&ticket);
                chosen = state.and_then(|state| least_loaded(state, candidates));
                chosen.is_some()
            },
        )?;
        let response_timeout_ms = service.response_timeout();
        let (index, choice) = chosen?;
        let instance = candidates[index].instance.clone();
        let order = self.start_attempt(ticket, instance, choice, response_timeout_ms, now);
        let state = self.endpoints.get(&candidates[index].instance)?;
        match Candidate::of(&order.instance, state, now) {
            Some(next) => candidates[index] = next,
            None => {
                candidates.remove(index);
            }
        }
        Some(order)
    }

    fn start_attempt(
        &mut self,
        ticket: Ticket,
        instance: EndpointInstance,
        choice: ConnectionChoice,
        response_timeout_ms: Millis,
        now: Millis,
    ) -> SendOrder {
        let (connection, new_connection) = match choice {
            ConnectionChoice::Idle(connection) => (connection, false),
            ConnectionChoice::New => {
                self.last_connection += 1;
                (ConnectionId(self.last_connection), true)
            }
        };
        let request = self.requests.get_mut(&ticket);
        request.expect("a queued request is known").sent_ms = Some(now);
        let endpoint = self.endpoints.get_mut(&instance);
        let endpoint = endpoint.expect("candidates are known endpoints");
        endpoint.start_attempt(connection, new_connection);
        SendOrder {
            ticket,
            address: endpoint.share.address,
            instance,
            connection,
            new_connection,
            response_timeout_ms,
        }
    }

    /// Closes one idle connection per endpoint that is at its connection limit, so that a queued
    /// request that needs a new connection can open one.
    fn close_idle_for_new(
        &mut self,
        name: &ServiceName,
        actions: &mut Vec<RouterAction>,
        now: Millis,
    ) {
        if self.services[name].queue.len() == 0 {
            return;
        }
        for (instance, state) in &mut self.endpoints {
            if state.share.service == *name
                && let Some(connection) = state.idle_to_evict()
            {
                state.close(connection, now);
                actions.push(RouterAction::Close {
                    instance: instance.clone(),
                    connection,
                });
            }
        }
    }
}

impl Candidate {
    fn of(instance: &EndpointInstance, state: &EndpointState, now: Millis) -> Option<Self> {
        let idempotent = state.choose_connection(true, now);
        let non_idempotent = state.choose_connection(false, now);
        if idempotent.is_none() && non_idempotent.is_none() {
            return None;
        }
        let used = state.slots_used().saturating_mul(1_000);
        Some(Self {
            instance: instance.clone(),
            load: used / state.share.slots.get().max(1),
            idempotent,
            non_idempotent,
            new_connection: state.choose_new_connection(now),
        })
    }

    const fn connection_for(&self, state: &RequestState) -> Option<ConnectionChoice> {
        if state.needs_new_connection {
            self.new_connection
        } else if state.request.idempotent {
            self.idempotent
        } else {
            self.non_idempotent
        }
    }
}

/// Picks the least loaded candidate, preferring those that have not yet had the request.
fn least_loaded(
    state: &RequestState,
    candidates: &[Candidate],
) -> Option<(usize, ConnectionChoice)> {
    let choices = candidates
        .iter()
        .enumerate()
        .filter_map(|(index, candidate)| {
            let choice = candidate.connection_for(state)?;
            let tried = state.tried_instances.contains(&candidate.instance);
            Some(((tried, candidate.load), index, choice))
        });
    choices
        .min_by_key(|(order, _, _)| *order)
        .map(|(_, index, choice)| (index, choice))
}

/// Returns the queued requests that an event may make dispatchable.
pub(super) fn dispatch_scope(event: &RouterEvent) -> DispatchScope {
    match event {
        RouterEvent::Arrived { request, .. } => DispatchScope::Service(request.service.clone()),
        RouterEvent::AttemptEnded {
            instance,
            outcome: AttemptOutcome::Completed { .. },
            ..
        } => DispatchScope::Instance(instance.clone()),
        RouterEvent::Cancelled { .. } | RouterEvent::ConnectionClosed { .. } => DispatchScope::None,
        RouterEvent::ViewChanged(_)
        | RouterEvent::RetryScheduled { .. }
        | RouterEvent::AttemptEnded { .. }
        | RouterEvent::Tick => DispatchScope::All,
    }
}
