//! Reclaiming of resources when not all pending work fits.

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

/// A stop, the report of its end, the next planning pass, the start order and the report of the
/// start.
const RECLAIM_MS: u64 = planner_fixtures::STOP_MS + 4 * 200;
/// The default urgent start time of the planner's options.
const URGENT_START_MS: u64 = 5_800;

fn gang(tasks: u32, accelerators: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators)
    }
}

/// A simulation with all workers occupied by single tasks.
fn fully_loaded(seed: u64, queue: &str, task: &Step) -> Simulation {
    let mut simulation = Simulation::new(8, seed);
    simulation.run_duration_ms = 20_000;
    for _worker in 0..8 {
        simulation.submit(queue, "clubs", job(vec![task.clone()]));
    }
    simulation.run(1_500);
    assert_eq!(simulation.starts, 64);
    simulation
}

/// A guaranteed job claims its resources at any cost after a quarter of the urgent start time.
///
/// Reclaimed resources used to go to smaller pending tasks with earlier due times as they became
/// free, so that a gang caused one reclaim after another.
#[test]
fn reclaimed_resources_are_reserved() {
    let short_task = Step {
        estimate_ms: Millis(100),
        ..step(1, 1)
    };
    for seed in 0..10 {
        let mut simulation = fully_loaded(seed, "/batch/", &step(8, 1));
        let urgent = simulation.submit("/urgent/", "judges", job(vec![gang(2, 8)]));
        simulation.run(20);
        for _job in 0..((URGENT_START_MS / 4 + RECLAIM_MS) / 50) {
            simulation.submit("/urgent/", "clubs", job(vec![short_task.clone()]));
            simulation.run(50);
        }
        assert_eq!(
            simulation.phase(&urgent),
            Some(Phase::Running),
            "seed {seed}"
        );
    }
}

/// No single rack can be cleared for the gang here. The planner used to reclaim resources in all
/// racks without ever placing a gang that prefers one rack.
#[test]
fn gang_without_a_free_rack_is_spread() {
    let mut simulation = Simulation::new(8, 1);
    simulation.run_duration_ms = 20_000;
    for rack in ["r0", "r0", "r0", "r1", "r1", "r1"] {
        let urgent_task = Step {
            data_rack: Some(rack.into()),
            ..step(1, 8)
        };
        simulation.submit("/urgent/", "clubs", job(vec![urgent_task]));
    }
    simulation.run(1_000);
    // Their data keeps them in these racks, one of which is reserved for urgent work by now.
    for rack in ["r0", "r1"] {
        let batch_task = Step {
            data_rack: Some(rack.into()),
            ..step(8, 1)
        };
        simulation.submit("/batch/", "clubs", job(vec![batch_task]));
    }
    simulation.run(1_000);
    assert_eq!(simulation.starts, 22);
    let same_rack = Step {
        same_rack: true,
        ..gang(2, 8)
    };
    let urgent = simulation.submit("/urgent/", "judges", job(vec![same_rack]));
    simulation.run(URGENT_START_MS);
    assert_eq!(simulation.phase(&urgent), Some(Phase::Running));
    assert_eq!(simulation.stopped, 16, "stopped runs");
}

/// Urgent jobs without a guarantee may also reclaim resources from work that loses next to nothing
/// when it is stopped. They used to wait until that work had ended.
#[test]
fn urgent_work_without_a_guarantee_starts_soon() {
    let checkpointing = Step {
        checkpoints: true,
        ..step(8, 1)
    };
    let mut simulation = fully_loaded(2, "/batch/", &checkpointing);
    let urgent = simulation.submit("/urgent/", "clubs", job(vec![gang(2, 8)]));
    simulation.run(RECLAIM_MS);
    assert_eq!(simulation.phase(&urgent), Some(Phase::Running));
}

/// Work that would lose more than the urgent job gains is not stopped, unless a guarantee requires
/// it.
#[test]
fn costly_work_is_not_reclaimed() {
    let mut simulation = fully_loaded(3, "/batch/", &step(8, 1));
    simulation.run(10_000);
    let small = Step {
        estimate_ms: Millis(1_000),
        ..step(1, 1)
    };
    let urgent = simulation.submit("/urgent/", "clubs", job(vec![small]));
    simulation.run(2 * RECLAIM_MS);
    assert_eq!(simulation.phase(&urgent), Some(Phase::Queued));
    assert_eq!(simulation.stopped, 0, "stopped runs");
}

/// Urgent work of teams without a guarantee may occupy all workers, but gives way to guaranteed
/// work in time.
#[test]
fn guarantee_is_claimed_from_urgent_work() {
    let mut simulation = fully_loaded(4, "/urgent/", &step(8, 1));
    let urgent = simulation.submit("/urgent/", "judges", job(vec![gang(2, 8)]));
    simulation.run(URGENT_START_MS);
    assert_eq!(simulation.phase(&urgent), Some(Phase::Running));
    assert_eq!(simulation.stopped, 16, "stopped runs");
}

/// The rack of a gang's data has lost a worker and can no longer hold the gang, while the other rack
/// is idle. The gang used to wait for three times the work that running elsewhere would lose.
#[test]
fn gang_leaves_a_rack_that_cannot_hold_it() {
    let mut simulation = Simulation::new(8, 5);
    simulation.run(500);
    simulation.workers[0].crash();
    simulation.run(2_000);
    let near_data = Step {
        same_rack: true,
        data_rack: Some("r0".into()),
        estimate_ms: Millis(10_000),
        ..gang(4, 8)
    };
    let waiting = simulation.submit("/batch/", "clubs", job(vec![near_data]));
    simulation.run(1_000);
    assert_eq!(simulation.phase(&waiting), Some(Phase::Running));
}
