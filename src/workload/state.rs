use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tracing::info;

use super::index::Index;
use super::job::{Job, Phase, StepState};
use super::submit::add_occurrence;
use super::{
    Declaration, DeclarationFault, JobNumber, JobSpec, Placement, RunEnd, RunKey, SpecFault,
    StepKey, TaskKey, TaskName, Transition, WorkerIncarnation,
};
use crate::units::{JobId, Millis, TeamId, WallMs, WorkerId, ZoneId};

/// How long an ended job remains known.
const ENDED_RETENTION_MS: Millis = Millis(600_000);
/// How long a departed worker is remembered.
const DEPARTED_RETENTION_MS: Millis = Millis(120_000);
/// The maximum number of ended jobs that remain known.
const ENDED_JOBS_MAX: usize = 50_000;

/// The replicated state: the declaration in force, its jobs, and closed availability zones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workload {
    pub(super) declaration: Option<Arc<Declaration>>,
    closed_zones: BTreeSet<ZoneId>,
    pub(super) jobs: BTreeMap<JobNumber, Job>,
    pub(super) last_number: JobNumber,
    /// Workers that have deregistered, with the incarnation that did and the time.
    departed: BTreeMap<WorkerId, (WorkerIncarnation, WallMs)>,
    /// Runs whose end is only presumed, with their last placement. It is the last field, so that
    /// [`Workload::MISSING_TAIL`] completes a snapshot from before it.
    unheard_ends: BTreeMap<RunKey, Placement>,
    #[serde(skip)]
    pub(super) index: Index,
}

/// A command that changes the workload.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkloadCommand {
    /// Puts the declaration in force if its version is higher than the current one.
    Declare(Arc<Declaration>),
    /// Closes an availability zone for new runs, or reopens it.
    SetZone {
        /// The availability zone.
        zone: ZoneId,
        /// Whether no new runs may start in the zone.
        closed: bool,
    },
    /// Accepts a job unless its id is known already.
    Submit {
        /// The id chosen by the caller.
        id: JobId,
        /// The requested host.
        host: smol_str::SmolStr,
        /// The requested path.
        path: smol_str::SmolStr,
        /// The team whose API key authenticated the request.
        team: Option<TeamId>,
        /// The submitted job.
        spec: Arc<JobSpec>,
    },
    /// Cancels a job.
    Cancel {
        /// The job to cancel.
        job: JobNumber,
    },
    /// Applies transitions of runs in this order.
    Transitions(Vec<Transition>),
    /// Records that a worker has deregistered, so that a later leader knows it too.
    Depart {
        /// The worker that has deregistered.
        worker: WorkerId,
        /// Its incarnation; a later one may register again.
        incarnation: WorkerIncarnation,
    },
}

/// The result of a [`WorkloadCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkloadReply {
    /// The command was applied or had no effect.
    Done,
    /// The declaration is rejected.
    Invalid(DeclarationFault),
    /// No queue matches the host and path.
    NoQueue,
    /// The job is invalid.
    BadJob(SpecFault),
    /// The limit of open jobs is reached.
    TooManyJobs,
    /// The id belongs to a job of another queue or team.
    OtherJob,
}

impl Workload {
    /// What snapshots of versions that did not record unheard ends lack at their end: an empty map.
    pub(crate) const MISSING_TAIL: [u8; 1] = [0];

    /// Applies a command. The same commands in the same order give the same state on every replica.
    pub fn apply(&mut self, command: &WorkloadCommand, now: WallMs) -> WorkloadReply {
        match command {
            WorkloadCommand::Declare(declaration) => self.declare(declaration),
            WorkloadCommand::SetZone { zone, closed: true } => {
                self.closed_zones.insert(zone.clone());
                WorkloadReply::Done
            }
            WorkloadCommand::SetZone { zone, .. } => {
                self.closed_zones.remove(zone);
                WorkloadReply::Done
            }
            WorkloadCommand::Submit {
                id,
                host,
                path,
                team,
                spec,
            } => self.submit(id, (host, path), team.as_ref(), spec, now),
            WorkloadCommand::Cancel { job } => {
                self.end_job(*job, Phase::Cancelled, now);
                WorkloadReply::Done
            }
            WorkloadCommand::Transitions(transitions) => {
                for transition in transitions {
                    self.apply_transition(transition, now);
                }
                WorkloadReply::Done
            }
            WorkloadCommand::Depart {
                worker,
                incarnation,
            } => {
                self.departed.insert(worker.clone(), (*incarnation, now));
                WorkloadReply::Done
            }
        }
    }

    /// Rebuilds the index, which snapshots do not contain.
    pub fn rebuild_index(&mut self) {
        self.index = Index::build(&self.jobs);
    }

