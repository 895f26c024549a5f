use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{JobSpec, Placement, QueuePath, QueuePolicy, RunEnd, Step};
use crate::units::{JobId, TeamId, WallMs};

/// The phase of a job, as reported to its caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// No task has been placed yet.
    #[default]
    Queued,
    /// At least one task has been placed.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task or gang has used up its attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl Phase {
    /// Whether the job is over, so that none of its tasks starts any more.
    #[must_use]
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The id chosen by the caller.
    pub id: JobId,
    /// The queue to which it was submitted.
    pub queue: QueuePath,
    /// The team that submitted it; `None` on a public queue without an API key.
    pub team: Option<TeamId>,
    /// The queue's policy, as last declared.
    pub policy: QueuePolicy,
    /// The submitted specification.
    pub spec: Arc<JobSpec>,
    /// When it was accepted.
    pub accepted_ms: WallMs,
    /// The current phase.
    pub phase: Phase,
    /// When it ended.
    pub ended_ms: Option<WallMs>,
    /// Occurrences that have become due and still have pending tasks or placed runs.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The number of occurrences that have become due.
    pub occurrences_due: u32,
    /// The number of completed occurrences.
    pub occurrences_complete: u32,
}

/// One execution of all steps of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// The state of the steps, in the order of the specification.
    pub steps: Vec<StepState>,
    /// Whether all steps are complete.
    pub complete: bool,
}

/// The state of a step within one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepState {
    /// The state of its tasks, by index.
    pub tasks: Vec<TaskState>,
    /// The number of tasks that have succeeded.
    pub done: u32,
    /// The number of tasks that have a placement.
    pub placed: u32,
    /// The runs that failed as a gang, each once, however many of its members failed.
    pub failed_runs: Vec<u32>,
    /// The checkpoint from which the whole gang resumes.
    pub gang_checkpoint: SmolStr,
}

/// The state of a task within one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskState {
    /// The number of its latest run; 0 before the first.
    pub run: u32,
    /// The runs that failed.
    pub failed_runs: Vec<u32>,
    /// Whether it has succeeded.
    pub done: bool,
    /// Where it runs, or may still be running.
    pub placement: Option<Placement>,
    /// The checkpoint from which it resumes; empty if there is none.
    pub checkpoint: SmolStr,
}

impl StepState {
    /// Creates the state of a step none of whose tasks has run.
    #[must_use]
    pub fn new(step: &Step) -> Self {
        let tasks = vec![TaskState::default(); step.tasks as usize];
        Self {
            tasks,
            ..Self::default()
        }
    }

    /// Whether all tasks have succeeded.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// The number of tasks that are neither placed nor done.
    #[must_use]
    pub fn pending_tasks(&self) -> u32 {
        let pending = self.tasks.iter().filter(|task| task.is_pending());
        u32::try_from(pending.count()).unwrap_or(u32::MAX)
    }

    /// The number of the next run, which all members of a gang share.
    #[must_use]
    pub fn next_run_number(&self, step: &Step, index: u32) -> u32 {
        if step.gang {
            let last = self.tasks.iter().map(|task| task.run).max();
            last.unwrap_or_default().saturating_add(1)
        } else {
            let task = self.tasks.get(index as usize);
            task.map_or(1, |task| task.run.saturating_add(1))
        }
    }

    /// The checkpoint from which the next run of a task resumes.
    #[must_use]
    pub fn checkpoint_for(&self, step: &Step, index: u32) -> SmolStr {
        if step.gang {
            return self.gang_checkpoint.clone();
        }
        let task = self.tasks.get(index as usize);
        task.map(|task| task.checkpoint.clone()).unwrap_or_default()
    }

    /// Records the end of a task's current run, and returns whether the job fails because of it.
    pub(super) fn record_end(
        &mut self,
        step: &Step,
        (index, run): (u32, u32),
        end: RunEnd,
        checkpoint: &SmolStr,
        attempts_max: u32,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if !checkpoint.is_empty() && step.gang {
            self.gang_checkpoint = checkpoint.clone();
        } else if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
        match end {
            RunEnd::Done | RunEnd::Failed if step.long_running => false,
            RunEnd::Done => {
                self.mark_done(step, index);
                false
            }
            RunEnd::Failed => {
                let failed_runs = if step.gang {
                    &mut self.failed_runs
                } else {
                    &mut task.failed_runs
                };
                if !failed_runs.contains(&run) {
                    failed_runs.push(run);
                }
                failed_runs.len() >= attempts_max as usize
            }
            RunEnd::Stopped
            | RunEnd::Lapsed
            | RunEnd::Broken
            | RunEnd::Alone
            | RunEnd::Refused
            | RunEnd::Withdrawn => false,
        }
    }

    /// Whether a run that had been given up is now known to have failed, which uses up an attempt
    /// all the same.
    #[must_use]
    pub fn is_late_failure(&self, step: &Step, index: u32, run: u32, end: RunEnd) -> bool {
        let Some(task) = self.tasks.get(index as usize) else {
            return false;
        };
        let failed_runs = if step.gang {
            &self.failed_runs
        } else {
            &task.failed_runs
        };
        let is_known = (1..=task.run).contains(&run);
        end == RunEnd::Failed && is_known && !task.done && !failed_runs.contains(&run)
    }

    /// Marks a task as done; the success of one gang member completes the whole gang.
    fn mark_done(&mut self, step: &Step, index: u32) {
        let last = self.tasks.len();
        let ended = if step.gang {
            0..last
        } else {
            index as usize..index as usize + 1
        };
        for task in &mut self.tasks[ended] {
            if !task.done {
                task.done = true;
                self.done += 1;
            }
        }
    }
}

impl TaskState {
    /// Whether the end of a run that had been given up still completes the task.
    ///
    /// A worker that was disconnected may report success later. The work is done by then, so no
    /// further run is needed.
    #[must_use]
    pub fn is_late_success(&self, run: u32, end: RunEnd) -> bool {
        end == RunEnd::Done && !self.done && (1..=self.run).contains(&run)
    }

    /// Whether the task is neither placed nor done.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        !self.done && self.placement.is_none()
    }
}

impl Job {
    /// The incomplete steps of an occurrence whose dependencies are complete, with their numbers
    /// and positions.
    pub fn ready_steps(
        &self,
        occurrence: &Occurrence,
    ) -> impl Iterator<Item = (u16, &Step, usize)> {
        let complete: Vec<bool> = occurrence
            .steps
            .iter()
            .map(StepState::is_complete)
            .collect();
        let steps = self.spec.steps.iter().enumerate().zip(0_u16..);
        steps.filter_map(move |((at, step), number)| {
            let is_incomplete = !complete.get(at).copied().unwrap_or(true);
            let dependencies = step.depends_on.iter();
            let is_ready = dependencies
                .copied()
                .all(|other| complete[usize::from(other)]);
            (is_incomplete && is_ready).then_some((number, step, at))
        })
    }

    /// When an occurrence is due; for a job without a schedule, when it was accepted.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> WallMs {
        self.spec.schedule.map_or(self.accepted_ms, |schedule| {
            let later = schedule
                .interval_ms
                .get()
                .saturating_mul(u64::from(occurrence));
            WallMs(schedule.first_ms.0.saturating_add(later))
        })
    }

    /// Whether any task has a placement.
    #[must_use]
    pub fn has_placements(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|o| &o.steps);
        steps.any(|step| step.placed > 0)
    }
}
