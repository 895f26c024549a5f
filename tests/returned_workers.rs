//! Workers that return under their old ids while answers to the reports of their former lives are on
//! their way, and are cut off soon after.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/planner_session.rs"]
mod planner_session;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use marjoramknot::units::{Millis, WallMs};
use marjoramknot::workload::{PlannerOptions, ReportedRun, RunEnd, Step, WorkerReport};
use rstest::rstest;

use planner_session::{PlannerSession, worker_id};
use workload_fixtures::{job, step};
use workload_simulation::Simulation;

const LEASE_MS: u64 = 10_000;
/// How long a span on a worker's clock may last, with the margin that the planner uses.
const fn on_slow_clock(span_ms: u64) -> u64 {
    span_ms + span_ms * 3 / 100
}
/// Answers are void that arrive this long after their report was sent.
const ANSWER_MS: u64 = on_slow_clock(1_000);
/// The start of the clock of a worker's second life.
const SECOND_CLOCK_MS: u64 = 7_000_000;

fn options() -> PlannerOptions {
    PlannerOptions::builder()
        .lease_ms(Millis(LEASE_MS))
        .gang_wait_ms(Millis(3_000))
        .stop_ms(Millis(900))
        .build()
}

/// Histories in which the answers to a worker's former life take effect in the next one, as far as
/// they are not too old. The simulation checks that no task runs twice at a time or after an
/// acknowledged end, and that none exceeds its attempts.
fn play(seed: u64, changes_leader: bool) {
    let mut simulation = Simulation::with_options(8, seed, options());
    simulation.answers_cross_lives = true;
    simulation.network_faults.delayed_percent = 50;
    simulation.run_duration_ms = 4_000;
    simulation.run(300);
    for _round in 0..15 {
        for _job in 0..2 {
            let tasks = u32::try_from(simulation.pick(4)).expect("in range") + 1;
            let gang = simulation.pick(3) == 0;
            let spec = Step {
                gang,
                ..step(tasks, 4)
            };
            simulation.submit("/batch/", "clubs", job(vec![spec]));
        }
        let delay_ms = 10 * simulation.pick(40) as u64;
        simulation.run(delay_ms);
        let at = simulation.pick(8);
        let other = simulation.pick(8);
        for at in [at, other] {
            simulation.workers[at].crash();
        }
        let dark_ms = 50 + 50 * simulation.pick(14) as u64;
        simulation.run(dark_ms);
        if changes_leader && simulation.pick(2) == 0 {
            simulation.change_leader();
        }
        let now_ms = simulation.now_ms;
        for at in [at, other] {
            if !simulation.workers[at].is_running {
                simulation.workers[at].restart(now_ms);
            }
        }
        let touch_ms = 50 * simulation.pick(50) as u64;
        simulation.run(touch_ms);
        simulation.workers[at].disconnected = true;
        let cut_ms = 1_000 * simulation.pick(6) as u64;
        simulation.run(cut_ms);
        simulation.workers[at].reconnect();
    }
    simulation.network_faults.delayed_percent = 0;
    simulation.run_until(240_000, "all jobs end", |simulation| {
        simulation.state.open_jobs().next().is_none()
    });
}

/// Guards against a task that runs twice after its worker has returned under its old id: the next life
/// starts what the former one was told to start, while the task is started elsewhere as lost.
#[rstest]
#[case::one_leader(false)]
#[case::several_leaders(true)]
fn answers_to_a_former_life_start_nothing_twice(#[case] changes_leader: bool) {
    for seed in 0..60 {
        play(seed, changes_leader);
    }
}

/// The same for many more histories, by hand and with optimizations:
/// `cargo test --release --test returned_workers many -- --ignored`.
#[rstest]
#[case::one_leader(false)]
#[case::several_leaders(true)]
#[ignore = "takes minutes"]
fn many_histories_start_nothing_twice(#[case] changes_leader: bool) {
    for seed in 1_000..6_000 {
        play(seed, changes_leader);
    }
}

/// How a worker is cut off that has returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cut {
    /// Its reports are lost, while answers still arrive.
    Reports,
    /// The same until an answer to the former life may have arrived, then both ways.
    ReportsThenBoth,
    /// One of the two, or neither until some reports have arrived.
    Any,
}

