use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::scheduler::JobKey;
use crate::units::{
    Accelerators, Attempt, Cores, Incarnation, MemoryMb, Millis, OrdersVersion, RackId, Sequence,
    TaskIndex, Term, WorkerId, ZoneId,
};

/// One task of one attempt of a gang.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The attempt at it.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub index: TaskIndex,
}

/// What a worker has to offer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerCapacity {
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory_mb: MemoryMb,
}

/// What a worker measured of its own load, some time ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerUsage {
    /// Accelerators in use.
    pub accelerators: Accelerators,
    /// Processor cores in use, in thousandths.
    pub cores_milli: u64,
    /// Memory in use.
    pub memory_mb: MemoryMb,
    /// How old the measurement is.
    pub age_ms: Millis,
}

/// Where a task stands on its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Resources are held, nothing runs.
    Prepared,
    /// The worker cannot take the task; it never ran.
    Refused {
        /// The worker's reason.
        reason: SmolStr,
    },
    /// The task runs.
    Running,
    /// The task runs slowed down.
    Throttled,
    /// The task wrote a checkpoint and still holds its resources.
    Checkpointed {
        /// The checkpoint to resume from.
        checkpoint: Checkpoint,
    },
    /// The task was stopped by order or by its lease.
    Stopped {
        /// Whether it ever ran.
        ran: bool,
    },
    /// The task ended by itself with a result.
    Succeeded {
        /// The result's text, at most 64 KiB.
        result: SmolStr,
    },
    /// The task ended by itself with an error.
    Failed {
        /// The error's text.
        cause: SmolStr,
    },
    /// The worker's guard stopped the task because it used more memory than ordered.
    OverMemory {
        /// The memory it had reached.
        used_mb: MemoryMb,
    },
}

/// A place in the worker's storage from which a task can go on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Checkpoint(pub SmolStr);

/// What a worker says of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskKey,
    /// Where it stands.
    pub state: TaskState,
}

/// A worker's poll: its report, and the question for orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPoll {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Larger in each poll of one incarnation.
    pub sequence: Sequence,
    /// What it has to offer.
    pub capacity: WorkerCapacity,
    /// Its load.
    #[serde(default)]
    pub usage: WorkerUsage,
    /// All tasks it knows of; ended ones until an order to stop acknowledges them.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
    /// The version of the orders it holds; zero for none.
    #[serde(default)]
    pub orders_version: OrdersVersion,
    /// The highest term whose orders it has seen.
    #[serde(default)]
    pub term: Term,
}

/// What is wanted of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// Hold the resources and run nothing.
    Prepare,
    /// Run.
    Run,
    /// Run slowed down.
    Throttle,
    /// Write a checkpoint and keep the resources.
    Checkpoint,
    /// Stop, free the resources and forget the task.
    Stop,
}

/// What a task runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The caller's payload, opaque to the scheduler.
    pub payload: SmolStr,
    /// Accelerators of this task.
    pub accelerators: Accelerators,
    /// Cores of this task.
    pub cores: Cores,
    /// Memory at which the worker's guard stops the task.
    pub memory_mb: MemoryMb,
    /// Number of tasks in the gang.
    pub gang_size: u32,
    /// Where to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Peers of the gang as worker and, where announced, address.
    #[serde(default)]
    pub peers: Vec<(WorkerId, Option<SocketAddr>)>,
}

/// The wanted state of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskKey,
    /// What is wanted.
    #[serde(rename = "want")]
    pub desired_state: DesiredState,
    /// What it runs; present with [`DesiredState::Prepare`] and [`DesiredState::Run`] until the worker reports that
    /// the task runs.
    #[serde(rename = "work")]
    pub spec: Option<TaskSpec>,
}

/// All that is wanted of a worker; a task that is not named must not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerOrders {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation the orders are for.
    pub incarnation: Incarnation,
    /// The poll that these orders answer; the lease counts from when that poll was sent.
    pub sequence: Sequence,
    /// The term of the leader that gave them; lower terms than one already seen are void.
    pub term: Term,
    /// The version of these orders.
    pub version: OrdersVersion,
    /// How long running tasks may go on after that poll was sent.
    pub lease_ms: Millis,
    /// How long after that poll was sent an order to prepare or run may be obeyed.
    pub start_valid_ms: Millis,
    /// The wanted tasks.
    pub tasks: Vec<TaskOrder>,
}
