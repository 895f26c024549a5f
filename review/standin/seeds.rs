//! All replicas that the entries' settings name are replaced in turn, and the new ones restarted.

use std::thread;
use std::time::Duration;

use crate::platform::{Platform, SIGTERM, Site};
use crate::record::Record;
use crate::{KEY, Outcome, call, configuration, job, quoted};

const REPLICAS: usize = 3;
const ENTRIES: usize = 3;
/// From the start of a new replica to the stop of the one that it replaces: `sync_s` and 2 s more.
const JOIN: Duration = Duration::from_secs(6);
/// From that stop to the next change: `sync_s` and 2 s more.
const SETTLE: Duration = Duration::from_secs(6);
/// Time from the last restart to the check (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);
/// `grace_period_s`: how long a program may take to stop.
const GRACE: Duration = Duration::from_secs(6);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site {
        replicas: REPLICAS,
        spares: REPLICAS,
        entries: ENTRIES,
        hold_max_ms: 10_000,
        stop_timeout_ms: 900,
        gang_timeout_ms: 3_000,
        reclaim_ms: 6_400,
        behind_proxy: false,
    };
    let mut platform = Platform::new(&site, record);
    platform.start_all();
    if !platform.configure(&configuration(1, &quoted(KEY)), Duration::from_secs(15))
        || !(0..ENTRIES).all(|entry| platform.wait_ready(entry, Duration::from_secs(15)))
    {
        return Outcome::CouldNotRun("the system did not start".into());
    }
    let entries = platform.caller_addresses.clone();
    if call(record, entries[0], "POST", "/low/before", &job(1)).0 != 200 {
        return Outcome::CouldNotRun("a job was not accepted before the disruption".into());
    }
    if trouble {
        let mut seeds: Vec<usize> = (0..REPLICAS).collect();
        for old in 0..REPLICAS {
            let new = old + REPLICAS;
            platform.control[new].start();
            thread::sleep(JOIN);
            stop(&mut platform, old);
            seeds[old] = new;
            platform.change_seeds(&seeds);
            thread::sleep(SETTLE);
        }
        let ready = (0..ENTRIES)
            .filter(|entry| platform.is_ready(*entry))
            .count();
        record.note(format!("{ready} of {ENTRIES} entries are ready"));
        for new in REPLICAS..2 * REPLICAS {
            stop(&mut platform, new);
            platform.control[new].start();
            thread::sleep(Duration::from_secs(2));
        }
    }
    thread::sleep(RECOVERY);
    let ready = (0..ENTRIES)
        .filter(|entry| platform.is_ready(*entry))
        .count();
    record.note(format!("{ready} of {ENTRIES} entries are ready"));
    // A client that gets no answer asks the next entry; all are asked here.
    let ask = |entry: &_| call(record, *entry, "GET", "/low/before", "").0 == 200;
    if entries.iter().any(ask) {
        return Outcome::Held;
    }
    if !platform.configure(&configuration(2, &quoted(KEY)), Duration::from_secs(10)) {
        return Outcome::CouldNotRun("the control group itself does not work".into());
    }
    Outcome::Broken(format!(
        "{} s after the last planned restart none of {ENTRIES} entries answers a question about an \
         accepted job, and {ready} are ready, while the control group works",
        RECOVERY.as_secs()
    ))
}

fn stop(platform: &mut Platform, replica: usize) {
    platform.control[replica].signal(SIGTERM);
    if !platform.control[replica].wait(GRACE) {
        platform.control[replica].kill();
    }
}
