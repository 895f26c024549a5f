//! Randomized but reproducible histories of faults and leader changes around the planner.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use marjoramknot::workload::{JobSpec, Phase, Step, WorkloadCommand};

use workload_fixtures::{job, step};
use workload_simulation::{NetworkFaults, Simulation};

fn random_job(simulation: &mut Simulation) -> JobSpec {
    let accelerators = [1, 2, 4, 8][simulation.pick(4)];
    let tasks = u32::try_from(simulation.pick(5)).expect("in range") + 1;
    let gang = simulation.pick(2) == 0;
    let first = Step {
        gang,
        same_rack: gang && simulation.pick(2) == 0,
        checkpoints: simulation.pick(2) == 0,
        per_worker_max: (simulation.pick(4) == 0).then_some(1),
        ..step(tasks, accelerators)
    };
    let second = Step {
        depends_on: vec![0],
        ..step(2, 1)
    };
    if simulation.pick(3) == 0 {
        job(vec![first, second])
    } else {
        job(vec![first])
    }
}

fn inject_fault(simulation: &mut Simulation) {
    let count = simulation.workers.len();
    let at = simulation.pick(count);
    let now_ms = simulation.now_ms;
    match simulation.pick(12) {
        0 => simulation.workers[at].disconnected = true,
        1 => simulation
            .workers
            .iter_mut()
            .for_each(|worker| worker.disconnected = false),
        2 if simulation.workers[at].is_running => simulation.workers[at].crash(),
        2 | 3 if !simulation.workers[at].is_running => simulation.workers[at].restart(now_ms),
        4 => simulation.change_leader(),
        5 => simulation.workers[at].fails_all_runs = !simulation.workers[at].fails_all_runs,
        6 => {
            let closed = simulation.pick(2) == 0;
            let zone = "senec".parse().expect("a valid id");
            simulation.command(WorkloadCommand::SetZone { zone, closed });
        }
        7 => simulation.workers[at].draining = !simulation.workers[at].draining,
        8 => {
            let open: Vec<_> = simulation
                .state
                .open_jobs()
                .map(|(number, _job)| number)
                .collect();
            if !open.is_empty() {
                let job = open[simulation.pick(open.len())];
                simulation.command(WorkloadCommand::Cancel { job });
            }
        }
        _ => {}
    }
}

fn clear_faults(simulation: &mut Simulation) {
    let now_ms = simulation.now_ms;
    simulation.network_faults = NetworkFaults::default();
    for worker in &mut simulation.workers {
        worker.disconnected = false;
        worker.fails_all_runs = false;
        worker.draining = false;
        if !worker.is_running {
            worker.restart(now_ms);
        }
    }
    let zone = "senec".parse().expect("a valid id");
    simulation.command(WorkloadCommand::SetZone {
        zone,
        closed: false,
    });
}

/// No task runs twice at the same time or again after its acknowledged end, and all jobs end once
/// the faults are over.
#[test]
fn jobs_end_once_despite_faults() {
    for seed in 0..150 {
        let mut simulation = Simulation::new(8, seed);
        simulation.network_faults = NetworkFaults {
            lost_percent: 3,
            delayed_percent: 3,
        };
        let mut jobs = Vec::new();
        for _round in 0..30 {
            let spec = random_job(&mut simulation);
            let (queue, team) = if simulation.pick(3) == 0 {
                ("/urgent/", "judges")
            } else {
                ("/batch/", "clubs")
            };
            jobs.push(simulation.submit(queue, team, spec));
            inject_fault(&mut simulation);
            simulation.run(400);
        }
        clear_faults(&mut simulation);
        simulation.check_snapshot();
        simulation.run_until(120_000, "all jobs end", |simulation| {
            simulation.state.open_jobs().next().is_none()
        });
        simulation.run(6_000);
        assert_eq!(
            simulation.state.workers_with_runs().count(),
            0,
            "seed {seed}"
        );
        for id in &jobs {
            let phase = simulation.phase(id);
            assert!(
                phase.is_some_and(Phase::is_ended),
                "seed {seed}: {id} is {phase:?}"
            );
        }
        simulation.check_snapshot();
    }
}
