use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smol_str::SmolStr;

use super::binding::Bindings;
use super::estimate::Estimates;
use super::gang::Job;
use super::pool::Pool;
use super::queue::Queue;
use super::reclaim::Claims;
use super::search::Failed;
use super::{
    Action, Event, Explanation, JobKey, JobRecord, JobTransition, NotRunReason, SchedulerOptions,
};
use crate::fleet::LEASE_MS;
use crate::release_note::InForce;
use crate::units::{Millis, Term};

/// How long a new leader waits for the first polls before it places anything.
pub(super) const FIRST_POLLS_MS: Millis = Millis(2_500);

/// Decides which gangs run where.
///
/// It holds no clock, socket or random source: the same events at the same times give the same
/// actions.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) options: SchedulerOptions,
    pub(super) term: Term,
    pub(super) elected_ms: Millis,
    /// The time of the last event.
    pub(super) now_ms: Millis,
    pub(super) in_force: Arc<InForce>,
    pub(super) pool: Pool,
    pub(super) bindings: Bindings,
    pub(super) claims: Claims,
    pub(super) jobs: BTreeMap<u64, Box<Job>>,
    pub(super) by_key: BTreeMap<JobKey, u64>,
    pub(super) queue: Queue,
    pub(super) estimates: Estimates,
    pub(super) failed: Failed,
    /// Workers whose orders changed during this event.
    pub(super) changed: BTreeSet<u32>,
    pub(super) out: Vec<Action>,
    /// Transitions that could not be committed and are asked for again.
    pub(super) retry: Vec<JobTransition>,
    /// Whether anything changed that may let a job start.
    pub(super) dirty: bool,
    pub(super) housekeeping_ms: Millis,
    /// How often guarantees may still be bound afresh in this pass.
    pub(super) rebinds_left: u32,
    /// Whether some worker is doubtful or under probe.
    pub(super) doubts: bool,
    /// When a cell was last looked for that frees first.
    pub(super) reserved_ms: Millis,
    /// Whether some worker waits for a probe.
    pub(super) probe_wanted: bool,
    /// When guarantees were last bound elsewhere to make room.
    pub(super) vacated_ms: Millis,
}

impl Scheduler {
    /// A scheduler that leads nothing yet; [`Event::Elected`] starts it.
    #[must_use]
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            options,
            term: Term::ZERO,
            elected_ms: Millis::ZERO,
            now_ms: Millis::ZERO,
            in_force: Arc::default(),
            pool: Pool::default(),
            bindings: Bindings::default(),
            claims: Claims::default(),
            jobs: BTreeMap::new(),
            by_key: BTreeMap::new(),
            queue: Queue::default(),
            estimates: Estimates::default(),
            failed: Failed::default(),
            changed: BTreeSet::new(),
            out: Vec::new(),
            retry: Vec::new(),
            dirty: false,
            housekeeping_ms: Millis::ZERO,
            rebinds_left: 0,
            doubts: false,
            reserved_ms: Millis::ZERO,
            probe_wanted: false,
            vacated_ms: Millis::ZERO,
        }
    }

    /// Takes one event and gives what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.now_ms = now;
        match event {
            Event::Elected {
                term,
                in_force,
                jobs,
            } => self.elect(term, in_force, jobs, now),
            Event::ReleaseNoteApplied { in_force } => self.take_note(in_force, now),
            Event::Submitted { job } => self.submit(*job, now),
            Event::Committed { transition } => self.committed(transition, now),
            Event::CommitFailed { transition } => self.retry.push(transition),
            Event::Polled { poll } => self.polled(&poll, now),
            Event::Tick => self.tick(now),
        }
        self.flush_orders();
        std::mem::take(&mut self.out)
    }

    /// Why a job waits or what was decided last about it; none for a job that ended.
    #[must_use]
    pub fn explain(&self, job: &JobKey) -> Option<Explanation> {
        let ordinal = self.by_key.get(job)?;
        self.jobs.get(ordinal).map(|job| job.explanation.clone())
    }

    fn elect(&mut self, term: Term, in_force: Arc<InForce>, jobs: Vec<JobRecord>, now: Millis) {
        let options = self.options.clone();
        *self = Self::new(options);
        self.term = term;
        self.elected_ms = now;
        self.now_ms = now;
        self.in_force = in_force;
        self.pool.declare(&self.in_force);
        self.bindings.declare(&self.in_force, &mut self.pool);
        let newest = jobs.iter().map(|job| job.submitted_ms).max();
        let newest = newest.unwrap_or_default();
        for record in jobs {
            let age = newest.since(record.submitted_ms);
            self.enter(record, age, now);
        }
    }

    fn submit(&mut self, record: JobRecord, now: Millis) {
        if !self.by_key.contains_key(&record.spec.key) {
            self.enter(record, Millis::ZERO, now);
        }
    }

    fn take_note(&mut self, in_force: Arc<InForce>, now: Millis) {
        self.in_force = in_force;
        self.pool.declare(&self.in_force);
        self.bindings.declare(&self.in_force, &mut self.pool);
        self.leave_closed_zones(now);
        self.drop_withdrawn_teams();
        self.claims.clear();
        self.failed.clear();
        self.dirty = true;
    }

    /// Ends waiting jobs whose team exists no more.
    fn drop_withdrawn_teams(&mut self) {
        let in_force = Arc::clone(&self.in_force);
        let orphans: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_ordinal, job)| job.queued.is_some())
            .filter(|(_ordinal, job)| !in_force.teams.contains_key(&job.record.spec.key.team))
            .map(|(ordinal, _job)| *ordinal)
            .collect();
        for ordinal in orphans {
            self.end_waiting(ordinal, NotRunReason::NoSuchTeam);
        }
    }

    fn tick(&mut self, now: Millis) {
        for transition in std::mem::take(&mut self.retry) {
            self.out.push(Action::Commit(transition));
        }
        self.watch_workers(now);
        self.watch_gangs(now);
        if now.since(self.elected_ms) >= FIRST_POLLS_MS {
            self.pass(now);
        }
        if now.since(self.housekeeping_ms) >= LEASE_MS {
            self.housekeeping_ms = now;
            self.pool.forget_silent(now);
            self.dirty = true;
        }
    }

    /// Whether silence already means loss: a new leader first hears what workers report.
    pub(super) fn settled(&self, now: Millis) -> bool {
        now.since(self.elected_ms) > LEASE_MS.with_clock_margin()
    }

    /// Capacity came free or appeared.
    pub(super) fn freed(&mut self) {
        self.failed.clear();
        self.dirty = true;
    }

    /// Keeps the reason of a decision and logs it where it changed.
    pub(super) fn explain_job(&mut self, ordinal: u64, code: &'static str, sentence: &'static str) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        if job.explanation.code == code {
            return;
        }
        job.explanation = Explanation {
            code: SmolStr::new_static(code),
            sentence: SmolStr::new_static(sentence),
        };
        self.out.push(Action::Explain {
            job: job.record.spec.key.clone(),
            explanation: job.explanation.clone(),
        });
    }
}