/// Histories in which a worker restarts while an order to start something is on its way to it, and
/// whose next life is not heard for about a lease.
fn play_unheard(seed: u64, cut: Cut, changes_leader: bool) {
    let mut simulation = Simulation::with_options(8, seed, options());
    simulation.answers_cross_lives = true;
    simulation.network_faults.delayed_percent = 60;
    simulation.run_duration_ms = 14_000;
    simulation.run(300);
    for _round in 0..6 {
        let spec = Step {
            gang: simulation.pick(4) == 0,
            ..step(2, 4)
        };
        simulation.submit("/batch/", "clubs", job(vec![spec]));
        let mut at = simulation.pick(8);
        for _tick in 0..60 {
            simulation.run(10);
            if let Some(awaiting) = simulation.awaits_start(50) {
                at = awaiting;
                break;
            }
        }
        let before_ms = 10 * simulation.pick(20) as u64;
        simulation.run(before_ms);
        simulation.workers[at].crash();
        let dark_ms = 10 + 10 * simulation.pick(20) as u64;
        simulation.run(dark_ms);
        let now_ms = simulation.now_ms;
        simulation.workers[at].restart(now_ms);
        let is_heard = cut == Cut::Any && simulation.pick(2) == 0;
        if is_heard {
            let touch_ms = 50 * simulation.pick(30) as u64;
            simulation.run(touch_ms);
        }
        simulation.workers[at].loses_reports = true;
        if changes_leader && simulation.pick(2) == 0 {
            simulation.change_leader();
        }
        let answers_ms = 50 * simulation.pick(20) as u64;
        simulation.run(answers_ms);
        let cuts_both = cut == Cut::Any && simulation.pick(2) == 0;
        simulation.workers[at].disconnected = cuts_both || cut == Cut::ReportsThenBoth;
        let cut_ms = 8_000 + 500 * simulation.pick(13) as u64;
        simulation.run(cut_ms);
        simulation.workers[at].reconnect();
    }
    simulation.network_faults.delayed_percent = 0;
    simulation.run_until(300_000, "all jobs end", |simulation| {
        simulation.state.open_jobs().next().is_none()
    });
}

/// Guards against a task that runs twice after a worker's next life has taken the lease of an answer
/// to the former one and is not heard: it counts that lease from the receipt of the answer.
#[rstest]
fn unheard_life_outlives_no_lease(
    #[values(Cut::Reports, Cut::ReportsThenBoth, Cut::Any)] cut: Cut,
    #[values(false, true)] changes_leader: bool,
) {
    for seed in 0..30 {
        play_unheard(seed, cut, changes_leader);
    }
}

/// By hand, like the one above.
#[rstest]
#[ignore = "takes minutes"]
fn many_unheard_lives_outlive_no_lease(
    #[values(Cut::Reports, Cut::ReportsThenBoth, Cut::Any)] cut: Cut,
    #[values(false, true)] changes_leader: bool,
) {
    for seed in 1_000..3_000 {
        play_unheard(seed, cut, changes_leader);
    }
}

/// What else may be odd about a worker that returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Oddity {
    /// It restarts up to three times at once.
    Restarts,
    /// Its clock jumps ahead after its first reports, or is missing from some.
    Clock,
    /// The wall clock of its machine was set back, so it seems to be an earlier life.
    EarlierBirth,
    /// The deregistration of the former life is late, and the next one drains as well.
    LateDeregistration,
    /// Any of these.
    Any,
}

