use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::Checkpoint;
use crate::release_note::Adjacency;
use crate::units::{
    Accelerators, Attempt, ClassName, Cores, Incarnation, JobId, MemoryMb, Millis, TaskIndex,
    TeamId, WallMs, WorkerId,
};

/// Identifies a job; ids are unique within a team.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{team}/{id}")]
#[serde(deny_unknown_fields)]
pub struct JobKey {
    /// The team that owns the job.
    pub team: TeamId,
    /// The id chosen by the caller.
    pub id: JobId,
}

/// A job as submitted by its caller: one gang of identical tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team and id of the job.
    pub key: JobKey,
    /// Jobs of one class are expected to have similar run times.
    pub class: ClassName,
    /// Number of tasks, 1 to 512. The gang runs as a whole or not at all.
    pub tasks: u32,
    /// Accelerators per task, all on one worker: 0, 1, 2, 4 or 8.
    pub accelerators: Accelerators,
    /// Cores per task.
    pub cores: Cores,
    /// Memory per task in megabytes.
    pub memory_mb: MemoryMb,
    /// The topology domain within which all tasks must be placed.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Whether the job may run again after it was started and its outcome was lost.
    pub idempotent: bool,
    /// When the caller created the id. Required for jobs that are not idempotent: an id older than
    /// the period for which records are kept is refused, so that such a job cannot run twice.
    #[serde(default)]
    pub made_ms: Option<WallMs>,
    /// Whether the job starts ahead of all non-urgent work within its team's guarantee.
    #[serde(default)]
    pub urgent: bool,
    /// The caller's estimate of the run time in milliseconds.
    pub declared_run_ms: Millis,
    /// When the result is needed, in milliseconds after submission.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
    /// What the tasks run; opaque to the scheduler, at most 16 KiB.
    #[serde(default)]
    pub payload: SmolStr,
}

/// The worker assigned to one task of a gang.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Index of the task in its gang.
    pub index: TaskIndex,
    /// The worker that runs the task.
    pub worker: WorkerId,
    /// The incarnation of that worker at placement.
    pub incarnation: Incarnation,
}

/// The phase of a job in the durable state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// The job is queued; nothing of the current attempt has run.
    Waiting,
    /// Workers are assigned and prepare the tasks; nothing runs yet.
    Placed {
        /// The assigned workers.
        members: Vec<Member>,
    },
    /// The start was committed; from now on tasks may have run.
    Started {
        /// The assigned workers.
        members: Vec<Member>,
    },
    /// The job has ended.
    Ended {
        /// The final outcome.
        outcome: JobOutcome,
    },
}

/// The outcome of a job as reported to its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks succeeded.
    Succeeded {
        /// The results in task order.
        results: Vec<SmolStr>,
    },
    /// The job ran and failed.
    Failed {
        /// The error that failed the job.
        cause: SmolStr,
    },
    /// The job never ran and never will.
    NotRun {
        /// Why the job did not run.
        reason: NotRunReason,
    },
    /// The job was cancelled after at least one attempt had started.
    Cancelled,
    /// The job was started and lost, and must not run again; whether it completed is not known.
    Unknown {
        /// What was lost.
        cause: SmolStr,
    },
}

/// Why a job never ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No declared rack or zone could ever hold the gang.
    NeverFits {
        /// Describes the nearest shape that would fit.
        nearest: SmolStr,
    },
    /// The job was cancelled before it started.
    Cancelled,
    /// The team has reached its limit of queued jobs.
    QueueFull,
    /// The team does not exist, or was withdrawn while the job was queued.
    NoSuchTeam,
    /// The id is older than the period for which ids are remembered.
    TooOld,
    /// The creation time of the id is missing, or lies in the future by the leader's clock.
    NoMadeTime,
    /// All attempts allowed by the team ended before any start.
    AttemptsExhausted {
        /// Why the last attempt ended.
        cause: SmolStr,
    },
}

