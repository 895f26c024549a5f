//! Selection of endpoints and connections by the router, and their handling after failures.

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
use router_sim::{RouterSim, instance, share};
use rstest::rstest;

const TEAM: &str = "regatta";

#[test]
fn waits_without_grant() {
    let mut sim = RouterSim::new(1, 8);
    sim.granted_until_ms = sim.now;
    sim.update_view();
    sim.arrive(TEAM, true, 1_000);
    sim.advance(900);
    assert_eq!(
        (sim.sent.len(), sim.refused.len()),
        (0, 0),
        "the request must be queued while there is no grant"
    );
    sim.advance(100);
    let (_, refusal) = &sim.refused[0];
    assert!(!refusal.may_have_run);
    let message = "the deadline passed before an endpoint was free, while this entry had no leave \
                   of the control group to start work";
    assert_eq!(refusal.kind.to_string(), message);
}

#[test]
fn renewed_grant_resumes() {
    let mut sim = RouterSim::new(1, 8);
    sim.granted_until_ms = sim.now;
    sim.update_view();
    sim.arrive(TEAM, true, 5_000);
    sim.granted_until_ms = Millis::MAX;
    sim.update_view();
    assert_eq!(
        sim.sent.len(),
        1,
        "the shares are still held, since no report gave them up"
    );
}

#[test]
fn expired_grant_gives_up_shares() {
    let mut sim = RouterSim::new(1, 8);
    assert_eq!(sim.router.report(sim.now).shares_version, 5);
    sim.granted_until_ms = sim.now;
    sim.update_view();
    let report = sim.router.report(sim.now);
    assert_eq!(
        (report.shares_version, report.endpoints[0].share.slots),
        (0, Slots(0))
    );
    // After that report the leader may have assigned the shares to other entries.
    sim.granted_until_ms = Millis::MAX;
    sim.update_view();
    sim.arrive(TEAM, true, 5_000);
    assert_eq!(sim.sent.len(), 0);
    sim.shares = Arc::new(sim.shares.to_vec());
    sim.update_view();
    assert_eq!(sim.sent.len(), 1);
    assert_eq!(sim.router.report(sim.now).shares_version, 5);
}

#[rstest]
#[case::share_gone(|sim: &mut RouterSim| sim.shares = Arc::default())]
#[case::leaving(|sim: &mut RouterSim| { let mut left = share(0, 8); left.leaving = true; sim.shares = Arc::new(vec![left]); })]
#[case::zone_out(|sim: &mut RouterSim| sim.in_force.zones.get_mut("Senec").expect("the zone exists").state = ZoneState::Out)]
#[case::rule_gone(|sim: &mut RouterSim| { sim.in_force.endpoint_rules.clear(); })]
#[case::name_refused(|sim: &mut RouterSim| { sim.in_force.refused_endpoints.insert(shares::endpoint_id(0)); })]
fn disabled_endpoint(#[case] change: fn(&mut RouterSim)) {
    let mut sim = RouterSim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    change(&mut sim);
    sim.update_view();
    sim.arrive(TEAM, true, 60_000);
    assert_eq!(
        sim.sent.len(),
        1,
        "a disabled endpoint must get no new work"
    );
    assert!(!sim.router.may_send(&instance(0), sim.now));
    sim.complete();
    assert_eq!(
        sim.router.requests(),
        1,
        "the request in progress must complete; the new one is queued"
    );
}

#[test]
fn slot_limit() {
    let mut sim = RouterSim::new(2, 3);
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
    sim.complete();
    assert_eq!(sim.sent.len(), 6);
}

#[test]
fn connection_limit() {
    let mut sim = RouterSim::new(1, 8);
    let mut small = share(0, 8);
    small.connections = Slots(2);
    sim.shares = Arc::new(vec![small]);
    sim.update_view();
    for _ in 0..4 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 2);
}