/// Histories of short and long tasks, on workers that restart while orders are on their way, are odd in
/// one way or several, and are cut off in one direction or both.
fn play_odd(seed: u64, oddity: Oddity) {
    const KINDS: [Oddity; 4] = [
        Oddity::Restarts,
        Oddity::Clock,
        Oddity::EarlierBirth,
        Oddity::LateDeregistration,
    ];
    let mut simulation = Simulation::with_options(8, seed, options());
    simulation.answers_cross_lives = true;
    simulation.lists_refusals = seed.is_multiple_of(2);
    simulation.network_faults.delayed_percent = 50;
    simulation.network_faults.refused_percent = if seed.is_multiple_of(3) { 10 } else { 0 };
    simulation.run_duration_ms = [200, 600, 4_000, 14_000][simulation.pick(4)];
    simulation.duration_spread_ms = 300;
    simulation.run(300);
    for _round in 0..10 {
        let kind = match oddity {
            Oddity::Any => KINDS[simulation.pick(KINDS.len())],
            other => other,
        };
        for _job in 0..2 {
            let tasks = u32::try_from(simulation.pick(6)).expect("in range") + 1;
            let spec = Step {
                gang: simulation.pick(4) == 0,
                ..step(tasks, [2, 4][simulation.pick(2)])
            };
            simulation.submit("/batch/", "clubs", job(vec![spec]));
        }
        let mut at = simulation.pick(8);
        for _tick in 0..60 {
            simulation.run(10);
            if let Some(awaiting) = simulation.awaits_start(50) {
                at = awaiting;
                break;
            }
        }
        if kind == Oddity::LateDeregistration {
            simulation.workers[at].draining = true;
            let drain_ms = 50 * simulation.pick(20) as u64;
            simulation.run(drain_ms);
        }
        let restarts = if kind == Oddity::Restarts { 3 } else { 1 };
        for _restart in 0..restarts {
            let before_ms = 10 * simulation.pick(20) as u64;
            simulation.run(before_ms);
            if simulation.workers[at].is_running {
                simulation.workers[at].crash();
            }
            let dark_ms = 10 + 10 * simulation.pick(20) as u64;
            simulation.run(dark_ms);
            let now_ms = simulation.now_ms;
            if kind == Oddity::EarlierBirth {
                simulation.workers[at].restart_with_earlier_birth(now_ms);
            } else {
                simulation.workers[at].restart(now_ms);
            }
            if kind == Oddity::Clock {
                simulation.workers[at].tells_clock = simulation.pick(2) == 0;
            }
        }
        let touch_ms = 10 * simulation.pick(60) as u64;
        simulation.run(touch_ms);
        match kind {
            Oddity::Clock => {
                simulation.workers[at].tells_clock = simulation.pick(3) > 0;
                simulation.workers[at].clock_jump_ms += 1_000 * simulation.pick(3) as u64;
            }
            Oddity::LateDeregistration => {
                let work_ms = 100 * simulation.pick(30) as u64;
                simulation.run(work_ms);
                simulation.workers[at].draining = simulation.pick(2) == 0;
                let drain_ms = 50 * simulation.pick(20) as u64;
                simulation.run(drain_ms);
                simulation.deregister(at);
            }
            _ => {}
        }
        if simulation.pick(3) == 0 {
            simulation.change_leader();
        }
        let cut_ms = 500 * simulation.pick(24) as u64;
        match simulation.pick(3) {
            0 => simulation.workers[at].disconnected = true,
            1 => simulation.workers[at].loses_reports = true,
            _ => {}
        }
        simulation.run(cut_ms);
        simulation.workers[at].reconnect();
        simulation.workers[at].draining = false;
        simulation.workers[at].tells_clock = true;
    }
    simulation.network_faults.delayed_percent = 0;
    simulation.network_faults.refused_percent = 0;
    simulation.run_until(400_000, "all jobs end", |simulation| {
        simulation.state.open_jobs().next().is_none()
    });
}

/// Guards against tasks that run twice, or after an acknowledged end, on workers whose next lives are
/// hard to tell from the former ones.
#[rstest]
fn odd_returns_start_nothing_twice(
    #[values(
        Oddity::Restarts,
        Oddity::Clock,
        Oddity::EarlierBirth,
        Oddity::LateDeregistration,
        Oddity::Any
    )]
    oddity: Oddity,
) {
    for seed in 0..40 {
        play_odd(seed, oddity);
    }
}

/// Guards against a late deregistration that ends the runs of a returned worker with a new leader, which
/// knows of no former life.
#[test]
fn late_deregistration_with_a_new_leader_starts_nothing_twice() {
    play_odd(1_005, Oddity::Any);
}

/// By hand, like the ones above.
#[rstest]
#[ignore = "takes minutes"]
fn many_odd_returns_start_nothing_twice(
    #[values(
        Oddity::Restarts,
        Oddity::Clock,
        Oddity::EarlierBirth,
        Oddity::LateDeregistration,
        Oddity::Any
    )]
    oddity: Oddity,
) {
    for seed in 1_000..3_000 {
        play_odd(seed, oddity);
    }
}

