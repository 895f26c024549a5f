use super::core::{RequestState, Router};
use super::endpoint_state::{EndpointState, Pick};
use super::service_state::weight;
use super::{ConnectionId, EndpointRun, RouterAction, SendOrder, Ticket};
use crate::units::{Millis, ServiceName};

/// An endpoint that could take a request now.
#[derive(Debug)]
struct Candidate {
    run: EndpointRun,
    /// Used slots in thousandths of the share.
    load: u32,
    idempotent: Option<Pick>,
    non_idempotent: Option<Pick>,
    fresh: Option<Pick>,
}

impl Router {
    /// Hands requests that wait to endpoints with a free slot, team by team.
    pub(super) fn send_waiting(&mut self, now: Millis, actions: &mut Vec<RouterAction>) {
        if !self.may_start(now) {
            return;
        }
        let waits = |name: &ServiceName, router: &Self| router.services[name].queue.len() > 0;
        let mut names: Vec<ServiceName> = self.services.keys().cloned().collect();
        names.retain(|name| waits(name, self));
        for name in names {
            let mut candidates = self.candidates(&name, now);
            while let Some(order) = self.next_order(&name, &mut candidates, now) {
                actions.push(RouterAction::Send(order));
            }
            self.make_room(&name, actions, now);
        }
    }

    /// Endpoints that could take a request, the least loaded first.
    fn candidates(&mut self, name: &ServiceName, now: Millis) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.share.service == *name)
            .filter_map(|(run, state)| Candidate::of(run, state, now))
            .collect();
        if !candidates.is_empty() {
            self.rotation = self.rotation.wrapping_add(1) % candidates.len();
            candidates.rotate_left(self.rotation);
        }
        candidates
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
        let needed_ms = service.needed();
        let ticket = service.queue.pop(
            now,
            needed_ms,
            |team| weight(in_force, team),
            |ticket| {
                let state = requests.get(&ticket);
                chosen = state.and_then(|state| choose(state, candidates));
                chosen.is_some()
            },
        )?;
        let answer_within_ms = service.answer_within();
        let (index, pick) = chosen?;
        let run = candidates[index].run.clone();
        let order = self.begin(ticket, run, pick, answer_within_ms, now);
        let state = self.endpoints.get(&candidates[index].run)?;
        match Candidate::of(&order.run, state, now) {
            Some(next) => candidates[index] = next,
            None => {
                candidates.remove(index);
            }
        }
        Some(order)
    }

    fn begin(
        &mut self,
        ticket: Ticket,
        run: EndpointRun,
        pick: Pick,
        answer_within_ms: Millis,
        now: Millis,
    ) -> SendOrder {
        let (connection, fresh) = match pick {
            Pick::Idle(connection) => (connection, false),
            Pick::Fresh => {
                self.last_connection += 1;
                (ConnectionId(self.last_connection), true)
            }
        };
        let request = self.requests.get_mut(&ticket);
        request.expect("a queued request is known").sent_ms = Some(now);
        let endpoint = self.endpoints.get_mut(&run);
        let endpoint = endpoint.expect("candidates are known endpoints");
        endpoint.begin(connection, fresh);
        SendOrder {
            ticket,
            address: endpoint.share.address,
            run,
            connection,
            fresh,
            answer_within_ms,
        }
    }

    /// Closes idle connections that keep a request which needs a fresh one from a free slot.
    fn make_room(&mut self, name: &ServiceName, actions: &mut Vec<RouterAction>, now: Millis) {
        if self.services[name].queue.len() == 0 {
            return;
        }
        for (run, state) in &mut self.endpoints {
            if state.share.service == *name
                && let Some(connection) = state.idle_in_the_way()
            {
                state.close(connection, now);
                actions.push(RouterAction::Close {
                    run: run.clone(),
                    connection,
                });
            }
        }
    }
}

impl Candidate {
    fn of(run: &EndpointRun, state: &EndpointState, now: Millis) -> Option<Self> {
        let idempotent = state.pick(true, now);
        let non_idempotent = state.pick(false, now);
        if idempotent.is_none() && non_idempotent.is_none() {
            return None;
        }
        let used = state.slots_used().saturating_mul(1_000);
        Some(Self {
            run: run.clone(),
            load: used / state.share.slots.get().max(1),
            idempotent,
            non_idempotent,
            fresh: state.pick_fresh(now),
        })
    }

    const fn pick(&self, state: &RequestState) -> Option<Pick> {
        if state.needs_fresh {
            self.fresh
        } else if state.request.idempotent {
            self.idempotent
        } else {
            self.non_idempotent
        }
    }
}

/// The least loaded endpoint that has not failed the request yet, else the least loaded one.
fn choose(state: &RequestState, candidates: &[Candidate]) -> Option<(usize, Pick)> {
    let picks = candidates
        .iter()
        .enumerate()
        .filter_map(|(index, candidate)| {
            let pick = candidate.pick(state)?;
            let tried = state.tried.contains(&candidate.run);
            Some(((tried, candidate.load), index, pick))
        });
    picks
        .min_by_key(|(order, _, _)| *order)
        .map(|(_, index, pick)| (index, pick))
}
