//! Measures commit rate and latency with one disk sync per batch of waiting proposals and with one
//! sync per proposal.

use std::time::{Duration, Instant};

use marjoramknot::replica::Handle;

use crate::Figure;
use crate::group::{Group, Settings, runtime};

const PROPOSERS: usize = 64;
const SPAN: Duration = Duration::from_secs(4);
/// Approximate encoded size of a request's begin command or a job transition.
const COMMAND_BYTES: usize = 200;

pub fn measure() -> Vec<Figure> {
    let runtime = runtime();
    let mut figures = Vec::new();
    let mut rates = Vec::new();
    for (name, batch_records) in [("batched", 512), ("one_sync_each", 1)] {
        let settings = Settings {
            batch_records,
            ..Settings::DEFAULT
        };
        let (rate, mut times) = runtime.block_on(run(settings, PROPOSERS));
        rates.push(rate);
        times.sort_unstable();
        figures.push(Figure::new(format!("commits_s_{name}"), rate));
        figures.push(Figure::new(
            format!("commit_p50_ms_{name}"),
            percentile(&times, 50),
        ));
        figures.push(Figure::new(
            format!("commit_p99_ms_{name}"),
            percentile(&times, 99),
        ));
        let (_, mut alone) = runtime.block_on(run(settings, 1));
        alone.sort_unstable();
        figures.push(Figure::new(
            format!("commit_alone_p50_ms_{name}"),
            percentile(&alone, 50),
        ));
    }
    figures.push(Figure::new("commit_batch_ratio", rates[0] / rates[1]));
    figures
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let place = sorted.len().saturating_sub(1) * percent / 100;
    sorted
        .get(place)
        .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}

async fn run(settings: Settings, proposers: usize) -> (f64, Vec<Duration>) {
    let group = Group::start(settings).await;
    let leader = group.leader().await;
    let until = Instant::now() + SPAN;
    let tasks: Vec<_> = (0..proposers)
        .map(|_| {
            tokio::spawn(propose_until(
                group.replica_at(leader).handle.clone(),
                until,
            ))
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.expect("a proposer panicked"));
    }
    let count = u32::try_from(times.len()).expect("the number of commits exceeds u32");
    (f64::from(count) / SPAN.as_secs_f64(), times)
}

async fn propose_until(handle: Handle, until: Instant) -> Vec<Duration> {
    let mut times = Vec::new();
    while Instant::now() < until {
        let from = Instant::now();
        let proposed = handle.propose(vec![1; COMMAND_BYTES]).await;
        proposed.expect("the leader failed to commit");
        times.push(from.elapsed());
    }
    times
}