/// One task that was ordered to start on a worker, which then restarts.
struct Returned {
    session: PlannerSession,
    worker: u32,
}

impl Returned {
    fn new() -> Self {
        Self::with_options(options())
    }

    fn with_options(options: PlannerOptions) -> Self {
        let mut session = PlannerSession::new(options, job(vec![step(1, 8)]));
        session.all_idle(0..3, 10);
        session.plan(20);
        let is_placed = |worker: &u32| !session.placed_on(*worker).is_empty();
        let worker = (0..3).find(is_placed).expect("the task is placed");
        Self { session, worker }
    }

    /// A report of the worker's second life, this long after the first one of that life.
    fn second_life(&mut self, age_ms: u64) -> WorkerReport {
        let report = self.session.next_report_of_life(self.worker, 2);
        WorkerReport {
            clock_ms: Some(Millis(SECOND_CLOCK_MS + age_ms)),
            ..report
        }
    }

    fn listed(&self) -> Vec<ReportedRun> {
        self.session.listed_runs(self.worker, 0)
    }

    fn is_kept(&self) -> bool {
        !self.session.placed_on(self.worker).is_empty()
    }
}

/// The start was ordered in an answer that may still reach the second life: the run is kept until a
/// report was sent after that. The time of receipt proves nothing, as a report may be late.
#[rstest]
#[case::inside(ANSWER_MS - 1, true)]
#[case::after(ANSWER_MS, false)]
fn ordered_run_is_kept_until_answers_are_void(#[case] age_ms: u64, #[case] is_kept: bool) {
    let mut returned = Returned::new();
    assert_eq!(returned.session.idle(returned.worker, 200).starts.len(), 1);
    let first = returned.second_life(0);
    returned.session.exchange(&first, 800);
    assert!(returned.is_kept());
    let later = returned.second_life(age_ms);
    returned.session.exchange(&later, 5_000);
    assert_eq!(returned.is_kept(), is_kept);
}

/// A clock that jumps, or that reports lack, does not make the answers void.
#[rstest]
#[case::jumps_ahead(Some(0), Some(60_000))]
#[case::is_missing_first(None, Some(0))]
#[case::is_missing_later(Some(0), None)]
#[case::is_missing(None, None)]
#[case::jumps_back(Some(60_000), Some(0))]
fn odd_clock_does_not_void_answers(#[case] first_ms: Option<u64>, #[case] later_ms: Option<u64>) {
    let mut returned = Returned::new();
    returned.session.idle(returned.worker, 200);
    let clock = |age_ms: u64| Millis(SECOND_CLOCK_MS + age_ms);
    let mut first = returned.second_life(0);
    first.clock_ms = first_ms.map(clock);
    returned.session.exchange(&first, 300);
    let mut later = returned.second_life(0);
    later.clock_ms = later_ms.map(clock);
    returned.session.exchange(&later, 200 + ANSWER_MS - 1);
    assert!(returned.is_kept());
}

/// Without a clock no report proves that it was sent after the answers were void: the lease decides.
#[test]
fn run_on_a_worker_without_a_clock_waits_for_the_lease() {
    let mut returned = Returned::new();
    returned.session.idle(returned.worker, 200);
    let lease_end_ms = 200 + on_slow_clock(LEASE_MS) + 20 + ANSWER_MS;
    let mut at_ms = 300;
    while at_ms <= lease_end_ms {
        let mut report = returned.second_life(0);
        report.clock_ms = None;
        returned.session.exchange(&report, at_ms);
        assert!(returned.is_kept(), "given up at {at_ms} ms");
        at_ms += 200;
    }
    let report = returned.second_life(0);
    returned.session.exchange(&report, lease_end_ms + 1);
    assert!(!returned.is_kept());
}

/// The reports of both lives were held up and arrive together, so that the order has just been given:
/// the clock of the second life alone does not show that its answer is void.
#[test]
fn ordered_run_is_kept_while_its_order_is_young() {
    let mut returned = Returned::new();
    assert_eq!(
        returned.session.idle(returned.worker, 5_000).starts.len(),
        1
    );
    let first = returned.second_life(0);
    returned.session.exchange(&first, 5_010);
    let later = returned.second_life(ANSWER_MS);
    returned.session.exchange(&later, 5_020);
    assert!(returned.is_kept());
}

