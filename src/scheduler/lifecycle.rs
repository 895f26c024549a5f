//! Adds jobs, queues them and places their gangs.

use smol_str::SmolStr;

use super::gang::{Assignment, Gang, Job, Stage, TaskStatus};
use super::pool::Allocation;
use super::queue::QueueKey;
use super::{
    Action, Explanation, JobOutcome, JobPhase, JobRecord, JobTransition, Member, NotRunReason,
    Scheduler,
};
use crate::units::{Millis, OrdersVersion};

/// The time on the queue's clock at which the scheduler's clock reads zero. It is positive so that
/// jobs submitted before the scheduler's clock started also have a time on the queue's clock.
const QUEUE_EPOCH_MS: u64 = 1 << 40;

impl Scheduler {
    /// Adds a job from the durable state or a new submission.
    pub(super) fn add_job(&mut self, mut record: JobRecord, age: Millis, now: Millis) {
        let ordinal = record.ordinal;
        let phase = std::mem::replace(&mut record.phase, JobPhase::Waiting);
        self.by_key.insert(record.spec.key.clone(), ordinal);
        let job = Job {
            record,
            gang: None,
            explanation: Explanation {
                code: SmolStr::new_static("accepted"),
                sentence: SmolStr::new_static(ACCEPTED),
            },
            arrival_ms: (QUEUE_EPOCH_MS + now.0.min(QUEUE_EPOCH_MS)).saturating_sub(age.0),
            queued: None,
            blocked_since_ms: None,
            guarantee_unmet_since_ms: None,
            failed_on: Vec::new(),
            failed_attempts: 0,
        };
        self.jobs.insert(ordinal, Box::new(job));
        match phase {
            JobPhase::Waiting => self.enqueue(ordinal, 2),
            JobPhase::Placed { members } => self.adopt(ordinal, &members, false, now),
            JobPhase::Started { members } => self.adopt(ordinal, &members, true, now),
            JobPhase::Ended { .. } => self.remove_job(ordinal),
        }
        self.apply_cancel(ordinal);
    }

    /// Rebuilds the gang of an attempt that an earlier leader committed.
    fn adopt(&mut self, ordinal: u64, members: &[Member], started: bool, now: Millis) {
        let mut assignments = Vec::with_capacity(members.len());
        for member in members {
            let worker = self.pool.ensure_worker(&member.worker);
            let known = self.pool.worker_mut(worker);
            known.incarnation = known.incarnation.max(member.incarnation);
            known.last_poll_ms = now;
            assignments.push(new_assignment(worker, member.incarnation));
        }
        let job = self.jobs.get(&ordinal).expect("the job was entered");
        let stage = if started {
            Stage::Running
        } else {
            Stage::Preparing
        };
        let non_preemptible = !job.record.spec.idempotent;
        let mut gang = new_gang(job, assignments, non_preemptible, now);
        gang.attempt = job.record.attempt;
        gang.stage = stage;
        gang.adopted = true;
        gang.started = started;
        self.allocate_gang(ordinal, gang);
    }

    /// Allocates the resources of a new gang on its workers.
    ///
    /// A gang whose placement is not committed yet appears in no orders, so the orders stay
    /// unchanged. A change would release a held poll, and that poll is needed to deliver the order
    /// to prepare.
    fn allocate_gang(&mut self, ordinal: u64, mut gang: Gang) {
        gang.expected_run_ms = self.expected_end(ordinal, Millis::ZERO);
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let allocation = Allocation {
            resources: gang.resources,
            non_preemptible: gang.non_preemptible,
        };
        let is_ordered = gang.desired_state().is_some();
        for (at, assignment) in (0_u32..).zip(&gang.assignments) {
            let team = &job.record.spec.key.team;
            self.pool
                .allocate(assignment.worker, (ordinal, at), team, allocation);
            if is_ordered {
                self.changed_workers.insert(assignment.worker);
            }
        }
        job.gang = Some(gang);
    }

    /// Assigns workers to a queued job and requests the commit of the placement.
    pub(super) fn place_gang(
        &mut self,
        ordinal: u64,
        workers: &[u32],
        non_preemptible: bool,
        now: Millis,
    ) {
        self.dequeue(ordinal);
        let assignments: Vec<Assignment> = workers
            .iter()
            .map(|ix| new_assignment(*ix, self.pool.worker(*ix).incarnation))
            .collect();
        let members = (0_u32..)
            .zip(&assignments)
            .map(|(index, assignment)| Member {
                index: index.into(),
                worker: self.pool.worker(assignment.worker).id.clone(),
                incarnation: assignment.incarnation,
            })
            .collect();
        let job = self.jobs.get_mut(&ordinal).expect("the job waits");
        job.blocked_since_ms = None;
        job.guarantee_unmet_since_ms = None;
        let gang = new_gang(job, assignments, non_preemptible, now);
        let transition = JobTransition::Placed {
            job: job.record.spec.key.clone(),
            attempt: gang.attempt,
            members,
        };
        for ix in workers {
            self.pool.worker_mut(*ix).health.begin_probe(ordinal);
        }
        self.allocate_gang(ordinal, gang);
        self.actions.push(Action::Commit(transition));
        let (code, sentence) = if non_preemptible {
            (
                "placed_in_guarantee",
                "Places were chosen that are kept for the team.",
            )
        } else {
            (
                "placed_borrowed",
                "Places were chosen that another team's guarantee may reclaim.",
            )
        };
        self.explain_job(ordinal, code, sentence);
    }

