//! Advances attempts through their stages and ends them.

use smol_str::SmolStr;

use super::gang::{AfterStop, Assignment, Gang, Job, Stage, TaskStatus};
use super::pool::Allocation;
use super::{Action, JobOutcome, JobTransition, NotRunReason, RequeueCause, Scheduler};
use crate::units::Millis;

/// How long workers may take to prepare their tasks.
const PREPARE_TIMEOUT_MS: Millis = Millis(5_000);

impl Scheduler {
    /// Stops all tasks of a gang; `after_stop` is carried out once they are gone.
    pub(super) fn stop_gang(&mut self, ordinal: u64, after_stop: AfterStop, now: Millis) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("the job has a gang");
        gang.stage = Stage::Stopping { after_stop };
        self.order_stop(ordinal);
        self.release_gone_tasks(ordinal, now);
        self.advance_gang(ordinal, now);
    }

    pub(super) fn order_stop(&mut self, ordinal: u64) {
        let gang = self
            .jobs
            .get_mut(&ordinal)
            .and_then(|job| job.gang.as_mut());
        for assignment in gang.into_iter().flat_map(|gang| &mut gang.assignments) {
            assignment.stop_version = self.pool.worker(assignment.worker).version.next();
            self.changed_workers.insert(assignment.worker);
        }
    }

    /// Releases the resources of tasks that are gone.
    pub(super) fn release_gone_tasks(&mut self, ordinal: u64, now: Millis) {
        let Some(job) = self.jobs.get(&ordinal) else {
            return;
        };
        let Some(gang) = job.gang.as_ref() else {
            return;
        };
        let allocation = Allocation {
            resources: gang.resources,
            non_preemptible: gang.non_preemptible,
        };
        let mut released = false;
        for (at, assignment) in (0_u32..).zip(&gang.assignments) {
            let member = (ordinal, at);
            let held = self
                .pool
                .worker(assignment.worker)
                .members
                .contains(&member);
            if assignment.status == TaskStatus::Gone && held {
                let team = &job.record.spec.key.team;
                self.pool
                    .release(assignment.worker, member, team, allocation, now);
                released = true;
            }
        }
        if released {
            self.capacity_freed();
        }
    }

    /// Advances a gang to its next stage if the statuses of its tasks allow it.
    pub(super) fn advance_gang(&mut self, ordinal: u64, now: Millis) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        let Some(gang) = job.gang.as_mut() else {
            return;
        };
        let has_failed_member = gang.assignments.iter().any(|p| {
            matches!(
                p.status,
                TaskStatus::Refused
                    | TaskStatus::Stopped
                    | TaskStatus::Gone
                    | TaskStatus::Failed
                    | TaskStatus::OverMemory
            )
        });
        let prepared_in_closed_zone = gang
            .assignments
            .iter()
            .any(|p| p.status == TaskStatus::Prepared && self.pool.worker(p.worker).is_closed());
        match &gang.stage {
            Stage::Preparing if has_failed_member => {
                self.stop_gang(
                    ordinal,
                    AfterStop::Requeue(RequeueCause::PrepareFailed),
                    now,
                );
            }
            Stage::Preparing if gang.all(TaskStatus::Prepared) => self.commit_start(ordinal),
            Stage::CommittingStart if has_failed_member => {
                gang.stop_after_commit
                    .get_or_insert(AfterStop::Requeue(RequeueCause::WorkerLost));
            }
            Stage::Running | Stage::Checkpointing { .. } if gang.all(TaskStatus::Succeeded) => {
                self.complete_job(ordinal, now);
            }
            Stage::Running | Stage::Checkpointing { .. } if has_failed_member => {
                let cause = if gang.any(TaskStatus::Failed) {
                    RequeueCause::TaskFailed
                } else if gang.any(TaskStatus::OverMemory) {
                    RequeueCause::OverMemory
                } else {
                    RequeueCause::WorkerLost
                };
                self.stop_gang(ordinal, AfterStop::Requeue(cause), now);
            }
            Stage::Running if gang.any(TaskStatus::Checkpointed) => {
                // An earlier leader had begun to evict the gang, and a checkpointed task does not
                // resume by itself.
                self.evict(ordinal, RequeueCause::Moved, now);
            }
            Stage::Running if prepared_in_closed_zone => {
                self.stop_gang(ordinal, AfterStop::Requeue(RequeueCause::ZoneOut), now);
            }
            Stage::Checkpointing { cause, .. } if gang.any(TaskStatus::Prepared) => {
                let after_stop = AfterStop::Requeue(cause.clone());
                self.stop_gang(ordinal, after_stop, now);
            }
            Stage::Checkpointing { cause, .. } => {
                let done = |p: &Assignment| {
                    matches!(p.status, TaskStatus::Checkpointed | TaskStatus::Succeeded)
                };
                if gang.assignments.iter().all(done) {
                    let after_stop = AfterStop::Requeue(cause.clone());
                    self.stop_gang(ordinal, after_stop, now);
                }
            }
            Stage::Stopping { after_stop } => {
                if gang.all(TaskStatus::Gone) {
                    let after_stop = after_stop.clone();
                    self.close_attempt(ordinal, after_stop, now);
                }
            }
            Stage::Releasing => {
                if gang.all(TaskStatus::Gone) {
                    self.remove_job(ordinal);
                }
            }
            Stage::CommittingPlacement
            | Stage::Preparing
            | Stage::CommittingStart
            | Stage::Running
            | Stage::CommittingEnd
            | Stage::CommittingSuccess => {}
        }
    }

    fn commit_start(&mut self, ordinal: u64) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::CommittingStart;
        self.actions.push(Action::Commit(JobTransition::Started {
            job: job.record.spec.key.clone(),
            attempt: gang.attempt,
        }));
    }

    fn complete_job(&mut self, ordinal: u64, now: Millis) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::CommittingSuccess;
        let results = gang
            .assignments
            .iter()
            .filter_map(|p| p.result.clone())
            .collect();
        let spec = &job.record.spec;
        let accelerators = u64::from(spec.accelerators.0.max(1)) * u64::from(spec.tasks);
        let earlier = job.record.attained_ms.0 / accelerators;
        let ran = Millis(earlier).saturating_add(now.since(gang.started_ms));
        if gang.started_ms > Millis::ZERO {
            let team = &spec.key.team;
            self.estimates
                .record_run(team, &spec.class, spec.declared_run_ms, ran);
        }
        for assignment in &gang.assignments {
            let health = &mut self.pool.worker_mut(assignment.worker).health;
            self.bindings.dirty |= !health.is_up();
            health.record_success(ordinal, now);
        }
        if self.options.quarantine {
            for (ix, failed_ms) in &job.failed_on {
                self.pool
                    .worker_mut(*ix)
                    .health
                    .confirm_failure(*failed_ms, now);
                self.bindings.dirty = true;
            }
        }
        self.actions.push(Action::Commit(JobTransition::Ended {
            job: spec.key.clone(),
            outcome: JobOutcome::Succeeded { results },
        }));
        self.capacity_freed();
    }

    /// Requests the commit that follows an attempt of which all tasks are gone.
    fn close_attempt(&mut self, ordinal: u64, after_stop: AfterStop, now: Millis) {
        let attempts_max = self.attempts_max(ordinal);
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::CommittingEnd;
        let started = gang.started;
        let counted = matches!(
            after_stop,
            AfterStop::Requeue(
                RequeueCause::TaskFailed | RequeueCause::OverMemory | RequeueCause::PrepareFailed
            )
        );
        job.failed_attempts += u32::from(counted);
        let exhausted = job.failed_attempts >= attempts_max;
        let results: Vec<SmolStr> = gang
            .assignments
            .iter()
            .filter_map(|p| p.result.clone())
            .collect();
        let all_succeeded = results.len() == gang.assignments.len() && started;
        let outcome = if all_succeeded {
            Some(JobOutcome::Succeeded { results })
        } else {
            final_outcome(job, &after_stop, exhausted)
        };
        let key = job.record.spec.key.clone();
        let transition = match (outcome, after_stop) {
            (Some(outcome), _) | (None, AfterStop::End(outcome)) => {
                JobTransition::Ended { job: key, outcome }
            }
            (None, AfterStop::Requeue(cause)) => {
                let (code, sentence) = requeue_explanation(&cause);
                let transition = requeue_transition(job, cause, now);
                self.explain_job(ordinal, code, sentence);
                transition
            }
        };
        for ix in self.workers_of(ordinal) {
            self.pool.worker_mut(ix).health.end_probe(ordinal);
        }
        self.actions.push(Action::Commit(transition));
    }

    fn workers_of(&self, ordinal: u64) -> Vec<u32> {
        let gang = self.jobs.get(&ordinal).and_then(|job| job.gang.as_ref());
        let assignments = gang.into_iter().flat_map(|gang| &gang.assignments);
        assignments.map(|assignment| assignment.worker).collect()
    }

    fn attempts_max(&self, ordinal: u64) -> u32 {
        let team = &self.jobs[&ordinal].record.spec.key.team;
        self.in_force
            .teams
            .get(team)
            .map_or(1, |team| team.attempts_max.max(1))
    }

    /// Stops gangs whose current stage has timed out.
    pub(super) fn check_gang_timeouts(&mut self, now: Millis) {
        let due: Vec<(u64, AfterStop)> = self
            .jobs
            .iter()
            .filter_map(|(ordinal, job)| Some((*ordinal, timeout_action(job.gang.as_ref()?, now)?)))
            .collect();
        for (ordinal, after_stop) in due {
            self.stop_gang(ordinal, after_stop, now);
        }
    }
}

