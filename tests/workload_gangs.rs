//! Recovery of gangs that lose a member.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use marjoramknot::units::WorkerId;
use marjoramknot::workload::Step;

use workload_fixtures::{job, step};
use workload_simulation::Simulation;

/// The stop time with its slack, three reports, a commit and the start elsewhere.
const RESTART_MS: u64 = planner_fixtures::STOP_MS + 1_000 + 4 * 200;

/// A gang of two tasks on two workers that has been running for a while.
fn running_gang(seed: u64) -> (Simulation, WorkerId) {
    let mut simulation = Simulation::new(8, seed);
    simulation.run_duration_ms = 20_000;
    let gang = Step {
        gang: true,
        ..step(2, 8)
    };
    simulation.submit("/batch/", "clubs", job(vec![gang]));
    simulation.run(2_000);
    let holder = simulation.state.workers_with_runs().next().cloned();
    (simulation, holder.expect("the gang is placed"))
}

/// When a member's worker is lost, the other members end as well. The planner used to wait until
/// the lost worker's lease had expired before it restarted the gang.
#[test]
fn gang_restarts_after_worker_loss() {
    for seed in 0..20 {
        let (mut simulation, lost) = running_gang(seed);
        let worker = simulation
            .workers
            .iter_mut()
            .find(|worker| worker.id == lost);
        worker.expect("the worker is known").crash();
        simulation.run(RESTART_MS);
        assert_eq!(
            simulation.starts, 4,
            "seed {seed}: a second start of both members"
        );
    }
}

/// A member on a worker that cannot report keeps running: no run is given up, and no task runs
/// twice.
#[test]
fn gang_continues_while_worker_is_disconnected() {
    for seed in 0..20 {
        let (mut simulation, disconnected) = running_gang(seed);
        let worker = simulation
            .workers
            .iter_mut()
            .find(|worker| worker.id == disconnected);
        worker.expect("the worker is known").disconnected = true;
        simulation.run(RESTART_MS);
        assert_eq!(simulation.starts, 2, "seed {seed}");
    }
}
