use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::Resources;
use crate::units::{Millis, WallMs};

/// Longest payload of a job in bytes.
pub const PAYLOAD_MAX_BYTES: usize = 16 * 1024;
/// Most steps of a job.
pub const STEPS_MAX: usize = 256;
/// Most tasks of a job's steps together.
pub const TASKS_MAX: u32 = 20_000;

/// What a caller submits: steps of equal tasks that run in the order of their dependencies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// What the tasks run, opaque to the scheduler.
    pub payload: SmolStr,
    /// The steps; a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// When the steps run; none for once, at once.
    pub schedule: Option<Schedule>,
}

/// When a job's steps run again; occurrences may overlap.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first_ms: WallMs,
    /// The time from one occurrence to the next.
    pub interval_ms: Millis,
    /// How many occurrences there are.
    pub occurrences: u32,
}

/// Equal tasks with one demand.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that a caller sets"
)]
pub struct Step {
    /// How many tasks there are.
    pub tasks: u32,
    /// What each task takes.
    pub demand: Resources,
    /// The caller's guess of a task's run time.
    pub estimate_ms: Millis,
    /// Earlier steps that must have ended first.
    pub depends_on: Vec<u16>,
    /// Whether the tasks save their progress.
    pub checkpoints: bool,
    /// Whether the tasks run together or not at all, and end together.
    pub gang: bool,
    /// Whether the tasks are much slower where they stand in more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<SmolStr>,
    /// The rack outside which the tasks are much slower.
    pub data_rack: Option<SmolStr>,
    /// Most tasks of one occurrence on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run, where that is known to behave alike.
    pub image: Option<SmolStr>,
    /// The latency that lasting tasks must keep for their own users.
    pub latency_target_ms: Option<Millis>,
    /// Whether the tasks take only processor time that others leave unused.
    pub best_effort_cpu: bool,
    /// How many lasting tasks may be away at once because of the scheduler's own actions.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// What a task takes of a worker's room; filling tasks take no processor time of it.
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

/// Why a job is not taken.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum SpecFault {
    /// There is no step, or a step without a task.
    #[error("a job has at least one step, and each step at least one task")]
    Empty,
    /// There are too many steps or tasks.
    #[error("a job has at most {STEPS_MAX} steps and {TASKS_MAX} tasks")]
    TooMany,
    /// The payload is too long.
    #[error("the payload has at most {PAYLOAD_MAX_BYTES} bytes")]
    PayloadTooLong,
    /// A step depends on itself or on a later one.
    #[error("a step may depend only on earlier steps")]
    BadDependency,
    /// There are several occurrences with no time between them.
    #[error("a repeated job needs a time between its occurrences")]
    NoInterval,
}

impl JobSpec {
    /// Checks what can be told without knowing the workers.
    ///
    /// # Errors
    /// The first fault found.
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

    /// How often the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Whether some step runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// The longest chain of steps by the time that each takes.
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
