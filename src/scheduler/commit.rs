//! What follows when a transition was committed.

use super::gang::{Gang, Seen, Stage, Then};
use super::{JobOutcome, JobTransition, NotRunReason, RequeueCause, Scheduler};
use crate::units::{Attempt, Millis};

impl Scheduler {
    /// A transition was committed.
    pub(super) fn committed(&mut self, transition: JobTransition, now: Millis) {
        let Some(ordinal) = self.by_key.get(transition.job()).copied() else {
            return;
        };
        match transition {
            JobTransition::Placed { attempt, .. } => self.placed(ordinal, attempt, now),
            JobTransition::Started { attempt, .. } => self.started(ordinal, attempt, now),
            JobTransition::Requeued {
                attempt,
                cause,
                checkpoints,
                attained_ms,
                memory_mb,
                ..
            } => {
                let job = self.jobs.get_mut(&ordinal).expect("known by key");
                if job.gang.as_ref().is_none_or(|gang| gang.attempt != attempt) {
                    return;
                }
                job.record.checkpoints = checkpoints;
                job.record.attained_ms = attained_ms;
                job.record.memory_mb = memory_mb;
                job.gang = None;
                let ahead = matches!(
                    cause,
                    RequeueCause::ZoneOut
                        | RequeueCause::Reclaimed
                        | RequeueCause::Moved
                        | RequeueCause::WorkerLost
                );
                self.requeue(ordinal, if ahead { 1 } else { 2 });
                self.obey_cancel(ordinal);
            }
            JobTransition::CancelRequested { .. } => {
                let job = self.jobs.get_mut(&ordinal).expect("known by key");
                job.record.cancel_requested = true;
                self.obey_cancel(ordinal);
            }
            JobTransition::Ended { .. } => self.ended(ordinal),
        }
    }

    fn placed(&mut self, ordinal: u64, attempt: Attempt, now: Millis) {
        let Some(gang) = self.gang_of(ordinal, attempt, &Stage::Placing) else {
            return;
        };
        gang.placed_ms = now;
        gang.stage = Stage::Preparing;
        let abort = gang.abort.take();
        let job = self.jobs.get_mut(&ordinal).expect("its gang was found");
        job.record.attempt = attempt;
        match abort {
            Some(then) => {
                let gang = job.gang.as_mut().expect("its gang was found");
                gang.places.iter_mut().for_each(|p| p.seen = Seen::Gone);
                self.stop(ordinal, then, now);
            }
            None => self.changed_members(ordinal),
        }
    }

    fn started(&mut self, ordinal: u64, attempt: Attempt, now: Millis) {
        let Some(gang) = self.gang_of(ordinal, attempt, &Stage::Starting) else {
            return;
        };
        gang.started = true;
        gang.started_ms = now;
        gang.stage = Stage::Running;
        let abort = gang.abort.take();
        let job = self.jobs.get_mut(&ordinal).expect("its gang was found");
        job.record.started_once = true;
        if let Some(then) = abort {
            return self.stop(ordinal, then, now);
        }
        self.changed_members(ordinal);
        self.explain_job(ordinal, "running", "All tasks prepared, the gang runs.");
    }

    fn gang_of(&mut self, ordinal: u64, attempt: Attempt, stage: &Stage) -> Option<&mut Gang> {
        let gang = self.jobs.get_mut(&ordinal)?.gang.as_mut()?;
        (gang.attempt == attempt && gang.stage == *stage).then_some(gang)
    }

    fn ended(&mut self, ordinal: u64) {
        let job = self.jobs.get_mut(&ordinal).expect("known by key");
        let held = job.gang.as_mut().filter(|gang| !gang.all(Seen::Gone));
        let Some(gang) = held else {
            return self.forget(ordinal);
        };
        gang.stage = Stage::Releasing;
        self.order_stop(ordinal);
    }

    /// Carries out a cancel that was asked for.
    pub(super) fn obey_cancel(&mut self, ordinal: u64) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        if !job.record.cancel_requested {
            return;
        }
        if job.queued.is_some() {
            return self.end_waiting(ordinal, NotRunReason::Cancelled);
        }
        let Some(gang) = job.gang.as_mut() else {
            return;
        };
        let then = Then::End(JobOutcome::Cancelled);
        match gang.stage {
            Stage::Placing | Stage::Starting => gang.abort = Some(then),
            Stage::Preparing | Stage::Running | Stage::Checkpointing { .. } => {
                self.stop_cancelled(ordinal, then);
            }
            Stage::Stopping { .. } => gang.stage = Stage::Stopping { then },
            Stage::Closing | Stage::Ending | Stage::Releasing => {}
        }
    }

    fn stop_cancelled(&mut self, ordinal: u64, then: Then) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::Stopping { then };
        self.order_stop(ordinal);
        self.explain_job(
            ordinal,
            "cancelling",
            "A cancel was asked for, the tasks are stopped.",
        );
    }
}
