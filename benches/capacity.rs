//! Measures how costs grow with the number of workers, tasks and jobs, and prints the tables of
//! docs/CAPACITY.md in Markdown.
//!
//! `cargo bench --bench capacity` runs all parts.

#[path = "capacity/durable.rs"]
mod durable;
#[path = "capacity/fleet.rs"]
mod fleet;
#[path = "capacity/messages.rs"]
mod messages;
#[path = "capacity/path.rs"]
mod path;
#[path = "capacity/roles.rs"]
mod roles;
#[path = "capacity/slope.rs"]
mod slope;
#[path = "capacity/support.rs"]
mod support;

use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

use fleet::{Fleet, Size};
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
    let (path_cpu, path_memory) = measure_path();
    let (poll_bytes, order_bytes) = measure_bytes();
    let (poll_wire_bytes, order_wire_bytes) = measure_wire_bytes();
    let (entry_us, leader_us) = measure_messages();
    let (log_bytes, snapshot_bytes, apply_us) = measure_durable();
    println!("| slope | at zero | each | spread of the runs |");
    println!("| --- | --- | --- | --- |");
    row("a worker's poll, bytes of JSON, each task", poll_bytes);
    row("its orders, bytes of JSON, each task", order_bytes);
    row(
        "the poll between entry and leader, bytes, each task",
        poll_wire_bytes,
    );
    row(
        "the orders between leader and entry, bytes, each task",
        order_wire_bytes,
    );
    row(
        "entry: codecs of a poll and its orders, us, each task",
        entry_us,
    );
    row(
        "leader: codecs of a poll and its orders, us, each task",
        leader_us,
    );
    row(
        "log bytes of a job from submission to end, each job of 32 tasks",
        log_bytes,
    );
    row(
        "snapshot bytes while it runs, each job of 32 tasks",
        snapshot_bytes,
    );
    row(
        "encode, decode and apply its records, us, each job of 32 tasks",
        apply_us,
    );
    row(
        "control, entry and workers in one process, % of a core, each idle worker",
        path_cpu,
    );
    row(
        "control, entry and workers in one process, MB, each idle worker",
        path_memory,
    );
    let decisions = measure_scheduler();
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
        path_cpu,
        path_memory,
        announcement_bytes: json_len(&messages::announcement(7)),
        small_note_bytes: durable::small_note_bytes(),
        poll_us: decisions.poll_us,
        tick_us: decisions.tick_us,
        scheduler_mb: decisions.state_mb,
    };
    roles::print(&slopes);
}

/// Costs of the scheduler: median microseconds of a poll and a tick, and the size of its state.
struct Decisions {
    poll_us: f64,
    tick_us: f64,
    state_mb: f64,
}

fn measure_path() -> (Line, Line) {
    let runtime = tokio::runtime::Runtime::new().expect("cannot create a runtime");
    let metrics = path::metrics();
    let loads = POLLING_WORKERS.map(|workers| path::measure(&runtime, &metrics, workers));
    let load = |workers: u32| {
        let index = POLLING_WORKERS.iter().position(|size| *size == workers);
        loads[index.expect("only measured sizes are asked for")]
    };
    let cpu = slope::measure(&POLLING_WORKERS, 1, |workers| load(workers).core_pct);
    let memory = slope::measure(&POLLING_WORKERS, 1, |workers| load(workers).resident_mb);
    (cpu, memory)
}

fn measure_bytes() -> (Line, Line) {
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

fn measure_messages() -> (Line, Line) {
    (
        slope::measure(&TASK_SIZES, RUNS, entry_codecs),
        slope::measure(&TASK_SIZES, RUNS, leader_codecs),
    )
}

fn measure_durable() -> (Line, Line, Line) {
    (
        slope::measure(&JOB_SIZES, 1, |jobs| durable::measure(jobs).log_bytes),
        slope::measure(&JOB_SIZES, 1, |jobs| durable::measure(jobs).snapshot_bytes),
        slope::measure(&JOB_SIZES, RUNS, |jobs| durable::measure(jobs).apply_us),
    )
}

/// Prints the scheduler's table and returns its last row, which is at the target size.
fn measure_scheduler() -> Decisions {
    println!(
        "\n| workers | tasks running | gangs waiting | state, MB | poll p50, us | poll p99, us | tick p50, us | tick p99, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut last = Decisions {
        poll_us: 0.0,
        tick_us: 0.0,
        state_mb: 0.0,
    };
    for part in [1, 2, 4, 8] {
        last = measure_part(Size::eighths(part));
    }
    last
}

fn measure_part(size: Size) -> Decisions {
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
    Decisions {
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
    length(&serde_json::to_vec(value).expect("messages serialize"))
}

fn wire_len<T: serde::Serialize>(value: &T) -> f64 {
    length(&postcard::to_allocvec(value).expect("messages encode"))
}

fn length(bytes: &[u8]) -> f64 {
    f64::from(u32::try_from(bytes.len()).expect("messages are short"))
}

fn microseconds(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn row(name: &str, line: Line) {
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
    microseconds(|| {
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
    microseconds(|| {
        let poll: WorkerPoll = postcard::from_bytes(black_box(&poll_wire)).expect("a poll decodes");
        black_box(poll);
        black_box(postcard::to_allocvec(black_box(&orders)).expect("orders encode"));
    })
}
