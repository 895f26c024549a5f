//! Simulates a router in virtual time; the tests act as its endpoints and end its attempts.

#![allow(
    dead_code,
    reason = "each test binary uses only part of the simulation"
)]

use std::collections::BTreeMap;
use std::sync::Arc;

use marjoramknot::control::{EndpointCapacity, EndpointShare};
use marjoramknot::release_note::ClusterConfig;
use marjoramknot::router::{
    AttemptOutcome, ConnectionId, EndpointInstance, QueuedRequest, RefusalKind, Router,
    RouterAction, RouterEvent, RouterRefusal, RouterView, SendOrder, Ticket,
};
use marjoramknot::units::{Millis, Revision, Slots};

use crate::shares;

/// A router with its clock, its inputs and the actions that it requested.
pub struct RouterSim {
    pub router: Router,
    pub now: Millis,
    pub in_force: ClusterConfig,
    pub shares: Arc<Vec<EndpointShare>>,
    pub granted_until_ms: Millis,
    /// Attempts in progress, oldest first.
    pub sent: Vec<SendOrder>,
    pub refused: Vec<(Ticket, RouterRefusal)>,
    pub closed: Vec<ConnectionId>,
    pub teams: BTreeMap<Ticket, String>,
    last_ticket: u64,
}

impl RouterSim {
    /// Creates a router with an unlimited grant and `slots` slots of each endpoint.
    pub fn new(endpoints: u16, slots: u32) -> Self {
        let mut in_force = shares::in_force();
        in_force.revision = Revision(1);
        let shares = (0..endpoints).map(|number| share(number, slots)).collect();
        let mut sim = Self {
            router: Router::new(),
            now: Millis(1_000),
            in_force,
            shares: Arc::new(shares),
            granted_until_ms: Millis::MAX,
            sent: Vec::new(),
            refused: Vec::new(),
            closed: Vec::new(),
            teams: BTreeMap::new(),
            last_ticket: 0,
        };
        sim.update_view();
        sim
    }

    pub fn update_view(&mut self) {
        self.handle(RouterEvent::ViewChanged(RouterView {
            in_force: Arc::new(self.in_force.clone()),
            shares: Arc::clone(&self.shares),
            shares_version: 5,
            granted_until_ms: self.granted_until_ms,
        }));
    }

    pub fn handle(&mut self, event: RouterEvent) {
        for action in self.router.handle(event, self.now) {
            match action {
                RouterAction::Send(order) => self.sent.push(order),
                RouterAction::Refuse { ticket, refusal } => self.refused.push((ticket, refusal)),
                RouterAction::Close { connection, .. } => self.closed.push(connection),
            }
        }
    }

    pub fn arrive(&mut self, team: &str, idempotent: bool, deadline_in_ms: u64) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.teams.insert(ticket, team.to_owned());
        let request = QueuedRequest {
            team: team.parse().expect("the team is an id"),
            service: "booking".parse().expect("the service is an id"),
            idempotent,
            deadline_ms: self.now.saturating_add(Millis(deadline_in_ms)),
        };
        self.handle(RouterEvent::Arrived { ticket, request });
        ticket
    }

    /// Ends the oldest attempt in progress with the given outcome.
    pub fn end_oldest(&mut self, outcome: AttemptOutcome) -> SendOrder {
        let order = self.sent.remove(0);
        self.end_attempt(&order, outcome);
        order
    }

    pub fn end_attempt(&mut self, order: &SendOrder, outcome: AttemptOutcome) {
        self.handle(RouterEvent::AttemptEnded {
            ticket: order.ticket,
            instance: order.instance.clone(),
            connection: order.connection,
            outcome,
        });
    }

    pub fn complete(&mut self) -> SendOrder {
        self.end_oldest(AttemptOutcome::Completed { reusable: true })
    }

    pub fn advance(&mut self, span_ms: u64) {
        self.now = self.now.saturating_add(Millis(span_ms));
        self.handle(RouterEvent::Tick);
    }

    pub fn last_refusal(&self) -> &RefusalKind {
        &self.refused.last().expect("a request was refused").1.kind
    }
}

/// Returns a share of endpoint `booking-N`.
pub fn share(number: u16, slots: u32) -> EndpointShare {
    let announced = shares::announcement(number);
    EndpointShare {
        endpoint: announced.endpoint,
        incarnation: announced.incarnation,
        address: announced.address,
        service: announced.service,
        zone: announced.zone,
        slots: Slots(slots),
        connections: Slots(slots * 8),
        leaving: false,
        abandoned_acked: EndpointCapacity::default(),
    }
}

/// Returns the instance of endpoint `booking-N` that [`share`] refers to.
pub fn instance(number: u16) -> EndpointInstance {
    let announced = shares::announcement(number);
    EndpointInstance {
        endpoint: announced.endpoint,
        incarnation: announced.incarnation,
    }
}
