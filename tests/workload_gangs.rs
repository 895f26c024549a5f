//! Gangs that lose a member: how soon the others go on elsewhere.

#[path = "support/model_worker.rs"]
mod model_worker;
#[path = "support/planner_parts.rs"]
mod planner_parts;
#[path = "support/worker_model.rs"]
mod worker_model;
#[path = "support/workload_parts.rs"]
mod workload_parts;

use marjoramknot::units::WorkerId;
use marjoramknot::workload::Step;

use worker_model::Model;
use workload_parts::{job, step};

/// The time of a stop with its slack, three reports, a commit and the start elsewhere.
const AGAIN_MS: u64 = planner_parts::STOP_MS + 1_000 + 4 * 200;

/// A gang of two on two workers that has worked for a while.
fn working(seed: u64) -> (Model, WorkerId) {
    let mut model = Model::new(8, seed);
    model.work_ms = 20_000;
    let gang = Step {
        gang: true,
        ..step(2, 8)
    };
    model.submit("/batch/", "clubs", job(vec![gang]));
    model.run(2_000);
    let holder = model.state.workers_with_runs().next().cloned();
    (model, holder.expect("the gang has places"))
}

/// The others end when a member's worker is lost. They once waited until its lease had surely ended, though no
/// member works without the others.
#[test]
fn gang_with_a_lost_worker_starts_again() {
    for seed in 0..20 {
        let (mut model, lost) = working(seed);
        let worker = model.workers.iter_mut().find(|worker| worker.id == lost);
        worker.expect("the worker is known").crash();
        model.run(AGAIN_MS);
        assert_eq!(
            model.starts, 4,
            "seed {seed}: a second start of both members"
        );
    }
}

/// A member on a worker that is only cut off works on: nothing is given up, and nothing runs twice.
#[test]
fn gang_with_a_cut_off_worker_works_on() {
    for seed in 0..20 {
        let (mut model, cut) = working(seed);
        let worker = model.workers.iter_mut().find(|worker| worker.id == cut);
        worker.expect("the worker is known").cut = true;
        model.run(AGAIN_MS);
        assert_eq!(model.starts, 2, "seed {seed}");
    }
}
