use serde::{Deserialize, Serialize};

use crate::release_note::{Digest, NoteAnswer, ReleaseNote};
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::scheduler::{JobSpec, JobTransition, SubmitAnswer};
use crate::units::WallMs;
use crate::workload::{WorkloadCommand, WorkloadReply};

/// A command in the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock at the proposal. The state machine's clock takes the maximum of
    /// these, so that it never moves back.
    pub wall_ms: WallMs,
    /// The change to apply.
    pub body: CommandBody,
}

/// A change to the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandBody {
    /// Applies a release note as a whole, or not at all.
    ApplyNote {
        /// The note.
        note: Box<ReleaseNote>,
        /// The note's digest.
        digest: Digest,
    },
    /// Records that an attempt at a non-idempotent request begins.
    BeginRequest(Box<BeginRequest>),
    /// Records how an attempt at a non-idempotent request ended.
    FinishRequest(Box<FinishRequest>),
    /// Submits a job.
    SubmitJob(Box<JobSpec>),
    /// Applies a transition to a job.
    Job(Box<JobTransition>),
    /// Applies changes to the workload, in order.
    Workload(Vec<WorkloadCommand>),
    /// Only advances the state machine's clock, so that old records expire.
    Clock,
}

/// The result of applying a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The answer to a release note.
    Note(NoteAnswer),
    /// The answer to the begin of a request.
    Begin(BeginAnswer),
    /// The answer to the end of a request.
    Finish(FinishAnswer),
    /// The answer to a job submission.
    Submit(SubmitAnswer),
    /// Whether a job transition was applied.
    Job {
        /// False if the transition did not fit the job's state and changed nothing.
        applied: bool,
    },
    /// The answers to changes of the workload, in order.
    Workload(Vec<WorkloadReply>),
    /// The command has no result.
    Done,
}
