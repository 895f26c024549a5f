//! Compares requests through an entry with requests sent directly to the endpoints.
//!
//! The entry and its callers run in this process on separate runtimes. The entry's threads are
//! named so that its processor time can be measured separately. A ledger with a file that is synced
//! before each answer stands in for the control group, which commits non-idempotent requests.

#![expect(clippy::cast_precision_loss, reason = "figures are printed rounded")]

#[path = "request_path/components.rs"]
mod components;
#[path = "../tests/support/fake_endpoint.rs"]
mod fake_endpoint;
#[path = "request_path/load.rs"]
mod load;
#[path = "../tests/support/shares.rs"]
mod shares;
#[path = "request_path/test_bed.rs"]
mod test_bed;

use std::time::Duration;

use load::{Load, Target, closed_loop, open_loop};
use test_bed::{Commits, TestBed, rss_mb, thread_cpu_ms};

const ENDPOINTS: usize = 50;
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Expected requests per second at one entry of today's deployments.
const TODAY_REQUESTS_S: u64 = 1_000;
const ROUNDS: usize = 5;
const ROUND_TIME: Duration = Duration::from_secs(1);
/// Short enough to stay below the ledger's limit on records.
const COMMIT_LOAD_TIME: Duration = Duration::from_secs(1);
/// Requests in progress at one of six entries when all of today's 400 slots are in use.
const REQUESTS_IN_PROGRESS: usize = 67;
const IDLE_TIME: Duration = Duration::from_secs(5);

fn main() {
    let base_mb = rss_mb();
    let test_bed = TestBed::start(ENDPOINTS, Commits::EachSynced);
    let requests_s = measure_throughput(&test_bed);
    measure_added_latency(&test_bed, TODAY_REQUESTS_S);
    measure_added_latency(&test_bed, requests_s / 2);
    let idle_pct = idle_core_pct();
    let entry_mb = entry_memory_mb(base_mb);
    let batch_ratio = batching_ratio();
    let goodput = overload_goodput();
    components::print_costs();
    println!("requests_s={requests_s}");
    println!("non_idempotent_batch_ratio={batch_ratio:.1}");
    println!("entry_mb={entry_mb:.1}");
    println!("entry_idle_core_pct={idle_pct:.2}");
    println!("overload_goodput_ratio={goodput:.3}");
    std::process::exit(0);
}

/// Returns the requests per second with enough callers to keep the entry busy.
fn measure_throughput(test_bed: &TestBed) -> u64 {
    let load = Load::new(test_bed.through_entry());
    test_bed.run(closed_loop(load.clone(), 64, Duration::from_secs(1)));
    let before_ms = thread_cpu_ms("entry");
    let results = test_bed.run(closed_loop(load, 64, LOAD_TIME));
    let used_ms = thread_cpu_ms("entry") - before_ms;
    println!("# closed loop of 64 callers, no work at the endpoints");
    println!(
        "entry_cpu_us_per_request={:.1}",
        used_ms * 1_000.0 / results.answered as f64
    );
    println!(
        "requests_s_per_core={:.0}",
        results.answered as f64 * 1_000.0 / used_ms
    );
    results.answered / LOAD_TIME.as_secs()
}

/// Measures the latency that the entry adds at `per_s` requests per second. Latency is counted from
/// the time at which a request is due, so that it includes queueing.
///
/// Rounds alternate between direct requests and requests through the entry, and the median round is
/// reported, since other processes on the host disturb some rounds.
fn measure_added_latency(test_bed: &TestBed, per_s: u64) {
    println!("# open loop at {per_s} requests a second, direct and through the entry by turns");
    let run = |target: Target| test_bed.run(open_loop(Load::new(target), per_s, ROUND_TIME));
    let (direct, through) = (test_bed.direct(), test_bed.through_entry());
    let mut added_p50 = Vec::new();
    let mut added_p99 = Vec::new();
    for _ in 0..ROUNDS {
        let (direct, through) = (run(direct.clone()), run(through.clone()));
        let (p50, p99) = (direct.latency_ms(0.5), direct.latency_ms(0.99));
        let (entry_p50, entry_p99) = (through.latency_ms(0.5), through.latency_ms(0.99));
        println!("direct_ms={p50:.2}/{p99:.2} entry_ms={entry_p50:.2}/{entry_p99:.2} (p50/p99)");
        added_p50.push(entry_p50 - p50);
        added_p99.push(entry_p99 - p99);
    }
    added_p50.sort_by(f64::total_cmp);
    added_p99.sort_by(f64::total_cmp);
    println!("added_p50_ms={:.2}", added_p50[ROUNDS / 2]);
    println!("added_p99_best_ms={:.2}", added_p99[0]);
    println!("added_p99_ms={:.2}", added_p99[ROUNDS / 2]);
}

