//! Tasks that run for minutes or hours, whose progress in whole percent changes rarely.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use marjoramknot::units::Millis;
use marjoramknot::workload::{Phase, Step};
use rstest::rstest;
use workload_fixtures::{job, step};
use workload_simulation::Simulation;

const WORKERS: usize = 6;
const MINUTE_MS: u64 = 60_000;

fn gang(tasks: u32) -> Step {
    Step {
        gang: true,
        ..step(tasks, 8)
    }
}

/// Guards against a long task that never ends: its percentage stayed the same for 1.5 s, so it was
/// stopped again and again, and in between waited until its step avoided no worker any more.
#[rstest]
#[case::four_minutes(step(1, 1), 4)]
#[case::two_hours(step(1, 1), 120)]
#[case::gang(gang(3), 20)]
fn long_task_ends(#[case] tasks: Step, #[case] minutes: u64) {
    let (members, duration_ms) = (tasks.tasks, minutes * MINUTE_MS);
    let mut simulation = Simulation::new(WORKERS, 1);
    simulation.run_duration_ms = duration_ms;
    let id = simulation.submit("/batch/", "clubs", job(vec![tasks]));
    // Runs before the first percent are lost, less than three percent in all.
    let most_ms = duration_ms + duration_ms / 20 + 5_000;
    simulation.run_until(most_ms, "the job completes", |simulation| {
        simulation.phase(&id) == Some(Phase::Completed)
    });
    // For two hours, 1.5 s doubled six times covers a percent.
    assert!(simulation.starts <= 8 * members, "{}", simulation.starts);
}

/// A declared run time keeps a long task from being stopped at all.
#[test]
fn declared_time_is_taken_into_account() {
    let mut simulation = Simulation::new(WORKERS, 1);
    simulation.run_duration_ms = 60 * MINUTE_MS;
    let tasks = Step {
        estimate_ms: Millis(30 * MINUTE_MS),
        ..step(1, 1)
    };
    let id = simulation.submit("/batch/", "clubs", job(vec![tasks]));
    simulation.run_until(61 * MINUTE_MS, "the job completes", |simulation| {
        simulation.phase(&id) == Some(Phase::Completed)
    });
    assert_eq!(simulation.starts, 1);
}

/// A new leader knows nothing of a run's earlier progress. It must not stop one that has run for
/// hours because its percentage does not change at once.
#[test]
fn long_task_outlives_its_leader() {
    let mut simulation = Simulation::new(WORKERS, 1);
    simulation.run_duration_ms = 120 * MINUTE_MS;
    let id = simulation.submit("/batch/", "clubs", job(vec![step(1, 1)]));
    simulation.run(30 * MINUTE_MS);
    let before = simulation.starts;
    for _change in 0..10 {
        simulation.change_leader();
        simulation.run(7 * MINUTE_MS);
    }
    assert_eq!(simulation.starts, before, "it is not started again");
    simulation.run_until(40 * MINUTE_MS, "the job completes", |simulation| {
        simulation.phase(&id) == Some(Phase::Completed)
    });
}
