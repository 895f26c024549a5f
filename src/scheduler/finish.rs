//! How attempts move on and end.

use smol_str::SmolStr;

use super::gang::{Gang, Job, Place, Seen, Stage, Then};
use super::pool::Task;
use super::{Action, JobOutcome, JobTransition, NotRunReason, RequeueCause, Scheduler};
use crate::units::Millis;

/// How long members may take to prepare.
const PREPARE_MS: Millis = Millis(5_000);

impl Scheduler {
    /// Stops all members; `then` follows when they are gone.
    pub(super) fn stop(&mut self, ordinal: u64, then: Then, now: Millis) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("the job has a gang");
        gang.stage = Stage::Stopping { then };
        self.order_stop(ordinal);
        self.release_gone(ordinal, now);
        self.evaluate(ordinal, now);
    }

    pub(super) fn order_stop(&mut self, ordinal: u64) {
        let gang = self
            .jobs
            .get_mut(&ordinal)
            .and_then(|job| job.gang.as_mut());
        for place in gang.into_iter().flat_map(|gang| &mut gang.places) {
            place.stop_version = self.pool.worker(place.worker).version.next();
            self.changed.insert(place.worker);
        }
    }

    /// Gives back what members that are gone held.
    pub(super) fn release_gone(&mut self, ordinal: u64, now: Millis) {
        let Some(job) = self.jobs.get(&ordinal) else {
            return;
        };
        let Some(gang) = job.gang.as_ref() else {
            return;
        };
        let task = Task {
            load: gang.load,
            firm: gang.firm,
        };
        let mut released = false;
        for (at, place) in (0_u32..).zip(&gang.places) {
            let member = (ordinal, at);
            let held = self.pool.worker(place.worker).members.contains(&member);
            if place.seen == Seen::Gone && held {
                let team = &job.record.spec.key.team;
                self.pool.release(place.worker, member, team, task, now);
                released = true;
            }
        }
        if released {
            self.freed();
        }
    }

    /// Moves a gang on as far as what is known of its members allows.
    pub(super) fn evaluate(&mut self, ordinal: u64, now: Millis) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        let Some(gang) = job.gang.as_mut() else {
            return;
        };
        let broken = gang.places.iter().any(|p| {
            matches!(
                p.seen,
                Seen::Refused | Seen::Stopped | Seen::Gone | Seen::Failed | Seen::OverMemory
            )
        });
        let barred = gang
            .places
            .iter()
            .any(|p| p.seen == Seen::Prepared && self.pool.worker(p.worker).is_closed());
        match &gang.stage {
            Stage::Preparing if broken => {
                self.stop(ordinal, Then::Requeue(RequeueCause::PrepareFailed), now);
            }
            Stage::Preparing if gang.all(Seen::Prepared) => self.ask_start(ordinal),
            Stage::Starting if broken => {
                gang.abort
                    .get_or_insert(Then::Requeue(RequeueCause::WorkerLost));
            }
            Stage::Running | Stage::Checkpointing { .. } if gang.all(Seen::Succeeded) => {
                self.succeed(ordinal, now);
            }
            Stage::Running | Stage::Checkpointing { .. } if broken => {
                let cause = if gang.any(Seen::Failed) {
                    RequeueCause::TaskFailed
                } else if gang.any(Seen::OverMemory) {
                    RequeueCause::OverMemory
                } else {
                    RequeueCause::WorkerLost
                };
                self.stop(ordinal, Then::Requeue(cause), now);
            }
            Stage::Running if gang.any(Seen::Checkpointed) => {
                // An earlier leader had begun to move it; a paused member does not go on by itself.
                self.evict(ordinal, RequeueCause::Moved, now);
            }
            Stage::Running if barred => {
                self.stop(ordinal, Then::Requeue(RequeueCause::ZoneOut), now);
            }
            Stage::Checkpointing { cause, .. } if gang.any(Seen::Prepared) => {
                let then = Then::Requeue(cause.clone());
                self.stop(ordinal, then, now);
            }
            Stage::Checkpointing { cause, .. } => {
                let done = |p: &Place| matches!(p.seen, Seen::Checkpointed | Seen::Succeeded);
                if gang.places.iter().all(done) {
                    let then = Then::Requeue(cause.clone());
                    self.stop(ordinal, then, now);
                }
            }
            Stage::Stopping { then } => {
                if gang.all(Seen::Gone) {
                    let then = then.clone();
                    self.close(ordinal, then, now);
                }
            }
            Stage::Releasing => {
                if gang.all(Seen::Gone) {
                    self.forget(ordinal);
                }
            }
            Stage::Placing
            | Stage::Preparing
            | Stage::Starting
            | Stage::Running
            | Stage::Closing
            | Stage::Ending => {}
        }
    }

    fn ask_start(&mut self, ordinal: u64) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::Starting;
        self.out.push(Action::Commit(JobTransition::Started {
            job: job.record.spec.key.clone(),
            attempt: gang.attempt,
        }));
    }

    fn succeed(&mut self, ordinal: u64, now: Millis) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::Ending;
        let results = gang
            .places
            .iter()
            .filter_map(|p| p.result.clone())
            .collect();
        let spec = &job.record.spec;
        let width = u64::from(spec.accelerators.0.max(1)) * u64::from(spec.tasks);
        let earlier = job.record.attained_ms.0 / width;
        let ran = Millis(earlier).saturating_add(now.since(gang.started_ms));
        if gang.started_ms > Millis::ZERO {
            let team = &spec.key.team;
            self.estimates
                .learn(team, &spec.class, spec.declared_run_ms, ran);
        }
        for place in &gang.places {
            let health = &mut self.pool.worker_mut(place.worker).health;
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
        self.out.push(Action::Commit(JobTransition::Ended {
            job: spec.key.clone(),
            outcome: JobOutcome::Succeeded { results },
        }));
        self.freed();
    }

    /// Asks to commit what follows an attempt of which nothing is left.
    fn close(&mut self, ordinal: u64, then: Then, now: Millis) {
        let attempts_max = self.attempts_max(ordinal);
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::Closing;
        let started = gang.started;
        let counted = matches!(
            then,
            Then::Requeue(
                RequeueCause::TaskFailed | RequeueCause::OverMemory | RequeueCause::PrepareFailed
            )
        );
        job.failed_attempts += u32::from(counted);
        let exhausted = job.failed_attempts >= attempts_max;
        let results: Vec<SmolStr> = gang
            .places
            .iter()
            .filter_map(|p| p.result.clone())
            .collect();
        let whole = results.len() == gang.places.len() && started;
        let outcome = if whole {
            Some(JobOutcome::Succeeded { results })
        } else {
            outcome_of(job, &then, exhausted)
        };
        let key = job.record.spec.key.clone();
        let transition = match (outcome, then) {
            (Some(outcome), _) | (None, Then::End(outcome)) => {
                JobTransition::Ended { job: key, outcome }
            }
            (None, Then::Requeue(cause)) => {
                let (code, sentence) = requeue_words(&cause);
                let transition = requeued(job, cause, now);
                self.explain_job(ordinal, code, sentence);
                transition
            }
        };
        for ix in self.members_of(ordinal) {
            self.pool.worker_mut(ix).health.end_probe(ordinal);
        }
        self.out.push(Action::Commit(transition));
    }

    fn members_of(&self, ordinal: u64) -> Vec<u32> {
        let gang = self.jobs.get(&ordinal).and_then(|job| job.gang.as_ref());
        let places = gang.into_iter().flat_map(|gang| &gang.places);
        places.map(|place| place.worker).collect()
    }

    fn attempts_max(&self, ordinal: u64) -> u32 {
        let team = &self.jobs[&ordinal].record.spec.key.team;
        self.in_force
            .teams
            .get(team)
            .map_or(1, |team| team.attempts_max.max(1))
    }

    /// Stops attempts whose time for a step has passed.
    pub(super) fn watch_gangs(&mut self, now: Millis) {
        let due: Vec<(u64, Then)> = self
            .jobs
            .iter()
            .filter_map(|(ordinal, job)| Some((*ordinal, overdue(job.gang.as_ref()?, now)?)))
            .collect();
        for (ordinal, then) in due {
            self.stop(ordinal, then, now);
        }
    }
}

