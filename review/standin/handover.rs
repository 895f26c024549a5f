//! A leader is stopped as planned while workers are stopping preempted runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::platform::{Platform, SIGTERM, Site};
use crate::record::{Record, overlaps};
use crate::worker::{Options, Worker};
use crate::{KEY, Outcome, call, configuration, job, job_with, quoted};

/// Workers with the label that urgent jobs require.
const URGENT_WORKERS: usize = 32;
/// Workers without that label.
const OTHER_WORKERS: usize = 44;
/// Workers in a rack.
const RACK_SIZE: usize = 4;
/// The longest time that a worker takes to stop a run (`stop_timeout_ms`).
const STOP_MS: u64 = 900;
/// Urgent jobs, and the time from one to the next.
const URGENT_JOBS: usize = 32;
const URGENT_EVERY: Duration = Duration::from_millis(25);
/// From the first urgent job to the SIGTERM of the leader, which needs up to 0.7 s to hand over.
const TERM_DELAY: Duration = Duration::from_millis(150);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site {
        replicas: 3,
        spares: 0,
        entries: 2,
        hold_max_ms: 10_000,
        stop_timeout_ms: STOP_MS,
        gang_timeout_ms: 3_000,
        reclaim_ms: 6_400,
        behind_proxy: false,
    };
    let mut platform = Platform::new(&site, record);
    platform.start_all();
    let configuration = configuration(1, &quoted(KEY));
    if !platform.configure(&configuration, Duration::from_secs(15))
        || !platform.wait_ready(0, Duration::from_secs(15))
        || !platform.wait_ready(1, Duration::from_secs(15))
    {
        return Outcome::CouldNotRun("the system did not start".into());
    }
    let worker = |number: usize, kind: &str| {
        let options = Options {
            id: format!("i-{kind}{number:02}"),
            service: "ponds".into(),
            zone: "z1".into(),
            kind: kind.into(),
            rack: format!("r-{kind}{}", number / RACK_SIZE),
            gpus: 8,
            work: vec![
                ("low".into(), Duration::from_secs(40)),
                ("urgent".into(), Duration::from_secs(4)),
            ],
            stop: Duration::from_millis(STOP_MS),
            nodes: platform.control_addresses.clone(),
        };
        Worker::start(options, record.clone())
    };
    let mut workers: Vec<Worker> = (0..URGENT_WORKERS).map(|n| worker(n, "b")).collect();
    thread::sleep(Duration::from_millis(1_000));
    let entries = Arc::new(platform.caller_addresses.clone());
    let tasks = job(URGENT_WORKERS as u32);
    if call(record, entries[0], "POST", "/low/low1", &tasks).0 != 200 {
        return Outcome::CouldNotRun("the job of low priority was not accepted".into());
    }
    thread::sleep(Duration::from_secs(2));
    workers.extend((0..OTHER_WORKERS).map(|n| worker(n, "c")));
    thread::sleep(Duration::from_secs(2));
    let Some(leader) = platform.leader() else {
        return Outcome::CouldNotRun("no replica leads".into());
    };
    record.note(format!("replica {leader} leads"));
    let (sender, sent) = (record.clone(), Arc::clone(&entries));
    let clients = thread::spawn(move || {
        let clients: Vec<_> = (0..URGENT_JOBS)
            .map(|n| {
                thread::sleep(URGENT_EVERY);
                let (record, entries) = (sender.clone(), Arc::clone(&sent));
                thread::spawn(move || submit(n, &record, &entries))
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
    });
    thread::sleep(TERM_DELAY);
    if trouble {
        platform.control[leader].signal(SIGTERM);
        if !platform.control[leader].wait(Duration::from_secs(6)) {
            platform.control[leader].kill();
        }
        platform.control[leader].start();
    }
    drop(clients.join());
    thread::sleep(Duration::from_secs(6));
    let now_ms = record.now_ms();
    drop(workers);
    let runs = record.runs();
    let found = overlaps(&runs, now_ms);
    if runs.iter().filter(|run| run.how == "stopped").count() == 0 {
        return Outcome::CouldNotRun("no run was stopped".into());
    }
    let Some((first, second, overlap_ms)) = found.first() else {
        return Outcome::Held;
    };
    Outcome::Broken(format!(
        "{} tasks ran twice at the same time; for one, {}, run {} on {} from {} ms to {} ms and run {} \
         on {} from {} ms: both for {overlap_ms} ms",
        found.len(),
        first.task,
        first.run,
        first.worker,
        first.start_ms,
        first.end_ms.unwrap_or(now_ms),
        second.run,
        second.worker,
        second.start_ms,
    ))
}

/// Submits an urgent job as a client does, which sends it again after a failure.
fn submit(number: usize, record: &Record, entries: &[SocketAddr]) {
    let path = format!("/urgent/urgent{number}");
    for attempt in 0..4 {
        let entry = entries[(number + attempt) % entries.len()];
        if call(
            record,
            entry,
            "POST",
            &path,
            &job_with(1, ",\"requirements\":\"b\""),
        )
        .0 == 200
        {
            return;
        }
        thread::sleep(Duration::from_millis(300));
    }
}