#[test]
fn closed_connection_still_counts() {
    let mut sim = RouterSim::new(1, 1);
    let mut small = share(0, 1);
    small.connections = Slots(1);
    sim.shares = Arc::new(vec![small]);
    sim.update_view();
    sim.arrive(TEAM, true, 60_000);
    sim.end_oldest(AttemptOutcome::Completed { reusable: false });
    sim.arrive(TEAM, true, 60_000);
    sim.advance(99);
    assert_eq!(
        sim.sent.len(),
        0,
        "a closed connection counts until the endpoint has seen it close"
    );
    sim.advance(1);
    assert_eq!(sim.sent.len(), 1);
}

#[rstest]
#[case(true, 0, false)]
#[case(true, IDLE_TIMEOUT_MS.0 - 1, false)]
#[case(true, IDLE_TIMEOUT_MS.0, true)]
#[case(false, 0, false)]
#[case(false, NON_IDEMPOTENT_IDLE_MAX_MS.0, true)]
fn reuse_by_idle_time(#[case] idempotent: bool, #[case] idle_ms: u64, #[case] opens_new: bool) {
    let mut sim = RouterSim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    sim.complete();
    sim.advance(idle_ms);
    sim.arrive(TEAM, idempotent, 60_000);
    assert_eq!(sim.sent[0].new_connection, opens_new);
}

#[test]
fn idle_connection_makes_room() {
    let mut sim = RouterSim::new(1, 1);
    let mut small = share(0, 1);
    small.connections = Slots(1);
    sim.shares = Arc::new(vec![small]);
    sim.update_view();
    sim.arrive(TEAM, true, 60_000);
    let first = sim.complete();
    sim.advance(NON_IDEMPOTENT_IDLE_MAX_MS.get());
    sim.arrive(TEAM, false, 60_000);
    assert_eq!(
        sim.closed,
        [first.connection],
        "the idle connection must be closed for a new one"
    );
    sim.advance(100);
    assert!(sim.sent[0].new_connection);
}

#[rstest]
#[case(AttemptOutcome::ConnectFailed)]
#[case(AttemptOutcome::NotSent)]
#[case(AttemptOutcome::Busy { reusable: true })]
fn retry_if_not_run(#[case] outcome: AttemptOutcome, #[values(true, false)] idempotent: bool) {
    let mut sim = RouterSim::new(2, 8);
    sim.arrive(TEAM, idempotent, 60_000);
    let first = sim.end_oldest(outcome);
    assert_ne!(
        sim.sent[0].instance, first.instance,
        "the next attempt must go to another endpoint"
    );
}

#[rstest]
#[case(AttemptOutcome::Failed)]
#[case(AttemptOutcome::TimedOut)]
fn retry_if_it_may_have_run(
    #[case] outcome: AttemptOutcome,
    #[values(true, false)] idempotent: bool,
) {
    let mut sim = RouterSim::new(2, 8);
    sim.arrive(TEAM, idempotent, 60_000);
    let first = sim.end_oldest(outcome);
    if idempotent {
        assert_ne!(sim.sent[0].instance, first.instance);
    } else {
        assert_eq!(sim.sent.len(), 0);
        assert!(sim.refused[0].1.may_have_run);
    }
    let report = sim.router.report(sim.now);
    let usage = report
        .endpoints
        .iter()
        .find(|used| used.endpoint == first.instance.endpoint);
    let usage = usage.expect("the endpoint is reported");
    assert_eq!((usage.slots, usage.abandoned.slots), (Slots(1), Slots(1)));
}

#[test]
fn abandoned_slot_is_deducted() {
    let mut sim = RouterSim::new(1, 1);
    sim.arrive(TEAM, false, 60_000);
    sim.end_oldest(AttemptOutcome::TimedOut);
    sim.arrive(TEAM, false, 60_000);
    assert_eq!(sim.sent.len(), 0, "the abandoned slot may still be in use");
    let mut lowered = share(0, 0);
    lowered.abandoned_acked.slots = Slots(1);
    lowered.abandoned_acked.connections = Slots(1);
    sim.shares = Arc::new(vec![lowered.clone()]);
    sim.update_view();
    assert_eq!(sim.sent.len(), 0);
    lowered.slots = Slots(1);
    lowered.connections = Slots(8);
    sim.shares = Arc::new(vec![lowered]);
    sim.update_view();
    assert_eq!(sim.sent.len(), 1);
}

