//! The planner's orders and its handling of lost runs, one failure per test.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;

use assert_matches::assert_matches;
use marjoramknot::units::{Millis, Sequence, Term, WallMs};
use marjoramknot::workload::{
    Phase, Placement, Planner, ReportedEnd, ReportedRun, RunEnd, RunKey, Step, TaskName,
    Transition, WorkerIncarnation, WorkerOrders, WorkerReport, Workload, WorkloadCommand,
    WorkloadReply,
};
use rstest::rstest;

use planner_fixtures::options;
use workload_fixtures::{declaration, job, resources, step};

/// The longest duration of a lease by the leader's clock, with clock margin and slack.
const LEASE_MAX_MS: u64 = 4_000 * 103 / 100 + 20;

/// A state with one accepted job of a single step, and a new planner.
fn one_job(tasks: Step) -> (Workload, Planner) {
    let mut state = Workload::default();
    let submit = WorkloadCommand::Submit {
        id: name(0).job,
        host: "ponds.example".into(),
        path: "/batch/job1".into(),
        team: Some("clubs".parse().expect("a valid id")),
        spec: Arc::new(job(vec![tasks])),
    };
    for command in [WorkloadCommand::Declare(Arc::new(declaration())), submit] {
        assert_eq!(
            state.apply(&command, WallMs(1_000_000)),
            WorkloadReply::Done
        );
    }
    (state, Planner::new(options(), Term(3), Millis::ZERO))
}

fn report(worker: u32, sequence: u64) -> WorkerReport {
    WorkerReport {
        worker: format!("w{worker}").parse().expect("a valid id"),
        incarnation: WorkerIncarnation(1),
        sequence: Sequence(sequence),
        service: "ponds".parse().expect("a valid id"),
        zone: "senec".parse().expect("a valid id"),
        rack: Some("r1".into()),
        labels: vec!["a".into(), "r1".into()],
        capacity: resources(8, 8),
        clock_ms: None,
        draining: false,
        remaining_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

fn running(index: u32, run: u32) -> ReportedRun {
    ReportedRun {
        task: name(index),
        run,
        checkpoint: "".into(),
        percent: 10,
        reading: None,
    }
}

fn ended(number: u64, index: u32, run: u32, end: RunEnd) -> ReportedEnd {
    ReportedEnd {
        number,
        task: name(index),
        run,
        end,
        checkpoint: "".into(),
    }
}

fn name(index: u32) -> TaskName {
    TaskName {
        job: "job1".parse().expect("a valid id"),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn commit(state: &mut Workload, transitions: Vec<Transition>) {
    state.apply(&WorkloadCommand::Transitions(transitions), WallMs(5_000));
}

/// Runs a planning pass and commits its transitions.
fn plan(planner: &mut Planner, state: &mut Workload, now: u64) {
    let transitions = planner.plan(state, Millis(now), WallMs(1_000_000 + now));
    commit(state, transitions);
}

/// Handles a report, commits its transitions and returns the orders.
fn exchange_report(
    planner: &mut Planner,
    state: &mut Workload,
    report: &WorkerReport,
    now: u64,
) -> WorkerOrders {
    let reported = planner.handle_report(report, state, Millis(now));
    if !reported.is_current {
        return WorkerOrders::default();
    }
    commit(state, reported.transitions);
    planner.orders_for_report(report, Millis(now), Millis::ZERO, state)
}

/// A job whose tasks are placed on the first worker, with their start orders sent.
fn started_job(tasks: Step) -> (Workload, Planner) {
    let (mut state, mut planner) = one_job(tasks);
    exchange_report(&mut planner, &mut state, &report(1, 1), 10);
    plan(&mut planner, &mut state, 20);
    let orders = exchange_report(&mut planner, &mut state, &report(1, 2), 30);
    assert!(!orders.starts.is_empty());
    (state, planner)
}

#[test]
fn start_follows_commit() {
    let (mut state, mut planner) = one_job(step(2, 1));
    exchange_report(&mut planner, &mut state, &report(1, 1), 10);
    let decided = planner.plan(&state, Millis(20), WallMs(1_000_020));
    assert_matches!( &*decided, [Transition::Placed { run: 1, places, .. }] if places.len() == 2);
    let orders = exchange_report(&mut planner, &mut state, &report(1, 2), 30);
    assert_eq!(orders.starts, []);
    commit(&mut state, decided);
    let orders = exchange_report(&mut planner, &mut state, &report(1, 3), 40);
    assert_eq!(orders.starts.len(), 2);
    assert_eq!(orders.term, Term(3));
    // The worker's next life may take this answer up to 1 s after the report was sent.
    assert_eq!(orders.lease_ms, Some(Millis(3_000)));
    let mut started = report(1, 4);
    started.running = vec![running(0, 1), running(1, 1)];
    let orders = exchange_report(&mut planner, &mut state, &started, 50);
    assert_eq!(orders.starts, []);
    assert_eq!(orders.lease_ms, Some(Millis(4_000)));
}

#[test]
fn lost_start_order_is_repeated() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let again = exchange_report(&mut planner, &mut state, &report(1, 3), 300);
    assert_eq!(again.starts.len(), 1);
    assert_eq!(again.starts[0].run, 1);
    let mut next_report = report(1, 4);
    next_report.running.push(running(0, 1));
    let orders = exchange_report(&mut planner, &mut state, &next_report, 600);
    assert_eq!(orders.starts, []);
    assert_eq!(orders.stops, []);
}

#[test]
fn late_report_is_ignored() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let late = exchange_report(&mut planner, &mut state, &report(1, 2), 700);
    assert_eq!(late, WorkerOrders::default());
}

#[test]
fn report_of_an_earlier_incarnation_is_ignored() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut restarted = report(1, 1);
    restarted.incarnation = WorkerIncarnation(2);
    exchange_report(&mut planner, &mut state, &restarted, 500);
    let old = exchange_report(&mut planner, &mut state, &report(1, 9), 600);
    assert_eq!(old, WorkerOrders::default());
}

/// A run that the former life has listed is not ordered again, so the next life can't have it. The
/// worker gets work again once no answer to its former life can arrive any more.
#[test]
fn new_incarnation_frees_runs_at_once() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut listed = report(1, 10);
    listed.running = vec![running(0, 1)];
    exchange_report(&mut planner, &mut state, &listed, 490);
    let mut restarted = report(1, 1);
    restarted.incarnation = WorkerIncarnation(2);
    let orders = exchange_report(&mut planner, &mut state, &restarted, 500);
    assert_eq!(orders.starts, []);
    assert_eq!(state.workers_with_runs().count(), 0);
    let void_ms = 490 + 1_030;
    restarted.sequence = Sequence(2);
    exchange_report(&mut planner, &mut state, &restarted, void_ms - 20);
    plan(&mut planner, &mut state, void_ms - 1);
    assert_eq!(state.workers_with_runs().count(), 0);
    plan(&mut planner, &mut state, void_ms);
    restarted.sequence = Sequence(3);
    let orders = exchange_report(&mut planner, &mut state, &restarted, void_ms + 10);
    assert_eq!(orders.starts[0].run, 2);
}

