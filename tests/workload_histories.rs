//! Seeded histories of workers, losses and leader changes round the pure planner.

#[path = "support/model_worker.rs"]
mod model_worker;
#[path = "support/planner_parts.rs"]
mod planner_parts;
#[path = "support/worker_model.rs"]
mod worker_model;
#[path = "support/workload_parts.rs"]
mod workload_parts;

use marjoramknot::workload::{JobSpec, Phase, Step, WorkloadCommand};

use worker_model::{Losses, Model};
use workload_parts::{job, step};

fn any_job(model: &mut Model) -> JobSpec {
    let accelerators = [1, 2, 4, 8][model.pick(4)];
    let tasks = u32::try_from(model.pick(5)).expect("small") + 1;
    let gang = model.pick(2) == 0;
    let first = Step {
        gang,
        same_rack: gang && model.pick(2) == 0,
        checkpoints: model.pick(2) == 0,
        per_worker_max: (model.pick(4) == 0).then_some(1),
        ..step(tasks, accelerators)
    };
    let second = Step {
        depends_on: vec![0],
        ..step(2, 1)
    };
    if model.pick(3) == 0 {
        job(vec![first, second])
    } else {
        job(vec![first])
    }
}

fn trouble(model: &mut Model) {
    let count = model.workers.len();
    let at = model.pick(count);
    let now_ms = model.now_ms;
    match model.pick(12) {
        0 => model.workers[at].cut = true,
        1 => model
            .workers
            .iter_mut()
            .for_each(|worker| worker.cut = false),
        2 if model.workers[at].up => model.workers[at].crash(),
        2 | 3 if !model.workers[at].up => model.workers[at].restart(now_ms),
        4 => model.change_leader(),
        5 => model.workers[at].broken = !model.workers[at].broken,
        6 => {
            let closed = model.pick(2) == 0;
            let zone = "senec".parse().expect("an id");
            model.command(WorkloadCommand::SetZone { zone, closed });
        }
        7 => model.workers[at].leaving = !model.workers[at].leaving,
        8 => {
            let open: Vec<_> = model
                .state
                .open_jobs()
                .map(|(number, _job)| number)
                .collect();
            if !open.is_empty() {
                let job = open[model.pick(open.len())];
                model.command(WorkloadCommand::Cancel { job });
            }
        }
        _ => {}
    }
}

fn calm(model: &mut Model) {
    let now_ms = model.now_ms;
    model.losses = Losses::default();
    for worker in &mut model.workers {
        worker.cut = false;
        worker.broken = false;
        worker.leaving = false;
        if !worker.up {
            worker.restart(now_ms);
        }
    }
    let zone = "senec".parse().expect("an id");
    model.command(WorkloadCommand::SetZone {
        zone,
        closed: false,
    });
}

/// Whatever happens, no task runs twice at once or again after its end, and all jobs end at last.
#[test]
fn any_trouble() {
    for seed in 0..150 {
        let mut model = Model::new(8, seed);
        model.losses = Losses {
            lost_percent: 3,
            late_percent: 3,
        };
        let mut jobs = Vec::new();
        for _round in 0..30 {
            let spec = any_job(&mut model);
            let (queue, team) = if model.pick(3) == 0 {
                ("/urgent/", "judges")
            } else {
                ("/batch/", "clubs")
            };
            jobs.push(model.submit(queue, team, spec));
            trouble(&mut model);
            model.run(400);
        }
        calm(&mut model);
        model.check_snapshot();
        model.run_until(120_000, "all jobs end", |model| {
            model.state.open_jobs().next().is_none()
        });
        model.run(6_000);
        assert_eq!(model.state.workers_with_runs().count(), 0, "seed {seed}");
        for id in &jobs {
            let phase = model.phase(id);
            assert!(
                phase.is_some_and(Phase::is_ended),
                "seed {seed}: {id} is {phase:?}"
            );
        }
        model.check_snapshot();
    }
}