fn timeout_action(gang: &Gang, now: Millis) -> Option<AfterStop> {
    match &gang.stage {
        Stage::Preparing if now.since(gang.placed_ms) > PREPARE_TIMEOUT_MS => {
            Some(AfterStop::Requeue(RequeueCause::PrepareFailed))
        }
        Stage::Checkpointing { cause, until_ms } if now >= *until_ms => {
            Some(AfterStop::Requeue(cause.clone()))
        }
        _ => None,
    }
}

/// The outcome of the job if it ends with this attempt.
fn final_outcome(job: &Job, after_stop: &AfterStop, exhausted: bool) -> Option<JobOutcome> {
    let gang = job.gang.as_ref().expect("its attempt just closed");
    let record = &job.record;
    let cancelled = record.cancel_requested || *after_stop == AfterStop::End(JobOutcome::Cancelled);
    if cancelled && !record.started_once {
        let reason = NotRunReason::Cancelled;
        return Some(JobOutcome::NotRun { reason });
    }
    if cancelled {
        return Some(JobOutcome::Cancelled);
    }
    let AfterStop::Requeue(cause) = after_stop else {
        return None;
    };
    let failed = matches!(cause, RequeueCause::TaskFailed | RequeueCause::OverMemory);
    let text = gang
        .cause
        .clone()
        .unwrap_or_else(|| requeue_explanation(cause).1.into());
    if !record.spec.idempotent && gang.started {
        return Some(if failed {
            JobOutcome::Failed { cause: text }
        } else {
            JobOutcome::Unknown { cause: text }
        });
    }
    if *cause == RequeueCause::OverMemory && gang.increased_memory_mb.is_none() {
        return Some(JobOutcome::Failed { cause: text });
    }
    if !exhausted {
        return None;
    }
    if record.started_once {
        return Some(JobOutcome::Failed { cause: text });
    }
    let reason = NotRunReason::AttemptsExhausted { cause: text };
    Some(JobOutcome::NotRun { reason })
}

