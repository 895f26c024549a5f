use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::scheduler::JobKey;
use crate::units::{
    Accelerators, Attempt, Cores, Incarnation, MemoryMb, Millis, OrdersVersion, RackId, Sequence,
    TaskIndex, Term, WorkerId, ZoneId,
};

/// Identifies one task in one attempt at a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The attempt at the job.
    pub attempt: Attempt,
    /// The task's index in the gang.
    pub index: TaskIndex,
}

/// The total resources of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerCapacity {
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Processor cores.
    pub cores: Cores,
    /// Memory in MB.
    pub memory_mb: MemoryMb,
}

/// The resource usage that a worker measured.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Accelerators in use.
    pub accelerators: Accelerators,
    /// Processor cores in use, in thousandths of a core.
    pub cores_milli: u64,
    /// Memory in use, in MB.
    pub memory_mb: MemoryMb,
    /// The age of the measurement.
    pub age_ms: Millis,
}

/// The state of a task on its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Its resources are reserved; it does not run yet.
    Prepared,
    /// The worker cannot accept the task; it never ran.
    Refused {
        /// The worker's reason.
        reason: SmolStr,
    },
    /// It is running.
    Running,
    /// It is running at reduced speed.
    Throttled,
    /// It has written a checkpoint and still holds its resources.
    Checkpointed {
        /// The checkpoint to resume from.
        checkpoint: Checkpoint,
    },
    /// It was stopped, by an order or because its lease expired.
    Stopped {
        /// Whether it ever ran.
        ran: bool,
    },
    /// It ended by itself with a result.
    Succeeded {
        /// The result, at most 64 KiB.
        result: SmolStr,
    },
    /// It ended by itself with an error.
    Failed {
        /// The error's text.
        cause: SmolStr,
    },
    /// The worker stopped it because it exceeded its memory limit.
    OverMemory {
        /// The memory that it had reached, in MB.
        used_mb: MemoryMb,
    },
}

/// A reference to a checkpoint in the worker's storage, from which a task can resume.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Checkpoint(pub SmolStr);

/// A worker's report on one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskKey,
    /// Its state.
    pub state: TaskState,
}

/// A worker's poll: reports its state and asks for orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPoll {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Increases with each poll of one incarnation.
    pub sequence: Sequence,
    /// Its total resources.
    pub capacity: WorkerCapacity,
    /// Its measured resource usage.
    #[serde(default)]
    pub usage: Usage,
    /// All tasks it knows of. Ended tasks are included until an order to stop acknowledges them.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
    /// The version of the orders that it holds; zero if it has none.
    #[serde(default)]
    pub orders_version: OrdersVersion,
    /// The highest term whose orders it has seen.
    #[serde(default)]
    pub term: Term,
}

/// The state that a task must reach.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// Reserve the resources without running the task.
    Prepare,
    /// Run the task.
    Run,
    /// Run the task at reduced speed.
    Throttle,
    /// Write a checkpoint and keep the resources.
    Checkpoint,
    /// Stop, free the resources and forget the task.
    Stop,
}

/// What a task runs, and with which resources.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The caller's payload, opaque to the scheduler.
    pub payload: SmolStr,
    /// Accelerators of this task.
    pub accelerators: Accelerators,
    /// Cores of this task.
    pub cores: Cores,
    /// Memory limit in MB; the worker stops a task that exceeds it.
    pub memory_mb: MemoryMb,
    /// Number of tasks in the gang.
    pub gang_size: u32,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<Checkpoint>,
    /// The workers of the gang's tasks, each with its address if announced.
    #[serde(default)]
    pub peers: Vec<(WorkerId, Option<SocketAddr>)>,
}

/// The desired state of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskOrder {
    /// The task.
    pub task: TaskKey,
    /// The state that it must reach.
    #[serde(rename = "want")]
    pub desired_state: DesiredState,
    /// What it runs; present with [`DesiredState::Prepare`] and [`DesiredState::Run`] until the
    /// worker reports that the task runs.
    #[serde(rename = "work")]
    pub spec: Option<TaskSpec>,
}

/// The complete orders for a worker; tasks that are not listed must not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerOrders {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation that the orders are for.
    pub incarnation: Incarnation,
    /// The poll that these orders answer; leases count from the time that poll was sent.
    pub sequence: Sequence,
    /// The term of the issuing leader. Orders of a lower term than one already seen are void.
    pub term: Term,
    /// The version of these orders.
    pub version: OrdersVersion,
    /// How long running tasks may continue after that poll was sent.
    pub lease_ms: Millis,
    /// How long after that poll was sent an order to prepare or run may still be obeyed.
    pub start_valid_ms: Millis,
    /// The orders for each task.
    pub tasks: Vec<TaskOrder>,
}