    /// Removes a job that ended and holds nothing.
    pub(super) fn remove_job(&mut self, ordinal: u64) {
        self.dequeue(ordinal);
        self.claims.drop_claim(ordinal, &mut self.pool);
        if let Some(job) = self.jobs.remove(&ordinal) {
            self.by_key.remove(&job.record.spec.key);
        }
        self.capacity_freed();
    }

    /// Adds a job to its team's queue.
    pub(super) fn enqueue(&mut self, ordinal: u64, rank: u8) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let spec = &job.record.spec;
        let expected = if self.options.learn_run_times {
            let team = &spec.key.team;
            self.estimates
                .expected_run_time(team, &spec.class, spec.declared_run_ms)
        } else {
            spec.declared_run_ms
        };
        let overtaken = Millis(expected.0.saturating_mul(OVERTAKE_FACTOR));
        let overtaken = overtaken.min(self.options.max_overtake_ms);
        let by_age = job.arrival_ms.saturating_add(overtaken.0);
        let by_deadline = spec.deadline_ms.map_or(u64::MAX, |deadline| {
            (job.arrival_ms.saturating_add(deadline.0)).saturating_sub(expected.0.saturating_mul(2))
        });
        let by_arrival = QueueKey {
            rank,
            start_by_ms: job.arrival_ms,
            ordinal,
        };
        let key = if self.options.shortest_first {
            QueueKey {
                rank: if spec.urgent { 0 } else { rank },
                start_by_ms: by_age.min(by_deadline),
                ordinal,
            }
        } else {
            by_arrival
        };
        job.queued = Some(key);
        self.queue.insert(&spec.key.team, key);
        self.dirty = true;
    }

    pub(super) fn dequeue(&mut self, ordinal: u64) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        if let Some(key) = job.queued.take() {
            self.queue.remove(&job.record.spec.key.team, key);
        }
    }

    /// Ends a queued job that holds nothing.
    pub(super) fn end_waiting_job(&mut self, ordinal: u64, reason: NotRunReason) {
        self.dequeue(ordinal);
        self.claims.drop_claim(ordinal, &mut self.pool);
        let job = self.jobs.get(&ordinal).expect("the job waits");
        let outcome = if job.record.started_once {
            JobOutcome::Cancelled
        } else {
            JobOutcome::NotRun { reason }
        };
        self.actions.push(Action::Commit(JobTransition::Ended {
            job: job.record.spec.key.clone(),
            outcome,
        }));
    }

    /// Marks the orders of all workers of a gang as changed.
    pub(super) fn mark_members_changed(&mut self, ordinal: u64) {
        let gang = self.jobs.get(&ordinal).and_then(|job| job.gang.as_ref());
        let assignments = gang.into_iter().flat_map(|gang| &gang.assignments);
        self.changed_workers
            .extend(assignments.map(|assignment| assignment.worker));
    }
}

/// The explanation of a newly added job.
const ACCEPTED: &str = "The job is accepted and waits for the next placement.";

/// A job may be overtaken by later jobs for this many times its expected run time.
const OVERTAKE_FACTOR: u64 = 4;

const fn new_assignment(worker: u32, incarnation: crate::units::Incarnation) -> Assignment {
    Assignment {
        worker,
        incarnation,
        status: TaskStatus::Unreported,
        stop_version: OrdersVersion::ZERO,
        checkpoint: None,
        result: None,
    }
}

const fn new_gang(
    job: &Job,
    assignments: Vec<Assignment>,
    non_preemptible: bool,
    now: Millis,
) -> Gang {
    Gang {
        attempt: job.record.attempt.next(),
        stage: Stage::CommittingPlacement,
        assignments,
        resources: job.task_resources(),
        non_preemptible,
        adopted: false,
        started: false,
        placed_ms: now,
        started_ms: Millis::ZERO,
        expected_run_ms: Millis::ZERO,
        stop_after_commit: None,
        increased_memory_mb: None,
        cause: None,
    }
}