/// A run that the former life had listed is not ordered again, so it is lost with that life.
#[test]
fn listed_run_is_lost_at_once() {
    let mut returned = Returned::new();
    returned.session.idle(returned.worker, 200);
    returned.session.running(returned.worker, 400, 1);
    let first = returned.second_life(0);
    returned.session.exchange(&first, 800);
    assert!(!returned.is_kept());
}

/// The second life has started the run: it is told to stop it, and the task is placed elsewhere only
/// once it has ended there.
#[rstest]
#[case::first_report(0)]
#[case::later_report(300)]
fn started_run_is_kept_until_its_end(#[case] age_ms: u64) {
    let mut returned = Returned::new();
    returned.session.idle(returned.worker, 200);
    if age_ms > 0 {
        let first = returned.second_life(0);
        returned.session.exchange(&first, 800);
    }
    let mut report = returned.second_life(age_ms);
    report.running = returned.listed();
    let orders = returned.session.exchange(&report, 1_000);
    assert_eq!(orders.stops.len(), 1);
    // Workers list a run that they are stopping in neither list.
    let stopping = returned.second_life(ANSWER_MS + 500);
    returned.session.exchange(&stopping, 2_500);
    returned.session.plan(2_510);
    assert!(returned.is_kept());
    let mut ended = returned.second_life(ANSWER_MS + 900);
    ended.ended = returned
        .session
        .listed_ends(returned.worker, RunEnd::Stopped, "");
    returned.session.exchange(&ended, 2_900);
    assert!(!returned.is_kept());
}

/// The second life is cut off after its first report: the run may hold the lease of an answer to the
/// former life, counted from its receipt.
#[test]
fn silent_life_is_given_up_with_its_lease() {
    let mut returned = Returned::new();
    returned.session.idle(returned.worker, 200);
    let first = returned.second_life(0);
    returned.session.exchange(&first, 800);
    let of_former_life = 200 + on_slow_clock(LEASE_MS) + 20 + ANSWER_MS;
    let own = 800 + on_slow_clock(LEASE_MS) + 20;
    let lease_end_ms = of_former_life.max(own);
    assert_eq!(returned.session.lost(returned.worker, lease_end_ms), None);
    let lost = returned.session.lost(returned.worker, lease_end_ms + 1);
    assert_eq!(lost, Some(RunEnd::Lapsed));
}

/// The next life may take a start order and its lease as late as answers are valid, by a slow clock,
/// and not be heard by the present leader or a later one.
#[rstest]
fn lease_of_a_start_order_covers_the_next_life(
    #[values(500, 1_000, 1_500, 2_000, 3_000, 10_000)] lease_ms: u64,
    #[values(false, true)] changes_leader: bool,
) {
    let options = PlannerOptions {
        lease_ms: Millis(lease_ms),
        ..options()
    };
    let mut returned = Returned::with_options(options);
    let orders = returned.session.idle(returned.worker, 200);
    assert_eq!(orders.starts.len(), 1);
    let granted_ms = orders.lease_ms.expect("a lease").get();
    assert!(granted_ms >= lease_ms / 2);
    assert!(orders.report_after_ms.get() <= granted_ms / 2);
    if changes_leader {
        returned.session.change_leader(200);
    }
    let over_ms = 200 + 1_020 + granted_ms * 102 / 100;
    assert_eq!(returned.session.lost(returned.worker, over_ms), None);
}

/// A new leader does not know what the earlier one ordered.
#[rstest]
#[case::inside(ANSWER_MS - 1, true)]
#[case::after(ANSWER_MS, false)]
fn new_leader_keeps_runs_of_a_former_life(#[case] age_ms: u64, #[case] is_kept: bool) {
    let mut returned = Returned::new();
    returned.session.idle(returned.worker, 200);
    returned.session.change_leader(300);
    let first = returned.second_life(0);
    returned.session.exchange(&first, 800);
    assert!(returned.is_kept());
    let later = returned.second_life(age_ms);
    returned.session.exchange(&later, 800 + age_ms);
    assert_eq!(returned.is_kept(), is_kept);
}

