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
const RACK_WORKERS: u32 = 8;
const TICK_MS: u64 = 100;
const POLL_MS: u64 = 2_000;
/// Accelerators per worker by rack number modulo eight, 1.375 on average.
const RACK_ACCELERATORS: [u32; 8] = [8, 0, 2, 0, 1, 0, 0, 0];

/// A simulated worker, which obeys all orders at once.
struct Machine {
    worker: WorkerId,
    zone: ZoneId,
    rack: RackId,
    accelerators: Accelerators,
    sequence: u64,
    version: OrdersVersion,
    tasks: BTreeMap<TaskKey, TaskState>,
}

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: u32,
    /// Running gangs, of 32 tasks each.
    pub running: u32,
    /// Waiting gangs, which do not fit anywhere at present.
    pub waiting: u32,
    pub teams: u32,
}

impl Size {
    /// Returns `part` eighths of the target size.
    pub const fn eighths(part: u32) -> Self {
        Self {
            workers: 4_600 * part / 8,
            running: 1_188 * part / 8,
            waiting: 7_000 * part / 8,
            teams: 300 * part / 8,
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
    machines: Vec<Machine>,
    by_name: BTreeMap<WorkerId, usize>,
    now: Millis,
}

impl Fleet {
    /// Creates a fleet whose leader is elected and whose gangs are submitted. No worker has polled
    /// yet.
    pub fn new(size: Size) -> Self {
        let machines = machines(size.workers);
        let by_name = machines
            .iter()
            .enumerate()
            .map(|(index, m)| (m.worker.clone(), index))
            .collect();
        let mut fleet = Self {
            scheduler: Scheduler::new(SchedulerOptions::default()),
            committed: Vec::new(),
            records: records(size),
            poll_us: Vec::new(),
            tick_us: Vec::new(),
            machines,
            by_name,
            now: Millis(1_000),
        };
        let in_force = Arc::new(in_force(size));
        fleet.give(Event::Elected {
            term: Term(1),
            in_force,
            jobs: Vec::new(),
        });
        for record in fleet.records.clone() {
            fleet.give(Event::Submitted {
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
            let took = self.give(Event::Tick);
            self.tick_us.push(took);
            for index in (tick % groups..self.machines.len()).step_by(groups) {
                let poll = self.machines[index].poll();
                let took = self.give(Event::Polled { poll });
                self.poll_us.push(took);
            }
        }
    }

    /// Frees the scheduler's state, so that its size can be measured.
    pub fn drop_scheduler(&mut self) {
        self.scheduler = Scheduler::new(SchedulerOptions::default());
    }

    /// Returns the number of running tasks.
    pub fn running_tasks(&self) -> usize {
        let running = |machine: &Machine| {
            machine
                .tasks
                .values()
                .filter(|s| **s == TaskState::Running)
                .count()
        };
        self.machines.iter().map(running).sum()
    }

    fn give(&mut self, event: Event) -> f64 {
        let start = Instant::now();
        let actions = self.scheduler.handle(event, self.now);
        let took = start.elapsed().as_secs_f64() * 1e6;
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            match action {
                Action::Commit(transition) => {
                    self.committed.push(transition.clone());
                    waiting.extend(
                        self.scheduler
                            .handle(Event::Committed { transition }, self.now),
                    );
                }
                Action::Order(orders) => self.obey(&orders),
                Action::Explain { .. } => {}
            }
        }
        took
    }

    fn obey(&mut self, orders: &WorkerOrders) {
        let machine = &mut self.machines[self.by_name[&orders.worker]];
        machine.version = orders.version;
        for order in &orders.tasks {
            match order.desired_state {
                DesiredState::Prepare => machine
                    .tasks
                    .insert(order.task.clone(), TaskState::Prepared),
                DesiredState::Stop => machine.tasks.remove(&order.task),
                _ => machine.tasks.insert(order.task.clone(), TaskState::Running),
            };
        }
    }
}

impl Machine {
    fn poll(&mut self) -> WorkerPoll {
        self.sequence += 1;
        let report = |(task, state): (&TaskKey, &TaskState)| TaskReport {
            task: task.clone(),
            state: state.clone(),
        };
        WorkerPoll {
            worker: self.worker.clone(),
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

fn machines(workers: u32) -> Vec<Machine> {
    let machine = |number: u32| {
        let rack = number / RACK_WORKERS / ZONES;
        Machine {
            worker: id("worker", number),
            zone: id("zone", number / RACK_WORKERS % ZONES),
            rack: id("rack", rack),
            accelerators: rack_accelerators(rack),
            sequence: 0,
            version: OrdersVersion::ZERO,
            tasks: BTreeMap::new(),
        }
    };
    (0..workers).map(machine).collect()
}

/// Returns the configuration in force, with the racks and teams of this size.
pub fn in_force(size: Size) -> ClusterConfig {
    let mut state = ClusterConfig::default();
    let racks = size.workers.div_ceil(ZONES * RACK_WORKERS);
    for zone in 0..ZONES {
        let rack = |rack: u32| {
            let offered = capacity(rack_accelerators(rack));
            RackSpec {
                name: id("rack", rack),
                workers: RACK_WORKERS,
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

pub fn records(size: Size) -> Vec<JobRecord> {
    let job = |number: u32| {
        let waits = number >= size.running;
        let mut key = job_key(number);
        key.team = id("team", number % size.teams.max(1));
        let spec = JobSpec {
            key,
            class: id("class", number % 20),
            tasks: if waits { 24 } else { 32 },
            accelerators: Accelerators(if waits { 8 } else { 0 }),
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
