//! Which endpoint and connection a request gets, and what failures do to them.

#[path = "support/router_sim.rs"]
mod router_sim;
#[path = "support/shares.rs"]
mod shares;

use std::sync::Arc;

use marjoramknot::release_note::ZoneState;
use marjoramknot::router::{
    AttemptOutcome, IDLE_TIMEOUT_MS, NON_IDEMPOTENT_IDLE_MAX_MS, RefusalKind,
};
use marjoramknot::units::{Incarnation, Millis, Slots};
use router_sim::{Sim, instance, share};
use rstest::rstest;

const TEAM: &str = "regatta";

#[test]
fn without_grant() {
    let mut sim = Sim::new(1, 8);
    sim.granted_until_ms = sim.now;
    sim.observe();
    sim.arrive(TEAM, true, 1_000);
    sim.pass(900);
    assert_eq!(
        (sim.sent.len(), sim.refused.len()),
        (0, 0),
        "it waits for a grant"
    );
    sim.pass(100);
    let (_, refusal) = &sim.refused[0];
    assert!(!refusal.may_have_run);
    let message = "the deadline passed before an endpoint was free, while this entry had no leave \
                   of the control group to start work";
    assert_eq!(refusal.kind.to_string(), message);
}

#[test]
fn grant_returns() {
    let mut sim = Sim::new(1, 8);
    sim.granted_until_ms = sim.now;
    sim.observe();
    sim.arrive(TEAM, true, 5_000);
    sim.granted_until_ms = Millis::MAX;
    sim.observe();
    assert_eq!(sim.sent.len(), 1, "no report had dropped the shares");
}

#[test]
fn dropped_shares() {
    let mut sim = Sim::new(1, 8);
    assert_eq!(sim.router.report(sim.now).shares_version, 5);
    sim.granted_until_ms = sim.now;
    sim.observe();
    let report = sim.router.report(sim.now);
    assert_eq!(
        (report.shares_version, report.uses[0].share.slots),
        (0, Slots(0))
    );
    // From that report on the leader may give the shares to others.
    sim.granted_until_ms = Millis::MAX;
    sim.observe();
    sim.arrive(TEAM, true, 5_000);
    assert_eq!(sim.sent.len(), 0);
    sim.shares = Arc::new(sim.shares.to_vec());
    sim.observe();
    assert_eq!(sim.sent.len(), 1);
    assert_eq!(sim.router.report(sim.now).shares_version, 5);
}

#[rstest]
#[case::share_gone(|sim: &mut Sim| sim.shares = Arc::default())]
#[case::leaving(|sim: &mut Sim| { let mut left = share(0, 8); left.leaving = true; sim.shares = Arc::new(vec![left]); })]
#[case::zone_out(|sim: &mut Sim| sim.in_force.zones.get_mut("Senec").expect("it is there").state = ZoneState::Out)]
#[case::rule_gone(|sim: &mut Sim| { sim.in_force.endpoint_rules.clear(); })]
#[case::name_refused(|sim: &mut Sim| { sim.in_force.refused_endpoints.insert(shares::endpoint_id(0)); })]
fn withdrawn(#[case] change: fn(&mut Sim)) {
    let mut sim = Sim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    change(&mut sim);
    sim.observe();
    sim.arrive(TEAM, true, 60_000);
    assert_eq!(sim.sent.len(), 1, "no new work");
    assert!(!sim.router.may_send(&instance(0), sim.now));
    sim.answer();
    assert_eq!(
        sim.router.requests(),
        1,
        "what was in progress ended as usual"
    );
}

#[test]
fn slots_of_share() {
    let mut sim = Sim::new(2, 3);
    for _ in 0..10 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 6);
    let of_first = sim
        .sent
        .iter()
        .filter(|order| order.instance == instance(0))
        .count();
    assert_eq!(of_first, 3);
    sim.answer();
    assert_eq!(sim.sent.len(), 6);
}

#[test]
fn connections_of_share() {
    let mut sim = Sim::new(1, 8);
    let mut small = share(0, 8);
    small.connections = Slots(2);
    sim.shares = Arc::new(vec![small]);
    sim.observe();
    for _ in 0..4 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 2);
}

