//! Gangs are placed last on workers that lately broke a gang, restarted or were lost.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/planner_session.rs"]
mod planner_session;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use marjoramknot::units::{Millis, WallMs};
use marjoramknot::workload::{JobSpec, RunEnd, Step, WorkloadCommand};
use rstest::rstest;

use planner_fixtures::options;
use planner_session::PlannerSession;
use workload_fixtures::{job, step};

/// How long a worker counts as unreliable after its first fault.
const UNRELIABLE_MS: u64 = 15_000;

fn gang(tasks: u32) -> JobSpec {
    job(vec![Step {
        gang: true,
        ..step(tasks, 8)
    }])
}

/// Three workers; the given one restarts at 1,000 ms.
fn restarted(worker: u32) -> PlannerSession {
    let mut session = PlannerSession::new(options(), gang(4));
    session.all_idle(0..3, 10);
    session.restarted(worker, 1_000);
    session
}

/// Submits the job at `now_ms` and returns the workers on which its tasks are placed.
fn placed_on(session: &mut PlannerSession, spec: JobSpec, now_ms: u64) -> Vec<u32> {
    session.all_idle(0..3, now_ms);
    session.submit("job2", spec);
    session.plan(now_ms + 10);
    let is_used = |worker: &u32| !session.placed_on(*worker).is_empty();
    (0..3).filter(is_used).collect()
}

/// Guards against gangs that break again and again on workers that go down and come back.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::third(2)]
fn gang_avoids_a_restarted_worker(#[case] worker: u32) {
    let mut session = restarted(worker);
    let used = placed_on(&mut session, gang(2), 1_100);
    assert_eq!(used.len(), 2);
    assert!(!used.contains(&worker), "{used:?}");
}

/// A rack that holds the gang without its unreliable worker comes before one that doesn't.
#[rstest]
#[case::in_first(0, [2, 3])]
#[case::in_second(2, [0, 1])]
fn gang_prefers_a_reliable_rack(#[case] worker: u32, #[case] expected: [u32; 2]) {
    let mut session = PlannerSession::new(options(), gang(5));
    session.racks = [(2, "r2"), (3, "r2")].into();
    session.all_idle(0..4, 10);
    session.restarted(worker, 1_000);
    session.all_idle(0..4, 1_100);
    session.submit("job2", gang(2));
    session.plan(1_110);
    for worker in expected {
        assert_eq!(session.placed_on(worker).len(), 1);
    }
}

/// Nothing waits for an unreliable worker to become reliable.
#[test]
fn gang_uses_all_workers_that_it_needs() {
    let mut session = restarted(0);
    assert_eq!(placed_on(&mut session, gang(3), 1_100), [0, 1, 2]);
}

/// Single tasks are placed as if there were no unreliable worker.
#[test]
fn single_task_is_not_affected() {
    let mut session = restarted(0);
    let single = job(vec![step(1, 8)]);
    assert_eq!(placed_on(&mut session, single, 1_100), [0]);
}

/// A worker is trusted again after a while; each further fault doubles the time.
#[rstest]
#[case::inside(1, 1_000 + UNRELIABLE_MS - 1, false)]
#[case::after(1, 1_000 + UNRELIABLE_MS, true)]
#[case::repeated_inside(2, 2_000 + 2 * UNRELIABLE_MS - 1, false)]
#[case::repeated_after(2, 2_000 + 2 * UNRELIABLE_MS, true)]
#[case::often_inside(6, 6_000 + 60_000 - 1, false)]
#[case::often_after(6, 6_000 + 60_000, true)]
fn distrust_ends(#[case] restarts: u64, #[case] planned_ms: u64, #[case] is_trusted: bool) {
    let mut session = restarted(0);
    for restart in 2..=restarts {
        session.idle(0, restart * 1_000 - 500);
        session.restarted(0, restart * 1_000);
    }
    let used = placed_on(&mut session, gang(2), planned_ms - 10);
    assert_eq!(used.contains(&0), is_trusted, "{used:?}");
}

/// A worker that was silent while its gang ended broke it. What follows from the same silence is no
/// further fault.
#[rstest]
#[case::inside(5_000 + UNRELIABLE_MS - 1, false)]
#[case::after(5_000 + UNRELIABLE_MS, true)]
fn gang_avoids_a_worker_that_was_silent(#[case] planned_ms: u64, #[case] is_trusted: bool) {
    let mut session = PlannerSession::new(options(), gang(2));
    session.all_idle(0..2, 10);
    session.plan(20);
    session.all_idle(0..2, 30);
    session.running(1, 200, 0);
    session.running(1, 400, 3);
    session.ended(1, 1_000, RunEnd::Broken);
    assert_eq!(session.lost(0, 2_400), Some(RunEnd::Broken));
    // The batch with this end is not committed.
    assert_eq!(session.lost(0, 5_000), Some(RunEnd::Broken));
    let job = session
        .state
        .job_number(&"job1".parse().expect("a valid id"))
        .expect("the job is known");
    session
        .state
        .apply(&WorkloadCommand::Cancel { job }, WallMs(1_005_000));
    session.plan(5_000);
    let used = placed_on(&mut session, gang(2), planned_ms - 10);
    assert_eq!(used.contains(&0), is_trusted, "{used:?}");
}

/// A worker whose silence kept a gang from starting is avoided when the gang is placed again.
#[test]
fn gang_avoids_a_worker_that_missed_its_start() {
    let mut session = PlannerSession::new(options(), gang(2));
    session.all_idle(0..2, 10);
    session.plan(20);
    session.idle(1, 30);
    session.running(1, 900, 0);
    // 35% of the 3,000 ms for which members wait for each other.
    session.plan(20 + 1_050);
    session.ended(1, 1_400, RunEnd::Stopped);
    session.all_idle(0..3, 1_500);
    session.plan(1_510);
    assert!(session.placed_on(0).is_empty());
    assert_eq!(session.placed_on(1).len(), 1);
    assert_eq!(session.placed_on(2).len(), 1);
}

/// A worker that deregistered and comes back did so on purpose.
#[test]
fn planned_restart_is_no_fault() {
    let mut session = PlannerSession::new(options(), gang(4));
    session.all_idle(0..3, 10);
    let worker = planner_session::worker_id(0);
    session.draining(0, 20);
    session.planner.worker_left(&worker, Millis(500));
    session.restarted(0, 1_000);
    assert!(placed_on(&mut session, gang(2), 1_100).contains(&0));
}
