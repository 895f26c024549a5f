//! Measures commit rate and latency with one disk sync per batch of waiting proposals and with one
//! sync per proposal.

use std::time::{Duration, Instant};

use marjoramknot::replica::Handle;

use crate::Figure;
use crate::group::{Group, Settings, runtime};

const PROPOSERS: usize = 64;
const MEASURED_TIME: Duration = Duration::from_secs(4);
/// Approximate encoded size of a request's begin command or a job transition.
const COMMAND_BYTES: usize = 200;

pub fn measure() -> Vec<Figure> {
    let runtime = runtime();
    let mut figures = Vec::new();
    let mut rates = Vec::new();
    for (name, max_batch_proposals) in [("batched", 512), ("one_sync_each", 1)] {
        let settings = Settings {
            max_batch_proposals,
            ..Settings::DEFAULT
        };
        let (rate, mut latencies) = runtime.block_on(measure_commits(settings, PROPOSERS));
        rates.push(rate);
        latencies.sort_unstable();
        figures.push(Figure::new(format!("commits_s_{name}"), rate));
        figures.push(Figure::new(
            format!("commit_p50_ms_{name}"),
            percentile(&latencies, 50),
        ));
        figures.push(Figure::new(
            format!("commit_p99_ms_{name}"),
            percentile(&latencies, 99),
        ));
        let (_, mut single_latencies) = runtime.block_on(measure_commits(settings, 1));
        single_latencies.sort_unstable();
        figures.push(Figure::new(
            format!("commit_alone_p50_ms_{name}"),
            percentile(&single_latencies, 50),
        ));
    }
    figures.push(Figure::new("commit_batch_ratio", rates[0] / rates[1]));
    figures
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let index = sorted.len().saturating_sub(1) * percent / 100;
    sorted
        .get(index)
        .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}

async fn measure_commits(settings: Settings, proposers: usize) -> (f64, Vec<Duration>) {
    let group = Group::start(settings).await;
    let leader = group.leader().await;
    let deadline = Instant::now() + MEASURED_TIME;
    let tasks: Vec<_> = (0..proposers)
        .map(|_| {
            tokio::spawn(propose_until(
                group.replica_at(leader).handle.clone(),
                deadline,
            ))
        })
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("a proposer panicked"));
    }
    let count = u32::try_from(latencies.len()).expect("the number of commits exceeds u32");
    (f64::from(count) / MEASURED_TIME.as_secs_f64(), latencies)
}

async fn propose_until(handle: Handle, deadline: Instant) -> Vec<Duration> {
    let mut latencies = Vec::new();
    while Instant::now() < deadline {
        let started = Instant::now();
        let proposed = handle.propose(vec![1; COMMAND_BYTES]).await;
        proposed.expect("the leader failed to commit");
        latencies.push(started.elapsed());
    }
    latencies
}
