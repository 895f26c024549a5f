//! Replays seeded days of submissions in virtual time and compares the scheduler, and variants with
//! one feature off, with a baseline: first come, first served with first-fit placement.
//!
//! `cargo bench --bench scheduler_replay -- --seeds A..B --variants NAME,NAME` limits the seeds and
//! the variants.
#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed with three digits"
)]

#[path = "support/day_figures.rs"]
mod day_figures;
#[path = "../tests/support/gang_driver.rs"]
mod gang_driver;
#[path = "support/seeded_day.rs"]
mod seeded_day;

use std::collections::BTreeSet;

use day_figures::{Figures, figures};
use gang_driver::{Driver, Network};
use marjoramknot::release_note::ZoneState;
use marjoramknot::scheduler::{JobPhase, SchedulerOptions, admit};
use marjoramknot::units::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use seeded_day::{DAY_MS, HOUR_MS, day, deployment};

/// Time from the start of the day at which one availability zone is taken out for an hour.
const OUT_MS: u64 = 3 * HOUR_MS / 2;
const SAMPLE_MS: u64 = 10_000;
const STEP_MS: u64 = 500;
type Change = fn(&mut SchedulerOptions);
const VARIANTS: [(&str, Change); 12] = [
    ("no_patience", |o| o.reclaim_delay_ms = Millis::ZERO),
    ("first_come_backfill", |o| {
        first_come(o);
        o.backfill = true;
    }),
    ("no_guarantees", |o| o.guarantees = false),
    ("no_rebind", |o| o.rebind = false),
    ("no_short_first", |o| o.shortest_first = false),
    ("no_fair_shares", |o| o.fair_shares = false),
    ("no_correction", |o| o.learn_run_times = false),
    ("no_best_fit", |o| o.best_fit = false),
    ("no_backfill", |o| o.backfill = false),
    ("no_reserve", |o| o.reservations = false),
    ("no_moves", |o| o.defragment = false),
    ("no_quarantine", |o| o.quarantine = false),
];

/// Configures the baseline: strict order of arrival and first fit. Quarantine of broken workers
/// stays on.
fn first_come(o: &mut SchedulerOptions) {
    (o.guarantees, o.shortest_first, o.fair_shares) = (false, false, false);
    (o.learn_run_times, o.best_fit, o.backfill) = (false, false, false);
    (o.reservations, o.defragment) = (false, false);
}

/// Replays one seeded day with three broken workers, an outage of one zone and waves of
/// cancellations.
fn replay(jukebox: bool, change: Change, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = day(&mut rng).into_iter().peekable();
    let mut options = SchedulerOptions::default();
    change(&mut options);
    let mut driver = Driver::new(deployment(jukebox), options, seed);
    (
        driver.check_each_step,
        driver.network,
        driver.commit_delay_ms,
    ) = (false, Network::default(), 0);
    (driver.step_ms, driver.poll_hold_ms) = (Millis(STEP_MS), Millis(2_000));
    let first = usize::try_from(seed % 48).expect("the remainder is below 48");
    let broken = [first, (first + 17) % 48, (first + 34) % 48];
    for at in broken {
        driver.slots[at].worker.spec.faults.fails_all = true;
    }
    let zone = driver.slots[first].worker.spec.zone.clone();
    driver.run_for(9_000);
    let (start_ms, mut cancelled) = (driver.now.0, BTreeSet::new());
    let (mut idle, mut allowed, mut samples) = (0.0, 0.0, 0.0);
    while jobs.peek().is_some() || driver.ended_ms.len() < driver.records.len() {
        let at = driver.now.0 - start_ms;
        assert!(at < 8 * DAY_MS, "jobs have not ended within eight days");
        while let Some((_at, spec)) = jobs.next_if(|(due, _spec)| *due <= at) {
            let wave = rng.random_range(0..12) == 0;
            if admit(&spec, &driver.in_force, 0).is_ok() {
                let key = driver.submit(spec);
                cancelled.extend(wave.then_some(key));
            }
        }
        if at % HOUR_MS < STEP_MS {
            let wave: Vec<_> = cancelled
                .iter()
                .filter(|k| !driver.ended_ms.contains_key(k))
                .collect();
            for key in wave {
                driver.cancel(key);
            }
        }
        for (turn_ms, state) in [(OUT_MS, ZoneState::Out), (OUT_MS + HOUR_MS, ZoneState::In)] {
            if (turn_ms..turn_ms + STEP_MS).contains(&at) {
                driver.set_zone(zone.as_str(), state);
            }
        }
        if at.is_multiple_of(SAMPLE_MS) {
            let open = |zone| driver.in_force.zones[zone].state == ZoneState::In;
            let good =
                (0..48).filter(|n| !broken.contains(n) && open(&driver.slots[*n].worker.spec.zone));
            let capacity = 8.0 * good.count() as f64;
            let workers = driver.scheduler.workers();
            let used: u32 = workers.iter().map(|w| w.accelerators_used.0).sum();
            let jobs = driver.records.values();
            let waiting = jobs.filter(|job| job.phase == JobPhase::Waiting);
            let sizes = waiting.map(|job| job.spec.tasks * job.spec.accelerators.0);
            let demand: u32 = sizes.sum();
            samples += 1.0;
            if demand > 0 {
                idle += (capacity - f64::from(used)).max(0.0) / capacity;
            }
            if (OUT_MS..OUT_MS + 2 * HOUR_MS).contains(&at) {
                allowed += capacity.min(f64::from(used + demand)) * SAMPLE_MS as f64;
            }
        }
        driver.step();
    }
    let mut figures = figures(&driver, &cancelled, start_ms + OUT_MS, allowed);
    figures.insert("fragmentation".into(), idle / samples);
    figures
}

