//! The router under overload: fairness among teams, early refusals, bounded retries and recovery.

#[path = "support/router_sim.rs"]
mod router_sim;
#[path = "support/shares.rs"]
mod shares;

use std::collections::BTreeMap;

use marjoramknot::router::{
    ATTEMPTS_MAX, AttemptOutcome, QUEUE_MAX, RETRY_BURST, RefusalKind, RouterEvent, SendOrder,
};
use marjoramknot::units::Millis;
use router_sim::RouterSim;

const SERVICE_MS: u64 = 100;
const SLOTS: u32 = 40;
const CAPACITY_PER_S: u64 = SLOTS as u64 * 1_000 / SERVICE_MS;

/// A load on the router in virtual time; endpoints take [`SERVICE_MS`] for each request.
struct Load {
    sim: RouterSim,
    running: Vec<(u64, SendOrder)>,
    completed: BTreeMap<String, u64>,
    /// Number of responses after the caller's deadline.
    missed_deadlines: u64,
    deadlines: BTreeMap<u64, u64>,
    waiting_max: usize,
    tracked_max: usize,
}

impl Load {
    fn new() -> Self {
        Self {
            sim: RouterSim::new(10, SLOTS / 10),
            running: Vec::new(),
            completed: BTreeMap::new(),
            missed_deadlines: 0,
            deadlines: BTreeMap::new(),
            waiting_max: 0,
            tracked_max: 0,
        }
    }

