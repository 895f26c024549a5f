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
use seeded_day::{DAY_MS, HOUR_MS, deployment, generate_day};

/// Time from the start of the day at which one availability zone is taken out for an hour.
const OUTAGE_START_MS: u64 = 3 * HOUR_MS / 2;
const SAMPLE_MS: u64 = 10_000;
const STEP_MS: u64 = 500;
type OptionsChange = fn(&mut SchedulerOptions);
const VARIANTS: [(&str, OptionsChange); 12] = [
    ("no_patience", |options| {
        options.reclaim_delay_ms = Millis::ZERO;
    }),
    ("first_come_backfill", |options| {
        configure_baseline(options);
        options.backfill = true;
    }),
    ("no_guarantees", |options| options.guarantees = false),
    ("no_rebind", |options| options.rebind = false),
    ("no_short_first", |options| options.shortest_first = false),
    ("no_fair_shares", |options| options.fair_shares = false),
    ("no_correction", |options| options.learn_run_times = false),
    ("no_best_fit", |options| options.best_fit = false),
    ("no_backfill", |options| options.backfill = false),
    ("no_reserve", |options| options.reservations = false),
    ("no_moves", |options| options.defragment = false),
    ("no_quarantine", |options| options.quarantine = false),
];

/// Configures the baseline: strict order of arrival and first fit. Quarantine of broken workers
/// stays on.
fn configure_baseline(options: &mut SchedulerOptions) {
    (
        options.guarantees,
        options.shortest_first,
        options.fair_shares,
    ) = (false, false, false);
    (options.learn_run_times, options.best_fit, options.backfill) = (false, false, false);
    (options.reservations, options.defragment) = (false, false);
}

/// Replays one seeded day with three broken workers, an outage of one zone and waves of
/// cancellations.
fn replay(jukebox: bool, change: OptionsChange, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = generate_day(&mut rng).into_iter().peekable();
    let mut options = SchedulerOptions::default();
    change(&mut options);
    let mut driver = Driver::new(deployment(jukebox), options, seed);
    (
        driver.check_each_step,
        driver.network,
        driver.commit_delay_ms,
    ) = (false, Network::default(), 0);
    (driver.step_ms, driver.poll_hold_ms) = (Millis(STEP_MS), Millis(2_000));
    let first_broken = usize::try_from(seed % 48).expect("the remainder is below 48");
    let broken = [
        first_broken,
        (first_broken + 17) % 48,
        (first_broken + 34) % 48,
    ];
    for worker in broken {
        driver.slots[worker].worker.spec.faults.fails_all = true;
    }
    let zone = driver.slots[first_broken].worker.spec.zone.clone();
    driver.run_for(9_000);
    let (start_ms, mut cancelled) = (driver.now.0, BTreeSet::new());
    let (mut idle, mut attainable, mut samples) = (0.0, 0.0, 0.0);
    while jobs.peek().is_some() || driver.ended_ms.len() < driver.records.len() {
        let elapsed_ms = driver.now.0 - start_ms;
        assert!(
            elapsed_ms < 8 * DAY_MS,
            "jobs have not ended within eight days"
        );
        while let Some((_due_ms, spec)) = jobs.next_if(|(due_ms, _spec)| *due_ms <= elapsed_ms) {
            let is_cancelled = rng.random_range(0..12) == 0;
            if admit(&spec, &driver.in_force, 0).is_ok() {
                let key = driver.submit(spec);
                cancelled.extend(is_cancelled.then_some(key));
            }
        }
        if elapsed_ms % HOUR_MS < STEP_MS {
            let pending: Vec<_> = cancelled
                .iter()
                .filter(|k| !driver.ended_ms.contains_key(k))
                .collect();
            for key in pending {
                driver.cancel(key);
            }
        }
        for (change_ms, state) in [
            (OUTAGE_START_MS, ZoneState::Out),
            (OUTAGE_START_MS + HOUR_MS, ZoneState::In),
        ] {
            if (change_ms..change_ms + STEP_MS).contains(&elapsed_ms) {
                driver.set_zone(zone.as_str(), state);
            }
        }
        if elapsed_ms.is_multiple_of(SAMPLE_MS) {
            let is_in = |zone| driver.in_force.zones[zone].state == ZoneState::In;
            let working = (0..48)
                .filter(|n| !broken.contains(n) && is_in(&driver.slots[*n].worker.spec.zone));
            let capacity = 8.0 * working.count() as f64;
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
            if (OUTAGE_START_MS..OUTAGE_START_MS + 2 * HOUR_MS).contains(&elapsed_ms) {
                attainable += capacity.min(f64::from(used + demand)) * SAMPLE_MS as f64;
            }
        }
        driver.step();
    }
    let mut figures = figures(&driver, &cancelled, start_ms + OUTAGE_START_MS, attainable);
    figures.insert("fragmentation".into(), idle / samples);
    figures
}

/// Replays all seeds of one variant on up to four threads.
fn replay_all(change: OptionsChange, jukebox: bool, seeds: &[u64]) -> Vec<Figures> {
    let replay_part = |seeds: &[u64]| {
        seeds
            .iter()
            .map(|seed| replay(jukebox, change, *seed))
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let parts = seeds.chunks(seeds.len().div_ceil(4).max(1));
        let threads: Vec<_> = parts
            .map(|part| scope.spawn(move || replay_part(part)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a replay thread panicked"))
            .collect()
    })
}

fn print_figures(name: &str, figures: &[Figures], baseline: &[Figures]) {
    let ratios = [
        ("completion_ratio", "all_mean_s"),
        ("fragmentation_ratio", "fragmentation"),
        ("large_wait_p95_ratio", "large_wait_p95_s"),
        ("goodput_ratio", "goodput"),
    ];
    let plain = figures[0].keys().map(|key| (key.as_str(), key.as_str()));
    for (label, key) in plain.chain(ratios) {
        let divisor = |n: usize| {
            if label == key {
                1.0
            } else {
                baseline[n][key].max(1e-9)
            }
        };
        let mut values: Vec<f64> = (0..figures.len())
            .map(|n| figures[n][key] / divisor(n))
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
            .and_then(|index| args.get(index + 1))
    };
    let range = value("--seeds")
        .map_or("0..10", String::as_str)
        .split_once("..")
        .expect("--seeds takes A..B");
    let bound = |text: &str| text.parse().expect("--seeds takes A..B");
    let seeds: Vec<u64> = (bound(range.0)..bound(range.1)).collect();
    let is_selected =
        |name: &str| value("--variants").is_none_or(|list| list.split(',').any(|v| v == name));
    let (mut all_complete, mut all_baseline) = (Vec::new(), Vec::new());
    for (deployment, jukebox) in [("boat", false), ("jukebox", true)] {
        let baseline = replay_all(configure_baseline, jukebox, &seeds);
        for (name, change) in VARIANTS.iter().filter(|(name, _change)| is_selected(name)) {
            print_figures(
                &format!("{deployment}_{name}_"),
                &replay_all(*change, jukebox, &seeds),
                &baseline,
            );
        }
        let complete = replay_all(|_options| {}, jukebox, &seeds);
        print_figures(&format!("{deployment}_"), &complete, &baseline);
        all_complete.extend(complete);
        all_baseline.extend(baseline);
    }
    print_figures("", &all_complete, &all_baseline);
}