/// Replays all seeds of one variant on up to four threads.
fn run(change: Change, jukebox: bool, seeds: &[u64]) -> Vec<Figures> {
    let all = |seeds: &[u64]| {
        seeds
            .iter()
            .map(|seed| replay(jukebox, change, *seed))
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let parts = seeds.chunks(seeds.len().div_ceil(4).max(1));
        let threads: Vec<_> = parts.map(|part| scope.spawn(move || all(part))).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a replay thread panicked"))
            .collect()
    })
}

fn print(name: &str, figures: &[Figures], base: &[Figures]) {
    let ratios = [
        ("completion_ratio", "all_mean_s"),
        ("fragmentation_ratio", "fragmentation"),
        ("large_wait_p95_ratio", "large_wait_p95_s"),
        ("goodput_ratio", "goodput"),
    ];
    let plain = figures[0].keys().map(|key| (key.as_str(), key.as_str()));
    for (label, key) in plain.chain(ratios) {
        let of = |n: usize| {
            if label == key {
                1.0
            } else {
                base[n][key].max(1e-9)
            }
        };
        let mut values: Vec<f64> = (0..figures.len())
            .map(|n| figures[n][key] / of(n))
            .collect();
        values.sort_by(f64::total_cmp);
        let (median, last) = (values[values.len() / 2], values[values.len() - 1]);
        println!(
            "{name}{label}={median:.3} low={:.3} high={last:.3}",
            values[0]
        );
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let value = |flag: &str| {
        args.iter()
            .position(|arg| arg == flag)
            .and_then(|at| args.get(at + 1))
    };
    let range = value("--seeds")
        .map_or("0..10", String::as_str)
        .split_once("..")
        .expect("--seeds takes A..B");
    let bound = |text: &str| text.parse().expect("--seeds takes A..B");
    let seeds: Vec<u64> = (bound(range.0)..bound(range.1)).collect();
    let chosen =
        |name: &str| value("--variants").is_none_or(|list| list.split(',').any(|v| v == name));
    let mut both = (Vec::new(), Vec::new());
    for (deployment, jukebox) in [("boat", false), ("jukebox", true)] {
        let base = run(first_come, jukebox, &seeds);
        for (name, change) in VARIANTS.iter().filter(|(name, _change)| chosen(name)) {
            print(
                &format!("{deployment}_{name}_"),
                &run(*change, jukebox, &seeds),
                &base,
            );
        }
        let whole = run(|_options| {}, jukebox, &seeds);
        print(&format!("{deployment}_"), &whole, &base);
        both.0.extend(whole);
        both.1.extend(base);
    }
    print("", &both.0, &both.1);
}
