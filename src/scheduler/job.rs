use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::Checkpoint;
use crate::release_note::Adjacency;
use crate::units::{
    Accelerators, Attempt, ClassName, Cores, Incarnation, JobId, MemoryMb, Millis, TaskIndex,
    TeamId, WallMs, WorkerId,
};

/// A job's identity: ids are unique within a team.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{team}/{id}")]
#[serde(deny_unknown_fields)]
pub struct JobKey {
    /// The team that owns the job.
    pub team: TeamId,
    /// The caller's id for it.
    pub id: JobId,
}

/// A job as its caller submits it: one gang of equal tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job's identity.
    pub key: JobKey,
    /// The class whose run times it shares.
    pub class: ClassName,
    /// Number of tasks, 1 to 512; all run or none.
    pub tasks: u32,
    /// Accelerators of each task: 0, 1, 2, 4 or 8, on one worker.
    pub accelerators: Accelerators,
    /// Cores of each task.
    pub cores: Cores,
    /// Memory of each task.
    pub memory_mb: MemoryMb,
    /// How close together the tasks must stand.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Whether the job may run again after it was started and lost.
    pub idempotent: bool,
    /// When the caller made the id; required of a job that is not idempotent, since an id that is
    /// older than the window in which records are kept is refused and never runs again.
    #[serde(default)]
    pub made_ms: Option<WallMs>,
    /// Whether it starts ahead of all work that is not urgent, inside its team's guarantee.
    #[serde(default)]
    pub urgent: bool,
    /// The caller's guess of the run time.
    pub declared_run_ms: Millis,
    /// When the result is needed, counted from submission.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
    /// What the tasks run, opaque to the scheduler, at most 16 KiB.
    #[serde(default)]
    pub payload: SmolStr,
}

/// One task's place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The task.
    pub index: TaskIndex,
    /// The worker that runs it.
    pub worker: WorkerId,
    /// The incarnation of that worker.
    pub incarnation: Incarnation,
}

/// Where a job stands in the durable state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// It waits; nothing of the present attempt ran.
    Waiting,
    /// It has places; its members prepare and nothing runs.
    Placed {
        /// The places.
        members: Vec<Member>,
    },
    /// The start was committed: from here on it may have run.
    Started {
        /// The places.
        members: Vec<Member>,
    },
    /// It has ended.
    Ended {
        /// How.
        outcome: JobOutcome,
    },
}

/// How a job ended, as its caller is told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks succeeded.
    Succeeded {
        /// The results in task order.
        results: Vec<SmolStr>,
    },
    /// It ran and failed.
    Failed {
        /// Why.
        cause: SmolStr,
    },
    /// It never ran and never will.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
    /// It was cancelled after it had run in part.
    Cancelled,
    /// It was started and lost, and may not run again.
    Unknown {
        /// What was lost.
        cause: SmolStr,
    },
}

/// Why a job never ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No declared rack or zone could ever hold it.
    NeverFits {
        /// The nearest shape that would fit, in words.
        nearest: SmolStr,
    },
    /// It was cancelled before it started.
    Cancelled,
    /// Its team has as many waiting jobs as it may have.
    QueueFull,
    /// Its team does not exist, or was withdrawn while it waited.
    NoSuchTeam,
    /// Its id was made longer ago than the time for which ids are remembered.
    TooOld,
    /// Its id was made in the future by the leader's clock, or it does not say when.
    NoMadeTime,
    /// Its attempts ended before any start.
    AttemptsExhausted {
        /// The last cause.
        cause: SmolStr,
    },
}

/// Why an attempt ended without ending the job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequeueCause {
    /// A member refused or went silent before the start.
    PrepareFailed,
    /// Another team's guarantee was reclaimed.
    Reclaimed,
    /// Its availability zone was taken out.
    ZoneOut,
    /// It was moved to mend fragmentation.
    Moved,
    /// A member's worker was lost.
    WorkerLost,
    /// A task failed, and the job may be tried again.
    TaskFailed,
    /// A task was stopped for its memory, and is tried again larger.
    OverMemory,
}

/// A change of a job that must be committed before anyone acts on it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobTransition {
    /// Places were chosen.
    Placed {
        /// The job.
        job: JobKey,
        /// The new attempt.
        attempt: Attempt,
        /// The places.
        members: Vec<Member>,
    },
    /// All members prepared; the gang may start.
    Started {
        /// The job.
        job: JobKey,
        /// The attempt.
        attempt: Attempt,
    },
    /// The attempt ended and the job waits again.
    Requeued {
        /// The job.
        job: JobKey,
        /// The attempt that ended.
        attempt: Attempt,
        /// Why.
        cause: RequeueCause,
        /// Checkpoints by task, where the attempt left a whole set.
        checkpoints: Vec<Checkpoint>,
        /// Accelerator-milliseconds that the team has now received with this job.
        attained_ms: Millis,
        /// Memory for each task of the next attempt.
        memory_mb: MemoryMb,
    },
    /// The caller asked to cancel; it takes effect when the members have stopped.
    CancelRequested {
        /// The job.
        job: JobKey,
    },
    /// The job ended.
    Ended {
        /// The job.
        job: JobKey,
        /// How.
        outcome: JobOutcome,
    },
}

/// A job in the durable state: what a new leader starts from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: JobSpec,
    /// When it was accepted.
    pub submitted_ms: WallMs,
    /// The order in which jobs were accepted.
    pub ordinal: u64,
    /// Where it stands.
    pub phase: JobPhase,
    /// The last attempt; zero before the first.
    pub attempt: Attempt,
    /// Whether any attempt was started.
    pub started_once: bool,
    /// Whether a cancel was asked for.
    pub cancel_requested: bool,
    /// Checkpoints by task to resume from; empty for none.
    pub checkpoints: Vec<Checkpoint>,
    /// Service received in earlier attempts.
    pub attained_ms: Millis,
    /// Memory for each task of the next attempt.
    pub memory_mb: MemoryMb,
    /// When it ended.
    pub ended_ms: Option<WallMs>,
}

impl JobTransition {
    /// The job that it is about.
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
    /// A job that was just accepted.
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

/// The answer to a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitAnswer {
    /// The job is kept and will run, or was kept by an earlier submission.
    Accepted,
    /// The id was used with other content; the earlier job stands.
    IdTaken,
    /// The job is refused and did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
    },
}
