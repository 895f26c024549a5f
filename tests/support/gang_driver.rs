//! Simulates a scheduler, its durable state and in-memory workers in virtual time, with seeded
//! faults.
#![allow(dead_code, reason = "each test binary uses its own part of this fake")]

#[path = "fake_worker.rs"]
pub mod fake_worker;
#[path = "gang_history.rs"]
mod gang_history;
#[path = "gang_state.rs"]
mod gang_state;

use std::collections::BTreeMap;
use std::sync::Arc;

use fake_worker::{FakeWorker, Faults, WorkerSpec};
use marjoramknot::fleet::{LEASE_MS, WorkerCapacity, WorkerOrders, WorkerPoll};
use marjoramknot::release_note::{
    Adjacency, ClusterConfig, GuaranteeSpec, GuaranteedCells, RackSpec, TeamSpec, ZoneSpec,
    ZoneState,
};
use marjoramknot::scheduler::{
    Action, Event, JobKey, JobOutcome, JobPhase, JobRecord, JobSpec, JobTransition, Scheduler,
    SchedulerOptions,
};
use marjoramknot::units::{
    Accelerators, Attempt, Cores, MemoryMb, Millis, Sequence, Term, WallMs, WorkerId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const POLL_TIMEOUT_MS: Millis = Millis(2_200);

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("ids in tests are valid")
}

/// Zones of racks whose workers have 8 accelerators, 32 cores and 65,536 MB of memory.
pub fn in_force(zones: &[(&str, u32)], workers: u32) -> ClusterConfig {
    let mut state = ClusterConfig::default();
    for (zone, racks) in zones {
        let racks = (0..*racks).map(|rack| RackSpec {
            name: id(&format!("r{rack}")),
            workers,
            accelerators: Accelerators(8),
            cores: Cores(32),
            memory_mb: MemoryMb(65_536),
        });
        let spec = ZoneSpec {
            name: id(zone),
            state: ZoneState::In,
            racks: racks.collect(),
        };
        state.zones.insert(spec.name.clone(), spec);
    }
    state
}

pub fn add_team(state: &mut ClusterConfig, name: &str, cells: &[(u32, u32, Adjacency)]) {
    let spec = TeamSpec {
        name: id(name),
        attempts_max: 4,
        queued_jobs_max: 10_000,
        task_memory_max_mb: MemoryMb(32_768),
        request_weight: 1,
    };
    state.teams.insert(spec.name.clone(), spec);
    let cells: Vec<GuaranteedCells> = cells
        .iter()
        .map(|(count, accelerators, adjacency)| GuaranteedCells {
            count: *count,
            accelerators: Accelerators(*accelerators),
            adjacency: *adjacency,
        })
        .collect();
    if !cells.is_empty() {
        let team = id(name);
        state
            .guarantees
            .insert(id(name), GuaranteeSpec { team, cells });
    }
}

/// An idempotent job whose payload encodes the run time of its tasks.
pub fn job(team: &str, name: &str, tasks: u32, accelerators: u32, run_ms: u64) -> JobSpec {
    JobSpec {
        key: JobKey {
            team: id(team),
            id: id(name),
        },
        class: id("any"),
        tasks,
        accelerators: Accelerators(accelerators),
        cores: Cores(accelerators.max(1)),
        memory_mb: MemoryMb(1_024),
        adjacency: Adjacency::Zone,
        idempotent: true,
        made_ms: None,
        urgent: false,
        declared_run_ms: Millis(run_ms),
        deadline_ms: None,
        payload: format!("run {run_ms}").into(),
    }
}

fn run_ms(payload: &str) -> Option<Millis> {
    payload.split(' ').nth(1)?.parse().ok()
}

enum Message {
    Poll(usize, WorkerPoll),
    Orders(usize, WorkerOrders, Millis),
}

pub struct Slot {
    pub worker: FakeWorker,
    /// Whether the worker's VM is down.
    pub dead: bool,
    /// Whether the worker is cut off from the network.
    pub partitioned: bool,
    outstanding: Option<(Sequence, Millis)>,
    sent: BTreeMap<Sequence, Millis>,
    held: Option<(WorkerOrders, Millis)>,
    known_version: (Term, u64),
}

/// Network faults: probabilities in thousandths, delay in milliseconds.
#[derive(Clone, Copy, Default)]
pub struct Network {
    pub lost_permille: u32,
    pub duplicated_permille: u32,
    pub delay_max_ms: u64,
}

