//! Changes of the replicated workload state, and commands that must not change it.

#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;

use std::sync::Arc;

use marjoramknot::units::{Millis, WallMs, WorkerId};
use marjoramknot::workload::{
    JobNumber, JobSpec, Phase, Placement, RunEnd, RunKey, Schedule, Step, StepKey, TaskKey,
    Transition, WorkerIncarnation, Workload, WorkloadCommand, WorkloadReply,
};
use rstest::rstest;

use workload_fixtures::{declaration, job, step};

const NOW: WallMs = WallMs(1_000_000);

fn declared() -> Workload {
    let mut state = Workload::default();
    let declare = WorkloadCommand::Declare(Arc::new(declaration()));
    assert_eq!(state.apply(&declare, NOW), WorkloadReply::Done);
    state
}

fn submit(state: &mut Workload, id: &str, path: &str, team: &str, spec: JobSpec) -> WorkloadReply {
    let submit = WorkloadCommand::Submit {
        id: id.parse().expect("a valid id"),
        host: "ponds.example".into(),
        path: format!("{path}{id}").into(),
        team: Some(team.parse().expect("a valid id")),
        spec: Arc::new(spec),
    };
    state.apply(&submit, NOW)
}

fn with_job(spec: JobSpec) -> Workload {
    let mut state = declared();
    assert_eq!(
        submit(&mut state, "j1", "/batch/", "clubs", spec),
        WorkloadReply::Done
    );
    state
}

const FIRST: StepKey = StepKey {
    job: JobNumber(1),
    occurrence: 0,
    step: 0,
};

fn worker() -> WorkerId {
    "w1".parse().expect("a valid id")
}

fn change(state: &mut Workload, transition: Transition) {
    state.apply(&WorkloadCommand::Transitions(vec![transition]), NOW);
}

fn place(state: &mut Workload, step: StepKey, run: u32, indices: &[u32]) {
    let place = Placement {
        worker: worker(),
        incarnation: WorkerIncarnation(1),
    };
    let places = indices
        .iter()
        .map(|index| (*index, place.clone()))
        .collect();
    change(state, Transition::Placed { step, run, places });
}

fn end(state: &mut Workload, step: StepKey, index: u32, run: u32, end: RunEnd) {
    let run = RunKey {
        task: TaskKey { step, index },
        run,
    };
    let saved = "s1".into();
    change(state, Transition::Ended { run, end, saved });
}

fn phase(state: &Workload) -> Option<Phase> {
    state.job(JobNumber(1)).map(|job| job.phase)
}

#[test]
fn resubmission_has_no_effect() {
    let mut state = with_job(job(vec![step(1, 1)]));
    let again = submit(&mut state, "j1", "/batch/", "clubs", job(vec![step(1, 1)]));
    assert_eq!(again, WorkloadReply::Done);
    assert_eq!(state.open_jobs().count(), 1);
}

#[rstest]
#[case::other_team("/batch/", "judges", WorkloadReply::OtherJob)]
#[case::other_queue("/urgent/", "clubs", WorkloadReply::OtherJob)]
#[case::no_queue("/nowhere/", "clubs", WorkloadReply::NoQueue)]
fn conflicting_submissions_are_rejected(
    #[case] path: &str,
    #[case] team: &str,
    #[case] reply: WorkloadReply,
) {
    let mut state = with_job(job(vec![step(1, 1)]));
    assert_eq!(
        submit(&mut state, "j1", path, team, job(vec![step(1, 1)])),
        reply
    );
    assert_eq!(state.open_jobs().count(), 1);
}

#[test]
fn steps_wait_for_their_dependencies() {
    let second = Step {
        depends_on: vec![0],
        ..step(1, 1)
    };
    let mut state = with_job(job(vec![step(2, 1), second]));
    let ready = |state: &Workload| {
        let job = state.job(JobNumber(1)).expect("the job is known");
        let occurrence = &job.occurrences[&0];
        job.ready_steps(occurrence)
            .map(|(step, ..)| step)
            .collect::<Vec<_>>()
    };
    assert_eq!(ready(&state), [0]);
    place(&mut state, FIRST, 1, &[0, 1]);
    end(&mut state, FIRST, 0, 1, RunEnd::Done);
    assert_eq!(ready(&state), [0]);
    end(&mut state, FIRST, 1, 1, RunEnd::Done);
    assert_eq!(ready(&state), [1]);
    let next = StepKey { step: 1, ..FIRST };
    place(&mut state, next, 1, &[0]);
    end(&mut state, next, 0, 1, RunEnd::Done);
    assert_eq!(phase(&state), Some(Phase::Completed));
}

/// Three failures exhaust a job's attempts; other ends do not count as attempts.
#[rstest]
#[case(RunEnd::Failed, Some(Phase::Failed))]
#[case(RunEnd::Stopped, Some(Phase::Running))]
#[case(RunEnd::Lapsed, Some(Phase::Running))]
#[case(RunEnd::Broken, Some(Phase::Running))]
#[case(RunEnd::Alone, Some(Phase::Running))]
#[case(RunEnd::Refused, Some(Phase::Running))]
fn only_failures_count_as_attempts(#[case] how: RunEnd, #[case] expected: Option<Phase>) {
    let mut state = with_job(job(vec![step(1, 1)]));
    for run in 1..=3 {
        assert!(!phase(&state).expect("the job is known").is_ended());
        place(&mut state, FIRST, run, &[0]);
        end(&mut state, FIRST, 0, run, how);
    }
    assert_eq!(phase(&state), expected);
}

