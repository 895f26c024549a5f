//! How jobs come in, wait and get their places.

use smol_str::SmolStr;

use super::gang::{Gang, Job, Place, Seen, Stage};
use super::pool::Task;
use super::queue::QueueKey;
use super::{
    Action, Explanation, JobOutcome, JobPhase, JobRecord, JobTransition, Member, NotRunReason,
    Scheduler,
};
use crate::units::{Millis, OrdersVersion};

/// Start of the queue's clock, so that jobs may be older than this leader's own clock.
const QUEUE_EPOCH_MS: u64 = 1 << 40;

impl Scheduler {
    /// Takes over a job from the durable state.
    pub(super) fn enter(&mut self, mut record: JobRecord, age: Millis, now: Millis) {
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
            known_ms: (QUEUE_EPOCH_MS + now.0.min(QUEUE_EPOCH_MS)).saturating_sub(age.0),
            queued: None,
            blocked_ms: None,
            owed_ms: None,
            failed_on: Vec::new(),
            failed_attempts: 0,
        };
        self.jobs.insert(ordinal, Box::new(job));
        match phase {
            JobPhase::Waiting => self.requeue(ordinal, 2),
            JobPhase::Placed { members } => self.adopt(ordinal, &members, false, now),
            JobPhase::Started { members } => self.adopt(ordinal, &members, true, now),
            JobPhase::Ended { .. } => self.forget(ordinal),
        }
        self.obey_cancel(ordinal);
    }

    /// Rebuilds the gang of an attempt that an earlier leader committed.
    fn adopt(&mut self, ordinal: u64, members: &[Member], started: bool, now: Millis) {
        let mut places = Vec::with_capacity(members.len());
        for member in members {
            let worker = self.pool.expect(&member.worker);
            let known = self.pool.worker_mut(worker);
            known.incarnation = known.incarnation.max(member.incarnation);
            known.heard_ms = now;
            places.push(new_place(worker, member.incarnation));
        }
        let job = self.jobs.get(&ordinal).expect("the job was entered");
        let stage = if started {
            Stage::Running
        } else {
            Stage::Preparing
        };
        let firm = !job.record.spec.idempotent;
        let mut gang = new_gang(job, places, firm, now);
        gang.attempt = job.record.attempt;
        gang.stage = stage;
        gang.adopted = true;
        gang.started = started;
        self.hold_places(ordinal, gang);
    }

    /// Enters a new gang's loads at its workers.
    ///
    /// A gang whose placement is not committed is in no orders yet: those stay as they are, so that
    /// no poll is let go which the order to prepare needs.
    fn hold_places(&mut self, ordinal: u64, mut gang: Gang) {
        gang.expected_ms = self.expected_end(ordinal, Millis::ZERO);
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let task = Task {
            load: gang.load,
            firm: gang.firm,
        };
        let is_ordered = gang.want().is_some();
        for (at, place) in (0_u32..).zip(&gang.places) {
            let team = &job.record.spec.key.team;
            self.pool.hold(place.worker, (ordinal, at), team, task);
            if is_ordered {
                self.changed.insert(place.worker);
            }
        }
        job.gang = Some(gang);
    }

    /// Chooses places for a waiting job and asks to commit them.
    pub(super) fn place(&mut self, ordinal: u64, workers: &[u32], firm: bool, now: Millis) {
        self.dequeue(ordinal);
        let places: Vec<Place> = workers
            .iter()
            .map(|ix| new_place(*ix, self.pool.worker(*ix).incarnation))
            .collect();
        let members = (0_u32..)
            .zip(&places)
            .map(|(index, place)| Member {
                index: index.into(),
                worker: self.pool.worker(place.worker).id.clone(),
                incarnation: place.incarnation,
            })
            .collect();
        let job = self.jobs.get_mut(&ordinal).expect("the job waits");
        job.blocked_ms = None;
        job.owed_ms = None;
        let gang = new_gang(job, places, firm, now);
        let transition = JobTransition::Placed {
            job: job.record.spec.key.clone(),
            attempt: gang.attempt,
            members,
        };
        for ix in workers {
            self.pool.worker_mut(*ix).health.begin_probe(ordinal);
        }
        self.hold_places(ordinal, gang);
        self.out.push(Action::Commit(transition));
        let (code, sentence) = if firm {
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

    /// Drops a job that ended and holds nothing.
    pub(super) fn forget(&mut self, ordinal: u64) {
        self.dequeue(ordinal);
        self.claims.drop_claim(ordinal, &mut self.pool);
        if let Some(job) = self.jobs.remove(&ordinal) {
            self.by_key.remove(&job.record.spec.key);
        }
        self.freed();
    }

    /// Puts a job into its team's queue.
    pub(super) fn requeue(&mut self, ordinal: u64, rank: u8) {
        let job = self.jobs.get_mut(&ordinal).expect("the job is known");
        let spec = &job.record.spec;
        let expected = if self.options.learn_run_times {
            let team = &spec.key.team;
            self.estimates
                .expect(team, &spec.class, spec.declared_run_ms)
        } else {
            spec.declared_run_ms
        };
        let overtaken = Millis(expected.0.saturating_mul(OVERTAKE_FACTOR));
        let overtaken = overtaken.min(self.options.max_overtake_ms);
        let by_age = job.known_ms.saturating_add(overtaken.0);
        let by_deadline = spec.deadline_ms.map_or(u64::MAX, |deadline| {
            (job.known_ms.saturating_add(deadline.0)).saturating_sub(expected.0.saturating_mul(2))
        });
        let by_arrival = QueueKey {
            rank,
            start_by_ms: job.known_ms,
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

    /// Ends a job that waits and holds nothing.
    pub(super) fn end_waiting(&mut self, ordinal: u64, reason: NotRunReason) {
        self.dequeue(ordinal);
        self.claims.drop_claim(ordinal, &mut self.pool);
        let job = self.jobs.get(&ordinal).expect("the job waits");
        let outcome = if job.record.started_once {
            JobOutcome::Cancelled
        } else {
            JobOutcome::NotRun { reason }
        };
        self.out.push(Action::Commit(JobTransition::Ended {
            job: job.record.spec.key.clone(),
            outcome,
        }));
    }

    /// Sends new orders to all members.
    pub(super) fn changed_members(&mut self, ordinal: u64) {
        let gang = self.jobs.get(&ordinal).and_then(|job| job.gang.as_ref());
        let places = gang.into_iter().flat_map(|gang| &gang.places);
        self.changed.extend(places.map(|place| place.worker));
    }
}

/// What a new job is told.
const ACCEPTED: &str = "The job is accepted and waits for the next placement.";

/// How much longer than its own run time a job may be overtaken by later ones.
const OVERTAKE_FACTOR: u64 = 4;

const fn new_place(worker: u32, incarnation: crate::units::Incarnation) -> Place {
    Place {
        worker,
        incarnation,
        seen: Seen::Nothing,
        stop_version: OrdersVersion::ZERO,
        checkpoint: None,
        result: None,
    }
}

const fn new_gang(job: &Job, places: Vec<Place>, firm: bool, now: Millis) -> Gang {
    Gang {
        attempt: job.record.attempt.next(),
        stage: Stage::Placing,
        places,
        load: job.task_load(),
        firm,
        adopted: false,
        started: false,
        placed_ms: now,
        started_ms: Millis::ZERO,
        expected_ms: Millis::ZERO,
        abort: None,
        larger_memory_mb: None,
        cause: None,
    }
}
