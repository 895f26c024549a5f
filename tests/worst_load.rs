//! Placement when more work arrives than the fleet can run, one load pattern a test.

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

use workload_fixtures::{job, step};
use workload_simulation::Simulation;

/// How long an urgent job may wait for its start on free workers: a commit, and a report of each
/// worker.
const FREE_START_MS: u64 = 500;

fn gang(tasks: u32, accelerators: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators)
    }
}

/// Urgent gangs keep arriving while long batch runs occupy all that becomes free.
///
/// Each gang used to wait for batch runs to be stopped, and the stopped work was lost.
#[test]
fn urgent_gangs_find_their_racks_free() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(16, seed);
        simulation.run_duration_ms = 2_000;
        let mut late = 0;
        for round in 0..30 {
            for _job in 0..4 {
                simulation.submit("/batch/", "clubs", job(vec![step(8, 2)]));
            }
            let same_rack = Step {
                same_rack: true,
                ..gang(3, 8)
            };
            let urgent = simulation.submit("/urgent/", "clubs", job(vec![same_rack]));
            simulation.run(FREE_START_MS);
            let is_late = simulation.phase(&urgent) == Some(Phase::Queued);
            // The first gangs of a new leader meet a fleet that is already full.
            late += u32::from(is_late && round >= 8);
            simulation.run(1_500 - FREE_START_MS);
        }
        assert!(
            late <= 2,
            "seed {seed}: {late} of 22 urgent gangs were late"
        );
    }
}

/// Work without urgent demand gets the whole fleet, also after an urgent peak.
#[test]
fn racks_return_after_urgent_peak() {
    let mut simulation = Simulation::new(16, 1);
    simulation.run_duration_ms = 1_000;
    for _gang in 0..4 {
        simulation.submit("/urgent/", "clubs", job(vec![gang(4, 8)]));
    }
    simulation.run(25_000);
    simulation.run_duration_ms = 20_000;
    let batch = simulation.submit("/batch/", "clubs", job(vec![step(128, 1)]));
    simulation.run(1_000);
    let number = simulation.state.job_number(&batch).expect("it is known");
    let job = simulation.state.job(number).expect("it is known");
    assert_eq!(job.occurrences[&0].steps[0].placed, 128);
}

/// Single tasks of a less urgent queue arrive all the time, while a gang needs whole workers.
///
/// The tasks used to take each accelerator as it became free, and the gang waited until their queue
/// was empty.
#[test]
fn gang_is_not_starved_by_single_tasks() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(16, seed);
        simulation.run_duration_ms = 2_000;
        simulation.duration_spread_ms = 1_500;
        for _round in 0..60 {
            simulation.submit("/batch/", "clubs", job(vec![step(6, 1)]));
            simulation.run(100);
        }
        let long = Step {
            estimate_ms: Millis(10_000),
            ..gang(8, 8)
        };
        let waiting = simulation.submit("/normal/", "clubs", job(vec![long]));
        let mut waited_ms = 0;
        while simulation.phase(&waiting) != Some(Phase::Running) {
            simulation.submit("/batch/", "clubs", job(vec![step(6, 1)]));
            simulation.run(100);
            waited_ms += 100;
            // All runs that were there before it end in this time, with a report and a start.
            assert!(waited_ms <= 5_000, "seed {seed}: the gang still waits");
        }
        assert_eq!(simulation.stopped, 0, "seed {seed}");
    }
}

/// While gangs are blocked all the time, single tasks still get their share of the fleet.
#[test]
fn single_tasks_are_not_starved_by_gangs() {
    let mut simulation = Simulation::new(16, 3);
    simulation.run_duration_ms = 3_000;
    let single = simulation.submit("/batch/", "clubs", job(vec![step(16, 1)]));
    for _gang in 0..60 {
        simulation.submit("/normal/", "clubs", job(vec![gang(5, 8)]));
    }
    simulation.run_until(30_000, "the single tasks end", |simulation| {
        simulation.phase(&single) == Some(Phase::Completed)
    });
    assert!(simulation.state.open_jobs().count() > 20);
}
