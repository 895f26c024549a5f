//! Measures how costs grow with the number of workers, tasks and jobs, and prints the tables of
//! docs/CAPACITY.md in Markdown.
//!
//! `cargo bench --bench capacity` runs all parts.

#[path = "capacity/fleet.rs"]
mod fleet;
#[path = "capacity/idle_workers.rs"]
mod idle_workers;
#[path = "capacity/job_cost.rs"]
mod job_cost;
#[path = "capacity/messages.rs"]
mod messages;
#[path = "capacity/roles.rs"]
mod roles;
#[path = "capacity/slope.rs"]
mod slope;
#[path = "capacity/support.rs"]
mod support;

use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

use fleet::{Fleet, FleetSize};
use marjoramknot::fleet::{WorkerOrders, WorkerPoll};
use roles::Slopes;
use slope::Line;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const RUNS: u32 = 5;
const ROUNDS: u32 = 2_000;
const TASK_SIZES: [u32; 4] = [1, 4, 8, 16];
const JOB_SIZES: [u32; 4] = [125, 250, 500, 1_000];
const POLLING_WORKERS: [u32; 4] = [0, 200, 400, 800];

fn main() {
    // Resident memory is measured first, since pages that other parts leave resident would count.
    let (idle_worker_cpu, idle_worker_memory) = measure_idle_workers();
    let (poll_bytes, order_bytes) = measure_json_bytes();
    let (poll_wire_bytes, order_wire_bytes) = measure_wire_bytes();
    let (entry_us, leader_us) = measure_codecs();
    let (log_bytes, snapshot_bytes, apply_us) = measure_job_cost();
    println!("| slope | at zero | each | spread of the runs |");
    println!("| --- | --- | --- | --- |");
    print_row("a worker's poll, bytes of JSON, each task", poll_bytes);
    print_row("its orders, bytes of JSON, each task", order_bytes);
    print_row(
        "the poll between entry and leader, bytes, each task",
        poll_wire_bytes,
    );
    print_row(
        "the orders between leader and entry, bytes, each task",
        order_wire_bytes,
    );
    print_row(
        "entry: codecs of a poll and its orders, us, each task",
        entry_us,
    );
    print_row(
        "leader: codecs of a poll and its orders, us, each task",
        leader_us,
    );
    print_row(
        "log bytes of a job from submission to end, each job of 32 tasks",
        log_bytes,
    );
    print_row(
        "snapshot bytes while it runs, each job of 32 tasks",
        snapshot_bytes,
    );
    print_row(
        "encode, decode and apply its records, us, each job of 32 tasks",
        apply_us,
    );
    print_row(
        "control, entry and workers in one process, % of a core, each idle worker",
        idle_worker_cpu,
    );
    print_row(
        "control, entry and workers in one process, MB, each idle worker",
        idle_worker_memory,
    );
    let scheduler_cost = measure_scheduler();
    let slopes = Slopes {
        poll_bytes,
        order_bytes,
        poll_wire_bytes,
        order_wire_bytes,
        entry_us,
        leader_us,
        log_bytes,
        snapshot_bytes,
        apply_us,
        idle_worker_cpu,
        idle_worker_memory,
        announcement_bytes: json_len(&messages::announcement(7)),
        small_note_bytes: job_cost::small_note_bytes(),
        poll_us: scheduler_cost.poll_us,
        tick_us: scheduler_cost.tick_us,
        scheduler_mb: scheduler_cost.state_mb,
    };
    roles::print(&slopes);
}

/// Costs of the scheduler: median microseconds of a poll and a tick, and the size of its state.
struct SchedulerCost {
    poll_us: f64,
    tick_us: f64,
    state_mb: f64,
}

fn measure_idle_workers() -> (Line, Line) {
    let runtime = tokio::runtime::Runtime::new().expect("cannot create a runtime");
    let metrics = idle_workers::metrics();
    let usages = POLLING_WORKERS.map(|workers| idle_workers::measure(&runtime, &metrics, workers));
    let usage = |workers: u32| {
        let index = POLLING_WORKERS.iter().position(|size| *size == workers);
        usages[index.expect("only measured sizes are asked for")]
    };
    let cpu = slope::measure(&POLLING_WORKERS, 1, |workers| usage(workers).core_pct);
    let memory = slope::measure(&POLLING_WORKERS, 1, |workers| usage(workers).resident_mb);
    (cpu, memory)
}

fn measure_json_bytes() -> (Line, Line) {
    let poll = |tasks| json_len(&messages::poll(7, tasks, 9_000));
    let orders = |tasks| json_len(&messages::orders(7, tasks));
    (
        slope::measure(&TASK_SIZES, 1, poll),
        slope::measure(&TASK_SIZES, 1, orders),
    )
}

