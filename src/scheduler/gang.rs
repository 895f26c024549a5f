use smol_str::SmolStr;

use super::resources::Resources;
use super::{Explanation, JobOutcome, JobRecord, RequeueCause};
use crate::fleet::{Checkpoint, DesiredState};
use crate::units::{Attempt, Incarnation, MemoryMb, Millis, OrdersVersion};

/// A job that has not ended, with the gang of its current attempt.
#[derive(Debug)]
pub(super) struct Job {
    /// The durable record. Its phase is not kept up to date here: see `gang`.
    pub(super) record: JobRecord,
    pub(super) gang: Option<Gang>,
    pub(super) explanation: Explanation,
    /// When this leader learned of the job, on the queue's clock, moved back by the job's age if it
    /// was submitted under an earlier leader.
    pub(super) arrival_ms: u64,
    /// The job's key in the queue while it is queued.
    pub(super) queued: Option<super::queue::QueueKey>,
    /// Since when no cell could hold the gang.
    pub(super) blocked_since_ms: Option<Millis>,
    /// Since when the job has waited although its team's guarantee has room for it.
    pub(super) guarantee_unmet_since_ms: Option<Millis>,
    /// Workers on which the job failed, and when.
    pub(super) failed_on: Vec<(u32, Millis)>,
    /// Failed attempts under this leader that count towards the team's limit.
    pub(super) failed_attempts: u32,
}

impl Job {
    /// The resources that each task of the next attempt needs.
    pub(super) const fn task_resources(&self) -> Resources {
        Resources {
            accelerators: self.record.spec.accelerators.0,
            cores: self.record.spec.cores.0,
            memory_mb: self.record.memory_mb.0,
        }
    }

    pub(super) fn has_failed_on(&self, ix: u32) -> bool {
        self.failed_on.iter().any(|(failed, _when)| *failed == ix)
    }

    /// Accelerators needed by the whole gang.
    pub(super) const fn accelerators(&self) -> u64 {
        self.record.spec.accelerators.0 as u64 * self.record.spec.tasks as u64
    }
}

/// The last known status of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TaskStatus {
    /// The worker has not reported the task yet.
    Unreported,
    Prepared,
    Refused,
    Running,
    Checkpointed,
    Stopped,
    Succeeded,
    Failed,
    OverMemory,
    /// The task holds no resources and cannot start any more.
    Gone,
}

/// The worker assigned to one task of the current attempt, with the task's status.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) worker: u32,
    pub(super) incarnation: Incarnation,
    pub(super) status: TaskStatus,
    /// The version of the orders that told the worker to stop the task.
    pub(super) stop_version: OrdersVersion,
    /// The last checkpoint written in this attempt.
    pub(super) checkpoint: Option<Checkpoint>,
    /// The result, if the task succeeded.
    pub(super) result: Option<SmolStr>,
}

/// What to commit once all tasks of a stopped gang are gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum AfterStop {
    Requeue(RequeueCause),
    End(JobOutcome),
}

/// The stage of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Workers are chosen; the commit of the placement is pending.
    CommittingPlacement,
    /// Workers prepare their tasks.
    Preparing,
    /// All tasks are prepared; the commit of the start is pending.
    CommittingStart,
    /// The start is committed; workers are ordered to run their tasks.
    Running,
    /// Tasks write checkpoints until the deadline.
    Checkpointing {
        cause: RequeueCause,
        until_ms: Millis,
    },
    /// Tasks are ordered to stop; the commit follows when all of them are gone.
    Stopping { after_stop: AfterStop },
    /// All tasks are gone; the commit of the attempt's end is pending.
    CommittingEnd,
    /// All tasks succeeded; the commit of the job's end is pending.
    CommittingSuccess,
    /// The job's end is committed; workers release their resources.
    Releasing,
}

/// The gang of one attempt.
#[derive(Debug)]
pub(super) struct Gang {
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
    pub(super) assignments: Vec<Assignment>,
    /// Resources of each task.
    pub(super) resources: Resources,
    /// Whether the gang must not be preempted, because it runs inside its team's guarantee or must
    /// not run again.
    pub(super) non_preemptible: bool,
    /// Whether an earlier leader placed the gang. Its resources may be counted twice for a while.
    pub(super) adopted: bool,
    /// Whether the start was committed.
    pub(super) started: bool,
    /// When the placement was chosen, or committed, under this leader.
    pub(super) placed_ms: Millis,
    /// When the start was committed.
    pub(super) started_ms: Millis,
    /// The run time expected at placement.
    pub(super) expected_run_ms: Millis,
    /// Stops the gang as soon as the pending commit completes.
    pub(super) stop_after_commit: Option<AfterStop>,
    /// Memory per task for the next attempt, if a task exceeded its limit.
    pub(super) increased_memory_mb: Option<MemoryMb>,
    /// The error of the first task that failed.
    pub(super) cause: Option<SmolStr>,
}

impl Gang {
    pub(super) fn all(&self, wanted: TaskStatus) -> bool {
        self.assignments
            .iter()
            .all(|assignment| assignment.status == wanted)
    }

    pub(super) fn any(&self, wanted: TaskStatus) -> bool {
        self.assignments
            .iter()
            .any(|assignment| assignment.status == wanted)
    }

    /// What workers are ordered to do with their tasks in this stage.
    pub(super) const fn desired_state(&self) -> Option<DesiredState> {
        match self.stage {
            Stage::CommittingPlacement | Stage::CommittingEnd => None,
            Stage::Preparing | Stage::CommittingStart => Some(DesiredState::Prepare),
            Stage::Running | Stage::CommittingSuccess => Some(DesiredState::Run),
            Stage::Checkpointing { .. } => Some(DesiredState::Checkpoint),
            Stage::Stopping { .. } | Stage::Releasing => Some(DesiredState::Stop),
        }
    }

    /// Whether the attempt is ending: its gang writes checkpoints, stops, or has ended.
    pub(super) const fn is_ending(&self) -> bool {
        !matches!(
            self.stage,
            Stage::CommittingPlacement | Stage::Preparing | Stage::CommittingStart | Stage::Running
        )
    }

    /// The checkpoints of all tasks, or an empty list if any task has none.
    pub(super) fn checkpoints(&self) -> Vec<Checkpoint> {
        let all: Option<Vec<_>> = self
            .assignments
            .iter()
            .map(|p| p.checkpoint.clone())
            .collect();
        all.unwrap_or_default()
    }
}
