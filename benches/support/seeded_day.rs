//! Generates a seeded day of submissions for both deployments: background load, bursts, wrong
//! declared run times and a few jobs that are too large to run.

use marjoramknot::release_note::{Adjacency, ClusterConfig};
use marjoramknot::scheduler::JobSpec;
use marjoramknot::units::{Accelerators, Millis};
use rand::RngExt;
use rand::rngs::StdRng;

use super::gang_driver::{add_team, id, in_force, job};

pub const HOUR_MS: u64 = 3_600_000;
/// A day is compressed to four hours of virtual time.
pub const DAY_MS: u64 = 4 * HOUR_MS;

/// Returns a deployment of 48 workers with 8 accelerators each and four teams, close to the users'
/// deployments.
pub fn deployment(jukebox: bool) -> ClusterConfig {
    let boat_zones = [("Piestany", 2), ("Senec", 2), ("Trnava", 2), ("Nitra", 2)];
    let jukebox_zones = [("Milano", 2), ("Torino", 2), ("Bologna", 2)];
    let mut state = if jukebox {
        in_force(&jukebox_zones, 8)
    } else {
        in_force(&boat_zones, 6)
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

fn random_job(rng: &mut StdRng, number: usize, large: bool) -> JobSpec {
    let team = ["t0", "t0", "t0", "t1", "t1", "t2", "t3"][rng.random_range(0..7)];
    let run_ms = rng.random_range(1..if large { 60 } else { 12 }) * 60_000_u64;
    let large_sizes = [(2, 8), (4, 8), (4, 8), (6, 8), (8, 8)];
    let small_sizes = [(1, 0), (1, 1), (2, 1), (2, 2), (1, 4)];
    let (tasks, size) = if large { large_sizes } else { small_sizes }[rng.random_range(0..5)];
    let mut spec = job(team, &format!("j{number}"), tasks, size, run_ms);
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

/// Generates submissions for about 90 % of the capacity, as pairs of due time (ms) and job: 570
/// background jobs, and bursts of 80 small or 8 large jobs.
pub fn generate_day(rng: &mut StdRng) -> Vec<(u64, JobSpec)> {
    let mut times: Vec<_> = (0..570)
        .map(|number| (rng.random_range(0..DAY_MS), number % 20 == 0))
        .collect();
    for burst in 0..6 {
        let start_ms = rng.random_range(0..DAY_MS);
        let count = if burst % 2 == 0 { 80 } else { 8 };
        times.extend((0..count).map(|n| (start_ms + n * 100, burst % 2 == 1)));
    }
    times.sort_unstable();
    times
        .into_iter()
        .enumerate()
        .map(|(n, (due_ms, large))| (due_ms, random_job(rng, n, large)))
        .collect()
}
