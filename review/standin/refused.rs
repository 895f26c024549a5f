//! An answer of control to an entry is lost while the client's key is taken away.

use std::thread;
use std::time::Duration;

use crate::platform::{Platform, Site};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker::{Options, Worker};
use crate::{KEY, Outcome, call, configuration, job, quoted};

/// The key that replaces the client's key.
const OTHER_KEY: &str = "senec-key-2";

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site {
        replicas: 3,
        spares: 0,
        entries: 2,
        hold_max_ms: 6_000,
        stop_timeout_ms: 400,
        gang_timeout_ms: 3_000,
        reclaim_ms: 5_900,
        behind_proxy: true,
    };
    let mut platform = Platform::new(&site, record);
    let proxies = platform.start_proxies();
    platform.start_all();
    let both = format!("{},{}", quoted(KEY), quoted(OTHER_KEY));
    if !platform.configure(&configuration(1, &both), Duration::from_secs(15))
        || !platform.wait_ready(0, Duration::from_secs(15))
    {
        return Outcome::CouldNotRun("the system did not start".into());
    }
    let options = Options {
        id: "i-1".into(),
        service: "ponds".into(),
        zone: "z1".into(),
        kind: "a".into(),
        rack: "r-1".into(),
        gpus: 8,
        work: vec![("job1".into(), Duration::from_secs(2))],
        stop: Duration::from_millis(400),
        nodes: platform.control_addresses.clone(),
    };
    let worker = Worker::start(options, record.clone());
    thread::sleep(Duration::from_secs(2));
    let entry = platform.caller_addresses[0];
    // The entry's connection to the leader is in use before the disruption.
    call(record, entry, "GET", "/low/", "");
    if trouble {
        record.note("open connections go silent towards the entries");
        proxies.iter().for_each(Proxy::silence_answers);
    }
    let caller = record.clone();
    let client = thread::spawn(move || call(&caller, entry, "POST", "/low/job1", &job(1)));
    thread::sleep(Duration::from_millis(150));
    let is_changed = platform.configure(
        &configuration(2, &quoted(OTHER_KEY)),
        Duration::from_secs(5),
    );
    let Ok((status, _body)) = client.join() else {
        return Outcome::CouldNotRun("the client failed".into());
    };
    if !is_changed {
        return Outcome::CouldNotRun("the key could not be taken away".into());
    }
    thread::sleep(Duration::from_secs(5));
    drop(worker);
    let started = record.runs().len();
    record.note(format!(
        "the client's only call got {status}; {started} runs were started"
    ));
    let is_rejected = matches!(status, 400..=499 | 503);
    if is_rejected && started > 0 {
        return Outcome::Broken(format!(
            "the client's only attempt to hand its job in was rejected with {status}, and {started} task \
             of the job was started"
        ));
    }
    if started == 0 {
        return Outcome::CouldNotRun("the job did not start".into());
    }
    Outcome::Held
}
