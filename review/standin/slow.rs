//! A job takes much longer than others, so that its percentage changes less than once in 1.5 s.

use std::thread;
use std::time::Duration;

use crate::platform::{Platform, Site};
use crate::record::{Record, Run};
use crate::worker::{Options, Worker};
use crate::{KEY, Outcome, call, configuration, job, quoted};

const WORKERS: usize = 6;
/// How long the job's only task takes: without the disruption, and 30 times that.
const WORK: Duration = Duration::from_secs(8);
const LONG_WORK: Duration = Duration::from_secs(8 * 30);
/// Time from the end of the traffic to the check (`finish_s`), and the length of the check.
const FINISH_MS: u64 = 14_000;
const CHECKED_MS: u64 = 50_000;
/// How long a job may have nothing running.
const IDLE_MS: u64 = 3_000;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site {
        replicas: 3,
        spares: 0,
        entries: 2,
        hold_max_ms: 6_000,
        stop_timeout_ms: 400,
        gang_timeout_ms: 3_000,
        reclaim_ms: 5_900,
        behind_proxy: false,
    };
    let mut platform = Platform::new(&site, record);
    platform.start_all();
    if !platform.configure(&configuration(1, &quoted(KEY)), Duration::from_secs(15))
        || !platform.wait_ready(0, Duration::from_secs(15))
    {
        return Outcome::CouldNotRun("the system did not start".into());
    }
    let worker = |number: usize| {
        let options = Options {
            id: format!("i-{number}"),
            service: "ponds".into(),
            zone: "z1".into(),
            kind: "a".into(),
            rack: format!("r-{number}"),
            gpus: 8,
            work: vec![("job".into(), if trouble { LONG_WORK } else { WORK })],
            stop: Duration::from_millis(400),
            nodes: platform.control_addresses.clone(),
        };
        Worker::start(options, record.clone())
    };
    let workers: Vec<Worker> = (1..=WORKERS).map(worker).collect();
    thread::sleep(Duration::from_secs(1));
    let entry = platform.caller_addresses[0];
    if call(record, entry, "POST", "/low/job1", &job(1)).0 != 200 {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    let from_ms = record.now_ms() + FINISH_MS;
    thread::sleep(Duration::from_millis(FINISH_MS + CHECKED_MS));
    let until_ms = record.now_ms();
    let (_, phase) = call(record, entry, "GET", "/low/job1", "");
    drop(workers);
    if phase.contains("completed") {
        return Outcome::Held;
    }
    let runs = record.runs();
    let (idle_ms, at_ms) = longest_gap(&runs, from_ms, until_ms);
    if idle_ms < IDLE_MS {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "the job, {phase}, has nothing running for {idle_ms} ms from {at_ms} ms on, while all {WORKERS} \
         workers are idle; {} runs of its only task were started and {} stopped",
        runs.len(),
        runs.iter().filter(|run| run.how == "stopped").count()
    ))
}

/// The longest time within the span in which nothing runs, and when it begins.
fn longest_gap(runs: &[Run], from_ms: u64, until_ms: u64) -> (u64, u64) {
    let mut longest = (0, from_ms);
    let mut idle_since = from_ms;
    for run in runs {
        let start = run.start_ms.clamp(from_ms, until_ms);
        longest = longest.max((start.saturating_sub(idle_since), idle_since));
        idle_since = idle_since.max(run.end_ms.unwrap_or(until_ms).min(until_ms));
    }
    longest.max((until_ms.saturating_sub(idle_since), idle_since))
}
