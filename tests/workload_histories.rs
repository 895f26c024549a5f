//! Randomized but reproducible histories of faults and leader changes around the planner.

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

use marjoramknot::units::Millis;
use marjoramknot::workload::{Phase, PlannerOptions};
use rstest::rstest;

use random_faults::{clear_faults, inject_fault, random_job};
use workload_simulation::{NetworkFaults, Simulation};

/// No task runs twice at the same time or again after its acknowledged end, and all jobs end once
/// the faults are over. With a long lease, gangs are given up before the leases of their silent
/// members end.
#[rstest]
#[case::short_lease(Millis(4_000))]
#[case::long_lease(Millis(10_000))]
fn jobs_end_once_despite_faults(#[case] lease_ms: Millis) {
    for seed in 0..150 {
        let options = PlannerOptions {
            lease_ms,
            ..planner_fixtures::options()
        };
        let mut simulation = Simulation::with_options(8, seed, options);
        simulation.network_faults = NetworkFaults {
            lost_percent: 3,
            delayed_percent: 3,
            ..NetworkFaults::default()
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

/// Guards against a task that runs twice after a planned hand-over: runs that workers were stopping
/// for the earlier leader, for urgent work or otherwise, looked to the next leader as if they had
/// never started, or as refused.
#[rstest]
#[case::unlisted(false)]
#[case::listed(true)]
fn stops_outlive_their_leader(#[case] lists_refusals: bool) {
    for seed in 0..60 {
        let options = PlannerOptions::builder().stop_ms(Millis(900)).build();
        let mut simulation = Simulation::with_options(8, seed, options);
        simulation.run_duration_ms = 4_000;
        simulation.lists_refusals = lists_refusals;
        let mut stopped_before = 0;
        for round in 0..20 {
            let spec = random_job(&mut simulation);
            simulation.submit("/batch/", "clubs", spec);
            simulation.run(400);
            let spec = random_job(&mut simulation);
            simulation.submit("/urgent/", "judges", spec);
            // The time from an urgent job to the stop of others, then into these stops.
            let delay_ms = 50 + 50 * simulation.pick(16) as u64;
            simulation.run(delay_ms);
            if round % 2 == 1 {
                simulation.change_leader();
            }
            stopped_before += simulation.stopped;
        }
        assert!(stopped_before > 0, "seed {seed}: nothing was stopped");
        clear_faults(&mut simulation);
        simulation.run_until(180_000, "all jobs end", |simulation| {
            simulation.state.open_jobs().next().is_none()
        });
    }
}

/// A batch may be refused, above all while the leader's disk is full. An end in it used to look like
/// a run that had never started, so the task was started again although it had succeeded.
#[test]
fn refused_batches_restart_nothing() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(8, seed);
        simulation.network_faults.refused_percent = 30;
        for _round in 0..30 {
            let spec = random_job(&mut simulation);
            simulation.submit("/batch/", "clubs", spec);
            simulation.run(400);
        }
        clear_faults(&mut simulation);
        simulation.run_until(120_000, "all jobs end", |simulation| {
            simulation.state.open_jobs().next().is_none()
        });
    }
}

/// Random jobs, some of which always fail, under all faults together with workers that restart, take
/// the answers to their former lives and are cut off soon after. No task runs twice, exceeds its
/// attempts or is lost, and nothing of them is kept for ever.
fn play_returns_among_faults(seed: u64) {
    const WORKERS: usize = 10;
    let options = PlannerOptions {
        lease_ms: Millis(10_000),
        ..planner_fixtures::options()
    };
    let mut simulation = Simulation::with_options(WORKERS, seed, options);
    simulation.answers_cross_lives = true;
    simulation.lists_refusals = seed.is_multiple_of(2);
    simulation.failure_delay_ms = 100 + 100 * (seed % 9);
    simulation.run_duration_ms = 1_000 + 500 * (seed % 7);
    simulation.network_faults = NetworkFaults {
        lost_percent: 3,
        delayed_percent: 40,
        refused_percent: if seed.is_multiple_of(3) { 15 } else { 0 },
    };
    for _round in 0..20 {
        let spec = random_job(&mut simulation);
        let (queue, team) = if simulation.pick(3) == 0 {
            ("/urgent/", "judges")
        } else {
            ("/batch/", "clubs")
        };
        let id = simulation.submit(queue, team, spec);
        if simulation.pick(4) == 0 {
            simulation.failing_jobs.insert(id);
        }
        inject_fault(&mut simulation);
        let delay_ms = 10 * simulation.pick(40) as u64;
        simulation.run(delay_ms);
        let at = simulation.pick(WORKERS);
        simulation.workers[at].crash();
        let dark_ms = 50 + 50 * simulation.pick(14) as u64;
        simulation.run(dark_ms);
        let now_ms = simulation.now_ms;
        simulation.workers[at].restart(now_ms);
        let touch_ms = 50 * simulation.pick(50) as u64;
        simulation.run(touch_ms);
        simulation.workers[at].disconnected = true;
        let cut_ms = 500 * simulation.pick(12) as u64;
        simulation.run(cut_ms);
        simulation.workers[at].reconnect();
    }
    clear_faults(&mut simulation);
    simulation.check_snapshot();
    simulation.run_until(400_000, "all jobs end", |simulation| {
        simulation.state.open_jobs().next().is_none()
    });
    simulation.run(6_000);
    assert_eq!(
        simulation.state.workers_with_runs().count(),
        0,
        "seed {seed}"
    );
    assert_eq!(simulation.state.unheard_ends().count(), 0, "seed {seed}");
}

/// Seed 5145: a worker's next life lists the failure of a run of its former one in a batch that is
/// refused, and is cut off; the gang was started again after its last attempt.
#[test]
fn returns_among_other_faults() {
    for seed in (0..30).chain([5_145]) {
        play_returns_among_faults(seed);
    }
}

/// By hand: `cargo test --release --test workload_histories many -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn many_returns_among_other_faults() {
    for seed in 1_000..6_000 {
        play_returns_among_faults(seed);
    }
}