    /// Runs the load for `span_ms` with `per_s` requests per second, sent by the `teams` in turn.
    /// Each request has a deadline of `deadline_in_ms` from its arrival.
    fn run(&mut self, span_ms: u64, per_s: u64, teams: &[&str], deadline_in_ms: u64) {
        let mut owed = 0;
        let mut turn = 0;
        for _ in 0..span_ms {
            owed += per_s;
            while owed >= 1_000 {
                owed -= 1_000;
                let ticket = self
                    .sim
                    .arrive(teams[turn % teams.len()], true, deadline_in_ms);
                self.deadlines
                    .insert(ticket.0, self.sim.now.get() + deadline_in_ms);
                turn += 1;
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.sim.now = self.sim.now.saturating_add(Millis(1));
        let now = self.sim.now.get();
        for order in self.sim.sent.drain(..) {
            self.running.push((now + SERVICE_MS - 1, order));
        }
        let (ended, running) = self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, SendOrder)> = ended;
        for (_, order) in ended {
            self.sim
                .end_attempt(&order, AttemptOutcome::Completed { reusable: true });
            let team = self.sim.teams[&order.ticket].clone();
            *self.completed.entry(team).or_default() += 1;
            let deadline = self.deadlines[&order.ticket.0];
            self.missed_deadlines += u64::from(now > deadline);
        }
        if now.is_multiple_of(20) {
            self.sim.handle(RouterEvent::Tick);
        }
        self.waiting_max = self.waiting_max.max(self.sim.router.waiting());
        self.tracked_max = self.tracked_max.max(self.sim.router.requests());
    }

    fn completed_total(&self) -> u64 {
        self.completed.values().sum()
    }
}

#[test]
fn ten_times_capacity() {
    let mut load = Load::new();
    load.run(20_000, CAPACITY_PER_S * 10, &["regatta", "judges"], 2_000);
    let goodput = load.completed_total() - load.missed_deadlines;
    let capacity = CAPACITY_PER_S * 20;
    assert!(
        goodput * 10 >= capacity * 9,
        "{goodput} of {capacity} requests were answered in time; at least 90 % is required"
    );
    assert!(load.waiting_max <= QUEUE_MAX as usize);
    assert!(load.tracked_max <= (QUEUE_MAX + SLOTS) as usize);
    // The request weights are 3 to 1; the served requests may deviate by a tenth.
    let thousandths = load.completed["regatta"] * 1_000 / load.completed["judges"];
    assert!(
        (2_700..=3_300).contains(&thousandths),
        "ratio of served requests: {thousandths}/1000"
    );
    assert!(
        load.sim
            .refused
            .iter()
            .all(|(_, refusal)| !refusal.may_have_run)
    );
    // At most 1 % of refusals may come only after the deadline, instead of on arrival.
    let late = load
        .sim
        .refused
        .iter()
        .filter(|(_, refusal)| matches!(refusal.kind, RefusalKind::DeadlinePassed(_)));
    assert!(late.count() * 100 <= load.sim.refused.len());
}

#[test]
fn recovers_after_overload() {
    let mut load = Load::new();
    load.run(5_000, CAPACITY_PER_S * 10, &["regatta", "judges"], 2_000);
    // Requests admitted during the overload may stay queued until their deadline.
    load.run(2_000, CAPACITY_PER_S / 2, &["regatta", "judges"], 2_000);
    let refused = load.sim.refused.len();
    load.run(5_000, CAPACITY_PER_S / 2, &["regatta", "judges"], 2_000);
    assert_eq!(
        load.sim.refused.len(),
        refused,
        "no request may be refused after the queue has drained"
    );
    assert!(load.sim.router.waiting() <= 1);
}

#[test]
fn quiet_team_during_overload() {
    let mut load = Load::new();
    load.run(2_000, CAPACITY_PER_S * 10, &["regatta"], 2_000);
    let refused = load.sim.refused.len();
    assert!(refused > 0);
    let ticket = load.sim.arrive("judges", true, 2_000);
    load.deadlines.insert(ticket.0, load.sim.now.get() + 2_000);
    load.run(SERVICE_MS * 4, CAPACITY_PER_S * 10, &["regatta"], 2_000);
    assert_eq!(
        load.completed["judges"], 1,
        "a request of an idle team must be served within four service times"
    );
}

#[test]
fn team_queue_limit() {
    let mut sim = RouterSim::new(0, 0);
    let mut taken = 0;
    while sim.refused.is_empty() {
        sim.arrive("judges", true, 60_000);
        taken += 1;
    }
    // The team has a quarter of the total weight.
    assert_eq!(taken - 1, QUEUE_MAX / 4);
    assert_eq!(*sim.last_refusal(), RefusalKind::QueueFull);
    sim.arrive("regatta", true, 60_000);
    assert_eq!(
        sim.refused.len(),
        1,
        "the other team has its own part of the queue"
    );
    sim.advance(60_000);
    assert_eq!(
        sim.router.requests(),
        0,
        "all queued requests must be refused at their deadline"
    );
}

#[test]
fn deadline_while_queued() {
    let mut sim = RouterSim::new(1, 1);
    sim.arrive("judges", true, 60_000);
    let late = sim.arrive("judges", true, 500);
    sim.advance(500);
    assert_eq!(sim.refused.len(), 1);
    let (ticket, refusal) = &sim.refused[0];
    assert_eq!((*ticket, refusal.may_have_run), (late, false));
    assert_eq!(
        refusal.kind.to_string(),
        "the deadline passed before an endpoint was free"
    );
}

#[test]
fn retry_budget_if_all_attempts_fail() {
    let mut sim = RouterSim::new(50, 8);
    let mut attempts = 0;
    let requests = 1_000;
    for _ in 0..requests {
        sim.arrive("regatta", true, 60_000);
        while !sim.sent.is_empty() {
            attempts += 1;
            sim.end_oldest(AttemptOutcome::Failed);
        }
        sim.advance(100);
    }
    let retries_max = RETRY_BURST + requests / 10;
    assert!(
        attempts <= requests + retries_max,
        "{attempts} attempts for {requests} requests, at most {retries_max} retries are allowed"
    );
    assert!(
        sim.refused
            .iter()
            .all(|(_, refusal)| refusal.may_have_run || refusal.kind != RefusalKind::AttemptFailed)
    );
}

#[test]
fn retry_budget_if_first_attempts_fail() {
    let mut sim = RouterSim::new(50, 8);
    let requests = 1_000;
    let mut attempts = BTreeMap::new();
    for _ in 0..requests {
        sim.arrive("regatta", true, 60_000);
        sim.advance(100);
        // The first attempt of each request fails, and a retry succeeds.
        while let Some(order) = sim.sent.first() {
            let made: &mut u32 = attempts.entry(order.ticket).or_default();
            *made += 1;
            let first = *made == 1;
            sim.end_oldest(if first {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Completed { reusable: true }
            });
        }
    }
    let retries: u32 = attempts.values().map(|made| made - 1).sum();
    let retries_max = RETRY_BURST + requests / 10;
    assert!(
        (RETRY_BURST..=retries_max).contains(&retries),
        "{retries} retries, {RETRY_BURST} to {retries_max} are expected"
    );
}

#[test]
fn attempts_per_request() {
    let mut sim = RouterSim::new(50, 8);
    sim.arrive("regatta", true, 60_000);
    let mut attempts = 0;
    while !sim.sent.is_empty() {
        attempts += 1;
        sim.end_oldest(AttemptOutcome::Failed);
    }
    assert_eq!(attempts, ATTEMPTS_MAX);
    assert_eq!(*sim.last_refusal(), RefusalKind::AttemptFailed);
}

#[test]
fn scheduled_retry_waits() {
    let mut sim = RouterSim::new(1, 1);
    let ticket = sim.arrive("regatta", false, 60_000);
    sim.end_oldest(AttemptOutcome::Released { reusable: true });
    let not_before_ms = sim.now.saturating_add(Millis(100));
    sim.handle(RouterEvent::RetryScheduled {
        ticket,
        not_before_ms,
    });
    sim.advance(99);
    assert_eq!(sim.sent.len(), 0);
    sim.advance(1);
    assert_eq!(sim.sent[0].ticket, ticket);
}
