use tracing::info;

use super::StateMachine;
use crate::scheduler::{JobKey, JobOutcome, JobTransition};
use crate::telemetry::{record_job_completion, record_queue_wait};
use crate::units::{Millis, Term, WallMs};

/// Logs a committed transition and records metrics of the job's queue wait and completion time.
pub(super) fn record_transition(
    state_machine: &StateMachine,
    transition: &JobTransition,
    term: Term,
    now: WallMs,
) {
    match transition {
        JobTransition::Placed { job, attempt, .. } => {
            info!(event = "job_placed", %job, %attempt, %term);
        }
        JobTransition::Started { job, attempt } => {
            info!(event = "job_started", %job, %attempt, %term);
            record_first_start(state_machine, job, now);
        }
        JobTransition::Requeued {
            job,
            attempt,
            cause,
            ..
        } => {
            info!(event = "job_requeued", %job, %attempt, %term, cause = ?cause);
        }
        JobTransition::CancelRequested { job } => {
            info!(event = "job_cancel_requested", %job, %term);
        }
        JobTransition::Ended { job, outcome } => {
            let outcome = outcome_name(outcome);
            info!(event = "job_ended", %job, %term, outcome);
            record_end(state_machine, job, outcome, now);
        }
    }
}

/// Records the queue wait of a job that starts for the first time, that is, one that has not
/// attained any run time yet.
fn record_first_start(state_machine: &StateMachine, job: &JobKey, now: WallMs) {
    let record = state_machine.job(job);
    if let Some(record) = record.filter(|record| record.attained_ms == Millis::ZERO) {
        let waited = now.since(record.submitted_ms);
        record_queue_wait(&job.team, &record.spec.class, waited);
    }
}

fn record_end(state_machine: &StateMachine, job: &JobKey, outcome: &'static str, now: WallMs) {
    if let Some(record) = state_machine.job(job) {
        let took = now.since(record.submitted_ms);
        record_job_completion(&job.team, &record.spec.class, outcome, took);
    }
}

const fn outcome_name(outcome: &JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Succeeded { .. } => "succeeded",
        JobOutcome::Failed { .. } => "failed",
        JobOutcome::NotRun { .. } => "not_run",
        JobOutcome::Cancelled => "cancelled",
        JobOutcome::Unknown { .. } => "unknown",
    }
}