pub struct Driver {
    pub now: Millis,
    pub scheduler: Scheduler,
    pub options: SchedulerOptions,
    pub in_force: ClusterConfig,
    pub records: BTreeMap<JobKey, JobRecord>,
    pub slots: Vec<Slot>,
    pub network: Network,
    pub commit_delay_ms: u64,
    pub commit_fail_permille: u32,
    /// Each closure of a zone: its name, when it was closed, and when it was opened again.
    pub closures: Vec<(String, Millis, Option<Millis>)>,
    /// When the first start of each job was committed.
    pub started_ms: BTreeMap<JobKey, Millis>,
    pub ended_ms: BTreeMap<JobKey, Millis>,
    pub submitted_ms: BTreeMap<JobKey, Millis>,
    /// Committed starts, in order.
    pub starts: Vec<(JobKey, Attempt, Millis)>,
    pub check_each_step: bool,
    pub step_ms: Millis,
    /// How long an entry holds a poll while its orders do not change.
    pub poll_hold_ms: Millis,
    pub elections: Vec<Millis>,
    /// A monotonic clock in nanoseconds for cost measurements; not set in tests.
    pub clock_ns: Option<fn() -> u64>,
    /// Name and cost of each handled event.
    pub costs_ns: Vec<(&'static str, u64)>,
    by_name: BTreeMap<WorkerId, usize>,
    /// Number of requeued gangs and of their accelerators, by cause.
    pub requeues: BTreeMap<String, (u32, u32)>,
    /// Decisions and faults in order, printed when a check fails.
    pub log: Vec<String>,
    pub term: Term,
    rng: StdRng,
    messages_in_flight: BTreeMap<(Millis, u64), Message>,
    commits: Vec<(Millis, JobTransition)>,
    message_count: u64,
    ordinal: u64,
}

impl Driver {
    pub fn new(state: ClusterConfig, options: SchedulerOptions, seed: u64) -> Self {
        let mut driver = Self {
            now: Millis(1_000),
            scheduler: Scheduler::new(options.clone()),
            options,
            in_force: state,
            records: BTreeMap::new(),
            slots: Vec::new(),
            network: Network {
                delay_max_ms: 5,
                ..Network::default()
            },
            commit_delay_ms: 10,
            commit_fail_permille: 0,
            closures: Vec::new(),
            started_ms: BTreeMap::new(),
            ended_ms: BTreeMap::new(),
            submitted_ms: BTreeMap::new(),
            starts: Vec::new(),
            check_each_step: true,
            step_ms: Millis(50),
            poll_hold_ms: Millis(1_000),
            elections: Vec::new(),
            clock_ns: None,
            costs_ns: Vec::new(),
            by_name: BTreeMap::new(),
            requeues: BTreeMap::new(),
            log: Vec::new(),
            term: Term::ZERO,
            rng: StdRng::seed_from_u64(seed),
            messages_in_flight: BTreeMap::new(),
            commits: Vec::new(),
            message_count: 0,
            ordinal: 0,
        };
        driver.add_workers();
        driver.elect();
        driver
    }

    /// Creates a driver whose workers have polled and whose leader has started to place gangs.
    pub fn ready(state: ClusterConfig, seed: u64) -> Self {
        let mut driver = Self::new(state, SchedulerOptions::default(), seed);
        driver.run_for(8_000);
        driver
    }

    fn add_workers(&mut self) {
        for zone in self.in_force.zones.values() {
            for rack in &zone.racks {
                for at in 0..rack.workers {
                    let worker = FakeWorker::new(WorkerSpec {
                        worker: id(&format!("{}-{}-{at}", zone.name, rack.name)),
                        zone: zone.name.clone(),
                        rack: rack.name.clone(),
                        capacity: WorkerCapacity {
                            accelerators: rack.accelerators,
                            cores: rack.cores,
                            memory_mb: rack.memory_mb,
                        },
                        faults: Faults::default(),
                        run_ms,
                    });
                    let name = worker.spec.worker.clone();
                    self.by_name.insert(name, self.slots.len());
                    self.slots.push(Slot {
                        worker,
                        dead: false,
                        partitioned: false,
                        outstanding: None,
                        sent: BTreeMap::new(),
                        held: None,
                        known_version: (Term::ZERO, 0),
                    });
                }
            }
        }
    }

