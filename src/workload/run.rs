use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{JobId, WorkerId};

/// A job's number in the replicated state, in the order of acceptance.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct JobNumber(pub u64);

/// A life of a worker: larger after each of its starts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WorkerIncarnation(pub u64);

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: JobNumber,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
}

/// A task.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Its index in the step, from 0.
    pub index: u32,
}

/// One start of a task; the members of a gang share the number.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{task}#{run}")]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// The number of the start, from 1.
    pub run: u32,
}

/// A task as workers name it.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskName {
    /// The job's id.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The index in the step, from 0.
    pub index: u32,
}

/// Where a task runs: one life of one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: WorkerIncarnation,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// The task has done its work.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was stopped by order.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out, or the worker that ran it is gone.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// It waited in vain for the other members of its gang.
    #[display("alone")]
    Alone,
    /// The worker did not start it.
    #[display("refused")]
    Refused,
    /// No worker was ever told to start it.
    #[display("withdrawn")]
    Withdrawn,
}

/// A change of a job's runs that the leader decided or learned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Transition {
    /// An occurrence is due.
    Due {
        /// The job.
        job: JobNumber,
        /// The occurrence.
        occurrence: u32,
    },
    /// Tasks have places; committing this is the permission to start them.
    Placed {
        /// The step.
        step: StepKey,
        /// The number of the start.
        run: u32,
        /// The tasks with their places.
        places: Vec<(u32, Placement)>,
    },
    /// A run is over.
    Ended {
        /// The run.
        run: RunKey,
        /// How it ended.
        end: RunEnd,
        /// The progress that was saved, empty where there is none.
        saved: SmolStr,
    },
}