/// Returns the processor time that an idle entry takes, in percent of a core.
fn idle_core_pct() -> f64 {
    // Wait until the idle connections of the previous load are closed.
    std::thread::sleep(Duration::from_secs(6));
    let before_ms = thread_cpu_ms("entry");
    std::thread::sleep(IDLE_TIME);
    (thread_cpu_ms("entry") - before_ms) * 100.0 / IDLE_TIME.as_millis() as f64
}

/// Returns the memory of an entry with its part of today's load (400 slots over 6 entries) in
/// progress: the size of this process at its start plus what the load through the entry adds.
///
/// Callers and endpoints are warmed up first, so that they do not count. The connections between
/// them and the entry are included with both of their ends.
fn entry_memory_mb(base_mb: f64) -> f64 {
    let test_bed = TestBed::start(ENDPOINTS, Commits::EachSynced);
    test_bed.set_work_time(Duration::from_millis(50));
    let direct = Load::new(test_bed.direct());
    test_bed.run(closed_loop(
        direct,
        REQUESTS_IN_PROGRESS,
        Duration::from_secs(2),
    ));
    let before_mb = rss_mb();
    let through = Load::new(test_bed.through_entry());
    test_bed.run(closed_loop(
        through,
        REQUESTS_IN_PROGRESS,
        Duration::from_secs(2),
    ));
    let added_mb = rss_mb() - before_mb;
    println!("# process at its start {base_mb:.1} MB, entry adds {added_mb:.1} MB");
    base_mb + added_mb
}

/// Returns the ratio of the rates of non-idempotent requests with one sync per batch of commits and
/// with one sync per commit.
fn batching_ratio() -> f64 {
    println!("# non-idempotent requests, 64 callers: one sync a commit, then one sync a batch");
    let mut rates = Vec::new();
    for commits in [Commits::EachSynced, Commits::Batched] {
        let test_bed = TestBed::start(ENDPOINTS, commits);
        let load = Load::new(test_bed.through_entry()).non_idempotent();
        let results = test_bed.run(closed_loop(load, 64, COMMIT_LOAD_TIME));
        let rate = results.answered as f64 / COMMIT_LOAD_TIME.as_secs_f64();
        println!(
            "non_idempotent_s={rate:.0} commits={commits:?} p99_ms={:.1}",
            results.latency_ms(0.99)
        );
        rates.push(rate);
    }
    rates[1] / rates[0]
}

/// Returns the answers within the deadline at ten times the capacity of the endpoints, as a
/// fraction of that capacity.
fn overload_goodput() -> f64 {
    let test_bed = TestBed::start(5, Commits::EachSynced);
    let work_time = Duration::from_millis(50);
    test_bed.set_work_time(work_time);
    let capacity_s = 5 * 8 * 1_000 / 50;
    println!("# open loop at ten times the capacity of {capacity_s} requests a second");
    let deadline = Duration::from_millis(500);
    let run = |target: Target| {
        let load = Load::new(target).deadline(deadline);
        test_bed.run(open_loop(load, capacity_s * 10, LOAD_TIME))
    };
    let unbounded_fifo = run(test_bed.shared_queue(40));
    let entry = run(test_bed.through_entry());
    println!(
        "overload_answered={} causes={:?}",
        entry.answered, entry.causes
    );
    let possible = capacity_s as f64 * LOAD_TIME.as_secs_f64();
    println!(
        "overload_goodput_ratio_unbounded_fifo={:.3}",
        unbounded_fifo.in_time as f64 / possible
    );
    println!(
        "overload_refused={} overload_refusal_p99_ms={:.1}",
        entry.refused,
        entry.refusal_latency_ms(0.99)
    );
    println!(
        "overload_team_ratio={:.2} wanted=3",
        entry.teams[0] as f64 / entry.teams[1].max(1) as f64
    );
    entry.in_time as f64 / possible
}
