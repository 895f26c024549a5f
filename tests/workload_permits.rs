//! Queues whose steps run only where a policy service allows it.

#[path = "support/model_worker.rs"]
mod model_worker;
#[path = "support/planner_parts.rs"]
mod planner_parts;
#[path = "support/worker_model.rs"]
mod worker_model;
#[path = "support/workload_parts.rs"]
mod workload_parts;

use std::cell::Cell;
use std::rc::Rc;

use marjoramknot::units::Millis;
use marjoramknot::workload::{OutsideAnswer, OutsideCall, Phase, Step, TaskName};
use rstest::rstest;

use worker_model::{Model, permit_of};
use workload_parts::{job, step};

/// How long the service takes for a decision, and for each worker.
const DECIDE_MS: u64 = 100;
const EACH_MS: u64 = 10;

/// How the service answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    Sound,
    /// Each second call gets no answer.
    Failing,
    /// Each second call is one too many.
    Busy,
    /// Each permit counts for less time than the answer takes.
    ShortPermits,
}

/// Workers of even numbers may run everything, the others nothing; gives the number of calls.
fn with_service(model: &mut Model, service: Service) -> Rc<Cell<u32>> {
    let calls = Rc::new(Cell::new(0_u32));
    let counted = Rc::clone(&calls);
    model.outside = Some(Box::new(move |workers, call, _now_ms| {
        let OutsideCall::AskPermits {
            step,
            workers: asked,
        } = call
        else {
            panic!("only permits are asked for");
        };
        counted.set(counted.get() + 1);
        let task = TaskName {
            job: step.job.clone(),
            occurrence: step.occurrence,
            step: step.step,
            index: 0,
        };
        let granted = workers.iter().enumerate().filter_map(|(at, worker)| {
            let may_run = at.is_multiple_of(2) && asked.contains(&worker.id);
            may_run.then(|| (worker.id.clone(), permit_of(&task, worker)))
        });
        let delay_ms = DECIDE_MS + EACH_MS * asked.len() as u64;
        let is_second = counted.get().is_multiple_of(2);
        let answer = match service {
            Service::Failing if is_second => OutsideAnswer::Failed {
                cause: "no answer in time".into(),
            },
            Service::Busy if is_second => OutsideAnswer::Busy,
            Service::ShortPermits if counted.get() < 4 => OutsideAnswer::Permits {
                granted: granted.collect(),
                valid_ms: Millis(50),
            },
            _ => OutsideAnswer::Permits {
                granted: granted.collect(),
                valid_ms: Millis(3_000),
            },
        };
        (delay_ms, answer)
    }));
    calls
}

fn gang(tasks: u32, accelerators: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, accelerators)
    }
}

/// The model checks each start for a permit that counts.
#[rstest]
fn jobs_run_where_they_may(
    #[values(Service::Sound, Service::Failing, Service::Busy, Service::ShortPermits)]
    service: Service,
    #[values(step(6, 4), gang(4, 8))] tasks: Step,
) {
    let mut model = Model::new(8, 1);
    let calls = with_service(&mut model, service);
    let id = model.submit("/permitted/", "clubs", job(vec![tasks]));
    model.run_until(20_000, "the job is done", |model| {
        model.phase(&id) == Some(Phase::Completed)
    });
    assert!(calls.get() <= 8, "{} calls", calls.get());
}

/// A leader that takes over knows no permits: it asks again before it starts anything.
#[test]
fn permits_are_asked_for_by_each_leader() {
    for seed in 0..20 {
        let mut model = Model::new(8, seed);
        with_service(&mut model, Service::Sound);
        let ids: Vec<_> = (0..4)
            .map(|_job| model.submit("/permitted/", "clubs", job(vec![gang(2, 8)])))
            .collect();
        for _change in 0..4 {
            let span_ms = 50 + model.pick(600) as u64;
            model.run(span_ms);
            model.change_leader();
        }
        model.run_until(60_000, "all jobs are done", |model| {
            ids.iter()
                .all(|id| model.phase(id) == Some(Phase::Completed))
        });
    }
}

/// Answers are kept while they count: tasks that follow on the same workers need no further call.
#[test]
fn answers_are_kept() {
    let mut model = Model::new(8, 3);
    model.work_ms = 300;
    let calls = with_service(&mut model, Service::Sound);
    let id = model.submit("/permitted/", "clubs", job(vec![step(64, 8)]));
    model.run(2_500);
    assert_eq!(model.phase(&id), Some(Phase::Running));
    assert!(model.starts > 12, "{} starts", model.starts);
    assert!(calls.get() <= 2, "{} calls", calls.get());
}