#[rstest]
#[case::inside(LEASE_MAX_MS, 0)]
#[case::after(LEASE_MAX_MS + 1, 1)]
fn silent_worker(#[case] after_ms: u64, #[case] lost: usize) {
    let (state, mut planner) = started_job(step(1, 1));
    // The last answered report was received at 30 ms.
    let lapsed = planner.expire_leases(&state, Millis(30 + after_ms));
    assert_eq!(lapsed.len(), lost);
}

#[rstest]
#[case::inside(LEASE_MAX_MS, 0)]
#[case::after(LEASE_MAX_MS + 1, 1)]
fn worker_unknown_to_a_new_leader(#[case] after_ms: u64, #[case] lost: usize) {
    let (state, _old) = started_job(step(1, 1));
    let mut planner = Planner::new(options(), Term(4), Millis(10_000));
    let lapsed = planner.expire_leases(&state, Millis(10_000 + after_ms));
    assert_eq!(lapsed.len(), lost);
}

#[test]
fn end_listed_twice_counts_once() {
    let (mut state, mut planner) = started_job(step(2, 1));
    let mut next_report = report(1, 3);
    next_report.running.push(running(1, 1));
    next_report.ended.push(ended(1, 0, 1, RunEnd::Failed));
    let orders = exchange_report(&mut planner, &mut state, &next_report, 300);
    assert_eq!(orders.acknowledged, 1);
    next_report.sequence = Sequence(4);
    exchange_report(&mut planner, &mut state, &next_report, 400);
    let key = state.task_key(&name(0)).expect("the task is known");
    let failures = state.task(key).map(|task| task.failed_runs.len());
    assert_eq!(failures, Some(1));
}