#[test]
fn gang_failure_counts_as_one_attempt() {
    let gang = Step {
        gang: true,
        ..step(3, 1)
    };
    let mut state = with_job(job(vec![gang]));
    for run in 1..=3 {
        assert!(!phase(&state).expect("the job is known").is_ended());
        place(&mut state, FIRST, run, &[0, 1, 2]);
        end(&mut state, FIRST, 0, run, RunEnd::Failed);
        end(&mut state, FIRST, 1, run, RunEnd::Failed);
        end(&mut state, FIRST, 2, run, RunEnd::Broken);
    }
    assert_eq!(phase(&state), Some(Phase::Failed));
}

#[test]
fn checkpoint_of_any_member_applies_to_the_gang() {
    let gang = Step {
        gang: true,
        checkpoints: true,
        ..step(2, 1)
    };
    let mut state = with_job(job(vec![gang]));
    place(&mut state, FIRST, 1, &[0, 1]);
    end(&mut state, FIRST, 1, 1, RunEnd::Stopped);
    let (step, tasks) = state.step(FIRST).expect("the job is known");
    assert_eq!(tasks.checkpoint_for(step, 0), "s1");
    assert_eq!(tasks.next_run_number(step, 0), 2);
}

#[test]
fn long_running_task_is_restarted_however_it_ends() {
    let long_running = Step {
        long_running: true,
        ..step(1, 1)
    };
    let mut state = with_job(job(vec![long_running]));
    for (run, how) in (1..).zip([RunEnd::Failed, RunEnd::Failed, RunEnd::Failed, RunEnd::Done]) {
        place(&mut state, FIRST, run, &[0]);
        end(&mut state, FIRST, 0, run, how);
    }
    assert_eq!(phase(&state), Some(Phase::Running));
    state.apply(&WorkloadCommand::Cancel { job: JobNumber(1) }, NOW);
    assert_eq!(phase(&state), Some(Phase::Cancelled));
}

#[test]
fn repeated_job_is_complete_after_its_last_occurrence() {
    let mut spec = job(vec![step(1, 1)]);
    spec.schedule = Some(Schedule {
        first_ms: WallMs(1_000_500),
        interval_ms: Millis(1_000),
        occurrences: 2,
    });
    let mut state = with_job(spec);
    let due = state.job(JobNumber(1)).expect("the job is known").due_ms(1);
    assert_eq!(due, WallMs(1_001_500));
    for occurrence in 0..2 {
        let step = StepKey {
            occurrence,
            ..FIRST
        };
        place(&mut state, step, 1, &[0]);
        assert_eq!(
            state.workers_with_runs().count(),
            0,
            "the occurrence is not due"
        );
        let job = JobNumber(1);
        change(&mut state, Transition::Due { job, occurrence });
        change(&mut state, Transition::Due { job, occurrence });
        place(&mut state, step, 1, &[0]);
        end(&mut state, step, 0, 1, RunEnd::Done);
    }
    assert_eq!(phase(&state), Some(Phase::Completed));
}

#[test]
fn run_numbers_must_increase() {
    let mut state = with_job(job(vec![step(1, 1)]));
    place(&mut state, FIRST, 2, &[0]);
    end(&mut state, FIRST, 0, 2, RunEnd::Stopped);
    place(&mut state, FIRST, 2, &[0]);
    assert_eq!(state.workers_with_runs().count(), 0);
    place(&mut state, FIRST, 3, &[0]);
    assert_eq!(state.workers_with_runs().count(), 1);
}

#[test]
fn ended_job_starts_nothing() {
    let mut state = with_job(job(vec![step(1, 1)]));
    state.apply(&WorkloadCommand::Cancel { job: JobNumber(1) }, NOW);
    place(&mut state, FIRST, 1, &[0]);
    assert_eq!(state.workers_with_runs().count(), 0);
}

#[test]
fn ended_jobs_expire() {
    let mut state = with_job(job(vec![step(1, 1)]));
    state.apply(&WorkloadCommand::Cancel { job: JobNumber(1) }, NOW);
    state.expire(WallMs(NOW.0 + 599_999));
    assert_eq!(phase(&state), Some(Phase::Cancelled));
    state.expire(WallMs(NOW.0 + 600_000));
    assert_eq!(phase(&state), None);
}

#[test]
fn highest_declaration_version_is_in_force() {
    let mut state = declared();
    for (version, in_force) in [(5, 5), (4, 5), (9, 9), (9, 9)] {
        let mut next = declaration();
        next.version = version;
        next.text = vec![u8::try_from(version).expect("in range")];
        let declare = WorkloadCommand::Declare(Arc::new(next));
        assert_eq!(state.apply(&declare, NOW), WorkloadReply::Done);
        let current = state.declaration().expect("one is in force");
        assert_eq!(
            (current.version, current.text[0]),
            (in_force, u8::try_from(in_force).expect("in range"))
        );
    }
}
