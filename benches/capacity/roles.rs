//! Prints the cost of each role at the target size, extrapolated from the measured slopes.

use crate::slope::Line;

const WORKERS: f64 = 4_600.0;
const RUNNING_TASKS: f64 = 38_000.0;
const RUNNING_JOBS: f64 = 1_188.0;
const ENTRIES: f64 = 7.0;
const JOBS_PER_DAY: f64 = 7_000.0;
const CHANGES_PER_DAY: f64 = 15_000.0;
const DAY_S: f64 = 86_400.0;
const POLL_HOLD_S: f64 = 2.0;
const ANNOUNCE_INTERVAL_S: f64 = 2.0;
const TICKS_PER_S: f64 = 10.0;
const EXCHANGES_PER_S: f64 = 1.0;
const REPORT_BATCHES_PER_S: f64 = 50.0;

/// All measured costs. A [`Line`] grows with its size, the other values are constants.
#[derive(Clone, Copy, Debug)]
pub struct Slopes {
    pub poll_bytes: Line,
    pub order_bytes: Line,
    pub poll_wire_bytes: Line,
    pub order_wire_bytes: Line,
    pub entry_us: Line,
    pub leader_us: Line,
    pub log_bytes: Line,
    pub snapshot_bytes: Line,
    pub apply_us: Line,
    pub idle_worker_cpu: Line,
    pub idle_worker_memory: Line,
    pub announcement_bytes: f64,
    pub small_note_bytes: f64,
    pub poll_us: f64,
    pub tick_us: f64,
    pub scheduler_mb: f64,
}

/// A row of the table.
struct Role {
    name: &'static str,
    state_mb: f64,
    messages_s: f64,
    bytes_s: f64,
    core_pct: f64,
    memory: String,
}

/// Prints the table of roles in Markdown.
pub fn print(slopes: &Slopes) {
    println!("\n| role | state, MB | messages a second | bytes a second | % of a core | memory |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for role in [
        leader(slopes),
        follower(slopes),
        entry(slopes),
        worker(slopes),
        endpoint(slopes),
    ] {
        println!(
            "| {} | {:.2} | {:.1} | {:.0} | {:.2} | {} |",
            role.name, role.state_mb, role.messages_s, role.bytes_s, role.core_pct, role.memory
        );
    }
}

fn tasks_per_worker() -> f64 {
    RUNNING_TASKS / WORKERS
}

fn polls_s() -> f64 {
    WORKERS / POLL_HOLD_S
}

fn changes_s() -> f64 {
    (JOBS_PER_DAY * 4.0 + CHANGES_PER_DAY) / DAY_S
}

fn log_bytes_s(slopes: &Slopes) -> f64 {
    (JOBS_PER_DAY * slopes.log_bytes.slope + CHANGES_PER_DAY * slopes.small_note_bytes) / DAY_S
}

fn snapshot_mb(slopes: &Slopes) -> f64 {
    slopes.snapshot_bytes.at(RUNNING_JOBS + JOBS_PER_DAY) / 1e6
}

fn core_percent(us_per_second: f64) -> f64 {
    us_per_second / 1e4
}

fn leader(slopes: &Slopes) -> Role {
    let tasks = tasks_per_worker();
    let poll_bytes = slopes.poll_wire_bytes.at(tasks) + slopes.order_wire_bytes.at(tasks);
    let poll_us = slopes.leader_us.at(tasks) + slopes.poll_us;
    let apply_us = slopes.apply_us.slope * JOBS_PER_DAY / DAY_S;
    let state_mb = slopes.scheduler_mb + snapshot_mb(slopes);
    Role {
        name: "control leader",
        state_mb,
        messages_s: ENTRIES * (EXCHANGES_PER_S + REPORT_BATCHES_PER_S) + 2.0 * changes_s(),
        bytes_s: polls_s() * poll_bytes + 4.0 * log_bytes_s(slopes),
        core_pct: core_percent(polls_s() * poll_us + TICKS_PER_S * slopes.tick_us + apply_us),
        memory: "scheduler's state and replica_mb of control_group".to_owned(),
    }
}

fn follower(slopes: &Slopes) -> Role {
    Role {
        name: "control follower",
        state_mb: snapshot_mb(slopes),
        messages_s: 2.0 * changes_s(),
        bytes_s: log_bytes_s(slopes),
        core_pct: core_percent(slopes.apply_us.slope * JOBS_PER_DAY / DAY_S),
        memory: "replica_mb of control_group".to_owned(),
    }
}

fn entry(slopes: &Slopes) -> Role {
    let tasks = tasks_per_worker();
    let workers = WORKERS / ENTRIES;
    let json = slopes.poll_bytes.at(tasks) + slopes.order_bytes.at(tasks);
    let wire = slopes.poll_wire_bytes.at(tasks) + slopes.order_wire_bytes.at(tasks);
    let codecs = core_percent(polls_s() / ENTRIES * slopes.entry_us.at(tasks));
    Role {
        name: "entry, with its part of the workers",
        state_mb: 0.0,
        messages_s: polls_s() / ENTRIES + EXCHANGES_PER_S + REPORT_BATCHES_PER_S,
        bytes_s: polls_s() / ENTRIES * (json + wire),
        core_pct: slopes.idle_worker_cpu.at(workers) + codecs,
        memory: format!("{:.0} MB at most", slopes.idle_worker_memory.at(workers)),
    }
}

fn worker(slopes: &Slopes) -> Role {
    let tasks = tasks_per_worker();
    let bytes = slopes.poll_bytes.at(tasks) + slopes.order_bytes.at(tasks);
    Role {
        name: "worker, for polling",
        state_mb: slopes.order_bytes.at(tasks) / 1e6,
        messages_s: 2.0 / POLL_HOLD_S,
        bytes_s: bytes / POLL_HOLD_S,
        core_pct: slopes.idle_worker_cpu.slope,
        memory: "its orders".to_owned(),
    }
}

fn endpoint(slopes: &Slopes) -> Role {
    Role {
        name: "endpoint, for announcing",
        state_mb: 0.0,
        messages_s: 2.0 / ANNOUNCE_INTERVAL_S,
        bytes_s: slopes.announcement_bytes / ANNOUNCE_INTERVAL_S,
        core_pct: 0.0,
        memory: "nothing of ours runs there".to_owned(),
    }
}