/// A run that is being stopped is listed neither as running nor as ended. The planner used to take
/// that for its end, and the task ran twice.
#[test]
fn stopping_run_is_kept_until_its_end() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut next_report = report(1, 3);
    next_report.running.push(running(0, 1));
    exchange_report(&mut planner, &mut state, &next_report, 300);
    let number = state.job_number(&name(0).job).expect("the job is known");
    state.apply(&WorkloadCommand::Cancel { job: number }, WallMs(6_000));
    next_report.sequence = Sequence(4);
    let orders = exchange_report(&mut planner, &mut state, &next_report, 500);
    assert_eq!(orders.stops, [(name(0), 1)]);
    exchange_report(&mut planner, &mut state, &report(1, 5), 700);
    assert_eq!(planner.withdraw_unstarted(&state), []);
    let mut over = report(1, 6);
    over.ended.push(ended(1, 0, 1, RunEnd::Stopped));
    exchange_report(&mut planner, &mut state, &over, 900);
    assert_eq!(state.workers_with_runs().count(), 0);
}

/// Guards against a task that runs twice after a planned hand-over: a run that its worker was
/// stopping for the earlier leader was started elsewhere 0.5 s later, or as soon as the worker had
/// refused its start.
#[rstest]
#[case::unlisted(None)]
#[case::refused(Some(RunEnd::Refused))]
fn inherited_run_is_kept_until_its_stop_ends(#[case] listed: Option<RunEnd>) {
    let (mut state, _old) = started_job(step(1, 1));
    let mut planner = Planner::new(options(), Term(4), Millis(100));
    for sequence in 3..=14 {
        let mut stopping = report(1, sequence);
        let listed = listed.filter(|_end| sequence >= 4);
        stopping
            .ended
            .extend(listed.map(|end| ended(sequence, 0, 1, end)));
        let now = 100 * (sequence - 2);
        exchange_report(&mut planner, &mut state, &stopping, now);
        assert_eq!(planner.withdraw_unstarted(&state), [], "at {now} ms");
        assert_eq!(state.workers_with_runs().count(), 1, "at {now} ms");
    }
    // A stop takes up to 300 ms, and the order for it may have been on its way for a second.
    exchange_report(&mut planner, &mut state, &report(1, 15), 1_500);
    assert_eq!(planner.withdraw_unstarted(&state).len(), 1);
}

/// The listed end of a stop that an earlier leader ordered frees the run at once.
#[test]
fn listed_stop_frees_an_inherited_run() {
    let (mut state, _old) = started_job(step(1, 1));
    let mut planner = Planner::new(options(), Term(4), Millis(100));
    exchange_report(&mut planner, &mut state, &report(1, 3), 200);
    let mut over = report(1, 4);
    over.ended.push(ended(1, 0, 1, RunEnd::Stopped));
    exchange_report(&mut planner, &mut state, &over, 300);
    assert_eq!(state.workers_with_runs().count(), 0);
}

/// No start order may be sent while the withdrawal of the run is being committed. It once was, and
/// the task ran twice.
#[test]
fn withdrawn_run_is_not_started() {
    let (mut state, mut planner) = one_job(step(1, 1));
    exchange_report(&mut planner, &mut state, &report(1, 1), 10);
    plan(&mut planner, &mut state, 20);
    let zone = "senec".parse().expect("a valid id");
    state.apply(
        &WorkloadCommand::SetZone { zone, closed: true },
        WallMs(6_000),
    );
    let withdrawn = planner.withdraw_unstarted(&state);
    assert_matches!(
        &*withdrawn,
        [Transition::Ended {
            end: RunEnd::Withdrawn,
            ..
        }]
    );
    let zone = "senec".parse().expect("a valid id");
    state.apply(
        &WorkloadCommand::SetZone {
            zone,
            closed: false,
        },
        WallMs(6_000),
    );
    let orders = exchange_report(&mut planner, &mut state, &report(1, 2), 30);
    assert_eq!(orders.starts, []);
}

