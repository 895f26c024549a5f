//! Open connections between entries and control go silent for good, while new ones work.

use std::thread;
use std::time::Duration;

use crate::platform::{Platform, Site};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::{KEY, Outcome, call, configuration, job, quoted};

/// Entries, as on a grown site.
const ENTRIES: usize = 33;
/// How often the open connections go silent.
const TIMES: usize = 8;
/// Time from one such event to the next, in which all entries connect anew.
const EVERY: Duration = Duration::from_secs(3);
/// Time from the last event to the check (`recovery_s` of the grown sites).
const RECOVERY: Duration = Duration::from_secs(15);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site {
        replicas: 3,
        spares: 0,
        entries: ENTRIES,
        hold_max_ms: 10_000,
        stop_timeout_ms: 900,
        gang_timeout_ms: 4_000,
        reclaim_ms: 6_400,
        behind_proxy: true,
    };
    let mut platform = Platform::new(&site, record);
    let proxies = platform.start_proxies();
    platform.start_all();
    if !platform.configure(&configuration(1, &quoted(KEY)), Duration::from_secs(20))
        || !(0..ENTRIES).all(|entry| platform.wait_ready(entry, Duration::from_secs(20)))
    {
        return Outcome::CouldNotRun("the system did not start".into());
    }
    record.note("all entries are ready");
    let entry = platform.caller_addresses[0];
    if call(record, entry, "POST", "/low/before", &job(1)).0 != 200 {
        return Outcome::CouldNotRun("a job was not accepted before the disruption".into());
    }
    for number in 1..=TIMES {
        if trouble {
            record.note(format!("open connections go silent, {number} of {TIMES}"));
            proxies.iter().for_each(Proxy::silence);
        }
        // The platform checks each entry once a second.
        let until = record.now_ms() + EVERY.as_millis() as u64;
        while record.now_ms() < until {
            let ready = ready_entries(&platform);
            record.note(format!("{ready} of {ENTRIES} entries are ready"));
            thread::sleep(Duration::from_millis(500));
        }
    }
    thread::sleep(RECOVERY);
    let ready = ready_entries(&platform);
    record.note(format!("{ready} of {ENTRIES} entries are ready"));
    // A client that gets no answer asks the next entry; all are asked here.
    let answered = thread::scope(|scope| {
        let entries = platform.caller_addresses.iter();
        let calls: Vec<_> = entries
            .map(|entry| scope.spawn(move || call(record, *entry, "GET", "/low/before", "").0))
            .collect();
        let calls = calls.into_iter();
        calls
            .filter_map(|call| call.join().ok())
            .filter(|status| *status == 200)
            .count()
    });
    if answered > 0 {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "{} s after the last disruption none of {ENTRIES} entries answers a question about an accepted \
         job, and {ready} are ready",
        RECOVERY.as_secs()
    ))
}

fn ready_entries(platform: &Platform) -> usize {
    let checks: Vec<bool> = thread::scope(|scope| {
        let checks: Vec<_> = (0..ENTRIES)
            .map(|entry| scope.spawn(move || platform.is_ready(entry)))
            .collect();
        let checks = checks.into_iter();
        checks.map(|check| check.join().unwrap_or(false)).collect()
    });
    checks.into_iter().filter(|ready| *ready).count()
}
