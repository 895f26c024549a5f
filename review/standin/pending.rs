//! A worker goes dark just as a job is placed on it.

use std::thread;
use std::time::Duration;

use crate::platform::{Platform, Site};
use crate::record::Record;
use crate::worker::{Options, Worker};
use crate::{KEY, Outcome, call, configuration, job, quoted};

/// `visible_ms` and 2 s: from then on an accepted job that has not begun has to be counted.
const COUNTED_AFTER_MS: u64 = 3_000 + 2_000;
/// The number itself may be this old.
const NUMBER_AGE_MS: u64 = 2_000;
/// How long the number is watched.
const WATCH_MS: u64 = 20_000;

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
    let worker = |id: &str| {
        let options = Options {
            id: id.into(),
            service: "ponds".into(),
            zone: "z1".into(),
            kind: "a".into(),
            rack: format!("r-{id}"),
            gpus: 8,
            work: vec![
                ("busy".into(), Duration::from_secs(60)),
                ("job".into(), Duration::from_secs(60)),
            ],
            stop: Duration::from_millis(400),
            nodes: platform.control_addresses.clone(),
        };
        Worker::start(options, record.clone())
    };
    // Seven workers are busy and one is idle. One of eight is less than the share of `srv_crash`.
    let mut workers: Vec<Worker> = (1..=7).map(|n| worker(&format!("i-{n}"))).collect();
    thread::sleep(Duration::from_secs(1));
    let entry = platform.caller_addresses[0];
    if call(record, entry, "POST", "/low/busy", &job(7)).0 != 200 {
        return Outcome::CouldNotRun("the first job was not accepted".into());
    }
    thread::sleep(Duration::from_secs(1));
    workers.push(worker("i-8"));
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.note("worker i-8 crashes");
        workers[7].crash();
    }
    if call(record, entry, "POST", "/low/job1", &job(1)).0 != 200 {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    let accepted_ms = record.now_ms();
    let mut wrong = Vec::new();
    while record.now_ms() < accepted_ms + WATCH_MS {
        thread::sleep(Duration::from_millis(500));
        let asked_ms = record.now_ms();
        let (status, body) = call(record, entry, "GET", "/low/", "");
        let (_, phase) = call(record, entry, "GET", "/low/job1", "");
        let has_begun = record
            .runs()
            .iter()
            .any(|run| run.task.starts_with("job1."));
        let is_counted = asked_ms >= accepted_ms + COUNTED_AFTER_MS + NUMBER_AGE_MS;
        if is_counted && !has_begun && status == 200 && body.contains("\"pending\":0") {
            wrong.push((asked_ms - accepted_ms, phase));
        }
    }
    drop(workers);
    let Some((after_ms, phase)) = wrong.first() else {
        return Outcome::Held;
    };
    Outcome::Broken(format!(
        "{} times a job that no worker has begun was not counted as pending, first {after_ms} ms after its \
         acceptance, when its own state was {phase}",
        wrong.len()
    ))
}