fn overdue(gang: &Gang, now: Millis) -> Option<Then> {
    match &gang.stage {
        Stage::Preparing if now.since(gang.placed_ms) > PREPARE_MS => {
            Some(Then::Requeue(RequeueCause::PrepareFailed))
        }
        Stage::Checkpointing { cause, until_ms } if now >= *until_ms => {
            Some(Then::Requeue(cause.clone()))
        }
        _ => None,
    }
}

/// How the job ends with this attempt, if it does.
fn outcome_of(job: &Job, then: &Then, exhausted: bool) -> Option<JobOutcome> {
    let gang = job.gang.as_ref().expect("its attempt just closed");
    let record = &job.record;
    let cancelled = record.cancel_requested || *then == Then::End(JobOutcome::Cancelled);
    if cancelled && !record.started_once {
        let reason = NotRunReason::Cancelled;
        return Some(JobOutcome::NotRun { reason });
    }
    if cancelled {
        return Some(JobOutcome::Cancelled);
    }
    let Then::Requeue(cause) = then else {
        return None;
    };
    let failed = matches!(cause, RequeueCause::TaskFailed | RequeueCause::OverMemory);
    let text = gang
        .cause
        .clone()
        .unwrap_or_else(|| requeue_words(cause).1.into());
    if !record.spec.idempotent && gang.started {
        return Some(if failed {
            JobOutcome::Failed { cause: text }
        } else {
            JobOutcome::Unknown { cause: text }
        });
    }
    if *cause == RequeueCause::OverMemory && gang.larger_memory_mb.is_none() {
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

fn requeued(job: &Job, cause: RequeueCause, now: Millis) -> JobTransition {
    let gang = job.gang.as_ref().expect("its attempt just closed");
    let spec = &job.record.spec;
    let width = u64::from(spec.accelerators.0.max(1)) * u64::from(spec.tasks);
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
            .saturating_add(Millis(ran.saturating_mul(width))),
        memory_mb: gang.larger_memory_mb.unwrap_or(job.record.memory_mb),
    }
}

const fn requeue_words(cause: &RequeueCause) -> (&'static str, &'static str) {
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
