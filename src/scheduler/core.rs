use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smol_str::SmolStr;

use super::binding::GuaranteeBindings;
use super::estimate::RunTimeEstimates;
use super::gang::Job;
use super::pool::WorkerPool;
use super::queue::Queue;
use super::reclaim::Claims;
use super::search::UnplaceableShapes;
use super::{
    Action, Event, Explanation, JobKey, JobRecord, JobTransition, NotRunReason, SchedulerOptions,
};
use crate::fleet::LEASE_MS;
use crate::release_note::ClusterConfig;
use crate::units::{Millis, Term};

/// How long a new leader collects polls before it places anything.
pub(super) const STARTUP_WAIT_MS: Millis = Millis(2_500);

/// Decides which gangs run where.
///
/// It has no clock, socket or random source: the same events at the same times produce the same
/// actions.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) options: SchedulerOptions,
    pub(super) term: Term,
    pub(super) elected_ms: Millis,
    /// The time of the latest event.
    pub(super) now_ms: Millis,
    pub(super) in_force: Arc<ClusterConfig>,
    pub(super) pool: WorkerPool,
    pub(super) bindings: GuaranteeBindings,
    pub(super) claims: Claims,
    pub(super) jobs: BTreeMap<u64, Box<Job>>,
    pub(super) by_key: BTreeMap<JobKey, u64>,
    pub(super) queue: Queue,
    pub(super) estimates: RunTimeEstimates,
    pub(super) unplaceable: UnplaceableShapes,
    /// Workers whose orders changed during this event.
    pub(super) changed_workers: BTreeSet<u32>,
    pub(super) actions: Vec<Action>,
    /// Transitions whose commit failed; they are requested again at the next tick.
    pub(super) failed_commits: Vec<JobTransition>,
    /// Whether anything changed that may allow a job to start.
    pub(super) dirty: bool,
    pub(super) last_housekeeping_ms: Millis,
    /// How many more times guarantees may be rebound in this pass.
    pub(super) rebinds_left: u32,
    /// Whether some worker is suspect, quarantined or being probed.
    pub(super) has_suspect_workers: bool,
    /// When a cell to reserve was last searched for.
    pub(super) last_reservation_ms: Millis,
    /// Whether some worker needs a probe job.
    pub(super) probe_wanted: bool,
    /// When guarantees were last rebound elsewhere to make room.
    pub(super) last_rebinding_ms: Millis,
}

impl Scheduler {
    /// Creates a scheduler that leads no term yet; [`Event::Elected`] starts it.
    #[must_use]
    pub fn new(options: SchedulerOptions) -> Self {
        Self {
            options,
            term: Term::ZERO,
            elected_ms: Millis::ZERO,
            now_ms: Millis::ZERO,
            in_force: Arc::default(),
            pool: WorkerPool::default(),
            bindings: GuaranteeBindings::default(),
            claims: Claims::default(),
            jobs: BTreeMap::new(),
            by_key: BTreeMap::new(),
            queue: Queue::default(),
            estimates: RunTimeEstimates::default(),
            unplaceable: UnplaceableShapes::default(),
            changed_workers: BTreeSet::new(),
            actions: Vec::new(),
            failed_commits: Vec::new(),
            dirty: false,
            last_housekeeping_ms: Millis::ZERO,
            rebinds_left: 0,
            has_suspect_workers: false,
            last_reservation_ms: Millis::ZERO,
            probe_wanted: false,
            last_rebinding_ms: Millis::ZERO,
        }
    }

    /// Handles one event and returns the resulting actions in order.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.now_ms = now;
        match event {
            Event::Elected {
                term,
                in_force,
                jobs,
            } => self.start_term(term, in_force, jobs, now),
            Event::ReleaseNoteApplied { in_force } => self.apply_release_note(in_force, now),
            Event::Submitted { job } => self.submit(*job, now),
            Event::Committed { transition } => self.handle_committed(transition, now),
            Event::CommitFailed { transition } => self.failed_commits.push(transition),
            Event::Polled { poll } => self.handle_poll(&poll, now),
            Event::Tick => self.tick(now),
        }
        self.flush_orders();
        std::mem::take(&mut self.actions)
    }

    /// Explains why a job waits or what was last decided about it. Returns `None` for ended jobs.
    #[must_use]
    pub fn explain(&self, job: &JobKey) -> Option<Explanation> {
        let ordinal = self.by_key.get(job)?;
        self.jobs.get(ordinal).map(|job| job.explanation.clone())
    }

    fn start_term(
        &mut self,
        term: Term,
        in_force: Arc<ClusterConfig>,
        jobs: Vec<JobRecord>,
        now: Millis,
    ) {
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
            self.add_job(record, age, now);
        }
    }

    fn submit(&mut self, record: JobRecord, now: Millis) {
        if !self.by_key.contains_key(&record.spec.key) {
            self.add_job(record, Millis::ZERO, now);
        }
    }

    fn apply_release_note(&mut self, in_force: Arc<ClusterConfig>, now: Millis) {
        self.in_force = in_force;
        self.pool.declare(&self.in_force);
        self.bindings.declare(&self.in_force, &mut self.pool);
        self.evict_from_closed_zones(now);
        self.drop_withdrawn_teams();
        self.claims.clear();
        self.unplaceable.clear();
        self.dirty = true;
    }

    /// Ends queued jobs whose team no longer exists.
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
            self.end_waiting_job(ordinal, NotRunReason::NoSuchTeam);
        }
    }

    fn tick(&mut self, now: Millis) {
        for transition in std::mem::take(&mut self.failed_commits) {
            self.actions.push(Action::Commit(transition));
        }
        self.check_workers(now);
        self.check_gang_timeouts(now);
        if now.since(self.elected_ms) >= STARTUP_WAIT_MS {
            self.run_pass(now);
        }
        if now.since(self.last_housekeeping_ms) >= LEASE_MS {
            self.last_housekeeping_ms = now;
            self.pool.remove_silent_workers(now);
            self.dirty = true;
        }
    }

    /// Whether a worker's silence means that it is lost. A new leader first waits for one lease, so
    /// that all live workers have had time to poll.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        now.since(self.elected_ms) > LEASE_MS.with_clock_margin()
    }

    /// Records that capacity was freed or added, so that failed searches are worth repeating.
    pub(super) fn capacity_freed(&mut self) {
        self.unplaceable.clear();
        self.dirty = true;
    }

    /// Stores the reason for a decision, and emits it if its code changed.
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
        self.actions.push(Action::Explain {
            job: job.record.spec.key.clone(),
            explanation: job.explanation.clone(),
        });
    }
}
