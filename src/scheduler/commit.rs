//! Handles committed transitions.

use super::gang::{AfterStop, Gang, Stage, TaskStatus};
use super::{JobOutcome, JobTransition, NotRunReason, RequeueCause, Scheduler};
use crate::units::{Attempt, Millis};

impl Scheduler {
    pub(super) fn handle_committed(&mut self, transition: JobTransition, now: Millis) {
        let Some(ordinal) = self.by_key.get(transition.job()).copied() else {
            return;
        };
        match transition {
            JobTransition::Placed { attempt, .. } => self.on_placed(ordinal, attempt, now),
            JobTransition::Started { attempt, .. } => self.on_started(ordinal, attempt, now),
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
                let requeue_first = matches!(
                    cause,
                    RequeueCause::ZoneOut
                        | RequeueCause::Reclaimed
                        | RequeueCause::Moved
                        | RequeueCause::WorkerLost
                );
                self.enqueue(ordinal, if requeue_first { 1 } else { 2 });
                self.apply_cancel(ordinal);
            }
            JobTransition::CancelRequested { .. } => {
                let job = self.jobs.get_mut(&ordinal).expect("known by key");
                job.record.cancel_requested = true;
                self.apply_cancel(ordinal);
            }
            JobTransition::Ended { .. } => self.on_ended(ordinal),
        }
    }

    fn on_placed(&mut self, ordinal: u64, attempt: Attempt, now: Millis) {
        let Some(gang) = self.gang_in_stage(ordinal, attempt, &Stage::CommittingPlacement) else {
            return;
        };
        gang.placed_ms = now;
        gang.stage = Stage::Preparing;
        let stop_after_commit = gang.stop_after_commit.take();
        let job = self.jobs.get_mut(&ordinal).expect("its gang was found");
        job.record.attempt = attempt;
        match stop_after_commit {
            Some(after_stop) => {
                let gang = job.gang.as_mut().expect("its gang was found");
                gang.assignments
                    .iter_mut()
                    .for_each(|p| p.status = TaskStatus::Gone);
                self.stop_gang(ordinal, after_stop, now);
            }
            None => self.mark_members_changed(ordinal),
        }
    }

    fn on_started(&mut self, ordinal: u64, attempt: Attempt, now: Millis) {
        let Some(gang) = self.gang_in_stage(ordinal, attempt, &Stage::CommittingStart) else {
            return;
        };
        gang.started = true;
        gang.started_ms = now;
        gang.stage = Stage::Running;
        let stop_after_commit = gang.stop_after_commit.take();
        let job = self.jobs.get_mut(&ordinal).expect("its gang was found");
        job.record.started_once = true;
        if let Some(after_stop) = stop_after_commit {
            return self.stop_gang(ordinal, after_stop, now);
        }
        self.mark_members_changed(ordinal);
        self.explain_job(ordinal, "running", "All tasks prepared, the gang runs.");
    }

    fn gang_in_stage(
        &mut self,
        ordinal: u64,
        attempt: Attempt,
        stage: &Stage,
    ) -> Option<&mut Gang> {
        let gang = self.jobs.get_mut(&ordinal)?.gang.as_mut()?;
        (gang.attempt == attempt && gang.stage == *stage).then_some(gang)
    }

    fn on_ended(&mut self, ordinal: u64) {
        let job = self.jobs.get_mut(&ordinal).expect("known by key");
        let held = job.gang.as_mut().filter(|gang| !gang.all(TaskStatus::Gone));
        let Some(gang) = held else {
            return self.remove_job(ordinal);
        };
        gang.stage = Stage::Releasing;
        self.order_stop(ordinal);
    }

    /// Carries out a requested cancellation, as far as the job's stage allows.
    pub(super) fn apply_cancel(&mut self, ordinal: u64) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        if !job.record.cancel_requested {
            return;
        }
        if job.queued.is_some() {
            return self.end_waiting_job(ordinal, NotRunReason::Cancelled);
        }
        let Some(gang) = job.gang.as_mut() else {
            return;
        };
        let after_stop = AfterStop::End(JobOutcome::Cancelled);
        match gang.stage {
            Stage::CommittingPlacement | Stage::CommittingStart => {
                gang.stop_after_commit = Some(after_stop);
            }
            Stage::Preparing | Stage::Running | Stage::Checkpointing { .. } => {
                self.stop_cancelled(ordinal, after_stop);
            }
            Stage::Stopping { .. } => gang.stage = Stage::Stopping { after_stop },
            Stage::CommittingEnd | Stage::CommittingSuccess | Stage::Releasing => {}
        }
    }

    fn stop_cancelled(&mut self, ordinal: u64, after_stop: AfterStop) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let gang = job.gang.as_mut().expect("its stage was matched");
        gang.stage = Stage::Stopping { after_stop };
        self.order_stop(ordinal);
        self.explain_job(
            ordinal,
            "cancelling",
            "A cancel was asked for, the tasks are stopped.",
        );
    }
}
