//! Measures the scheduler's processor time per event, its memory and the start delay of an urgent
//! job, at the size of today's deployments (`today`) and at the planned size (`letter`).
#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed with three digits"
)]

#[path = "../tests/support/gang_driver.rs"]
mod gang_driver;

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use gang_driver::{Driver, Network, add_team, id, job};
use marjoramknot::release_note::{Adjacency, ClusterConfig, RackSpec, ZoneSpec, ZoneState};
use marjoramknot::scheduler::{JobSpec, Scheduler, SchedulerOptions};
use marjoramknot::units::{Accelerators, Cores, MemoryMb, Millis};

/// Global allocator that tracks the number of bytes currently allocated.
struct TrackingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for TrackingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the block was allocated by `alloc` with this layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: TrackingAllocator = TrackingAllocator;

fn clock_ns() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX)
}

struct FleetSize {
    name: &'static str,
    zones: u32,
    racks: u32,
    workers_per_rack: u32,
    /// Every n-th rack has workers with accelerators; the others have none.
    accelerated_rack_interval: u32,
    accelerators: u32,
    teams: u32,
    guaranteed_cells: u32,
    running_tasks: u32,
    queued_jobs: u32,
}

fn cluster_config(size: &FleetSize) -> ClusterConfig {
    let mut state = ClusterConfig::default();
    for zone in 0..size.zones {
        let racks = (0..size.racks).map(|rack| {
            let has_accelerators =
                (zone * size.racks + rack).is_multiple_of(size.accelerated_rack_interval);
            RackSpec {
                name: id(&format!("r{rack}")),
                workers: size.workers_per_rack,
                accelerators: Accelerators(if has_accelerators {
                    size.accelerators
                } else {
                    0
                }),
                cores: Cores(64),
                memory_mb: MemoryMb(256 * 1024),
            }
        });
        let spec = ZoneSpec {
            name: id(&format!("z{zone}")),
            state: ZoneState::In,
            racks: racks.collect(),
        };
        state.zones.insert(spec.name.clone(), spec);
    }
    for team in 0..size.teams {
        let cells = [(size.guaranteed_cells, 1, Adjacency::Zone)];
        add_team(&mut state, &format!("t{team}"), &cells);
    }
    state
}

/// Returns the spec of the `number`-th running job. Most are gangs of 8 tasks without accelerators;
/// some have 512 tasks, and some are smaller with accelerators.
fn running_job(size: &FleetSize, number: u32, left: u32) -> JobSpec {
    // The last team runs no jobs, so that its guarantee is free for the urgent job.
    let team = format!("t{}", number % (size.teams - 1));
    let (tasks, accelerators) = match number % 8 {
        0 => (4, 1),
        1 => (1, 4),
        3 => (2, 2),
        2 if left > 2_000 && number.is_multiple_of(200) => (512, 0),
        _ => (8, 0),
    };
    let mut spec = job(
        &team,
        &format!("run{number}"),
        tasks,
        accelerators,
        900_000_000,
    );
    spec.cores = Cores(2);
    spec.adjacency = if tasks > 8 {
        Adjacency::Any
    } else {
        Adjacency::Zone
    };
    spec
}

fn build_driver(size: &FleetSize) -> Driver {
    let options = SchedulerOptions::default();
    let mut driver = Driver::new(cluster_config(size), options, 1);
    (driver.check_each_step, driver.network) = (false, Network::default());
    driver.network.delay_max_ms = 50;
    driver.run_for(9_000);
    let (mut number, mut tasks) = (0, 0);
    while tasks < size.running_tasks {
        let spec = running_job(size, number, size.running_tasks - tasks);
        tasks += spec.tasks;
        driver.submit(spec);
        number += 1;
        if number.is_multiple_of(20) {
            driver.step();
        }
    }
    driver.run_for(20_000);
    for number in 0..size.queued_jobs {
        let team = format!("t{}", number % size.teams);
        let tasks =
            [64, 128, 256, 512][number as usize % 4].min(size.racks * size.workers_per_rack);
        let mut spec = job(
            &team,
            &format!("wait{number}"),
            tasks,
            8.min(size.accelerators),
            60_000,
        );
        spec.adjacency = [Adjacency::Any, Adjacency::Zone][number as usize % 2];
        driver.submit(spec);
    }
    driver.run_for(15_000);
    driver
}

fn percentile_ms(costs: &mut [u64], permille: usize) -> f64 {
    costs.sort_unstable();
    let index = costs.len().saturating_sub(1) * permille / 1_000;
    costs.get(index).map_or(0.0, |cost| *cost as f64 / 1e6)
}