#[test]
fn closed_one_settles() {
    let mut sim = Sim::new(1, 1);
    let mut small = share(0, 1);
    small.connections = Slots(1);
    sim.shares = Arc::new(vec![small]);
    sim.observe();
    sim.arrive(TEAM, true, 60_000);
    sim.end(AttemptOutcome::Completed { reusable: false });
    sim.arrive(TEAM, true, 60_000);
    sim.pass(99);
    assert_eq!(
        sim.sent.len(),
        0,
        "the endpoint may not have seen the end of the first"
    );
    sim.pass(1);
    assert_eq!(sim.sent.len(), 1);
}

#[rstest]
#[case(true, 0, false)]
#[case(true, IDLE_TIMEOUT_MS.0 - 1, false)]
#[case(true, IDLE_TIMEOUT_MS.0, true)]
#[case(false, 0, false)]
#[case(false, NON_IDEMPOTENT_IDLE_MAX_MS.0, true)]
fn connection_age(#[case] idempotent: bool, #[case] idle: u64, #[case] fresh: bool) {
    let mut sim = Sim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    sim.answer();
    sim.pass(idle);
    sim.arrive(TEAM, idempotent, 60_000);
    assert_eq!(sim.sent[0].new_connection, fresh);
}

#[test]
fn room_for_fresh() {
    let mut sim = Sim::new(1, 1);
    let mut small = share(0, 1);
    small.connections = Slots(1);
    sim.shares = Arc::new(vec![small]);
    sim.observe();
    sim.arrive(TEAM, true, 60_000);
    let first = sim.answer();
    sim.pass(NON_IDEMPOTENT_IDLE_MAX_MS.get());
    sim.arrive(TEAM, false, 60_000);
    assert_eq!(sim.closed, [first.connection], "the idle one makes room");
    sim.pass(100);
    assert!(sim.sent[0].new_connection);
}

#[rstest]
#[case(AttemptOutcome::ConnectFailed)]
#[case(AttemptOutcome::NotSent)]
#[case(AttemptOutcome::Busy { reusable: true })]
fn certainly_not_run(#[case] end: AttemptOutcome, #[values(true, false)] idempotent: bool) {
    let mut sim = Sim::new(2, 8);
    sim.arrive(TEAM, idempotent, 60_000);
    let first = sim.end(end);
    assert_ne!(
        sim.sent[0].instance, first.instance,
        "the next attempt goes elsewhere"
    );
}

#[rstest]
#[case(AttemptOutcome::Failed)]
#[case(AttemptOutcome::TimedOut)]
fn may_have_run(#[case] end: AttemptOutcome, #[values(true, false)] idempotent: bool) {
    let mut sim = Sim::new(2, 8);
    sim.arrive(TEAM, idempotent, 60_000);
    let first = sim.end(end);
    if idempotent {
        assert_ne!(sim.sent[0].instance, first.instance);
    } else {
        assert_eq!(sim.sent.len(), 0);
        assert!(sim.refused[0].1.may_have_run);
    }
    let report = sim.router.report(sim.now);
    let given_up = report
        .uses
        .iter()
        .find(|used| used.endpoint == first.instance.endpoint);
    let given_up = given_up.expect("the endpoint is reported");
    assert_eq!(
        (given_up.slots, given_up.abandoned.slots),
        (Slots(1), Slots(1))
    );
}

#[test]
fn abandoned_is_taken_over() {
    let mut sim = Sim::new(1, 1);
    sim.arrive(TEAM, false, 60_000);
    sim.end(AttemptOutcome::TimedOut);
    sim.arrive(TEAM, false, 60_000);
    assert_eq!(sim.sent.len(), 0, "the slot may be in use still");
    let mut lowered = share(0, 0);
    lowered.abandoned_acked.slots = Slots(1);
    lowered.abandoned_acked.connections = Slots(1);
    sim.shares = Arc::new(vec![lowered.clone()]);
    sim.observe();
    assert_eq!(sim.sent.len(), 0);
    lowered.slots = Slots(1);
    lowered.connections = Slots(8);
    sim.shares = Arc::new(vec![lowered]);
    sim.observe();
    assert_eq!(sim.sent.len(), 1);
}