fn measure_wire_bytes() -> (Line, Line) {
    let poll = |tasks| wire_len(&messages::poll(7, tasks, 9_000));
    let orders = |tasks| wire_len(&messages::orders(7, tasks));
    (
        slope::measure(&TASK_SIZES, 1, poll),
        slope::measure(&TASK_SIZES, 1, orders),
    )
}

fn measure_codecs() -> (Line, Line) {
    (
        slope::measure(&TASK_SIZES, RUNS, entry_codecs),
        slope::measure(&TASK_SIZES, RUNS, leader_codecs),
    )
}

fn measure_job_cost() -> (Line, Line, Line) {
    (
        slope::measure(&JOB_SIZES, 1, |jobs| job_cost::measure(jobs).log_bytes),
        slope::measure(&JOB_SIZES, 1, |jobs| job_cost::measure(jobs).snapshot_bytes),
        slope::measure(&JOB_SIZES, RUNS, |jobs| job_cost::measure(jobs).apply_us),
    )
}

/// Prints the scheduler's table and returns its last row, which is at the target size.
fn measure_scheduler() -> SchedulerCost {
    println!(
        "\n| workers | tasks running | gangs waiting | state, MB | poll p50, us | poll p99, us | tick p50, us | tick p99, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut last = SchedulerCost {
        poll_us: 0.0,
        tick_us: 0.0,
        state_mb: 0.0,
    };
    for eighths in [1, 2, 4, 8] {
        last = measure_scheduler_at(FleetSize::eighths(eighths));
    }
    last
}

fn measure_scheduler_at(size: FleetSize) -> SchedulerCost {
    let mut fleet = Fleet::new(size);
    fleet.run(60);
    fleet.poll_us.clear();
    fleet.tick_us.clear();
    fleet.run(20);
    let tasks = fleet.running_tasks();
    let (poll_us, poll_p99) = (
        percentile(&mut fleet.poll_us, 50),
        percentile(&mut fleet.poll_us, 99),
    );
    let (tick_us, tick_p99) = (
        percentile(&mut fleet.tick_us, 50),
        percentile(&mut fleet.tick_us, 99),
    );
    let region = Region::new(ALLOCATOR);
    fleet.drop_scheduler();
    let freed = region.change();
    let state_mb = megabytes(freed.bytes_deallocated - freed.bytes_allocated);
    println!(
        "| {} | {tasks} | {} | {state_mb:.1} | {poll_us:.1} | {poll_p99:.1} | {tick_us:.0} | {tick_p99:.0} |",
        size.workers, size.waiting
    );
    SchedulerCost {
        poll_us,
        tick_us,
        state_mb,
    }
}

fn megabytes(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).expect("under 4 GB")) / 1e6
}

fn percentile(values: &mut [f64], percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() - 1) * percent / 100]
}

fn json_len<T: serde::Serialize>(value: &T) -> f64 {
    length_f64(&serde_json::to_vec(value).expect("messages serialize"))
}

fn wire_len<T: serde::Serialize>(value: &T) -> f64 {
    length_f64(&postcard::to_allocvec(value).expect("messages encode"))
}

fn length_f64(bytes: &[u8]) -> f64 {
    f64::from(u32::try_from(bytes.len()).expect("messages are short"))
}

fn mean_us(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn print_row(name: &str, line: Line) {
    println!(
        "| {name} | {:.2} | {:.3} | {:.0}% |",
        line.base, line.slope, line.spread_pct
    );
}

/// Returns the microseconds in which an entry transcodes a poll for the leader and the orders for
/// the worker.
fn entry_codecs(tasks: u32) -> f64 {
    let poll_text =
        serde_json::to_vec(&messages::poll(7, tasks, 9_000)).expect("a poll serializes");
    let orders_wire = postcard::to_allocvec(&messages::orders(7, tasks)).expect("orders encode");
    mean_us(|| {
        let poll: WorkerPoll =
            serde_json::from_slice(black_box(&poll_text)).expect("a poll deserializes");
        black_box(postcard::to_allocvec(&poll).expect("a poll encodes"));
        let orders: WorkerOrders =
            postcard::from_bytes(black_box(&orders_wire)).expect("orders decode");
        black_box(serde_json::to_vec(&orders).expect("orders serialize"));
    })
}

/// Returns the microseconds in which the leader decodes a poll and encodes the orders.
fn leader_codecs(tasks: u32) -> f64 {
    let poll_wire =
        postcard::to_allocvec(&messages::poll(7, tasks, 9_000)).expect("a poll encodes");
    let orders = messages::orders(7, tasks);
    mean_us(|| {
        let poll: WorkerPoll = postcard::from_bytes(black_box(&poll_wire)).expect("a poll decodes");
        black_box(poll);
        black_box(postcard::to_allocvec(black_box(&orders)).expect("orders encode"));
    })
}