/// After a stop order a worker refuses the run for good, so that it must be withdrawn and placed
/// anew. The planner used to repeat the start order without effect.
#[test]
fn start_is_not_repeated_after_a_stop() {
    let (mut state, _old) = started_job(step(1, 1));
    let mut planner = Planner::new(options(), Term(4), Millis(100));
    let mut draining = report(1, 3);
    draining.draining = true;
    let orders = exchange_report(&mut planner, &mut state, &draining, 200);
    assert_eq!(orders.stops, [(name(0), 1)]);
    let orders = exchange_report(&mut planner, &mut state, &report(1, 4), 400);
    assert_eq!(orders.starts, []);
    assert_eq!(planner.withdraw_unstarted(&state), []);
    exchange_report(&mut planner, &mut state, &report(1, 5), 2_000);
    assert_eq!(planner.withdraw_unstarted(&state).len(), 1);
}

/// A disconnected worker reports success after its runs were given up.
#[test]
fn late_success_counts() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let lapsed = planner.expire_leases(&state, Millis(9_000));
    commit(&mut state, lapsed);
    let mut back = report(1, 3);
    back.ended.push(ended(1, 0, 1, RunEnd::Done));
    exchange_report(&mut planner, &mut state, &back, 9_100);
    let number = state.job_number(&name(0).job).expect("the job is known");
    assert_eq!(
        state.job(number).map(|job| job.phase),
        Some(Phase::Completed)
    );
}

#[rstest]
#[case::draining(true, false)]
#[case::closed_zone(false, true)]
fn unavailable_worker_gets_no_start(#[case] draining: bool, #[case] closed: bool) {
    let (mut state, mut planner) = one_job(step(1, 1));
    exchange_report(&mut planner, &mut state, &report(1, 1), 10);
    plan(&mut planner, &mut state, 20);
    let zone = "senec".parse().expect("a valid id");
    state.apply(&WorkloadCommand::SetZone { zone, closed }, WallMs(6_000));
    let mut next = report(1, 2);
    next.draining = draining;
    let orders = exchange_report(&mut planner, &mut state, &next, 30);
    assert_eq!(orders.starts, []);
}

fn gang(tasks: u32, accelerators: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators)
    }
}

/// A gang on two workers of which only the first received its start order.
fn partially_started_gang() -> (Workload, Planner) {
    let (mut state, mut planner) = one_job(gang(2, 8));
    exchange_report(&mut planner, &mut state, &report(1, 1), 10);
    exchange_report(&mut planner, &mut state, &report(2, 1), 10);
    plan(&mut planner, &mut state, 20);
    let orders = exchange_report(&mut planner, &mut state, &report(1, 2), 30);
    assert_eq!(orders.starts.len(), 1);
    (state, planner)
}

/// The other members used to wait until their workers' timeout.
#[test]
fn gang_with_a_withdrawn_member_is_stopped() {
    let (mut state, mut planner) = partially_started_gang();
    let mut draining = report(2, 2);
    draining.draining = true;
    exchange_report(&mut planner, &mut state, &draining, 40);
    exchange_report(&mut planner, &mut state, &second_draining_report(), 60);
    let withdrawn = planner.withdraw_unstarted(&state);
    commit(&mut state, withdrawn);
    let mut first = report(1, 3);
    let member = state
        .runs_placed_on(&first.worker)
        .next()
        .expect("a member is placed")
        .0;
    first.running.push(running(member.task.index, 1));
    let orders = exchange_report(&mut planner, &mut state, &first, 300);
    assert_eq!(orders.stops.len(), 1);
}

fn second_draining_report() -> WorkerReport {
    let mut draining = report(2, 3);
    draining.draining = true;
    draining
}

#[test]
fn gang_with_a_silent_member_is_stopped() {
    let (mut state, mut planner) = partially_started_gang();
    let mut first = report(1, 3);
    let member = state
        .runs_placed_on(&first.worker)
        .next()
        .expect("a member is placed")
        .0;
    first.running.push(running(member.task.index, 1));
    let orders = exchange_report(&mut planner, &mut state, &first, 1_000);
    assert_eq!(orders.stops, []);
    // Urgent work would be late if its gang were stopped any later.
    plan(&mut planner, &mut state, 1_200);
    first.sequence = Sequence(4);
    let orders = exchange_report(&mut planner, &mut state, &first, 1_250);
    assert_eq!(orders.stops.len(), 1);
}

