//! An in-memory worker in virtual time that obeys orders under leases as the worker protocol
//! requires.

use std::collections::BTreeMap;

use marjoramknot::fleet::{
    Checkpoint, DesiredState, TaskKey, TaskOrder, TaskReport, TaskSpec, TaskState, Usage,
    WorkerCapacity, WorkerOrders, WorkerPoll,
};
use marjoramknot::scheduler::JobKey;
use marjoramknot::units::{
    Accelerators, Attempt, Incarnation, MemoryMb, Millis, OrdersVersion, RackId, Sequence, Term,
    WorkerId, ZoneId,
};
use smol_str::SmolStr;

/// Faults injected into a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The worker refuses every task.
    pub refuses: bool,
    /// Every task fails 100 ms after its start.
    pub fails_all: bool,
    /// Tasks never write a checkpoint.
    pub ignores_checkpoint: bool,
    /// Tasks with less memory than this exceed their limit.
    pub needs_memory_mb: u64,
    /// Accelerators on the worker that are used by others.
    pub external_accelerators: u32,
}

/// The identity and configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub worker: WorkerId,
    pub zone: ZoneId,
    pub rack: RackId,
    pub capacity: WorkerCapacity,
    pub faults: Faults,
    /// Extracts a task's run time from its payload.
    pub run_ms: fn(&str) -> Option<Millis>,
}

/// A period in which a task ran.
#[derive(Clone, Debug)]
pub struct TaskRun {
    pub task: TaskKey,
    pub term: Term,
    pub from_ms: Millis,
    /// When the task ended; `None` while it runs.
    pub to_ms: Option<Millis>,
    /// Whether the work was preserved by a result or a checkpoint.
    pub kept: bool,
}

#[derive(Clone, Debug)]
struct Task {
    state: TaskState,
    spec: TaskSpec,
    started_ms: Option<Millis>,
    ran: bool,
}

/// The worker: a state machine without clock or sockets.
#[derive(Debug)]
pub struct FakeWorker {
    pub spec: WorkerSpec,
    pub incarnation: Incarnation,
    pub sequence: Sequence,
    pub term: Term,
    pub version: OrdersVersion,
    held: BTreeMap<TaskKey, Task>,
    /// The latest attempt seen of each job.
    attempts: BTreeMap<JobKey, Attempt>,
    lease_ends_ms: Millis,
    /// Everything that ran on this worker.
    pub history: Vec<TaskRun>,
    /// Indices into the history of the tasks that still run.
    open: BTreeMap<TaskKey, usize>,
}