/// Why an attempt ended and its job went back to the queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequeueCause {
    /// A worker refused its task or stopped polling before the start.
    PrepareFailed,
    /// Another team reclaimed its guarantee.
    Reclaimed,
    /// The availability zone was taken out of service.
    ZoneOut,
    /// The gang was moved to reduce fragmentation.
    Moved,
    /// A worker of the gang was lost.
    WorkerLost,
    /// A task failed and the job may be retried.
    TaskFailed,
    /// A task exceeded its memory limit; the next attempt gets more memory.
    OverMemory,
}

/// A change to a job that must be committed before anyone acts on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobTransition {
    /// Workers were assigned to a new attempt.
    Placed {
        /// The job.
        job: JobKey,
        /// The number of the new attempt.
        attempt: Attempt,
        /// The assigned workers.
        members: Vec<Member>,
    },
    /// All tasks are prepared; the gang may start.
    Started {
        /// The job.
        job: JobKey,
        /// The attempt that starts.
        attempt: Attempt,
    },
    /// The attempt ended and the job is queued again.
    Requeued {
        /// The job.
        job: JobKey,
        /// The attempt that ended.
        attempt: Attempt,
        /// Why the attempt ended.
        cause: RequeueCause,
        /// Checkpoints in task order; empty unless every task of the gang wrote one.
        checkpoints: Vec<Checkpoint>,
        /// Accelerator-milliseconds that the job has received so far, over all attempts.
        attained_ms: Millis,
        /// Memory per task for the next attempt, in megabytes.
        memory_mb: MemoryMb,
    },
    /// The caller asked to cancel; the job ends once its tasks have stopped.
    CancelRequested {
        /// The job.
        job: JobKey,
    },
    /// The job ended.
    Ended {
        /// The job.
        job: JobKey,
        /// The final outcome.
        outcome: JobOutcome,
    },
}

/// A job in the durable state, from which a new leader rebuilds its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// When the job was accepted.
    pub submitted_ms: WallMs,
    /// Position in the order in which jobs were accepted.
    pub ordinal: u64,
    /// The current phase.
    pub phase: JobPhase,
    /// The latest attempt; zero before the first.
    pub attempt: Attempt,
    /// Whether any attempt was ever started.
    pub started_once: bool,
    /// Whether the caller asked to cancel the job.
    pub cancel_requested: bool,
    /// Checkpoints in task order to resume from; empty if there are none.
    pub checkpoints: Vec<Checkpoint>,
    /// Accelerator-milliseconds received in earlier attempts.
    pub attained_ms: Millis,
    /// Memory per task for the next attempt, in megabytes.
    pub memory_mb: MemoryMb,
    /// When the job ended.
    pub ended_ms: Option<WallMs>,
}

impl JobTransition {
    /// The job that changes.
    #[must_use]
    pub const fn job(&self) -> &JobKey {
        match self {
            Self::Placed { job, .. }
            | Self::Started { job, .. }
            | Self::Requeued { job, .. }
            | Self::CancelRequested { job }
            | Self::Ended { job, .. } => job,
        }
    }
}

impl JobRecord {
    /// Creates the record of a job that was just accepted.
    #[must_use]
    pub const fn new(spec: JobSpec, submitted_ms: WallMs, ordinal: u64) -> Self {
        Self {
            memory_mb: spec.memory_mb,
            spec,
            submitted_ms,
            ordinal,
            phase: JobPhase::Waiting,
            attempt: Attempt::ZERO,
            started_once: false,
            cancel_requested: false,
            checkpoints: Vec::new(),
            attained_ms: Millis::ZERO,
            ended_ms: None,
        }
    }
}

/// The answer to a job submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitAnswer {
    /// The job is stored and will run; also the answer to a repeated submission of the same job.
    Accepted,
    /// The id is already used by a job with other content; that job is unchanged.
    IdTaken,
    /// The job was refused and did not run.
    NotRun {
        /// Why the job did not run.
        reason: NotRunReason,
    },
}
