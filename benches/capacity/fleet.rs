//! A scheduler with a simulated fleet, at a given fraction of the target size.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use marjoramknot::fleet::{
    DesiredState, TaskKey, TaskReport, TaskState, Usage, WorkerCapacity, WorkerOrders, WorkerPoll,
};
use marjoramknot::release_note::{
    Adjacency, ClusterConfig, RackSpec, TeamSpec, ZoneSpec, ZoneState,
};
use marjoramknot::scheduler::{
    Action, Event, JobRecord, JobSpec, JobTransition, Scheduler, SchedulerOptions,
};
use marjoramknot::units::{
    Accelerators, Cores, Incarnation, MemoryMb, Millis, OrdersVersion, RackId, Sequence, Term,
    WallMs, WorkerId, ZoneId,
};

use crate::messages::{id, job_key};

const ZONES: u32 = 24;
const WORKERS_PER_RACK: u32 = 8;
const TICK_MS: u64 = 100;
const POLL_MS: u64 = 2_000;
/// Accelerators per worker by rack number modulo eight, 1.375 on average.
const RACK_ACCELERATORS: [u32; 8] = [8, 0, 2, 0, 1, 0, 0, 0];

/// A simulated worker, which obeys all orders at once.
struct SimulatedWorker {
    id: WorkerId,
    zone: ZoneId,
    rack: RackId,
    accelerators: Accelerators,
    sequence: u64,
    version: OrdersVersion,
    tasks: BTreeMap<TaskKey, TaskState>,
}

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub workers: u32,
    /// Running gangs, of 32 tasks each.
    pub running: u32,
    /// Waiting gangs, which do not fit anywhere at present.
    pub waiting: u32,
    pub teams: u32,
}

impl FleetSize {
    /// Returns a fleet of `eighths` eighths of the target size.
    pub const fn eighths(eighths: u32) -> Self {
        Self {
            workers: 4_600 * eighths / 8,
            running: 1_188 * eighths / 8,
            waiting: 7_000 * eighths / 8,
            teams: 300 * eighths / 8,
        }
    }
}

/// The scheduler and its workers in virtual time.
pub struct Fleet {
    pub scheduler: Scheduler,
    /// Committed transitions, in order.
    pub committed: Vec<JobTransition>,
    /// Accepted jobs.
    pub records: Vec<JobRecord>,
    /// Time that the scheduler took for each poll in [`Fleet::run`], in microseconds.
    pub poll_us: Vec<f64>,
    /// Time that the scheduler took for each tick in [`Fleet::run`], in microseconds.
    pub tick_us: Vec<f64>,
    workers: Vec<SimulatedWorker>,
    index_by_name: BTreeMap<WorkerId, usize>,
    now: Millis,
}

impl Fleet {
    /// Creates a fleet whose leader is elected and whose gangs are submitted. No worker has polled
    /// yet.
    pub fn new(size: FleetSize) -> Self {
        let workers = simulated_workers(size.workers);
        let index_by_name = workers
            .iter()
            .enumerate()
            .map(|(index, worker)| (worker.id.clone(), index))
            .collect();
        let mut fleet = Self {
            scheduler: Scheduler::new(SchedulerOptions::default()),
            committed: Vec::new(),
            records: records(size),
            poll_us: Vec::new(),
            tick_us: Vec::new(),
            workers,
            index_by_name,
            now: Millis(1_000),
        };
        let in_force = Arc::new(in_force(size));
        fleet.handle_event(Event::Elected {
            term: Term(1),
            in_force,
            jobs: Vec::new(),
        });
        for record in fleet.records.clone() {
            fleet.handle_event(Event::Submitted {
                job: Box::new(record),
            });
        }
        fleet
    }

    /// Advances virtual time by `seconds` and records the time taken by each event.
    pub fn run(&mut self, seconds: u64) {
        let ticks = seconds * 1_000 / TICK_MS;
        let groups = usize::try_from(POLL_MS / TICK_MS).expect("a small number");
        for tick in 0..usize::try_from(ticks).expect("a small number") {
            self.now = self.now.saturating_add(Millis(TICK_MS));
            let elapsed_us = self.handle_event(Event::Tick);
            self.tick_us.push(elapsed_us);
            for index in (tick % groups..self.workers.len()).step_by(groups) {
                let poll = self.workers[index].poll();
                let elapsed_us = self.handle_event(Event::Polled { poll });
                self.poll_us.push(elapsed_us);
            }
        }
    }

    /// Frees the scheduler's state, so that its size can be measured.
    pub fn drop_scheduler(&mut self) {
        self.scheduler = Scheduler::new(SchedulerOptions::default());
    }

    /// Returns the number of running tasks.
    pub fn running_tasks(&self) -> usize {
        let running = |worker: &SimulatedWorker| {
            worker
                .tasks
                .values()
                .filter(|s| **s == TaskState::Running)
                .count()
        };
        self.workers.iter().map(running).sum()
    }