#[test]
fn unreachable_endpoint_backs_off() {
    let mut sim = RouterSim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    let mut attempts = 0;
    for _ in 0..200 {
        if !sim.sent.is_empty() {
            attempts += 1;
            sim.end_oldest(AttemptOutcome::ConnectFailed);
        }
        sim.advance(50);
    }
    assert!((4..=8).contains(&attempts), "{attempts} attempts in 10 s");
    sim.advance(15_000);
    for _ in 0..5 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 1, "a single probe request must be sent");
    sim.complete();
    assert_eq!(sim.sent.len(), 5);
}

/// Creates a simulation with one idle connection to each endpoint.
fn with_idle_connections(endpoints: u16) -> RouterSim {
    let mut sim = RouterSim::new(endpoints, 4);
    for _ in 0..endpoints {
        sim.arrive(TEAM, true, 60_000);
    }
    for _ in 0..endpoints {
        sim.complete();
    }
    sim.advance(100);
    sim
}

#[test]
fn timeout_on_reused_connection() {
    let mut sim = with_idle_connections(1);
    for _ in 0..3 {
        sim.arrive(TEAM, true, 60_000);
    }
    let timed_out = sim.sent.iter().position(|order| !order.new_connection);
    let timed_out = sim
        .sent
        .remove(timed_out.expect("one request reuses the idle connection"));
    sim.advance(2_000);
    sim.end_attempt(&timed_out, AttemptOutcome::TimedOut);
    assert!(sim.sent.iter().all(|order| order.new_connection));
    assert_eq!(
        sim.sent.len(),
        3,
        "a dead connection must not back off the endpoint"
    );
}

#[test]
fn timeouts_on_two_endpoints() {
    let mut sim = with_idle_connections(10);
    sim.arrive(TEAM, true, 60_000);
    sim.arrive(TEAM, true, 60_000);
    assert!(sim.sent.iter().all(|order| !order.new_connection));
    sim.advance(2_000);
    sim.end_oldest(AttemptOutcome::TimedOut);
    sim.end_oldest(AttemptOutcome::TimedOut);
    assert_eq!(sim.closed.len(), 8, "all idle connections must be closed");
    for _ in 0..10 {
        sim.arrive(TEAM, true, 60_000);
    }
    assert_eq!(sim.sent.len(), 12);
    assert!(sim.sent.iter().all(|order| order.new_connection));
}

#[test]
fn unresponsive_endpoint_backs_off() {
    let mut sim = RouterSim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    sim.arrive(TEAM, true, 60_000);
    sim.end_oldest(AttemptOutcome::TimedOut);
    sim.end_oldest(AttemptOutcome::TimedOut);
    assert_eq!(
        sim.sent.len(),
        1,
        "only the retry of the first request was sent, before the second time-out"
    );
    sim.arrive(TEAM, true, 60_000);
    assert_eq!(sim.sent.len(), 1);
}

#[test]
fn new_incarnation() {
    let mut sim = RouterSim::new(1, 8);
    sim.arrive(TEAM, true, 60_000);
    sim.complete();
    sim.arrive(TEAM, true, 60_000);
    let mut restarted = share(0, 8);
    restarted.incarnation = Incarnation(2);
    sim.shares = Arc::new(vec![restarted]);
    sim.update_view();
    sim.arrive(TEAM, true, 60_000);
    assert_eq!(sim.sent[1].instance.incarnation, Incarnation(2));
    assert!(
        sim.sent[1].new_connection,
        "connections of the old process must not be reused"
    );
}

#[rstest]
#[case("regatta", "maps", RefusalKind::NoSuchService("maps".parse().expect("an id")))]
#[case("nobody", "booking", RefusalKind::NoSuchTeam("nobody".parse().expect("an id")))]
fn unknown_team_or_service(#[case] team: &str, #[case] service: &str, #[case] kind: RefusalKind) {
    let mut sim = RouterSim::new(1, 8);
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
