//! Measures the slopes behind docs/CAPACITY.md and prints its tables in Markdown.

#[path = "capacity/messages.rs"]
mod messages;
#[path = "capacity/slope.rs"]
mod slope;

use std::hint::black_box;
use std::time::Instant;

use marjoramknot::fleet::WorkerPoll;
use slope::Line;

const RUNS: u32 = 5;
const ROUNDS: u32 = 2_000;
const TASK_SIZES: [u32; 4] = [1, 4, 8, 16];

const WORKERS: f64 = 4_600.0;
const RUNNING_TASKS: f64 = 38_000.0;
const POLL_HOLD_S: f64 = 2.0;

fn main() {
    print_messages();
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