    fn handle_event(&mut self, event: Event) -> f64 {
        let start = Instant::now();
        let actions = self.scheduler.handle(event, self.now);
        let elapsed_us = start.elapsed().as_secs_f64() * 1e6;
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                Action::Commit(transition) => {
                    self.committed.push(transition.clone());
                    pending.extend(
                        self.scheduler
                            .handle(Event::Committed { transition }, self.now),
                    );
                }
                Action::Order(orders) => self.apply_orders(&orders),
                Action::Explain { .. } => {}
            }
        }
        elapsed_us
    }

    fn apply_orders(&mut self, orders: &WorkerOrders) {
        let worker = &mut self.workers[self.index_by_name[&orders.worker]];
        worker.version = orders.version;
        for order in &orders.tasks {
            match order.desired_state {
                DesiredState::Prepare => {
                    worker.tasks.insert(order.task.clone(), TaskState::Prepared)
                }
                DesiredState::Stop => worker.tasks.remove(&order.task),
                _ => worker.tasks.insert(order.task.clone(), TaskState::Running),
            };
        }
    }
}

impl SimulatedWorker {
    fn poll(&mut self) -> WorkerPoll {
        self.sequence += 1;
        let report = |(task, state): (&TaskKey, &TaskState)| TaskReport {
            task: task.clone(),
            state: state.clone(),
        };
        WorkerPoll {
            worker: self.id.clone(),
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            incarnation: Incarnation(1),
            sequence: Sequence(self.sequence),
            capacity: capacity(self.accelerators),
            usage: Usage::default(),
            tasks: self.tasks.iter().map(report).collect(),
            orders_version: self.version,
            term: Term(1),
        }
    }
}

const fn capacity(accelerators: Accelerators) -> WorkerCapacity {
    WorkerCapacity {
        accelerators,
        cores: Cores(64),
        memory_mb: MemoryMb(262_144),
    }
}

fn rack_accelerators(rack: u32) -> Accelerators {
    let index = usize::try_from(rack).expect("a small number");
    Accelerators(RACK_ACCELERATORS[index % RACK_ACCELERATORS.len()])
}

fn simulated_workers(count: u32) -> Vec<SimulatedWorker> {
    let worker = |number: u32| {
        let rack = number / WORKERS_PER_RACK / ZONES;
        SimulatedWorker {
            id: id("worker", number),
            zone: id("zone", number / WORKERS_PER_RACK % ZONES),
            rack: id("rack", rack),
            accelerators: rack_accelerators(rack),
            sequence: 0,
            version: OrdersVersion::ZERO,
            tasks: BTreeMap::new(),
        }
    };
    (0..count).map(worker).collect()
}

/// Returns the configuration in force, with the racks and teams of this size.
pub fn in_force(size: FleetSize) -> ClusterConfig {
    let mut state = ClusterConfig::default();
    let racks = size.workers.div_ceil(ZONES * WORKERS_PER_RACK);
    for zone in 0..ZONES {
        let rack = |rack: u32| {
            let offered = capacity(rack_accelerators(rack));
            RackSpec {
                name: id("rack", rack),
                workers: WORKERS_PER_RACK,
                accelerators: offered.accelerators,
                cores: offered.cores,
                memory_mb: offered.memory_mb,
            }
        };
        let spec = ZoneSpec {
            name: id("zone", zone),
            state: ZoneState::In,
            racks: (0..racks).map(rack).collect(),
        };
        state.zones.insert(spec.name.clone(), spec);
    }
    for team in 0..size.teams.max(1) {
        let spec = TeamSpec {
            name: id("team", team),
            attempts_max: 4,
            queued_jobs_max: 10_000,
            task_memory_max_mb: MemoryMb(65_536),
            request_weight: 1,
        };
        state.teams.insert(spec.name.clone(), spec);
    }
    state
}

pub fn records(size: FleetSize) -> Vec<JobRecord> {
    let job = |number: u32| {
        let is_waiting = number >= size.running;
        let mut key = job_key(number);
        key.team = id("team", number % size.teams.max(1));
        let spec = JobSpec {
            key,
            class: id("class", number % 20),
            tasks: if is_waiting { 24 } else { 32 },
            accelerators: Accelerators(if is_waiting { 8 } else { 0 }),
            cores: Cores(4),
            memory_mb: MemoryMb(8_192),
            adjacency: Adjacency::Zone,
            idempotent: true,
            made_ms: None,
            urgent: false,
            declared_run_ms: Millis(14_400_000),
            deadline_ms: None,
            payload: "run --config /etc/job.toml --seed 17".into(),
        };
        JobRecord::new(spec, WallMs(1_000), u64::from(number) + 1)
    };
    (0..size.running + size.waiting).map(job).collect()
}