#[test]
fn refusing_endpoint_rests() {
    let mut sim = Sim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    let mut attempts = 0;
    for _ in 0..200 {
        if !sim.sent.is_empty() {
            attempts += 1;
            sim.end(AttemptOutcome::ConnectFailed);
        }
        sim.pass(50);
    }
    assert!((4..=8).contains(&attempts), "{attempts} attempts in 10 s");
    sim.pass(15_000);
    for _ in 0..5 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 1, "one request tries whether it is back");
    sim.answer();
    assert_eq!(sim.sent.len(), 5);
}

/// Warms one connection to each endpoint.
fn warm(endpoints: u16) -> Sim {
    let mut sim = Sim::new(endpoints, 4);
    for _ in 0..endpoints {
        sim.arrive(TEAM, true, 60_000);
    }
    for _ in 0..endpoints {
        sim.answer();
    }
    sim.pass(100);
    sim
}

#[test]
fn one_pays() {
    let mut sim = warm(1);
    for _ in 0..3 {
        sim.arrive(TEAM, true, 60_000);
    }
    let silent = sim.sent.iter().position(|order| !order.new_connection);
    let silent = sim
        .sent
        .remove(silent.expect("one goes on the warm connection"));
    sim.pass(2_000);
    sim.end_order(&silent, AttemptOutcome::TimedOut);
    assert!(sim.sent.iter().all(|order| order.new_connection));
    assert_eq!(sim.sent.len(), 3, "the endpoint itself is not at fault");
}

#[test]
fn all_silent_at_once() {
    let mut sim = warm(10);
    sim.arrive(TEAM, true, 60_000);
    sim.arrive(TEAM, true, 60_000);
    assert!(sim.sent.iter().all(|order| !order.new_connection));
    sim.pass(2_000);
    sim.end(AttemptOutcome::TimedOut);
    sim.end(AttemptOutcome::TimedOut);
    assert_eq!(
        sim.closed.len(),
        8,
        "no idle connection is trusted any more"
    );
    for _ in 0..10 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 12);
    assert!(sim.sent.iter().all(|order| order.new_connection));
}

#[test]
fn silent_endpoint_rests() {
    let mut sim = Sim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    sim.arrive(TEAM, true, 60_000);
    sim.end(AttemptOutcome::TimedOut);
    sim.end(AttemptOutcome::TimedOut);
    assert_eq!(
        sim.sent.len(),
        1,
        "one had been tried again before the second silence"
    );
    sim.arrive(TEAM, true, 60_000);
    assert_eq!(sim.sent.len(), 1);
}

#[test]
fn new_incarnation() {
    let mut sim = Sim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    sim.answer();
    sim.arrive(TEAM, true, 60_000);
    let mut restarted = share(0, 8);
    restarted.incarnation = Incarnation(2);
    sim.shares = Arc::new(vec![restarted]);
    sim.observe();
    sim.arrive(TEAM, true, 60_000);
    assert_eq!(sim.sent[1].instance.incarnation, Incarnation(2));
    assert!(
        sim.sent[1].new_connection,
        "no connection of the old process is used"
    );
}

#[rstest]
#[case("regatta", "maps", RefusalKind::NoSuchService("maps".parse().expect("an id")))]
#[case("nobody", "booking", RefusalKind::NoSuchTeam("nobody".parse().expect("an id")))]
fn not_declared(#[case] team: &str, #[case] service: &str, #[case] kind: RefusalKind) {
    let mut sim = Sim::new(1, 8);
    let request = marjoramknot::router::QueuedRequest {
        team: team.parse().expect("the team is an id"),
        service: service.parse().expect("the service is an id"),
        idempotent: true,
        deadline_ms: Millis::MAX,
    };
    let ticket = marjoramknot::router::Ticket(1);
    sim.handle(marjoramknot::router::RouterEvent::Arrived { ticket, request });
    assert_eq!(*sim.last_refusal(), kind);
}
