//! Who leaves for whom, and who gets the room: loads in which more waits than there is room for.

#[path = "support/model_worker.rs"]
mod model_worker;
#[path = "support/planner_parts.rs"]
mod planner_parts;
#[path = "support/worker_model.rs"]
mod worker_model;
#[path = "support/workload_parts.rs"]
mod workload_parts;

use marjoramknot::units::Millis;
use marjoramknot::workload::{Phase, Step};

use worker_model::Model;
use workload_parts::{job, step};

/// A stop, the report of its end, the next look, the order and the report of the start.
const CLEARED_MS: u64 = planner_parts::STOP_MS + 4 * 200;
/// The time to an urgent start inside a guarantee, by the planner's options.
const URGENT_START_MS: u64 = 5_800;

fn gang(tasks: u32, accelerators: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators)
    }
}

/// Workers that are full of single tasks.
fn full(seed: u64, queue: &str, task: &Step) -> Model {
    let mut model = Model::new(8, seed);
    model.work_ms = 20_000;
    for _worker in 0..8 {
        model.submit(queue, "clubs", job(vec![task.clone()]));
    }
    model.run(1_500);
    assert_eq!(model.starts, 64);
    model
}

/// What is guaranteed is claimed at any cost after a quarter of the time to an urgent start.
///
/// Once the room came free task by task and went to whatever was small and due sooner, so that a gang made
/// others leave again and again.
#[test]
fn cleared_room_is_kept() {
    let soon = Step {
        estimate_ms: Millis(100),
        ..step(1, 1)
    };
    for seed in 0..10 {
        let mut model = full(seed, "/batch/", &step(8, 1));
        let urgent = model.submit("/urgent/", "judges", job(vec![gang(2, 8)]));
        model.run(20);
        for _job in 0..((URGENT_START_MS / 4 + CLEARED_MS) / 50) {
            model.submit("/urgent/", "clubs", job(vec![soon.clone()]));
            model.run(50);
        }
        assert_eq!(model.phase(&urgent), Some(Phase::Running), "seed {seed}");
    }
}

/// Once a gang that wants one rack made others leave for ever where no rack could be cleared as a whole:
/// room was made in all racks, and none of it was taken.
#[test]
fn gang_without_a_rack_is_spread() {
    let mut model = Model::new(8, 1);
    model.work_ms = 20_000;
    for rack in ["r0", "r0", "r0", "r1", "r1", "r1"] {
        let stays = Step {
            data_rack: Some(rack.into()),
            ..step(1, 8)
        };
        model.submit("/urgent/", "clubs", job(vec![stays]));
    }
    model.run(1_000);
    for _worker in 0..2 {
        model.submit("/batch/", "clubs", job(vec![step(8, 1)]));
    }
    model.run(1_000);
    let one_rack = Step {
        same_rack: true,
        ..gang(2, 8)
    };
    let urgent = model.submit("/urgent/", "judges", job(vec![one_rack]));
    model.run(URGENT_START_MS);
    assert_eq!(model.phase(&urgent), Some(Phase::Running));
    assert_eq!(model.stopped, 16, "runs that left");
}

/// Urgent work may make others leave also outside a guarantee, where they lose next to nothing; it once waited
/// until they had ended.
#[test]
fn urgent_work_without_a_guarantee_starts_soon() {
    let saves = Step {
        checkpoints: true,
        ..step(8, 1)
    };
    let mut model = full(2, "/batch/", &saves);
    let urgent = model.submit("/urgent/", "clubs", job(vec![gang(2, 8)]));
    model.run(CLEARED_MS);
    assert_eq!(model.phase(&urgent), Some(Phase::Running));
}

/// What would lose more than the urgent work itself stays, unless it is owed the room.
#[test]
fn costly_work_stays() {
    let mut model = full(3, "/batch/", &step(8, 1));
    model.run(10_000);
    let small = Step {
        estimate_ms: Millis(1_000),
        ..step(1, 1)
    };
    let urgent = model.submit("/urgent/", "clubs", job(vec![small]));
    model.run(2 * CLEARED_MS);
    assert_eq!(model.phase(&urgent), Some(Phase::Queued));
    assert_eq!(model.stopped, 0, "runs that left");
}

/// Urgent work of teams without a guarantee may fill all workers; what is guaranteed is claimed from it in time.
#[test]
fn guarantee_is_claimed_from_urgent_work() {
    let mut model = full(4, "/urgent/", &step(8, 1));
    let urgent = model.submit("/urgent/", "judges", job(vec![gang(2, 8)]));
    model.run(URGENT_START_MS);
    assert_eq!(model.phase(&urgent), Some(Phase::Running));
    assert_eq!(model.stopped, 16, "runs that left");
}
