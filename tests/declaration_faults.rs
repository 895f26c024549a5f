//! Validation of declarations and job specifications.

#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;

use marjoramknot::units::{Millis, WallMs};
use marjoramknot::workload::{
    Declaration, JobSpec, Schedule, SpecFault, Step, Workload, WorkloadCommand, WorkloadReply,
};
use rstest::rstest;

use workload_fixtures::{declaration, job, path, step};

#[rstest]
#[case::unknown_service(|d: &mut Declaration| d.services.clear(), "queue /urgent/ names the unknown service ponds")]
#[case::same_path(|d: &mut Declaration| d.queues[1].path = path("/urgent/"), "two queues have the host ponds.example and the prefix /urgent/")]
#[case::no_timeout(|d: &mut Declaration| d.queues[0].timeout_ms = Millis::ZERO, "queue /urgent/ has a timeout of 0")]
#[case::shared_key(|d: &mut Declaration| d.teams[1].keys = d.teams[0].keys.clone(), "the teams judges and clubs share a key")]
fn invalid_declaration_is_rejected(#[case] mutate: fn(&mut Declaration), #[case] fault: &str) {
    let mut state = Workload::default();
    let declare = WorkloadCommand::Declare(Arc::new(declaration()));
    state.apply(&declare, WallMs(0));
    let mut next = declaration();
    next.version = 2;
    mutate(&mut next);
    let reply = state.apply(&WorkloadCommand::Declare(Arc::new(next)), WallMs(0));
    let WorkloadReply::Invalid(found) = reply else {
        panic!("the declaration is invalid, and the reply was {reply:?}");
    };
    assert_eq!(found.to_string(), fault);
    assert_eq!(state.declaration().map(|current| current.version), Some(1));
}

#[rstest]
#[case("ponds.example", "/urgent/a1", Some("/urgent/"))]
#[case("ponds.example", "/urgent/", Some("/urgent/"))]
#[case("ponds.example", "/urgent/deep/a1", Some("/urgent/deep/"))]
#[case("ponds.example", "/other/a1", None)]
#[case("other.example", "/urgent/a1", None)]
fn longest_prefix_selects_the_queue(
    #[case] host: &str,
    #[case] call: &str,
    #[case] expected: Option<&str>,
) {
    let mut declaration = declaration();
    declaration.queues[1].path = path("/urgent/deep/");
    let queue = declaration.queue_for_path(host, call);
    assert_eq!(queue.map(|queue| queue.path.prefix.as_str()), expected);
}

#[rstest]
#[case::valid(|_job: &mut JobSpec| {}, Ok(()))]
#[case::no_step(|job: &mut JobSpec| job.steps.clear(), Err(SpecFault::Empty))]
#[case::no_task(|job: &mut JobSpec| job.steps[0].tasks = 0, Err(SpecFault::Empty))]
#[case::too_many_tasks(|job: &mut JobSpec| job.steps[0].tasks = 30_000, Err(SpecFault::TooMany))]
#[case::long_payload(|job: &mut JobSpec| job.payload = "x".repeat(20_000).into(), Err(SpecFault::PayloadTooLong))]
#[case::depends_on_itself(|job: &mut JobSpec| job.steps[0].depends_on = vec![0], Err(SpecFault::BadDependency))]
#[case::depends_on_later(|job: &mut JobSpec| job.steps[0].depends_on = vec![1], Err(SpecFault::BadDependency))]
#[case::no_interval(|job: &mut JobSpec| job.schedule = Some(Schedule { first_ms: WallMs(0), interval_ms: Millis::ZERO, occurrences: 2 }), Err(SpecFault::NoInterval))]
fn invalid_job_is_rejected(
    #[case] mutate: fn(&mut JobSpec),
    #[case] expected: Result<(), SpecFault>,
) {
    let second = Step {
        depends_on: vec![0],
        ..step(1, 1)
    };
    let mut spec = job(vec![step(1, 1), second]);
    mutate(&mut spec);
    assert_eq!(spec.check(), expected);
}
