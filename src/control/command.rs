use serde::{Deserialize, Serialize};

use crate::release_note::{Digest, NoteAnswer, ReleaseNote};
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::scheduler::{JobSpec, JobTransition, SubmitAnswer};
use crate::units::WallMs;
use crate::workload::{WorkloadCommand, WorkloadReply};

/// One record of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock when it proposed this; the state machine never lets it fall.
    pub wall_ms: WallMs,
    /// What changes.
    pub body: CommandBody,
}

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandBody {
    /// Applies a release note as a whole, or not at all.
    ApplyNote {
        /// The note.
        note: Box<ReleaseNote>,
        /// Its digest.
        digest: Digest,
    },
    /// Records that an attempt at a non-idempotent request begins.
    BeginRequest(Box<BeginRequest>),
    /// Records how such an attempt ended.
    FinishRequest(Box<FinishRequest>),
    /// Accepts a job.
    SubmitJob(Box<JobSpec>),
    /// Changes a job.
    Job(Box<JobTransition>),
    /// Changes the workload, in order.
    Workload(Vec<WorkloadCommand>),
    /// Moves the state's clock on, so that old records expire.
    Clock,
}

/// What applying a command gave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The answer to a note.
    Note(NoteAnswer),
    /// The answer to a begin.
    Begin(BeginAnswer),
    /// The answer to a finish.
    Finish(FinishAnswer),
    /// The answer to a submission.
    Submit(SubmitAnswer),
    /// Whether the transition fitted the job's state and was applied.
    Job {
        /// False where the transition was out of date and changed nothing.
        applied: bool,
    },
    /// The answers to changes of the workload, in order.
    Workload(Vec<WorkloadReply>),
    /// Nothing to tell.
    Done,
}
