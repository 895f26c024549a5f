//! The maximum that a declaration sets for what a team has running.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/random_faults.rs"]
mod random_faults;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use std::sync::Arc;

use marjoramknot::units::JobId;
use marjoramknot::workload::{
    Declaration, Phase, ResourceLimits, Resources, Step, TaskName, WorkloadCommand,
};

use random_faults::{clear_faults, inject_fault, random_job};
use workload_fixtures::{declaration, job, step};
use workload_simulation::{NetworkFaults, Simulation};

/// The time from a submission to the report of its start on idle workers: a commit, a report with
/// the order and a report of the start.
const START_MS: u64 = 800;

/// The declaration of the fixtures with maximums for the accelerators of both teams.
fn with_maximums(version: u64, clubs: Option<u64>, judges: Option<u64>) -> WorkloadCommand {
    let mut limited = Declaration {
        version,
        ..declaration()
    };
    for team in &mut limited.teams {
        team.maximum = ResourceLimits {
            accelerators: if team.name.as_str() == "clubs" {
                clubs
            } else {
                judges
            },
            ..ResourceLimits::default()
        };
    }
    WorkloadCommand::Declare(Arc::new(limited))
}

fn job_of(simulation: &Simulation, task: &TaskName) -> Option<(String, u64)> {
    let number = simulation.state.job_number(&task.job)?;
    let team = simulation.state.job(number)?.team.clone()?;
    let key = simulation.state.task_key(task)?;
    let (step, _tasks) = simulation.state.step(key.step)?;
    Some((team.to_string(), step.demand.accelerators))
}

/// The accelerators that a team's runs use, counted on the workers themselves.
fn running(simulation: &Simulation, team: &str) -> u64 {
    let workers = simulation.workers.iter();
    let runs = workers
        .filter(|worker| worker.is_running)
        .flat_map(|worker| worker.runs.keys());
    runs.filter_map(|task| job_of(simulation, task))
        .filter(|(of, _accelerators)| of == team)
        .map(|(_team, accelerators)| accelerators)
        .sum()
}

/// Runs for `span_ms` and checks at each tick that no start takes a team above its maximum.
fn run_within(simulation: &mut Simulation, span_ms: u64, maximums: [(&str, u64); 2]) {
    let until = simulation.now_ms + span_ms;
    let mut before = maximums.map(|(team, _most)| running(simulation, team));
    while simulation.now_ms < until {
        simulation.tick();
        for ((team, most), before) in maximums.iter().zip(&mut before) {
            let now = running(simulation, team);
            assert!(
                now <= *most || now <= *before,
                "seed {}: {team} went from {before} to {now} accelerators of {most} at {} ms",
                simulation.seed,
                simulation.now_ms
            );
            *before = now;
        }
    }
}

/// Starts of a team used to be limited by the free workers only. On a deployment with maximums they
/// broke them on every day.
#[test]
fn starts_stay_within_maximum_despite_faults() {
    const MAXIMUMS: [(&str, u64); 2] = [("clubs", 20), ("judges", 32)];
    for seed in 0..60 {
        let mut simulation = Simulation::new(8, seed);
        simulation.network_faults = NetworkFaults {
            lost_percent: 3,
            delayed_percent: 3,
            ..NetworkFaults::default()
        };
        simulation.command(with_maximums(2, Some(20), Some(32)));
        simulation.run(100);
        for round in 0..30 {
            let spec = random_job(&mut simulation);
            let (queue, team) = [("/urgent/", "judges"), ("/batch/", "clubs")][round % 2];
            simulation.submit(queue, team, spec);
            inject_fault(&mut simulation);
            run_within(&mut simulation, 400, MAXIMUMS);
        }
        clear_faults(&mut simulation);
        simulation.command(with_maximums(3, Some(40), Some(40)));
        simulation.run_until(120_000, "all jobs end", |simulation| {
            simulation.state.open_jobs().next().is_none()
        });
        simulation.check_snapshot();
    }
}