#[test]
fn gang_ends_as_one() {
    let (mut state, mut planner) = started_job(gang(3, 2));
    let mut next_report = report(1, 3);
    next_report.ended.push(ended(1, 1, 1, RunEnd::Done));
    next_report.running = vec![running(0, 1), running(2, 1)];
    exchange_report(&mut planner, &mut state, &next_report, 900);
    let number = state.job_number(&name(0).job).expect("the job is known");
    assert_eq!(
        state.job(number).map(|job| job.phase),
        Some(Phase::Completed)
    );
}

#[test]
fn failing_worker_is_quarantined() {
    let (mut state, mut planner) = started_job(step(4, 1));
    let mut next_report = report(1, 3);
    next_report.ended = (0..4)
        .map(|index| ended(u64::from(index) + 1, index, 1, RunEnd::Failed))
        .collect();
    exchange_report(&mut planner, &mut state, &next_report, 300);
    plan(&mut planner, &mut state, 310);
    assert_eq!(state.workers_with_runs().count(), 0);
    exchange_report(&mut planner, &mut state, &report(1, 4), 20_000);
    plan(&mut planner, &mut state, 20_010);
    assert_eq!(state.workers_with_runs().count(), 1);
}

/// A leader with a full disk cannot commit, and so cannot answer reports. Tasks that a worker
/// reported as done were given up meanwhile, and ran again.
#[test]
fn unanswered_worker_keeps_its_runs_while_it_reports() {
    let (state, mut planner) = started_job(step(1, 1));
    let mut next_report = report(1, 3);
    next_report.ended.push(ended(1, 0, 1, RunEnd::Done));
    for (sequence, now) in (3..).zip((1_000..9_000).step_by(500)) {
        next_report.sequence = Sequence(sequence);
        let reported = planner.handle_report(&next_report, &state, Millis(now));
        assert_eq!(reported.transitions.len(), 1);
        assert_eq!(planner.expire_leases(&state, Millis(now + 100)), []);
    }
}

#[rstest]
#[case::progressing(11, 0)]
#[case::stalled(10, 1)]
fn stalled_task_is_stopped(#[case] percent: u32, #[case] stops: usize) {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut next_report = report(1, 3);
    next_report.running.push(running(0, 1));
    exchange_report(&mut planner, &mut state, &next_report, 300);
    next_report.sequence = Sequence(4);
    next_report.running[0].percent = percent;
    exchange_report(&mut planner, &mut state, &next_report, 1_900);
    plan(&mut planner, &mut state, 1_910);
    next_report.sequence = Sequence(5);
    let orders = exchange_report(&mut planner, &mut state, &next_report, 2_000);
    assert_eq!(orders.stops.len(), stops);
}

/// Guards against a task that waits beside idle workers because its step stalled on each of them: a
/// worker on which it stalled is better than none.
#[test]
fn stalled_task_restarts_on_the_only_worker() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut stalled = report(1, 3);
    stalled.running.push(running(0, 1));
    exchange_report(&mut planner, &mut state, &stalled, 300);
    stalled.sequence = Sequence(4);
    exchange_report(&mut planner, &mut state, &stalled, 1_900);
    plan(&mut planner, &mut state, 1_910);
    let mut stopped = report(1, 5);
    stopped.ended.push(ended(1, 0, 1, RunEnd::Stopped));
    exchange_report(&mut planner, &mut state, &stopped, 2_200);
    assert_eq!(state.workers_with_runs().count(), 0);
    plan(&mut planner, &mut state, 2_210);
    assert_eq!(state.workers_with_runs().count(), 1);
}

/// A report may arrive through another replica after the deregistration that followed it. Tasks
/// that it listed as done used to be given up, and ran again.
#[test]
fn end_listed_before_deregistration_counts() {
    let (mut state, mut planner) = started_job(step(1, 1));
    exchange_report(&mut planner, &mut state, &draining(3), 790);
    let mut last = draining(4);
    last.running.clear();
    last.ended.push(ended(1, 0, 1, RunEnd::Done));
    planner.worker_left(&last.worker, Millis(800));
    assert_eq!(planner.expire_leases(&state, Millis(850)), []);
    exchange_report(&mut planner, &mut state, &last, 900);
    let number = state.job_number(&name(0).job).expect("the job is known");
    assert_eq!(
        state.job(number).map(|job| job.phase),
        Some(Phase::Completed)
    );
}