fn requeue_transition(job: &Job, cause: RequeueCause, now: Millis) -> JobTransition {
    let gang = job.gang.as_ref().expect("its attempt just closed");
    let spec = &job.record.spec;
    let accelerators = u64::from(spec.accelerators.0.max(1)) * u64::from(spec.tasks);
    let ran = if gang.started {
        now.since(gang.started_ms).0
    } else {
        0
    };
    let fresh = gang.checkpoints();
    JobTransition::Requeued {
        job: spec.key.clone(),
        attempt: gang.attempt,
        cause,
        checkpoints: if fresh.is_empty() {
            job.record.checkpoints.clone()
        } else {
            fresh
        },
        attained_ms: job
            .record
            .attained_ms
            .saturating_add(Millis(ran.saturating_mul(accelerators))),
        memory_mb: gang.increased_memory_mb.unwrap_or(job.record.memory_mb),
    }
}

const fn requeue_explanation(cause: &RequeueCause) -> (&'static str, &'static str) {
    match cause {
        RequeueCause::PrepareFailed => (
            "prepare_failed",
            "A worker refused or went silent before the start; nothing ran.",
        ),
        RequeueCause::Reclaimed => ("reclaimed", "Another team's guarantee was reclaimed."),
        RequeueCause::ZoneOut => ("zone_out", "The availability zone was taken out."),
        RequeueCause::Moved => ("moved", "The gang was moved so that a larger one fits."),
        RequeueCause::WorkerLost => ("worker_lost", "A worker of the gang was lost."),
        RequeueCause::TaskFailed => (
            "task_failed",
            "A task failed; the job is tried again elsewhere.",
        ),
        RequeueCause::OverMemory => ("over_memory", "A task passed its memory limit."),
    }
}