    /// Removes ended jobs that are past their retention or exceed the maximum number.
    ///
    /// Departed workers are forgotten once none of their reports can still be on its way.
    pub fn expire(&mut self, now: WallMs) {
        self.departed
            .retain(|_worker, (_incarnation, at)| now.since(*at) < DEPARTED_RETENTION_MS);
        while let Some((ended_ms, number)) = self.index.oldest_ended() {
            let is_old = now.since(ended_ms) >= ENDED_RETENTION_MS;
            if !is_old && self.index.ended_len() <= ENDED_JOBS_MAX {
                return;
            }
            self.index.remove_ended(ended_ms, number);
            if let Some(job) = self.jobs.remove(&number) {
                self.index.remove_id(&job.id, number);
            }
        }
    }

    /// The declaration in force.
    #[must_use]
    pub const fn declaration(&self) -> Option<&Arc<Declaration>> {
        self.declaration.as_ref()
    }

    /// Whether new runs may start in an availability zone.
    #[must_use]
    pub fn is_zone_open(&self, zone: &ZoneId) -> bool {
        !self.closed_zones.contains(zone)
    }

    /// Runs whose end is only presumed, each with its last placement.
    pub fn unheard_ends(&self) -> impl Iterator<Item = (RunKey, &Placement)> {
        self.unheard_ends.iter().map(|(run, place)| (*run, place))
    }

    /// Whether this incarnation of a worker, or a later one, has deregistered.
    #[must_use]
    pub fn has_departed(&self, worker: &WorkerId, incarnation: WorkerIncarnation) -> bool {
        let departed = self.departed.get(worker);
        departed.is_some_and(|(departed, _at)| *departed >= incarnation)
    }

    /// Whether any life of a worker is remembered as departed.
    #[must_use]
    pub fn is_departed(&self, worker: &WorkerId) -> bool {
        self.departed.contains_key(worker)
    }

    /// Looks up a job by number.
    #[must_use]
    pub fn job(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// The number of the job with this id.
    #[must_use]
    pub fn job_number(&self, id: &JobId) -> Option<JobNumber> {
        self.index.job_number(id)
    }

    /// The jobs that have not ended, in the order of acceptance.
    pub fn open_jobs(&self) -> impl Iterator<Item = (JobNumber, &Job)> {
        let open = self.index.open();
        open.filter_map(|number| Some((number, self.jobs.get(&number)?)))
    }

    /// The runs placed on a worker, each with the worker's incarnation.
    pub fn runs_placed_on(
        &self,
        worker: &WorkerId,
    ) -> impl Iterator<Item = (RunKey, WorkerIncarnation)> + '_ {
        let tasks = self.index.tasks_placed_on(worker);
        tasks.filter_map(|key| {
            let task = self.task(key)?;
            let placement = task.placement.as_ref()?;
            let run = RunKey {
                task: key,
                run: task.run,
            };
            Some((run, placement.incarnation))
        })
    }

    /// The workers on which at least one run is placed.
    pub fn workers_with_runs(&self) -> impl Iterator<Item = &WorkerId> {
        self.index.workers()
    }

    /// The resources allocated to the runs placed on a worker.
    #[must_use]
    pub fn allocated_on(&self, worker: &WorkerId) -> super::Resources {
        self.index.allocated_on(worker)
    }

    /// What a team may still place within its maximum.
    #[must_use]
    pub fn team_headroom(&self, team: &TeamId) -> super::Resources {
        let declaration = self.declaration.as_ref();
        let maximum = declaration.map(|declaration| declaration.team_maximum(team));
        maximum
            .unwrap_or_default()
            .remaining(self.index.team_usage(team))
    }

    /// Whether a team's placed runs exceed its maximum, which a declaration may have lowered.
    #[must_use]
    pub fn exceeds_maximum(&self, team: &TeamId) -> bool {
        let declaration = self.declaration.as_ref();
        let maximum = declaration.map(|declaration| declaration.team_maximum(team));
        !maximum
            .unwrap_or_default()
            .allow(self.index.team_usage(team))
    }