/// A late acknowledgement would make the second life forget ends that nobody has heard of, so it gets
/// nothing to run until then.
#[test]
fn returned_worker_gets_no_work_while_answers_are_on_their_way() {
    let mut session = PlannerSession::new(options(), job(vec![step(1, 8)]));
    let mut first_life = session.next_report(0);
    first_life.draining = true;
    session.exchange(&first_life, 10);
    let report = |session: &mut PlannerSession, age_ms| {
        let mut report = session.next_report_of_life(0, 2);
        report.clock_ms = Some(Millis(SECOND_CLOCK_MS + age_ms));
        session.exchange(&report, 100 + age_ms);
        session.plan(110 + age_ms);
        session.placed_on(0).len()
    };
    assert_eq!(report(&mut session, 0), 0);
    assert_eq!(report(&mut session, 500), 0);
    assert_eq!(report(&mut session, ANSWER_MS), 1);
    assert_eq!(session.state.allocated_on(&worker_id(0)).accelerators, 8);
}

/// The same where the leader changes meanwhile: an answer of the earlier one may acknowledge ends of the
/// first life.
#[rstest]
#[case::inside(400, 0)]
#[case::after(ANSWER_MS, 1)]
fn new_leader_gives_a_returned_worker_no_work_while_answers_are_on_their_way(
    #[case] age_ms: u64,
    #[case] placed: usize,
) {
    let mut session = PlannerSession::new(options(), job(vec![step(1, 8)]));
    let mut first_life = session.next_report(0);
    first_life.draining = true;
    session.exchange(&first_life, 10);
    session.change_leader(20);
    for age_ms in [0, age_ms] {
        let mut report = session.next_report_of_life(0, 2);
        report.clock_ms = Some(Millis(SECOND_CLOCK_MS + age_ms));
        session.exchange(&report, 100 + age_ms);
        session.plan(110 + age_ms);
    }
    assert_eq!(session.placed_on(0).len(), placed);
}

/// The lease counts from the sending of the report, which may have been held for an order.
#[rstest]
fn lease_of_a_held_start_order_is_not_over(#[values(700, 1_000, 1_200, 2_000)] lease_ms: u64) {
    const HOLD_MS: u64 = 600;
    let options = PlannerOptions {
        lease_ms: Millis(lease_ms),
        ..options()
    };
    let mut returned = Returned::with_options(options);
    let session = &mut returned.session;
    let report = session.next_report(returned.worker);
    let (received, held) = (Millis(200), Millis(HOLD_MS));
    session
        .planner
        .handle_report(&report, &session.state, received);
    let orders = session
        .planner
        .orders_for_report(&report, received, held, &session.state);
    assert_eq!(orders.starts.len(), 1);
    let granted_ms = orders.lease_ms.expect("a lease").get();
    assert!(granted_ms > HOLD_MS, "{granted_ms} ms");
}

/// The former life's deregistration is held up until the next life drains, which has 2 s left and is then
/// cut off under a lease.
#[rstest]
fn late_deregistration_ends_nothing_of_a_draining_life(
    #[values(false, true)] changes_leader: bool,
) {
    let mut session = PlannerSession::new(options(), job(vec![step(1, 8)]));
    let mut first_life = session.next_report(0);
    first_life.draining = true;
    session.exchange(&first_life, 10);
    let report = |session: &mut PlannerSession, now_ms, draining| {
        let mut report = session.next_report_of_life(0, 2);
        report.clock_ms = Some(Millis(SECOND_CLOCK_MS + now_ms));
        report.draining = draining;
        report.remaining_ms = draining.then_some(Millis(2_000));
        report.running = session.listed_runs(0, 1);
        session.exchange(&report, now_ms);
        session.plan(now_ms + 5);
    };
    report(&mut session, 2_000, false);
    report(&mut session, 2_100, false);
    assert_eq!(session.placed_on(0).len(), 1);
    report(&mut session, 2_200, true);
    let left = session.planner.worker_left(&worker_id(0), Millis(2_250));
    if changes_leader {
        if let Some(left) = left {
            session.state.apply(&left, WallMs(1_002_250));
        }
        session.change_leader(2_300);
        report(&mut session, 2_400, true);
    }
    assert_eq!(session.lost(0, 2_200 + LEASE_MS - 1_000), None);
}