/// Times events while small jobs are submitted, prints the percentiles of each kind of event and
/// returns the 99th percentile over all events in milliseconds.
fn measure_events(driver: &mut Driver, size: &FleetSize) -> f64 {
    driver.clock_ns = Some(clock_ns);
    driver.costs_ns.clear();
    for number in 0..60 {
        let team = format!("t{}", number % size.teams);
        driver.submit(job(&team, &format!("new{number}"), 2, 0, 2_000));
        driver.run_for(250);
    }
    driver.clock_ns = None;
    let mut by_name: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (name, cost) in std::mem::take(&mut driver.costs_ns) {
        by_name.entry(name).or_default().push(cost);
        by_name.entry("event").or_default().push(cost);
    }
    let mut event_p99_ms = 0.0;
    for (name, mut costs) in by_name {
        let p99 = percentile_ms(&mut costs, 990);
        let (p50, worst) = (
            percentile_ms(&mut costs, 500),
            percentile_ms(&mut costs, 1_000),
        );
        println!(
            "{}_{name}_p50_ms={p50:.4} p99_ms={p99:.4} max_ms={worst:.3} count={}",
            size.name,
            costs.len()
        );
        if name == "tick" {
            println!("{}_tick_p99_ms={p99:.3}", size.name);
        }
        if name == "event" {
            event_p99_ms = p99;
        }
    }
    event_p99_ms
}

/// Returns the seconds until an urgent job starts when its cells are lent to other teams' jobs
/// whose workers ignore checkpoint orders.
fn urgent_start_delay_s(driver: &mut Driver, size: &FleetSize) -> f64 {
    for slot in &mut driver.slots {
        slot.worker.spec.faults.ignores_checkpoint = true;
    }
    let team = format!("t{}", size.teams - 1);
    let before = driver
        .scheduler
        .teams()
        .into_iter()
        .find(|t| t.team.as_str() == team);
    println!("{}_urgent_team={before:?}", size.name);
    let mut spec = job(&team, "urgent", 1, 1, 60_000);
    spec.urgent = true;
    let key = driver.submit(spec);
    driver.run_until(60_000, |d| d.started_ms.contains_key(&key));
    println!(
        "{}_urgent_told={:?}",
        size.name,
        driver.scheduler.explain(&key)
    );
    let started = driver.started_ms.get(&key).copied().unwrap_or(Millis::MAX);
    started.since(driver.submitted_ms[&key]).0 as f64 / 1_000.0
}

fn measure(size: &FleetSize) -> (f64, f64, f64) {
    let mut driver = build_driver(size);
    let running: u32 = driver
        .scheduler
        .teams()
        .iter()
        .map(|team| team.running)
        .sum();
    let waiting: u32 = driver
        .scheduler
        .teams()
        .iter()
        .map(|team| team.waiting)
        .sum();
    let tasks: usize = driver
        .slots
        .iter()
        .map(|slot| slot.worker.running().count())
        .sum();
    println!(
        "{}_workers={} tasks={tasks} gangs={running} waiting={waiting}",
        size.name,
        driver.slots.len()
    );
    let event_p99_ms = measure_events(&mut driver, size);
    let urgent_start_s = urgent_start_delay_s(&mut driver, size);
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    driver.scheduler = Scheduler::new(SchedulerOptions::default());
    let state_mb = before.saturating_sub(ALLOCATED_BYTES.load(Ordering::Relaxed)) as f64 / 1e6;
    println!("{}_event_p99_ms={event_p99_ms:.3}", size.name);
    println!("{}_state_mb={state_mb:.3}", size.name);
    println!("{}_urgent_start_s={urgent_start_s:.3}", size.name);
    (event_p99_ms, state_mb, urgent_start_s)
}

fn main() {
    let today = FleetSize {
        name: "today",
        zones: 4,
        racks: 2,
        workers_per_rack: 6,
        accelerated_rack_interval: 1,
        accelerators: 8,
        teams: 4,
        guaranteed_cells: 40,
        running_tasks: 400,
        queued_jobs: 200,
    };
    let target = FleetSize {
        name: "letter",
        zones: 24,
        racks: 6,
        workers_per_rack: 32,
        accelerated_rack_interval: 6,
        accelerators: 8,
        teams: 300,
        guaranteed_cells: 12,
        running_tasks: 38_000,
        queued_jobs: 7_000,
    };
    let (today_p99_ms, today_state_mb, _urgent_s) = measure(&today);
    let (event_p99_ms, state_mb, urgent_start_s) = measure(&target);
    let workers = 4_608.0 - 48.0;
    println!(
        "slope_event_us_per_worker={:.4}",
        (event_p99_ms - today_p99_ms) * 1_000.0 / workers
    );
    println!(
        "slope_state_kb_per_worker={:.3}",
        (state_mb - today_state_mb) * 1_000.0 / workers
    );
    println!("event_p99_ms={event_p99_ms:.3}");
    println!("state_mb={state_mb:.3}");
    println!("urgent_start_s={urgent_start_s:.3}");
}