#[test]
fn gang_starts_whole_or_waits() {
    let mut simulation = Simulation::new(8, 1);
    simulation.run_duration_ms = 3_000;
    simulation.command(with_maximums(2, Some(24), None));
    simulation.run(500);
    let gang = Step {
        gang: true,
        ..step(2, 8)
    };
    let first = simulation.submit("/batch/", "clubs", job(vec![gang.clone()]));
    let second = simulation.submit("/batch/", "clubs", job(vec![gang]));
    run_within(&mut simulation, START_MS, [("clubs", 24), ("judges", 64)]);
    let phases = |simulation: &Simulation| [&first, &second].map(|id: &JobId| simulation.phase(id));
    assert_eq!(
        phases(&simulation),
        [Some(Phase::Running), Some(Phase::Queued)]
    );
    assert_eq!(running(&simulation, "clubs"), 16);
    simulation.run_until(20_000, "both gangs end", |simulation| {
        phases(simulation) == [Some(Phase::Completed); 2]
    });
}

#[test]
fn team_at_maximum_holds_nobody_back() {
    let mut simulation = Simulation::new(8, 2);
    simulation.run_duration_ms = 20_000;
    simulation.command(with_maximums(2, Some(8), None));
    simulation.run(500);
    for _job in 0..20 {
        simulation.submit("/batch/", "clubs", job(vec![step(4, 4)]));
    }
    simulation.run(START_MS);
    let other = simulation.submit("/batch/", "judges", job(vec![step(7, 8)]));
    simulation.run(START_MS);
    assert_eq!(simulation.phase(&other), Some(Phase::Running));
    assert_eq!(running(&simulation, "judges"), 56);
    assert_eq!(running(&simulation, "clubs"), 8);
}

/// Runs that were placed under a higher maximum and have not started are withdrawn; those that run
/// go on.
#[test]
fn lowered_maximum_stops_no_run() {
    let mut simulation = Simulation::new(8, 3);
    simulation.run_duration_ms = 5_000;
    simulation.command(with_maximums(2, Some(32), None));
    simulation.run(500);
    simulation.submit("/batch/", "clubs", job(vec![step(12, 4)]));
    simulation.run(START_MS);
    assert_eq!(running(&simulation, "clubs"), 32);
    simulation.command(with_maximums(3, Some(8), None));
    run_within(&mut simulation, 3_000, [("clubs", 8), ("judges", 64)]);
    assert_eq!(running(&simulation, "clubs"), 32);
    assert_eq!(simulation.stopped, 0, "stopped runs");
    run_within(&mut simulation, 10_000, [("clubs", 8), ("judges", 64)]);
    simulation.run_until(20_000, "all jobs end", |simulation| {
        simulation.state.open_jobs().next().is_none()
    });
}

/// A raised maximum takes effect without any other event.
#[test]
fn raised_maximum_starts_waiting_tasks() {
    let mut simulation = Simulation::new(8, 4);
    simulation.run_duration_ms = 20_000;
    simulation.command(with_maximums(2, Some(8), None));
    simulation.submit("/batch/", "clubs", job(vec![step(8, 4)]));
    simulation.run(START_MS);
    assert_eq!(running(&simulation, "clubs"), 8);
    simulation.command(with_maximums(3, None, None));
    simulation.run(START_MS);
    assert_eq!(running(&simulation, "clubs"), 32);
}

/// A snapshot and a new leader count what is placed as the earlier leader did.
#[test]
fn new_leader_keeps_maximum() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(8, seed);
        simulation.run_duration_ms = 4_000;
        simulation.command(with_maximums(2, Some(16), None));
        for _job in 0..6 {
            simulation.submit("/batch/", "clubs", job(vec![step(4, 4)]));
        }
        for _change in 0..8 {
            run_within(&mut simulation, 700, [("clubs", 16), ("judges", 64)]);
            simulation.check_snapshot();
            simulation.change_leader();
        }
    }
}

#[test]
fn limits_apply_to_each_kind() {
    let limits = ResourceLimits {
        cpu_millicores: Some(4_000),
        memory_mb: None,
        accelerators: Some(2),
    };
    let used = |cpu_millicores, accelerators| Resources {
        cpu_millicores,
        memory_mb: u64::MAX,
        accelerators,
    };
    assert!(limits.allow(used(4_000, 2)));
    assert!(!limits.allow(used(4_001, 2)));
    assert!(!limits.allow(used(4_000, 3)));
    assert_eq!(limits.remaining(used(1_000, 5)).accelerators, 0);
    assert_eq!(limits.remaining(Resources::ZERO).memory_mb, u64::MAX);
}
