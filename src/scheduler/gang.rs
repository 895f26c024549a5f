use smol_str::SmolStr;

use super::resources::Resources;
use super::{Explanation, JobOutcome, JobRecord, RequeueCause};
use crate::fleet::{Checkpoint, DesiredState};
use crate::units::{Attempt, Incarnation, MemoryMb, Millis, OrdersVersion};

/// A job that has not ended, with the gang of its present attempt.
#[derive(Debug)]
pub(super) struct Job {
    /// The durable part; its phase is kept in `gang` instead.
    pub(super) record: JobRecord,
    pub(super) gang: Option<Gang>,
    pub(super) explanation: Explanation,
    /// When this leader first knew the job, earlier for jobs that were older then.
    pub(super) arrival_ms: u64,
    /// Place in the queue while it waits.
    pub(super) queued: Option<super::queue::QueueKey>,
    /// Since when no cell could hold it.
    pub(super) blocked_since_ms: Option<Millis>,
    /// Since when it waits although its team's guarantee has room for it.
    pub(super) guarantee_unmet_since_ms: Option<Millis>,
    /// Workers on which it failed, and when.
    pub(super) failed_on: Vec<(u32, Millis)>,
    /// Attempts under this leader that count against the team's limit.
    pub(super) failed_attempts: u32,
}

impl Job {
    /// What one task of the next attempt needs.
    pub(super) const fn task_resources(&self) -> Resources {
        Resources {
            accelerators: self.record.spec.accelerators.0,
            cores: self.record.spec.cores.0,
            memory_mb: self.record.memory_mb.0,
        }
    }

    /// Whether it failed on a worker.
    pub(super) fn has_failed_on(&self, ix: u32) -> bool {
        self.failed_on.iter().any(|(failed, _when)| *failed == ix)
    }

    /// Accelerators of the whole gang.
    pub(super) const fn accelerators(&self) -> u64 {
        self.record.spec.accelerators.0 as u64 * self.record.spec.tasks as u64
    }
}

/// What is known of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TaskStatus {
    /// Nothing was reported yet.
    Unreported,
    Prepared,
    Refused,
    Running,
    Checkpointed,
    Stopped,
    Succeeded,
    Failed,
    OverMemory,
    /// Certain to hold nothing and to start nothing any more.
    Gone,
}

/// One task's place in the present attempt.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) worker: u32,
    pub(super) incarnation: Incarnation,
    pub(super) status: TaskStatus,
    /// The orders that told the worker to stop it.
    pub(super) stop_version: OrdersVersion,
    /// Its last checkpoint in this attempt.
    pub(super) checkpoint: Option<Checkpoint>,
    /// The result of a task that succeeded.
    pub(super) result: Option<SmolStr>,
}

/// What follows when all members are gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum AfterStop {
    Requeue(RequeueCause),
    End(JobOutcome),
}

/// Where an attempt stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The places are chosen, their commit is asked for.
    CommittingPlacement,
    /// Members prepare.
    Preparing,
    /// All members prepared, the commit of the start is asked for.
    CommittingStart,
    /// The start is committed; members are ordered to run.
    Running,
    /// Members write checkpoints until the bound.
    Checkpointing {
        cause: RequeueCause,
        until_ms: Millis,
    },
    /// Members are told to stop; when all are gone the commit follows.
    Stopping { after_stop: AfterStop },
    /// Nothing is held any more, the commit of the end is asked for.
    CommittingEnd,
    /// All succeeded, the commit of the end is asked for.
    CommittingSuccess,
    /// The end is committed, members give back what they hold.
    Releasing,
}

/// The gang of one attempt.
#[derive(Debug)]
pub(super) struct Gang {
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
    pub(super) assignments: Vec<Assignment>,
    /// Load of each task.
    pub(super) resources: Resources,
    /// Whether it may not be reclaimed: it runs inside its team's guarantee, or may not run again.
    pub(super) non_preemptible: bool,
    /// Whether an earlier leader placed it, so that the books may count its room twice for a while.
    pub(super) adopted: bool,
    /// Whether the start was committed.
    pub(super) started: bool,
    /// When this leader chose the places.
    pub(super) placed_ms: Millis,
    /// When the start was committed.
    pub(super) started_ms: Millis,
    /// The run time that was expected at placement.
    pub(super) expected_run_ms: Millis,
    /// What to do instead once a commit in flight is known.
    pub(super) stop_after_commit: Option<AfterStop>,
    /// Memory for each task of the next attempt, where a task passed its own.
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

    /// What is ordered of a member in this stage.
    pub(super) const fn want(&self) -> Option<DesiredState> {
        match self.stage {
            Stage::CommittingPlacement | Stage::CommittingEnd => None,
            Stage::Preparing | Stage::CommittingStart => Some(DesiredState::Prepare),
            Stage::Running | Stage::CommittingSuccess => Some(DesiredState::Run),
            Stage::Checkpointing { .. } => Some(DesiredState::Checkpoint),
            Stage::Stopping { .. } | Stage::Releasing => Some(DesiredState::Stop),
        }
    }

    /// Whether the gang is on its way out already.
    pub(super) const fn is_leaving(&self) -> bool {
        !matches!(
            self.stage,
            Stage::CommittingPlacement | Stage::Preparing | Stage::CommittingStart | Stage::Running
        )
    }

    /// Checkpoints of all tasks, or none where the set is not whole.
    pub(super) fn checkpoints(&self) -> Vec<Checkpoint> {
        let all: Option<Vec<_>> = self
            .assignments
            .iter()
            .map(|p| p.checkpoint.clone())
            .collect();
        all.unwrap_or_default()
    }
}
