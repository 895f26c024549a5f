//! Measures the slopes behind docs/CAPACITY.md and prints its tables in Markdown.

#[path = "capacity/durable.rs"]
mod durable;
#[path = "capacity/fleet.rs"]
mod fleet;
#[path = "capacity/messages.rs"]
mod messages;
#[path = "capacity/slope.rs"]
mod slope;

use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

use fleet::{Fleet, Size};
use marjoramknot::fleet::WorkerPoll;
use slope::Line;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const RUNS: u32 = 5;
const ROUNDS: u32 = 2_000;
const TASK_SIZES: [u32; 4] = [1, 4, 8, 16];

const WORKERS: f64 = 4_600.0;
const RUNNING_TASKS: f64 = 38_000.0;
const POLL_HOLD_S: f64 = 2.0;

fn main() {
    print_messages();
    print_durable();
    print_scheduler();
}

fn print_durable() {
    let sizes = [125, 250, 500, 1_000];
    let log = slope::measure(&sizes, 1, |jobs| durable::measure(jobs).log_bytes);
    let snapshot = slope::measure(&sizes, 1, |jobs| durable::measure(jobs).snapshot_bytes);
    let apply = slope::measure(&sizes, RUNS, |jobs| durable::measure(jobs).apply_us);
    println!("\n| slope | at no job | each job of 32 tasks | spread of the runs |");
    println!("| --- | --- | --- | --- |");
    row("log bytes from submission to end", log);
    row("snapshot bytes while it runs", snapshot);
    row("encode, decode and apply its records, us", apply);
    println!("\nsmall_note_bytes={:.0}", durable::small_note_bytes());
}

fn print_scheduler() {
    println!(
        "\n| workers | tasks running | state, MB | poll p50, us | poll p99, us | tick p50, us | tick p99, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for part in [1, 2, 4, 8] {
        let size = Size::eighths(part);
        let mut fleet = Fleet::new(size);
        fleet.run(60);
        fleet.poll_us.clear();
        fleet.tick_us.clear();
        fleet.run(20);
        let tasks = fleet.running_tasks();
        let polls = (
            percentile(&mut fleet.poll_us, 50),
            percentile(&mut fleet.poll_us, 99),
        );
        let ticks = (
            percentile(&mut fleet.tick_us, 50),
            percentile(&mut fleet.tick_us, 99),
        );
        let region = Region::new(ALLOCATOR);
        fleet.drop_scheduler();
        let freed = region.change();
        let state_mb = megabytes(freed.bytes_deallocated - freed.bytes_allocated);
        println!(
            "| {} | {tasks} | {state_mb:.1} | {:.1} | {:.1} | {:.0} | {:.0} |",
            size.workers, polls.0, polls.1, ticks.0, ticks.1
        );
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
    let text = serde_json::to_string(value).expect("messages serialize");
    f64::from(u32::try_from(text.len()).expect("messages are short"))
}

fn microseconds(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn print_messages() {
    let poll_bytes = slope::measure(&TASK_SIZES, 1, |tasks| {
        json_len(&messages::poll(7, tasks, 9_000))
    });
    let order_bytes = slope::measure(&TASK_SIZES, 1, |tasks| {
        json_len(&messages::orders(7, tasks))
    });
    let decode = slope::measure(&TASK_SIZES, RUNS, decode_poll);
    let encode = slope::measure(&TASK_SIZES, RUNS, encode_orders);
    println!("| slope | at no task | each task | spread of the runs |");
    println!("| --- | --- | --- | --- |");
    row("a worker's poll, bytes of JSON", poll_bytes);
    row("its orders, bytes of JSON", order_bytes);
    row(
        "entry: decode a poll and encode it for the leader, us",
        decode,
    );
    row("entry: encode the orders, us", encode);
    let announcement_bytes = json_len(&messages::announcement(7));
    println!("| an endpoint's announcement, bytes of JSON | {announcement_bytes:.2} | | 0% |");
    let tasks = RUNNING_TASKS / WORKERS;
    let bytes_s = (poll_bytes.at(tasks) + order_bytes.at(tasks)) / POLL_HOLD_S;
    println!("\nworker_bytes_s={bytes_s:.0}");
}

fn row(name: &str, line: Line) {
    println!(
        "| {name} | {:.2} | {:.2} | {:.0}% |",
        line.base, line.slope, line.spread_pct
    );
}

fn decode_poll(tasks: u32) -> f64 {
    let text = serde_json::to_string(&messages::poll(7, tasks, 9_000)).expect("a poll serializes");
    microseconds(|| {
        let poll: WorkerPoll = serde_json::from_str(black_box(&text)).expect("a poll deserializes");
        black_box(postcard::to_allocvec(&poll).expect("a poll encodes"));
    })
}

fn encode_orders(tasks: u32) -> f64 {
    let orders = messages::orders(7, tasks);
    microseconds(|| {
        black_box(serde_json::to_vec(black_box(&orders)).expect("orders serialize"));
    })
}