    /// Elects a new leader. Each pending commit is applied or lost at random.
    pub fn elect(&mut self) {
        for (_at, transition) in std::mem::take(&mut self.commits) {
            if self.rng.random_bool(0.5) {
                self.apply(&transition);
            }
        }
        self.term = self.term.next();
        self.elections.push(self.now);
        self.log.push(format!("{} elected", self.now));
        self.scheduler = Scheduler::new(self.options.clone());
        let jobs = self.records.values();
        let unended = jobs.filter(|job| !matches!(job.phase, JobPhase::Ended { .. }));
        let jobs = unended.cloned().collect();
        self.handle_event(Event::Elected {
            term: self.term,
            in_force: Arc::new(self.in_force.clone()),
            jobs,
        });
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobKey {
        self.ordinal += 1;
        let key = spec.key.clone();
        let record = JobRecord::new(spec, WallMs(self.now.0), self.ordinal);
        self.records.insert(key.clone(), record.clone());
        self.submitted_ms.insert(key.clone(), self.now);
        self.handle_event(Event::Submitted {
            job: Box::new(record),
        });
        key
    }

    pub fn cancel(&mut self, key: &JobKey) {
        let transition = JobTransition::CancelRequested { job: key.clone() };
        let at = self.now.saturating_add(Millis(self.commit_delay_ms));
        self.commits.push((at, transition));
    }

    pub fn set_zone(&mut self, zone: &str, state: ZoneState) {
        self.log.push(format!("{} {zone} {state:?}", self.now));
        let spec = self.in_force.zones.get_mut(zone).expect("the zone exists");
        spec.state = state;
        match state {
            ZoneState::Out => self.closures.push((zone.to_owned(), self.now, None)),
            ZoneState::In => {
                let mut closures = self.closures.iter_mut().rev();
                let open = closures.find(|(name, _from, _to)| name == zone);
                open.expect("the zone was closed").2 = Some(self.now);
            }
        }
        self.apply_release_note();
    }

    /// Passes the changed state in force to the scheduler.
    pub fn apply_release_note(&mut self) {
        self.handle_event(Event::ReleaseNoteApplied {
            in_force: Arc::new(self.in_force.clone()),
        });
    }

    pub fn handle_event(&mut self, event: Event) {
        let name = event_name(&event);
        let before = self.clock_ns.map(|clock| clock());
        let actions = self.scheduler.handle(event, self.now);
        if let (Some(clock), Some(before)) = (self.clock_ns, before) {
            self.costs_ns.push((name, clock() - before));
        }
        for action in actions {
            match action {
                Action::Commit(transition) => {
                    let at = self.now.saturating_add(Millis(self.commit_delay_ms));
                    self.commits.push((at, transition));
                }
                Action::Order(orders) => self.answer(orders),
                Action::Explain { job, explanation } => {
                    self.log
                        .push(format!("{} {job} {}", self.now, explanation.code));
                }
            }
        }
        if self.check_each_step {
            self.scheduler
                .check_invariants()
                .expect("the scheduler's invariants hold");
        }
    }

    /// Acts as an entry: sends changed orders at once and holds back unchanged ones.
    fn answer(&mut self, orders: WorkerOrders) {
        let at = self.by_name[&orders.worker];
        let slot = &mut self.slots[at];
        let version = (orders.term, orders.version.0);
        if version == slot.known_version {
            slot.held = Some((orders, self.now.saturating_add(self.poll_hold_ms)));
        } else {
            slot.held = None;
            self.send_orders(at, &orders);
        }
    }

    fn send_orders(&mut self, at: usize, orders: &WorkerOrders) {
        let slot = &mut self.slots[at];
        let Some(sent_ms) = slot.sent.get(&orders.sequence).copied() else {
            return;
        };
        slot.known_version = (orders.term, orders.version.0);
        self.send(|| Message::Orders(at, orders.clone(), sent_ms));
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = if self.chance(self.network.lost_permille) {
            0
        } else {
            1 + u32::from(self.chance(self.network.duplicated_permille))
        };
        for _copy in 0..copies {
            let delay = self.rng.random_range(0..=self.network.delay_max_ms);
            self.message_count += 1;
            let at = self.now.saturating_add(Millis(delay));
            self.messages_in_flight
                .insert((at, self.message_count), message());
        }
    }

    fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }

