//! Measures the way of a request through an entry against its way straight to the endpoint.
//!
//! All parts run in this process, each on its own runtime: the entry's threads carry its name, so
//! that its processor time is told apart. The commits of non-idempotent requests are a stand-in for
//! the control group: a ledger behind a file that is synced before each answer.

#![expect(clippy::cast_precision_loss, reason = "figures are printed rounded")]

#[path = "request_path/cores.rs"]
mod cores;
#[path = "../tests/support/fake_endpoint.rs"]
mod fake_endpoint;
#[path = "request_path/load.rs"]
mod load;
#[path = "../tests/support/shares.rs"]
mod shares;
#[path = "request_path/stage.rs"]
mod stage;

use std::time::Duration;

use load::{Load, Target, closed_loop, open_loop};
use stage::{Commits, Stage, processor_ms, rss_mb};

const ENDPOINTS: usize = 50;
const SPAN: Duration = Duration::from_secs(4);
const IDLE_SPAN: Duration = Duration::from_secs(5);

fn main() {
    let base_mb = rss_mb();
    let stage = Stage::start(ENDPOINTS, Commits::EachSynced);
    if std::env::args().any(|a| a == "--overload") {
        println!("{}", overload());
        return;
    }
    let full = full_speed(&stage);
    added_time(&stage, full / 2);
    let idle_pct = idle(&stage);
    let entry_mb = memory(base_mb);
    let batch_ratio = batching();
    let goodput = overload();
    cores::print_slopes();
    println!("requests_s={full}");
    println!("non_idempotent_batch_ratio={batch_ratio:.1}");
    println!("entry_mb={entry_mb:.1}");
    println!("entry_idle_core_pct={idle_pct:.2}");
    println!("overload_goodput_ratio={goodput:.3}");
    std::process::exit(0);
}

/// Requests a second with as many callers as keep the entry busy.
fn full_speed(stage: &Stage) -> u64 {
    let load = Load::new(stage.through_entry());
    stage.run(closed_loop(load.clone(), 64, Duration::from_secs(1)));
    let before_ms = processor_ms("entry");
    let done = stage.run(closed_loop(load, 64, SPAN));
    let used_ms = processor_ms("entry") - before_ms;
    println!("# closed loop of 64 callers, no work at the endpoints");
    println!(
        "entry_cpu_us_per_request={:.1}",
        used_ms * 1_000.0 / done.answered as f64
    );
    println!(
        "requests_s_per_core={:.0}",
        done.answered as f64 * 1_000.0 / used_ms
    );
    done.answered / SPAN.as_secs()
}

/// Time added to a request at half load, queueing counted from when it was due.
fn added_time(stage: &Stage, per_s: u64) {
    println!("# open loop at {per_s} requests a second, direct and through the entry, twice each");
    let mut added = Vec::new();
    for _ in 0..2 {
        let run = |target: Target| {
            let load = Load::new(target);
            stage.run(open_loop(load.clone(), per_s, Duration::from_secs(1)));
            stage.run(open_loop(load, per_s, SPAN))
        };
        let direct = run(stage.direct());
        let through = run(stage.through_entry());
        println!(
            "direct_p50_ms={:.2} direct_p99_ms={:.2}",
            direct.ms(0.5),
            direct.ms(0.99)
        );
        println!(
            "entry_p50_ms={:.2} entry_p99_ms={:.2}",
            through.ms(0.5),
            through.ms(0.99)
        );
        added.push((
            through.ms(0.5) - direct.ms(0.5),
            through.ms(0.99) - direct.ms(0.99),
        ));
    }
    let best = added.iter().map(|(_, p99)| *p99).fold(f64::MAX, f64::min);
    let worst = added.iter().map(|(_, p99)| *p99).fold(f64::MIN, f64::max);
    println!("added_p50_ms={:.2}", added[0].0.min(added[1].0));
    println!("added_p99_worst_ms={worst:.2}");
    println!("added_p99_ms={best:.2}");
}

/// Share of one core that the entry takes with nothing to do.
fn idle(_stage: &Stage) -> f64 {
    let before_ms = processor_ms("entry");
    std::thread::sleep(IDLE_SPAN);
    (processor_ms("entry") - before_ms) * 100.0 / IDLE_SPAN.as_millis() as f64
}

/// What a second stage adds to this process while 400 requests are in progress through it, less what
/// its endpoints and callers add; with the size of the process at its start.
fn memory(base_mb: f64) -> f64 {
    let stage = Stage::start(ENDPOINTS, Commits::EachSynced);
    stage.work(Duration::from_millis(50));
    let direct = Load::new(stage.direct());
    stage.run(closed_loop(direct, 400, Duration::from_secs(2)));
    let before_mb = rss_mb();
    let through = Load::new(stage.through_entry());
    stage.run(closed_loop(through, 400, Duration::from_secs(2)));
    base_mb + rss_mb() - before_mb
}

/// How many more non-idempotent requests end in a second when commits share a sync.
fn batching() -> f64 {
    println!("# non-idempotent requests, 64 callers: one sync a commit, then one sync a batch");
    let mut rates = Vec::new();
    for commits in [Commits::EachSynced, Commits::Batched] {
        let stage = Stage::start(ENDPOINTS, commits);
        let load = Load::new(stage.through_entry()).non_idempotent();
        let done = stage.run(closed_loop(load, 64, SPAN));
        let rate = done.answered as f64 / SPAN.as_secs_f64();
        println!(
            "non_idempotent_s={rate:.0} commits={commits:?} p99_ms={:.1}",
            done.ms(0.99)
        );
        rates.push(rate);
    }
    rates[1] / rates[0]
}

/// Answers in time over what the endpoints can give, at ten times that load.
fn overload() -> f64 {
    let stage = Stage::start(5, Commits::EachSynced);
    let work = Duration::from_millis(50);
    stage.work(work);
    let capacity_s = 5 * 8 * 1_000 / 50;
    println!("# open loop at ten times the capacity of {capacity_s} requests a second");
    let within = Duration::from_millis(500);
    let run = |target: Target| {
        let load = Load::new(target).within(within);
        stage.run(open_loop(load, capacity_s * 10, SPAN))
    };
    let thin = run(stage.thin(40));
    let entry = run(stage.through_entry());
    println!(
        "overload_answered={} causes={:?}",
        entry.answered, entry.causes
    );
    let possible = capacity_s as f64 * SPAN.as_secs_f64();
    println!(
        "overload_goodput_ratio_unbounded_fifo={:.3}",
        thin.in_time as f64 / possible
    );
    println!(
        "overload_refused={} overload_refusal_p99_ms={:.1}",
        entry.refused,
        entry.refusal_ms(0.99)
    );
    println!(
        "overload_team_ratio={:.2} wanted=3",
        entry.teams[0] as f64 / entry.teams[1].max(1) as f64
    );
    entry.in_time as f64 / possible
}
