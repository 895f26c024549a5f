//! Log lines and metrics of committed workload changes: one line for each decision, and histograms
//! of queue waits and completion times for each team and queue.

use std::collections::BTreeSet;

use tracing::info;

use crate::telemetry::{record_job_completion, record_queue_wait};
use crate::units::{ClassName, JobId, TeamId, WallMs};
use crate::workload::{
    Job, JobNumber, Phase, Transition, Workload, WorkloadCommand, WorkloadReply,
};

/// The parts of a batch that are logged once it is committed.
#[derive(Debug, Default)]
pub(super) struct BatchLog {
    submitted: Vec<(usize, JobId)>,
    cancelled: Vec<JobNumber>,
    started: BTreeSet<JobNumber>,
    ended: BTreeSet<JobNumber>,
}

impl BatchLog {
    /// Collects what the commands may change, without jobs that have already ended.
    pub(super) fn collect(commands: &[WorkloadCommand], state: &Workload) -> Self {
        let mut log = Self::default();
        for (index, command) in commands.iter().enumerate() {
            match command {
                WorkloadCommand::Submit { id, .. } if state.job_number(id).is_none() => {
                    log.submitted.push((index, id.clone()));
                }
                WorkloadCommand::Cancel { job } => {
                    log.cancelled.push(*job);
                    log.ended.insert(*job);
                }
                WorkloadCommand::Transitions(transitions) => {
                    log.collect_transitions(transitions, state);
                }
                WorkloadCommand::Submit { .. }
                | WorkloadCommand::Declare(_)
                | WorkloadCommand::SetZone { .. }
                | WorkloadCommand::Depart { .. } => {}
            }
        }
        log.ended.retain(|job| is_open(state, *job));
        log
    }

    fn collect_transitions(&mut self, transitions: &[Transition], state: &Workload) {
        for transition in transitions {
            match transition {
                Transition::Placed { step, .. } if is_queued(state, step.job) => {
                    self.started.insert(step.job);
                }
                Transition::Ended { run, .. } => {
                    self.ended.insert(run.task.step.job);
                }
                Transition::Placed { .. }
                | Transition::Due { .. }
                | Transition::Unheard { .. }
                | Transition::Heard { .. } => {}
            }
        }
    }

    /// Logs the changes that the batch made, and records their metrics.
    pub(super) fn write(&self, replies: &[WorkloadReply], state: &Workload, now: WallMs) {
        let version = state
            .declaration()
            .map_or(0, |declaration| declaration.version);
        for (index, id) in &self.submitted {
            let reply = replies.get(*index);
            info!(event = "job_submitted", job = %id, outcome = ?reply, declaration = version);
        }
        for job in self.cancelled.iter().filter_map(|job| state.job(*job)) {
            info!(event = "job_cancel_committed", job = %job.id);
        }
        for job in self.started.iter().filter_map(|job| state.job(*job)) {
            if let (Some(team), Some(class)) = metric_labels(job, state) {
                record_queue_wait(&team, &class, now.since(job.accepted_ms));
            }
        }
        for job in self.ended.iter().filter_map(|job| state.job(*job)) {
            if let Some(ended_ms) = job.ended_ms {
                log_end(job, ended_ms, state);
            }
        }
    }
}

fn log_end(job: &Job, ended_ms: WallMs, state: &Workload) {
    let took = ended_ms.since(job.accepted_ms);
    let outcome = match job.phase {
        Phase::Completed => "completed",
        Phase::Failed => "failed",
        Phase::Cancelled => "cancelled",
        Phase::Queued | Phase::Running => return,
    };
    info!(event = "job_ended", job = %job.id, outcome, took_ms = took.get(),
        priority = job.policy.priority);
    if let (Some(team), Some(class)) = metric_labels(job, state) {
        record_job_completion(&team, &class, outcome, took);
    }
}

/// Returns the team and queue that label a job's metrics.
fn metric_labels(job: &Job, state: &Workload) -> (Option<TeamId>, Option<ClassName>) {
    let queue = state
        .declaration()
        .and_then(|declaration| declaration.queue(&job.queue));
    let class = queue.and_then(|queue| queue.name.parse().ok());
    (job.team.clone(), class)
}

fn is_open(state: &Workload, job: JobNumber) -> bool {
    state.job(job).is_some_and(|job| !job.phase.is_ended())
}

fn is_queued(state: &Workload, job: JobNumber) -> bool {
    state.job(job).is_some_and(|job| job.phase == Phase::Queued)
}
