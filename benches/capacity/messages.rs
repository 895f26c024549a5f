//! Messages of realistic size for a fleet of the target size.

use std::net::SocketAddr;

use marjoramknot::fleet::{
    DesiredState, EndpointAnnouncement, TaskKey, TaskOrder, TaskReport, TaskState, Usage,
    WorkerCapacity, WorkerOrders, WorkerPoll,
};
use marjoramknot::scheduler::JobKey;
use marjoramknot::units::{
    Accelerators, Attempt, Cores, Incarnation, MemoryMb, Millis, OrdersVersion, Sequence, Slots,
    TaskIndex, Term,
};

const TEAMS: u32 = 300;

pub fn id<T: std::str::FromStr>(prefix: &str, number: u32) -> T {
    let text = format!("{prefix}-{number:05}");
    text.parse()
        .ok()
        .expect("the id is short and of allowed characters")
}

/// Returns the key of the job with this number.
pub fn job_key(number: u32) -> JobKey {
    JobKey {
        team: id("team", number % TEAMS),
        id: id("job", number),
    }
}

fn task_key(worker: u32, index: u32) -> TaskKey {
    TaskKey {
        job: job_key(worker / 4 + index),
        attempt: Attempt(1),
        index: TaskIndex(index),
    }
}

/// Returns a poll of a worker that runs `tasks` tasks.
pub fn poll(worker: u32, tasks: u32, sequence: u64) -> WorkerPoll {
    let reports = (0..tasks).map(|index| TaskReport {
        task: task_key(worker, index),
        state: TaskState::Running,
    });
    WorkerPoll {
        worker: id("worker", worker),
        zone: id("zone", worker % 24),
        rack: id("rack", worker / 8),
        incarnation: Incarnation(1_764_829_800_000),
        sequence: Sequence(sequence),
        capacity: WorkerCapacity {
            accelerators: Accelerators(2),
            cores: Cores(64),
            memory_mb: MemoryMb(262_144),
        },
        usage: Usage::default(),
        tasks: reports.collect(),
        orders_version: OrdersVersion(17),
        term: Term(3),
    }
}

/// Returns orders that renew the lease of a worker with `tasks` running tasks.
pub fn orders(worker: u32, tasks: u32) -> WorkerOrders {
    let task_orders = (0..tasks).map(|index| TaskOrder {
        task: task_key(worker, index),
        desired_state: DesiredState::Run,
        spec: None,
    });
    WorkerOrders {
        worker: id("worker", worker),
        incarnation: Incarnation(1_764_829_800_000),
        sequence: Sequence(9_000),
        term: Term(3),
        version: OrdersVersion(17),
        lease_ms: Millis(6_000),
        start_valid_ms: Millis(3_000),
        tasks: task_orders.collect(),
    }
}

pub fn announcement(endpoint: u32) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint: id("endpoint", endpoint),
        service: id("service", endpoint % 8),
        zone: id("zone", endpoint % 24),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        incarnation: Incarnation(1_764_829_800_000),
        sequence: Sequence(9_000),
        slots: Slots(8),
        connections: Slots(64),
        slots_used: Slots(4),
        connections_used: Slots(8),
        leaving: false,
    }
}
