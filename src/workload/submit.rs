use std::collections::BTreeMap;
use std::sync::Arc;

use super::job::{Job, Occurrence, Phase, StepState};
use super::state::{Workload, WorkloadReply};
use super::{JobNumber, JobSpec, Queue};
use crate::units::{JobId, TeamId, WallMs};

/// The maximum number of open jobs.
const OPEN_JOBS_MAX: usize = 20_000;

impl Workload {
    /// Accepts a job. Resubmitting a known job has no effect, so that callers can retry.
    pub(super) fn submit(
        &mut self,
        id: &JobId,
        (host, path): (&str, &str),
        team: Option<&TeamId>,
        spec: &Arc<JobSpec>,
        now: WallMs,
    ) -> WorkloadReply {
        let declaration = self.declaration.clone();
        let queue = declaration
            .as_ref()
            .and_then(|d| d.queue_for_path(host, path));
        let Some(queue) = queue else {
            return WorkloadReply::NoQueue;
        };
        if let Some(known) = self
            .job_number(id)
            .and_then(|number| self.jobs.get(&number))
        {
            let same = known.queue == queue.path && known.team.as_ref() == team;
            return if same {
                WorkloadReply::Done
            } else {
                WorkloadReply::OtherJob
            };
        }
        if let Err(fault) = spec.check() {
            return WorkloadReply::BadJob(fault);
        }
        if self.index.open().count() >= OPEN_JOBS_MAX {
            return WorkloadReply::TooManyJobs;
        }
        self.accept(id, queue, team, spec, now);
        WorkloadReply::Done
    }

    fn accept(
        &mut self,
        id: &JobId,
        queue: &Queue,
        team: Option<&TeamId>,
        spec: &Arc<JobSpec>,
        now: WallMs,
    ) {
        self.last_number = JobNumber(self.last_number.0 + 1);
        let number = self.last_number;
        let mut job = Job {
            id: id.clone(),
            queue: queue.path.clone(),
            team: team.cloned(),
            policy: queue.policy.clone(),
            spec: Arc::clone(spec),
            accepted_ms: now,
            phase: Phase::Queued,
            ended_ms: None,
            occurrences: BTreeMap::new(),
            occurrences_due: 0,
            occurrences_complete: 0,
        };
        if spec.schedule.is_none() {
            add_occurrence(&mut job);
        }
        self.index.insert_open(id, number);
        self.jobs.insert(number, job);
    }
}

/// Adds the next occurrence, with all of its tasks pending.
pub(super) fn add_occurrence(job: &mut Job) {
    let steps = job.spec.steps.iter().map(StepState::new).collect();
    let occurrence = Occurrence {
        steps,
        complete: false,
    };
    job.occurrences.insert(job.occurrences_due, occurrence);
    job.occurrences_due += 1;
}