#[test]
fn runs_of_deregistered_worker_end_soon() {
    let (mut state, mut planner) = started_job(step(1, 1));
    exchange_report(&mut planner, &mut state, &draining(3), 790);
    planner.worker_left(&report(1, 1).worker, Millis(800));
    assert_eq!(planner.expire_leases(&state, Millis(1_801)).len(), 1);
}

/// Guards against a task that runs twice: a deregistration that is late on its way from the worker
/// arrives in the worker's next life, and used to end that life's runs.
#[test]
fn deregistration_of_a_former_life_is_ignored() {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut running_report = report(1, 3);
    running_report.running.push(running(0, 1));
    exchange_report(&mut planner, &mut state, &running_report, 790);
    let left = planner.worker_left(&running_report.worker, Millis(800));
    assert_eq!(left, None);
    assert_eq!(planner.expire_leases(&state, Millis(1_801)), []);
    let mut planner = Planner::new(options(), Term(4), Millis(1_900));
    assert_eq!(
        planner.worker_left(&running_report.worker, Millis(1_910)),
        None
    );
}

/// The same if the next life drains as well: as long as it reports, it has not left.
#[rstest]
#[case::reports(900, 0)]
#[case::has_left(790, 1)]
fn draining_worker_that_reports_has_not_left(#[case] last_ms: u64, #[case] ends: usize) {
    let (mut state, mut planner) = started_job(step(1, 1));
    exchange_report(&mut planner, &mut state, &draining(3), 780);
    if last_ms < 800 {
        exchange_report(&mut planner, &mut state, &draining(4), last_ms);
    }
    planner.worker_left(&report(1, 1).worker, Millis(800));
    if last_ms > 800 {
        exchange_report(&mut planner, &mut state, &draining(4), last_ms);
    }
    assert_eq!(planner.expire_leases(&state, Millis(1_901)).len(), ends);
}

/// A deregistration of the former life that arrives after the last report of a next life that drains
/// too must not end the runs of that life before its lease, as long as it may be on its way.
#[rstest]
#[case::soon(5_000, 0)]
#[case::long_after(65_000, 1)]
fn late_deregistration_ends_no_run_of_a_returned_worker(#[case] left_ms: u64, #[case] ends: usize) {
    let (mut state, mut planner) = one_job(step(1, 1));
    let mut of_former_life = report(1, 1);
    of_former_life.draining = true;
    exchange_report(&mut planner, &mut state, &of_former_life, 10);
    let life = |sequence: u64| WorkerReport {
        incarnation: WorkerIncarnation(2),
        ..report(1, sequence)
    };
    exchange_report(&mut planner, &mut state, &life(1), 500);
    exchange_report(&mut planner, &mut state, &life(2), left_ms - 600);
    plan(&mut planner, &mut state, left_ms - 590);
    exchange_report(&mut planner, &mut state, &life(3), left_ms - 500);
    let mut draining = draining(4);
    draining.incarnation = WorkerIncarnation(2);
    exchange_report(&mut planner, &mut state, &draining, left_ms - 100);
    planner.worker_left(&draining.worker, Millis(left_ms));
    let over_ms = Millis(left_ms + 1_001);
    assert_eq!(planner.expire_leases(&state, over_ms).len(), ends);
}

/// The same before the time for which the worker has announced to stay, also if it is not heard again.
#[rstest]
#[case::announced_later(5_000, 0)]
#[case::announced_soon(1_000, 1)]
fn draining_worker_has_not_left_before_its_time(#[case] remaining_ms: u64, #[case] ends: usize) {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut report = draining(3);
    report.remaining_ms = Some(Millis(remaining_ms));
    exchange_report(&mut planner, &mut state, &report, 790);
    planner.worker_left(&report.worker, Millis(800));
    assert_eq!(planner.expire_leases(&state, Millis(1_901)).len(), ends);
}

/// A report of the worker of the only run, which runs while the worker drains.
fn draining(sequence: u64) -> WorkerReport {
    let mut report = report(1, sequence);
    report.draining = true;
    report.remaining_ms = Some(Millis(500));
    report.running.push(running(0, 1));
    report
}

