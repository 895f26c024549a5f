use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{JobId, WorkerId};

/// A job's number in the replicated state, assigned in the order of acceptance.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct JobNumber(pub u64);

/// An incarnation of a worker, which grows with each restart.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WorkerIncarnation(pub u64);

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job that the step belongs to.
    pub job: JobNumber,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
}

/// Identifies a task.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step that the task belongs to.
    pub step: StepKey,
    /// The index within the step, counted from 0.
    pub index: u32,
}

/// Identifies one run of a task; the members of a gang share the run number.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{task}#{run}")]
pub struct RunKey {
    /// The task that is run.
    pub task: TaskKey,
    /// The run number, counted from 1.
    pub run: u32,
}

/// The name of a task in messages to and from workers.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskName {
    /// The id of the job.
    pub job: JobId,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The index within the step, counted from 0.
    pub index: u32,
}

/// The incarnation of a worker on which a task is placed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's incarnation; a restarted worker has none of the run's state.
    pub incarnation: WorkerIncarnation,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// The task succeeded.
    #[display("done")]
    Done,
    /// The task failed, through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// The worker stopped it as ordered.
    #[display("stopped")]
    Stopped,
    /// Its lease expired, or its worker was lost.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The other members of its gang did not start in time.
    #[display("alone")]
    Alone,
    /// The worker refused to start it.
    #[display("refused")]
    Refused,
    /// It was placed, but never started on its worker.
    #[display("withdrawn")]
    Withdrawn,
}

/// A change to a job's runs that the leader decided or learned from a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Transition {
    /// An occurrence is due.
    Due {
        /// The job with the schedule.
        job: JobNumber,
        /// The occurrence, counted from 0.
        occurrence: u32,
    },
    /// Tasks are placed. They may be started once this is committed.
    Placed {
        /// The step that the tasks belong to.
        step: StepKey,
        /// The number of the new runs.
        run: u32,
        /// The index of each task with its placement.
        places: Vec<(u32, Placement)>,
    },
    /// A run has ended.
    Ended {
        /// The run that ended.
        run: RunKey,
        /// How the run ended.
        end: RunEnd,
        /// The saved checkpoint; empty if there is none.
        saved: SmolStr,
    },
    /// The run's end was presumed: its worker has not listed it, and may still do so.
    Unheard {
        /// The run.
        run: RunKey,
        /// Where it was placed.
        place: Placement,
    },
    /// The end of a run of which it was presumed is known now, or can't count any more.
    Heard {
        /// The run.
        run: RunKey,
    },
}
