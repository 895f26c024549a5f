//! Replays seeded days in virtual time against first come first served with first fit.
#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed with three digits"
)]

#[path = "../tests/support/gang_driver.rs"]
mod gang_driver;

use std::collections::{BTreeMap, BTreeSet};

use gang_driver::{Driver, Network, add_team, id, in_force, job};
use marjoramknot::release_note::{Adjacency, InForce, ZoneState};
use marjoramknot::scheduler::{JobKey, JobPhase, JobSpec, SchedulerOptions, admit};
use marjoramknot::units::{Accelerators, Millis};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 4 * HOUR_MS;
const OUT_MS: u64 = 3 * HOUR_MS / 2;
const SAMPLE_MS: u64 = 10_000;
const STEP_MS: u64 = 500;
type Figures = BTreeMap<String, f64>;
type Change = fn(&mut SchedulerOptions);
const VARIANTS: [(&str, Change); 11] = [
    ("first_come_backfill", |o| {
        first_come(o);
        o.backfill = true;
    }),
    ("no_guarantees", |o| o.guarantees = false),
    ("no_rebind", |o| o.rebind = false),
    ("no_short_first", |o| o.short_first = false),
    ("no_fair_shares", |o| o.fair_shares = false),
    ("no_correction", |o| o.correct_run_times = false),
    ("no_best_fit", |o| o.best_fit = false),
    ("no_backfill", |o| o.backfill = false),
    ("no_reserve", |o| o.reserve = false),
    ("no_moves", |o| o.moves = false),
    ("no_quarantine", |o| o.quarantine = false),
];

/// The baseline: strict order of arrival, first fit; broken workers are taken out all the same.
fn first_come(o: &mut SchedulerOptions) {
    (o.guarantees, o.short_first, o.fair_shares) = (false, false, false);
    (o.correct_run_times, o.best_fit, o.backfill) = (false, false, false);
    (o.reserve, o.moves) = (false, false);
}

fn deployment(jukebox: bool) -> InForce {
    let boat = [("Piestany", 2), ("Senec", 2), ("Trnava", 2), ("Nitra", 2)];
    let records = [("Milano", 2), ("Torino", 2), ("Bologna", 2)];
    let mut state = if jukebox {
        in_force(&records, 8)
    } else {
        in_force(&boat, 6)
    };
    for (team, cells) in [
        ("t0", [(4, 8); 3].as_slice()),
        ("t1", &[(4, 8); 2]),
        ("t2", &[(6, 4)]),
        ("t3", &[(8, 1)]),
    ] {
        let cells: Vec<_> = cells
            .iter()
            .map(|(n, size)| (*n, *size, Adjacency::Rack))
            .collect();
        add_team(&mut state, team, &cells);
    }
    state
}

fn random_job(rng: &mut StdRng, at: usize, large: bool) -> JobSpec {
    let team = ["t0", "t0", "t0", "t1", "t1", "t2", "t3"][rng.random_range(0..7)];
    let run_ms = rng.random_range(1..if large { 60 } else { 12 }) * 60_000_u64;
    let gangs = [(2, 8), (4, 8), (4, 8), (6, 8), (8, 8)];
    let small = [(1, 0), (1, 1), (2, 1), (2, 2), (1, 4)];
    let (tasks, size) = if large { gangs } else { small }[rng.random_range(0..5)];
    let mut spec = job(team, &format!("j{at}"), tasks, size, run_ms);
    spec.class = id(if large { "large" } else { "small" });
    spec.adjacency = if large && tasks <= 4 {
        Adjacency::Rack
    } else {
        Adjacency::Zone
    };
    spec.idempotent = rng.random_range(0..20) > 0;
    spec.urgent = !large && rng.random_range(0..20) == 0;
    spec.declared_run_ms =
        Millis(run_ms * [10, 20, 50, 100, 200, 500, 1_000][rng.random_range(0..7)] / 100);
    if rng.random_range(0..50) == 0 {
        (spec.tasks, spec.accelerators) = (500, Accelerators(8));
    }
    spec
}