    pub fn random(&mut self, below: u32) -> u32 {
        self.rng.random_range(0..below)
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let end = self.now.saturating_add(Millis(span_ms));
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds, and returns false if it does not hold within the span.
    pub fn run_until(&mut self, span_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.saturating_add(Millis(span_ms));
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    pub fn step(&mut self) {
        self.now = self.now.saturating_add(self.step_ms);
        self.commit_due();
        self.deliver_due();
        for at in 0..self.slots.len() {
            self.serve_worker(at);
        }
        self.deliver_due();
        if self.now.0.is_multiple_of(100) || self.step_ms > Millis(100) {
            self.handle_event(Event::Tick);
        }
        self.commit_due();
    }

    fn commit_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.commits)
            .into_iter()
            .partition(|(at, _t)| *at <= now);
        self.commits = later;
        for (_at, transition) in due {
            if self.chance(self.commit_fail_permille) {
                self.handle_event(Event::CommitFailed { transition });
            } else if self.apply(&transition) {
                self.handle_event(Event::Committed { transition });
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.messages_in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Poll(at, poll) => {
                    if !self.slots[at].partitioned {
                        self.handle_event(Event::Polled { poll });
                    }
                }
                Message::Orders(at, orders, sent_ms) => {
                    let slot = &mut self.slots[at];
                    if slot.partitioned || slot.dead {
                        continue;
                    }
                    if slot
                        .outstanding
                        .is_some_and(|(sequence, _)| sequence == orders.sequence)
                    {
                        slot.outstanding = None;
                    }
                    slot.worker.receive(&orders, sent_ms, self.now);
                }
            }
        }
    }

    fn serve_worker(&mut self, at: usize) {
        let now = self.now;
        let slot = &mut self.slots[at];
        if slot.dead {
            return;
        }
        slot.worker.tick(now);
        if let Some((orders, _at)) = slot.held.take_if(|(_orders, at)| now >= *at) {
            self.send_orders(at, &orders);
        }
        let slot = &mut self.slots[at];
        let may_poll = slot
            .outstanding
            .is_none_or(|(_sequence, sent)| now.since(sent) > POLL_TIMEOUT_MS);
        if may_poll {
            let poll = slot.worker.poll(now);
            slot.outstanding = Some((poll.sequence, now));
            slot.sent.insert(poll.sequence, now);
            while slot.sent.len() > 64 {
                slot.sent.pop_first();
            }
            slot.known_version = (poll.term, poll.orders_version.0);
            slot.held = None;
            if !slot.partitioned {
                self.send(|| Message::Poll(at, poll.clone()));
            }
        }
    }

    /// Stops a worker's VM; everything that runs on it ends now.
    pub fn kill(&mut self, at: usize) {
        let now = self.now;
        self.slots[at].dead = true;
        self.restart_worker(at, now);
    }

    pub fn restart_worker(&mut self, at: usize, now: Millis) {
        let slot = &mut self.slots[at];
        slot.worker.restart(now);
        slot.outstanding = None;
        slot.sent.clear();
        slot.held = None;
    }

    pub fn slot_of(&self, worker: &str) -> usize {
        let named = |slot: &Slot| slot.worker.spec.worker.as_str() == worker;
        self.slots
            .iter()
            .position(named)
            .expect("the worker exists")
    }

    pub fn has_run(&self, key: &JobKey) -> bool {
        let histories = self.slots.iter().flat_map(|slot| &slot.worker.history);
        histories.into_iter().any(|ran| ran.task.job == *key)
    }

    pub fn outcome(&self, key: &JobKey) -> Option<&JobOutcome> {
        match &self.records[key].phase {
            JobPhase::Ended { outcome } => Some(outcome),
            _ => None,
        }
    }

    pub fn succeeded(&self, key: &JobKey) -> bool {
        matches!(self.outcome(key), Some(JobOutcome::Succeeded { .. }))
    }

    pub fn is_started(&self, key: &JobKey) -> bool {
        matches!(self.records[key].phase, JobPhase::Started { .. })
    }

    /// Workers that run tasks of a job now.
    pub fn runners(&self, key: &JobKey) -> Vec<usize> {
        let runs = |slot: &Slot| slot.worker.running().any(|task| task.job == *key);
        (0..self.slots.len())
            .filter(|at| runs(&self.slots[*at]))
            .collect()
    }
}

const fn event_name(event: &Event) -> &'static str {
    match event {
        Event::Elected { .. } => "elected",
        Event::ReleaseNoteApplied { .. } => "note",
        Event::Submitted { .. } => "submitted",
        Event::Committed { .. } => "committed",
        Event::CommitFailed { .. } => "commit_failed",
        Event::Polled { .. } => "polled",
        Event::Tick => "tick",
    }
}

/// After a single fault, part of a gang may keep running for at most this long.
pub const ONE_LEASE_MS: Millis = LEASE_MS;
