use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::Resources;
use crate::units::{Millis, WallMs};

/// The maximum size of a job's payload in bytes.
pub const PAYLOAD_MAX_BYTES: usize = 16 * 1024;
/// The maximum number of steps in a job.
pub const STEPS_MAX: usize = 256;
/// The maximum number of tasks over all steps of a job.
pub const TASKS_MAX: u32 = 20_000;

/// A job as submitted: steps of identical tasks, executed in the order of their dependencies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// What the tasks run; opaque to the scheduler.
    pub payload: SmolStr,
    /// The steps; each may depend only on earlier ones.
    pub steps: Vec<Step>,
    /// When the steps run; `None` to run once, immediately.
    pub schedule: Option<Schedule>,
}

/// The schedule of a repeated job, whose occurrences may overlap.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first_ms: WallMs,
    /// The time from one occurrence to the next.
    pub interval_ms: Millis,
    /// The number of occurrences.
    pub occurrences: u32,
}

/// A step of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that a caller sets"
)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: Resources,
    /// The caller's estimate of a task's run time.
    pub estimate_ms: Millis,
    /// Earlier steps that must be complete before this one starts.
    pub depends_on: Vec<u16>,
    /// Whether the tasks save checkpoints from which they can resume.
    pub checkpoints: bool,
    /// Whether the tasks start and end together or not at all.
    pub gang: bool,
    /// Whether the tasks run much slower when spread over several racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<SmolStr>,
    /// The rack that holds the tasks' data; they run much slower elsewhere.
    pub data_rack: Option<SmolStr>,
    /// The maximum number of tasks of one occurrence on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether several runs of a task may be active at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run, if any; tasks with the same image behave alike.
    pub image: Option<SmolStr>,
    /// The latency that long-running tasks must keep for their users.
    pub latency_target_ms: Option<Millis>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub best_effort_cpu: bool,
    /// The maximum number of long-running tasks that the scheduler may interrupt at the same time.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// The resources that a task occupies on its worker. Best-effort tasks occupy no processor
    /// time.
    #[must_use]
    pub const fn allocation(&self) -> Resources {
        if self.best_effort_cpu {
            Resources {
                cpu_millicores: 0,
                ..self.demand
            }
        } else {
            self.demand
        }
    }
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum SpecFault {
    /// The job has no step, or a step has no task.
    #[error("a job has at least one step, and each step at least one task")]
    Empty,
    /// The job has too many steps or tasks.
    #[error("a job has at most {STEPS_MAX} steps and {TASKS_MAX} tasks")]
    TooMany,
    /// The payload is too long.
    #[error("the payload has at most {PAYLOAD_MAX_BYTES} bytes")]
    PayloadTooLong,
    /// A step depends on itself or on a later step.
    #[error("a step may depend only on earlier steps")]
    BadDependency,
    /// Several occurrences are scheduled without a time between them.
    #[error("a repeated job needs a time between its occurrences")]
    NoInterval,
}

impl JobSpec {
    /// Checks everything that does not depend on the available workers.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), SpecFault> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(SpecFault::Empty);
        }
        let tasks = self.steps.iter().map(|step| step.tasks);
        if self.steps.len() > STEPS_MAX || tasks.fold(0, u32::saturating_add) > TASKS_MAX {
            return Err(SpecFault::TooMany);
        }
        if self.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(SpecFault::PayloadTooLong);
        }
        let mut steps = self.steps.iter().enumerate();
        if steps.any(|(at, step)| {
            step.depends_on
                .iter()
                .any(|other| usize::from(*other) >= at)
        }) {
            return Err(SpecFault::BadDependency);
        }
        let schedule = self.schedule.as_ref();
        if schedule.is_some_and(|s| s.occurrences > 1 && s.interval_ms == Millis::ZERO) {
            return Err(SpecFault::NoInterval);
        }
        Ok(())
    }

    /// The number of times that all steps are run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Whether any step runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The length of the job's critical path, with the run time of each step given by `step_ms`.
    #[must_use]
    pub fn critical_path_ms(&self, step_ms: impl Fn(&Step) -> Millis) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let starts = step
                .depends_on
                .iter()
                .map(|other| ends[usize::from(*other)]);
            let start = starts.max().unwrap_or_default();
            ends.push(start.saturating_add(step_ms(step)));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