/// A worker never reports what ends in its last moments. Such a task used to run again.
#[rstest]
#[case::early(2_000, 0)]
#[case::about_to_terminate(700, 1)]
fn task_is_stopped_before_its_worker_terminates(#[case] remaining_ms: u64, #[case] stops: usize) {
    let (mut state, mut planner) = started_job(step(1, 1));
    let mut draining = report(1, 3);
    draining.running.push(running(0, 1));
    draining.draining = true;
    draining.remaining_ms = Some(Millis(remaining_ms));
    exchange_report(&mut planner, &mut state, &draining, 300);
    plan(&mut planner, &mut state, 310);
    draining.sequence = Sequence(4);
    let orders = exchange_report(&mut planner, &mut state, &draining, 500);
    assert_eq!(orders.stops.len(), stops);
}

/// Two urgent jobs compete for one worker: the first is late in any case, the second can still be
/// on time.
#[test]
fn on_time_job_goes_before_late_one() {
    let (mut state, mut planner) = one_job(step(1, 8));
    let submit = |id: &str| WorkloadCommand::Submit {
        id: id.parse().expect("a valid id"),
        host: "ponds.example".into(),
        path: format!("/urgent/{id}").into(),
        team: Some("clubs".parse().expect("a valid id")),
        spec: Arc::new(job(vec![step(1, 8)])),
    };
    // The objective is 150% of one second plus 800 ms.
    state.apply(&submit("late"), WallMs(1_000_000));
    state.apply(&submit("new"), WallMs(1_002_000));
    exchange_report(&mut planner, &mut state, &report(1, 1), 2_000);
    plan(&mut planner, &mut state, 2_010);
    let phase = |id: &str| {
        let number = state.job_number(&id.parse().expect("a valid id"));
        number.and_then(|number| Some(state.job(number)?.phase))
    };
    assert_eq!(phase("new"), Some(Phase::Running));
    assert_eq!(phase("late"), Some(Phase::Queued));
}

/// A stop of an earlier leader that reached the worker before the start makes it refuse the start
/// without a word. The order used to be repeated for ever, and the task never ran.
#[test]
fn refused_start_is_placed_anew() {
    let (mut state, mut planner) = started_job(step(1, 1));
    for sequence in 3..10 {
        let now = 30 + sequence * 100;
        exchange_report(&mut planner, &mut state, &report(1, sequence), now);
        planner.mark_dirty();
        plan(&mut planner, &mut state, now + 10);
        let withdrawn = planner.withdraw_unstarted(&state);
        commit(&mut state, withdrawn);
    }
    let key = state.task_key(&name(0)).expect("the task is known");
    let run = state.task(key).map(|task| task.run);
    assert_eq!(run, Some(2));
}

/// The report of an idle worker may wait for an order; one with anything to answer may not.
#[rstest]
#[case::idle(report(2, 1), true)]
#[case::draining(WorkerReport { draining: true, ..report(2, 1) }, false)]
#[case::running(WorkerReport { running: vec![running(0, 1)], ..report(2, 1) }, false)]
#[case::ended(WorkerReport { ended: vec![ended(1, 0, 1, RunEnd::Done)], ..report(2, 1) }, false)]
#[case::with_a_placed_run(report(1, 3), false)]
fn only_idle_workers_wait(#[case] report: WorkerReport, #[case] may_wait: bool) {
    let (state, mut planner) = started_job(step(1, 1));
    planner.handle_report(&report, &state, Millis(100));
    assert_eq!(planner.may_hold(&report, &state), may_wait);
}

/// A worker whose report is held takes tasks all the while, and reports soon after the answer.
#[test]
fn held_worker_takes_tasks() {
    let (mut state, mut planner) = one_job(step(1, 1));
    let held = report(1, 1);
    planner.handle_report(&held, &state, Millis(10));
    planner.report_held(&held, Millis(3_010));
    plan(&mut planner, &mut state, 2_900);
    let orders = planner.orders_for_report(&held, Millis(10), Millis(2_890), &state);
    assert_eq!(orders.starts.len(), 1);
    assert_eq!(orders.report_after_ms, Millis(50));
}

/// In a large fleet the reports of a worker are far apart; it still counts as reachable between
/// them. At 3,000 workers only those that had just reported used to get tasks.
#[test]
fn rare_reports_keep_workers_reachable() {
    const WORKERS: u32 = 3_000;
    let (mut state, mut planner) = one_job(step(WORKERS, 8));
    for worker in 0..WORKERS {
        planner.handle_report(&report(worker, 1), &state, Millis(10));
    }
    // The options of the tests have 2 ms between the reports of any two workers.
    plan(&mut planner, &mut state, 10 + 2 * u64::from(WORKERS));
    let key = state.task_key(&name(0)).expect("the task is known");
    let placed = state.step(key.step).map(|(_step, tasks)| tasks.placed);
    assert_eq!(placed, Some(WORKERS));
}