/// Submissions near 90 per cent of the capacity: background, bursts of small and of large jobs.
fn day(rng: &mut StdRng) -> Vec<(u64, JobSpec)> {
    let mut times: Vec<_> = (0..570)
        .map(|at| (rng.random_range(0..DAY_MS), at % 20 == 0))
        .collect();
    for burst in 0..6 {
        let at = rng.random_range(0..DAY_MS);
        let count = if burst % 2 == 0 { 80 } else { 8 };
        times.extend((0..count).map(|n| (at + n * 100, burst % 2 == 1)));
    }
    times.sort_unstable();
    times
        .into_iter()
        .enumerate()
        .map(|(n, (at, large))| (at, random_job(rng, n, large)))
        .collect()
}

fn replay(jukebox: bool, change: Change, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut jobs = day(&mut rng).into_iter().peekable();
    let mut options = SchedulerOptions::default();
    change(&mut options);
    let mut driver = Driver::new(deployment(jukebox), options, seed);
    (driver.check_each_step, driver.network, driver.commit_ms) = (false, Network::default(), 0);
    (driver.step_ms, driver.hold_ms) = (Millis(STEP_MS), Millis(2_000));
    let first = usize::try_from(seed % 48).expect("a small number");
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
        assert!(at < 8 * DAY_MS, "all jobs end");
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
            let used: u32 = driver
                .scheduler
                .workers()
                .iter()
                .map(|w| w.accelerators_used.0)
                .sum();
            let waiting = driver
                .records
                .values()
                .filter(|job| job.phase == JobPhase::Waiting);
            let demand: u32 = waiting
                .map(|job| job.spec.tasks * job.spec.accelerators.0)
                .sum();
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

fn figures(driver: &Driver, cancelled: &BTreeSet<JobKey>, out_ms: u64, allowed: f64) -> Figures {
    let (mut figures, mut spans) = (Figures::new(), BTreeMap::<&str, Vec<f64>>::new());
    for job in driver
        .records
        .values()
        .filter(|job| !cancelled.contains(&job.spec.key))
    {
        let since = |ends: &BTreeMap<_, Millis>| {
            let end = ends.get(&job.spec.key).copied().unwrap_or(driver.now);
            end.since(driver.submitted_ms[&job.spec.key]).0 as f64 / 1_000.0
        };
        for class in ["all", job.spec.key.team.as_str(), job.spec.class.as_str()] {
            spans
                .entry(class)
                .or_default()
                .push(since(&driver.ended_ms));
        }
        let wait = if job.spec.class.as_str() == "large" {
            "large_wait"
        } else {
            "small_wait"
        };
        spans
            .entry(wait)
            .or_default()
            .push(since(&driver.started_ms));
        let failed = u32::from(!driver.succeeded(&job.spec.key));
        *figures.entry("not_succeeded".into()).or_default() += f64::from(failed);
    }
    for (class, mut values) in spans {
        values.sort_by(f64::total_cmp);
        figures.insert(
            format!("{class}_mean_s"),
            values.iter().sum::<f64>() / values.len() as f64,
        );
        for percent in [50, 95, 99] {
            figures.insert(
                format!("{class}_p{percent}_s"),
                values[(values.len() - 1) * percent / 100],
            );
        }
    }
    let (mut good, mut lost) = (0.0, 0.0);
    for ran in driver.slots.iter().flat_map(|slot| &slot.worker.history) {
        let size = f64::from(driver.records[&ran.task.job].spec.accelerators.0);
        let (from, to) = (ran.from_ms.0, ran.to_ms.unwrap_or(driver.now).0);
        let inside = to
            .min(out_ms + 2 * HOUR_MS)
            .saturating_sub(from.max(out_ms));
        let kept = if ran.kept || cancelled.contains(&ran.task.job) {
            1.0
        } else {
            0.0
        };
        good += kept * inside as f64 * size;
        lost += (1.0 - kept) * (to - from) as f64 * size / 1_000.0;
    }
    figures.insert("goodput".into(), good);
    figures.insert("goodput_of_allowed".into(), good / allowed);
    figures.insert("lost_accelerator_s".into(), lost);
    figures
}

/// All seeds of one variant, four at a time.
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
            .flat_map(|thread| thread.join().expect("a replay ends"))
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
        .expect("A..B");
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