impl FakeWorker {
    pub fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            incarnation: Incarnation(1),
            sequence: Sequence::ZERO,
            term: Term::ZERO,
            version: OrdersVersion::ZERO,
            held: BTreeMap::new(),
            attempts: BTreeMap::new(),
            lease_ends_ms: Millis::ZERO,
            history: Vec::new(),
            open: BTreeMap::new(),
        }
    }

    /// Builds the poll that is sent now.
    pub fn poll(&mut self, now: Millis) -> WorkerPoll {
        self.tick(now);
        self.sequence = self.sequence.next();
        let tasks = self.held.iter().map(|(task, held)| TaskReport {
            task: task.clone(),
            state: held.state.clone(),
        });
        WorkerPoll {
            worker: self.spec.worker.clone(),
            zone: self.spec.zone.clone(),
            rack: self.spec.rack.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            capacity: self.spec.capacity,
            usage: self.usage(),
            tasks: tasks.collect(),
            orders_version: self.version,
            term: self.term,
        }
    }

    fn usage(&self) -> Usage {
        let busy = self.held.values().filter(|task| holds(&task.state));
        let own: u32 = busy.clone().map(|task| task.spec.accelerators.0).sum();
        let accelerators = own + self.spec.faults.external_accelerators;
        let cores_milli = busy
            .clone()
            .map(|task| u64::from(task.spec.cores.0) * 1_000);
        Usage {
            accelerators: Accelerators(accelerators),
            cores_milli: cores_milli.sum(),
            memory_mb: MemoryMb(busy.map(|task| task.spec.memory_mb.0).sum()),
            age_ms: Millis::ZERO,
        }
    }

    /// Handles orders that answer a poll sent at `sent_ms`.
    pub fn receive(&mut self, orders: &WorkerOrders, sent_ms: Millis, now: Millis) {
        self.tick(now);
        let older = (orders.term, orders.version) < (self.term, self.version);
        let late = now.since(sent_ms) >= orders.lease_ms;
        if orders.incarnation != self.incarnation || older || late {
            return;
        }
        let may_start = now.since(sent_ms) < orders.start_valid_ms;
        let lease_ends_ms = sent_ms.saturating_add(orders.lease_ms);
        self.lease_ends_ms = self.lease_ends_ms.max(lease_ends_ms);
        let mut whole = true;
        for order in &orders.tasks {
            whole &= self.obey(order, orders.term, may_start, now);
        }
        let unnamed: Vec<TaskKey> = self
            .held
            .keys()
            .filter(|task| !orders.tasks.iter().any(|order| order.task == **task))
            .cloned()
            .collect();
        for task in unnamed {
            self.stop(&task, now);
        }
        self.term = orders.term;
        if whole {
            self.version = orders.version;
        }
    }

    /// Carries out one order. Returns false if it was not carried out, for example because it came
    /// too late to start anything.
    fn obey(&mut self, order: &TaskOrder, term: Term, may_start: bool, now: Millis) -> bool {
        let newest = self.attempts.get(&order.task.job).copied();
        if newest.is_some_and(|attempt| attempt > order.task.attempt) {
            if order.desired_state == DesiredState::Stop {
                self.stop(&order.task, now);
                self.held.remove(&order.task);
            }
            return true;
        }
        self.attempts
            .insert(order.task.job.clone(), order.task.attempt);
        match order.desired_state {
            DesiredState::Prepare if self.held.contains_key(&order.task) => true,
            DesiredState::Prepare => may_start && self.prepare(order),
            DesiredState::Run | DesiredState::Throttle => self.run(order, term, may_start, now),
            DesiredState::Checkpoint => {
                self.checkpoint(&order.task, now);
                true
            }
            DesiredState::Stop => {
                self.stop(&order.task, now);
                self.held.remove(&order.task);
                true
            }
        }
    }

    fn prepare(&mut self, order: &TaskOrder) -> bool {
        let Some(spec) = order.spec.clone() else {
            return false;
        };
        let used = self.usage();
        let room = self
            .spec
            .capacity
            .accelerators
            .saturating_sub(used.accelerators);
        let refused = self.spec.faults.refuses || spec.accelerators > room;
        let state = if refused {
            TaskState::Refused {
                reason: SmolStr::new("no room"),
            }
        } else {
            TaskState::Prepared
        };
        let task = Task {
            state,
            spec,
            started_ms: None,
            ran: false,
        };
        self.held.insert(order.task.clone(), task);
        true
    }

    fn run(&mut self, order: &TaskOrder, term: Term, may_start: bool, now: Millis) -> bool {
        let Some(task) = self.held.get_mut(&order.task) else {
            return false;
        };
        if task.state != TaskState::Prepared {
            return true;
        }
        if !may_start {
            return false;
        }
        task.state = TaskState::Running;
        task.started_ms = Some(now);
        task.ran = true;
        self.open.insert(order.task.clone(), self.history.len());
        self.history.push(TaskRun {
            task: order.task.clone(),
            term,
            from_ms: now,
            to_ms: None,
            kept: false,
        });
        true
    }

    fn checkpoint(&mut self, key: &TaskKey, now: Millis) {
        if self.spec.faults.ignores_checkpoint {
            return;
        }
        if let Some(task) = self.held.get_mut(key)
            && task.state == TaskState::Running
        {
            let ran = now.since(task.started_ms.unwrap_or(now));
            let done = done_before(&task.spec).saturating_add(ran);
            task.state = TaskState::Checkpointed {
                checkpoint: Checkpoint(done.0.to_string().into()),
            };
            self.keep_history(key);
        }
    }

    fn stop(&mut self, key: &TaskKey, now: Millis) {
        let Some(task) = self.held.get_mut(key) else {
            return;
        };
        if holds(&task.state) {
            task.state = TaskState::Stopped { ran: task.ran };
        }
        self.close_history(key, now);
    }

    fn close_history(&mut self, key: &TaskKey, now: Millis) {
        if let Some(at) = self.open.remove(key) {
            self.history[at].to_ms = Some(now);
        }
    }

    fn keep_history(&mut self, key: &TaskKey) {
        if let Some(at) = self.open.get(key) {
            self.history[*at].kept = true;
        }
    }

    /// Advances the time: tasks complete, and stop when the lease ends.
    pub fn tick(&mut self, now: Millis) {
        let keys: Vec<TaskKey> = self.held.keys().cloned().collect();
        for key in keys {
            if now >= self.lease_ends_ms {
                self.stop(&key, self.lease_ends_ms);
            } else {
                self.finish(&key, now);
            }
        }
    }

    fn finish(&mut self, key: &TaskKey, now: Millis) {
        let faults = self.spec.faults;
        let run_ms = self.spec.run_ms;
        let Some(task) = self.held.get_mut(key) else {
            return;
        };
        let Some(started_ms) = task
            .started_ms
            .filter(|_ms| task.state == TaskState::Running)
        else {
            return;
        };
        let over_memory = task.spec.memory_mb.0 < faults.needs_memory_mb;
        let fails = faults.fails_all || task.spec.payload.starts_with("fail");
        let whole_ms = run_ms(&task.spec.payload).unwrap_or(Millis(1_000));
        let whole_ms = whole_ms.since(done_before(&task.spec));
        let lasts_ms = if over_memory || fails {
            Millis(100)
        } else {
            whole_ms
        };
        if now.since(started_ms) < lasts_ms {
            return;
        }
        task.state = if over_memory {
            TaskState::OverMemory {
                used_mb: MemoryMb(faults.needs_memory_mb),
            }
        } else if fails {
            TaskState::Failed {
                cause: SmolStr::new("broken"),
            }
        } else {
            TaskState::Succeeded {
                result: SmolStr::new(format!("result {}", key.index)),
            }
        };
        if !over_memory && !fails {
            self.keep_history(key);
        }
        self.close_history(key, now);
    }

    /// Restarts the process: running tasks end and all state is lost.
    pub fn restart(&mut self, now: Millis) {
        let keys: Vec<TaskKey> = self.held.keys().cloned().collect();
        for key in keys {
            self.close_history(&key, now);
        }
        self.held.clear();
        self.attempts.clear();
        self.incarnation = self.incarnation.next();
        self.sequence = Sequence::ZERO;
        self.version = OrdersVersion::ZERO;
        self.lease_ends_ms = Millis::ZERO;
    }

    /// Tasks that run now.
    pub fn running(&self) -> impl Iterator<Item = &TaskKey> {
        let held = self.held.iter();
        held.filter(|(_key, task)| matches!(task.state, TaskState::Running | TaskState::Throttled))
            .map(|(key, _task)| key)
    }
}

/// Run time that is already covered by the checkpoint of an earlier attempt.
fn done_before(spec: &TaskSpec) -> Millis {
    let done = spec
        .checkpoint
        .as_ref()
        .and_then(|checkpoint| checkpoint.0.parse().ok());
    Millis(done.unwrap_or(0))
}

fn holds(state: &TaskState) -> bool {
    matches!(
        state,
        TaskState::Prepared
            | TaskState::Running
            | TaskState::Throttled
            | TaskState::Checkpointed { .. }
    )
}