/// A worker deregisters, the leader changes, and a report that the worker had sent before arrives
/// late. The new leader used to place tasks on the worker, which waited there for a whole lease.
#[test]
fn departed_worker_gets_nothing_from_a_new_leader() {
    let (mut state, mut planner) = one_job(step(1, 1));
    let mut leaving = report(1, 1);
    leaving.draining = true;
    planner.handle_report(&leaving, &state, Millis(10));
    let worker = leaving.worker;
    let depart = planner.worker_left(&worker, Millis(20));
    let depart = depart.expect("the worker is known");
    state.apply(&depart, WallMs(1_000_020));
    let mut planner = Planner::new(options(), Term(4), Millis(30));
    planner.handle_report(&report(1, 2), &state, Millis(40));
    plan(&mut planner, &mut state, 50);
    assert_eq!(state.workers_with_runs().count(), 0);
    let restarted = WorkerReport {
        incarnation: WorkerIncarnation(2),
        ..report(1, 1)
    };
    planner.handle_report(&restarted, &state, Millis(60));
    // No answer to the late report can arrive any more.
    plan(&mut planner, &mut state, 40 + 1_030);
    assert_eq!(state.workers_with_runs().next(), Some(&worker));
}

/// Leaving is forgotten after two minutes, when no late report can arrive any more.
#[test]
fn departed_workers_are_forgotten() {
    let (mut state, _planner) = one_job(step(1, 1));
    let worker = report(1, 1).worker;
    let incarnation = WorkerIncarnation(1);
    let depart = WorkloadCommand::Depart {
        worker: worker.clone(),
        incarnation,
    };
    state.apply(&depart, WallMs(1_000_000));
    state.expire(WallMs(1_119_999));
    assert!(state.has_departed(&worker, incarnation));
    state.expire(WallMs(1_120_000));
    assert!(!state.has_departed(&worker, incarnation));
}

/// The failure of a run that was given up meanwhile uses up an attempt, as its worker's answer
/// acknowledges it. It used to be ignored, and the task ran once more than allowed.
#[rstest]
#[case::single_task(step(1, 1))]
#[case::gang(Step { gang: true, ..step(1, 1) })]
fn late_failures_count_as_attempts(#[case] tasks: Step) {
    let (mut state, mut planner) = started_job(tasks);
    let lapsed = planner.expire_leases(&state, Millis(30 + LEASE_MAX_MS + 1));
    commit(&mut state, lapsed);
    let now = 100 + LEASE_MAX_MS;
    for attempt in 1..=3_u32 {
        let late = WorkerReport {
            ended: vec![ended(u64::from(attempt), 0, attempt, RunEnd::Failed)],
            ..report(1, 10 + u64::from(attempt))
        };
        // Listed again before it is acknowledged, it counts once.
        for sequence in 0..2 {
            let again = WorkerReport {
                sequence: Sequence(late.sequence.get() * 10 + sequence),
                ..late.clone()
            };
            exchange_report(&mut planner, &mut state, &again, now);
        }
        let places = vec![(0, placement(1))];
        let step = state.task_key(&name(0)).map(|key| key.step);
        if let Some(step) = step.filter(|_step| attempt < 3) {
            let run = attempt + 1;
            commit(&mut state, vec![Transition::Placed { step, run, places }]);
            let lapsed = lapsed_end(&state, run);
            commit(&mut state, vec![lapsed]);
        }
    }
    let job = state
        .job_number(&name(0).job)
        .and_then(|number| state.job(number));
    assert_eq!(job.map(|job| job.phase), Some(Phase::Failed));
}

fn placement(worker: u32) -> Placement {
    let WorkerReport {
        worker,
        incarnation,
        ..
    } = report(worker, 1);
    Placement {
        worker,
        incarnation,
    }
}

fn lapsed_end(state: &Workload, run: u32) -> Transition {
    let task = state.task_key(&name(0)).expect("the task is known");
    Transition::Ended {
        run: RunKey { task, run },
        end: RunEnd::Lapsed,
        saved: "".into(),
    }
}