    /// Looks up a task of an occurrence that is still retained.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&super::job::TaskState> {
        let (_step, state) = self.step(key.step)?;
        state.tasks.get(key.index as usize)
    }

    /// Looks up a step of an occurrence that is still retained, with its state.
    #[must_use]
    pub fn step(&self, key: StepKey) -> Option<(&super::Step, &StepState)> {
        let job = self.jobs.get(&key.job)?;
        let step = job.spec.steps.get(usize::from(key.step))?;
        let occurrence = job.occurrences.get(&key.occurrence)?;
        Some((step, occurrence.steps.get(usize::from(key.step))?))
    }

    /// Resolves a task name to its key.
    #[must_use]
    pub fn task_key(&self, name: &TaskName) -> Option<TaskKey> {
        let job = self.job_number(&name.job)?;
        let step = StepKey {
            job,
            occurrence: name.occurrence,
            step: name.step,
        };
        let index = name.index;
        Some(TaskKey { step, index })
    }

    /// The name of a task in messages to and from workers.
    #[must_use]
    pub fn task_name(&self, key: TaskKey) -> Option<TaskName> {
        let job = self.jobs.get(&key.step.job)?;
        Some(TaskName {
            job: job.id.clone(),
            occurrence: key.step.occurrence,
            step: key.step.step,
            index: key.index,
        })
    }

    fn declare(&mut self, declaration: &Arc<Declaration>) -> WorkloadReply {
        if let Err(fault) = declaration.check() {
            return WorkloadReply::Invalid(fault);
        }
        let current = self.declaration.as_ref().map(|held| held.version);
        if current.is_some_and(|version| declaration.version <= version) {
            return WorkloadReply::Done;
        }
        info!(
            event = "declaration_in_force",
            version = declaration.version,
            queues = declaration.queues.len()
        );
        self.declaration = Some(Arc::clone(declaration));
        for number in self.index.open().collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            if let Some(queue) = declaration.queue(&job.queue) {
                job.policy = queue.policy.clone();
            }
        }
        WorkloadReply::Done
    }

    fn apply_transition(&mut self, transition: &Transition, now: WallMs) {
        match transition {
            Transition::Due { job, occurrence } => {
                let job = self.jobs.get_mut(job);
                let due = |job: &&mut Job| {
                    !job.phase.is_ended()
                        && job.occurrences_due == *occurrence
                        && job.occurrences_due < job.spec.occurrences()
                };
                if let Some(job) = job.filter(due) {
                    add_occurrence(job);
                }
            }
            Transition::Placed { step, run, places } => self.apply_placements(*step, *run, places),
            Transition::Ended { run, end, saved } => {
                self.unheard_ends.remove(run);
                self.apply_end(*run, *end, saved, now);
            }
            Transition::Unheard { run, place } => {
                self.unheard_ends.insert(*run, place.clone());
            }
            Transition::Heard { run } => {
                self.unheard_ends.remove(run);
            }
        }
    }

    fn apply_placements(&mut self, key: StepKey, run: u32, places: &[(u32, Placement)]) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let at = usize::from(key.step);
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(at) else {
            return;
        };
        let occurrence = job.occurrences.get_mut(&key.occurrence);
        let state = occurrence.and_then(|occurrence| occurrence.steps.get_mut(at));
        let Some(state) = state else {
            return;
        };
        let fits = |(index, _place): &(u32, Placement)| {
            let task = state.tasks.get(*index as usize);
            task.is_some_and(|task| task.is_pending() && task.run < run)
        };
        if job.phase.is_ended() || !places.iter().all(fits) {
            return;
        }
        for (index, placement) in places {
            let task = &mut state.tasks[*index as usize];
            task.run = run;
            task.placement = Some(placement.clone());
            state.placed += 1;
            let index = *index;
            let task = TaskKey { step: key, index };
            let load = (job.team.as_ref(), step);
            self.index.add_placement(&placement.worker, task, load);
        }
        job.phase = Phase::Running;
    }

    fn apply_end(&mut self, run: RunKey, end: RunEnd, saved: &smol_str::SmolStr, now: WallMs) {
        let key = run.task.step;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let at = usize::from(key.step);
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(at) else {
            return;
        };
        let Some(occurrence) = job.occurrences.get_mut(&key.occurrence) else {
            return;
        };
        let Some(state) = occurrence.steps.get_mut(at) else {
            return;
        };
        let is_late_failure = state.is_late_failure(step, run.task.index, run.run, end);
        let Some(task) = state.tasks.get_mut(run.task.index as usize) else {
            return;
        };
        if task.run == run.run
            && let Some(placement) = task.placement.take()
        {
            state.placed -= 1;
            let load = (job.team.as_ref(), step);
            self.index
                .remove_placement(&placement.worker, run.task, load);
        } else if !task.is_late_success(run.run, end) && !is_late_failure {
            return;
        }
        let attempts_max = job.policy.attempts_max;
        let failed = state.record_end(step, (run.task.index, run.run), end, saved, attempts_max);
        self.end_if_complete(key.job, key.occurrence, failed, now);
    }

    /// Completes the occurrence and ends the job if their conditions are met.
    fn end_if_complete(&mut self, number: JobNumber, occurrence: u32, failed: bool, now: WallMs) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let Some(state) = job.occurrences.get_mut(&occurrence) {
            let all_done = state.steps.iter().all(StepState::is_complete);
            if all_done && !state.complete {
                state.complete = true;
                job.occurrences_complete += 1;
            }
            let is_empty = state.steps.iter().all(|step| step.placed == 0);
            if state.complete && is_empty {
                job.occurrences.remove(&occurrence);
            }
        }
        let is_complete = job.occurrences_complete >= job.spec.occurrences();
        if failed {
            self.end_job(number, Phase::Failed, now);
        } else if is_complete {
            self.end_job(number, Phase::Completed, now);
        }
        self.drop_tasks_if_ended(number);
    }

    fn end_job(&mut self, number: JobNumber, phase: Phase, now: WallMs) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.phase.is_ended() {
            return;
        }
        job.phase = phase;
        job.ended_ms = Some(now);
        self.index.move_to_ended(number, now);
        self.drop_tasks_if_ended(number);
    }

    /// Frees the tasks and specification of an ended job without placed runs; only its phase can
    /// still be asked for.
    fn drop_tasks_if_ended(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.phase.is_ended() && !job.has_placements() {
            job.occurrences.clear();
            job.spec = Arc::default();
        }
    }
}
