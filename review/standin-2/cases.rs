//! The cases, each of which plays one order of events and checks one rule.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{Client, Request};
use crate::record::Record;
use crate::system::{
    DEADLINE_MS, HEARTBEAT_MS, KEY, OTHER_KEY, PREFIX, System, URGENT_PREFIX, call, call_as,
    config, order,
};
use crate::worker::{Description, Worker};

type Result = std::result::Result<(), String>;

pub fn play(case: &str, record: &Record, trouble: bool) -> Result {
    match case {
        "late-leave" => late_leave(record, trouble),
        "late-reopen" => late_reopen(record, trouble),
        "late-submission" => late_submission(record, trouble),
        "lasting-work" => lasting_work(record, trouble),
        "small-tasks" => small_tasks(record, trouble),
        "unheard-failure" => unheard_failure(record, trouble),
        "broken-job" => broken_job(record, trouble),
        "failing-service" => failing_service(record, trouble),
        "other-writer" => other_writer(record, trouble),
        "large-bodies" => large_bodies(record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn text(cause: impl std::fmt::Display) -> String {
    cause.to_string()
}

/// How often a task may fail, where a case does not say otherwise.
const ATTEMPTS: u32 = 4;

fn start(record: &Record, proxied: bool) -> std::result::Result<(System, [u8; 3]), String> {
    start_with(record, proxied, ATTEMPTS)
}

/// Starts the system and returns it with the numbers of the leader and of the two followers.
fn start_with(
    record: &Record,
    proxied: bool,
    attempts: u32,
) -> std::result::Result<(System, [u8; 3]), String> {
    let system = System::start(record, proxied).map_err(text)?;
    let leader = system
        .wait_for_leader(ms(15_000))
        .ok_or("no replica leads")?;
    let others: Vec<u8> = (0..3).filter(|at| *at != leader).collect();
    let roles = [leader, others[0], others[1]];
    record.note(&format!(
        "replica {} leads, {} and {} follow",
        roles[0], roles[1], roles[2]
    ));
    // The configuration goes through the follower that will be cut off, which thereby has a
    // connection to the leader, as after any call of a worker or an operator.
    let first = [system.control(roles[1])];
    let body = config(1, attempts);
    let status = order(record, &first, ("PUT", "/api/config", &body), ms(8_000));
    (status == Some(200))
        .then_some(())
        .ok_or("the configuration was not acknowledged")?;
    Ok((system, roles))
}

fn describe(system: &System, id: &str, zone: &str, gpu: u64) -> Description {
    Description {
        id: id.to_owned(),
        zone: zone.to_owned(),
        rack: "r1-1".to_owned(),
        cpu: 32_000,
        gpu,
        slots: 8,
        control: system.controls(),
    }
}

fn submit(record: &Record, system: &System, id: &str, body: &str) -> bool {
    for _attempt in 0..5 {
        let answer = call(system.callers(0), "POST", id, body);
        match &answer {
            Ok((status, _)) => record.note(&format!("client: POST {id}: {status}")),
            Err(cause) => record.note(&format!("client: POST {id}: {cause}")),
        }
        if matches!(answer, Ok((200, _))) {
            return true;
        }
        sleep(ms(200));
    }
    false
}

/// A worker leaves while the replica that it tells is cut off, comes back under its id, and is taken
/// for gone when the cut heals.
fn late_leave(record: &Record, trouble: bool) -> Result {
    let (system, [leader, cut, other]) = start(record, true)?;
    let mut workers: Vec<Worker> = (1..=4)
        .map(|at| {
            let mut about = describe(&system, &format!("i-{at}"), "zone-a", 8);
            // The job's data lies in the rack of the first worker, so its task starts there.
            about.rack = if at == 1 { "r1-9" } else { "r1-1" }.to_owned();
            Worker::start(about, record)
        })
        .collect();
    sleep(ms(2_500));
    let leaving = workers.remove(0);
    let about = leaving.about.clone();
    leaving.drain(ms(2_000));
    sleep(ms(2_300));
    if trouble {
        record.note(&format!("replica {cut} is cut off from the others"));
        system.partition.cut(usize::from(cut));
        sleep(ms(300));
    }
    let nodes = [
        system.control(cut),
        system.control(other),
        system.control(leader),
    ];
    leaving.leave(&nodes);
    sleep(ms(300));
    let mut control = about.control.clone();
    control.rotate_left(usize::from(leader));
    workers.push(Worker::start(Description { control, ..about }, record));
    sleep(ms(900));
    let body = "{\"spec\":\"work_ms=12000 cpu=4000 gpu=2\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":1024,\
                \"gpu\":2,\"estimate_ms\":12000,\"data_rack\":\"r1-9\"}]}";
    // A worker that is between two reports gets no new task, so there is more than one job.
    for number in 1..=3 {
        if !submit(record, &system, &format!("5c0e7a21d94b36f{number}"), body) {
            return Err("a job was not accepted".to_owned());
        }
        sleep(ms(230));
    }
    sleep(ms(700));
    if trouble {
        record.note(&format!("replica {cut} reaches the others again"));
        system.partition.heal();
    }
    sleep(ms(5_000));
    finish(workers);
    Ok(())
}

fn finish(workers: Vec<Worker>) {
    for mut worker in workers {
        worker.exit("is ended by the test");
    }
}

const EVACUATE_MS: u64 = 5_000;

/// The withdrawal of an evacuation that a cut-off replica did not get through is carried out when the
/// cut heals, after the next evacuation of that zone.
fn late_reopen(record: &Record, trouble: bool) -> Result {
    let (system, [leader, cut, other]) = start(record, true)?;
    let mut workers = Vec::new();
    for at in 1..=2 {
        workers.push(Worker::start(
            describe(&system, &format!("i-a{at}"), "zone-a", 8),
            record,
        ));
        workers.push(Worker::start(
            describe(&system, &format!("i-b{at}"), "zone-b", 8),
            record,
        ));
    }
    sleep(ms(2_000));
    let steady = [system.control(leader), system.control(other)];
    let through_cut = [
        system.control(cut),
        system.control(other),
        system.control(leader),
    ];
    let path = "/api/evacuate/zone-a";
    let acknowledged = |status: Option<u16>| match status {
        Some(200..=299) => Ok(()),
        _ => Err("an order was not acknowledged".to_owned()),
    };
    acknowledged(order(record, &steady, ("POST", path, ""), ms(4_000)))?;
    sleep(ms(1_000));
    if trouble {
        record.note(&format!("replica {cut} is cut off from the others"));
        system.partition.cut(usize::from(cut));
        sleep(ms(300));
    }
    acknowledged(order(record, &through_cut, ("DELETE", path, ""), ms(4_000)))?;
    sleep(ms(500));
    acknowledged(order(record, &steady, ("POST", path, ""), ms(4_000)))?;
    let since_ms = record.now_ms();
    record.note("zone-a is evacuated for the second time, and is not taken back");
    sleep(ms(1_500));
    if trouble {
        record.note(&format!("replica {cut} reaches the others again"));
        system.partition.heal();
    }
    sleep(ms(EVACUATE_MS));
    let body = "{\"spec\":\"work_ms=1500 cpu=4000 gpu=4\",\"steps\":[{\"count\":8,\"cpu\":4000,\"mem_mb\":1024,\
                \"gpu\":4,\"estimate_ms\":1500}]}";
    if !submit(record, &system, "5c0e7a21d94b36f8", body) {
        return Err("the job was not accepted".to_owned());
    }
    sleep(ms(6_000));
    for run in record.runs() {
        let is_late = run.started_ms > since_ms + EVACUATE_MS;
        if run.zone == "zone-a" && is_late {
            let after_ms = run.started_ms - since_ms;
            record.broken(&format!(
                "EVAC: {} starts in zone-a {after_ms} ms after its evacuation was acknowledged",
                run.task
            ));
        }
    }
    finish(workers);
    Ok(())
}

/// The memory of a core machine, as the settings file of the platform names it.
const MEMORY_MB: u64 = 256;
const LARGE_BODIES: u64 = 900;
/// With these, a body has 248,021 bytes; the configuration allows 262,144.
const LARGE_STEPS: usize = 250;
const IMAGE_BYTES: usize = 900;
/// How often processes may end by themselves in a day, on half of the core.
const ENDS_MAX: u32 = 3;
const PLAY: Duration = ms(40_000);
const RESTART_DELAY: Duration = ms(500);

/// Jobs with large bodies of legal size come at once. The platform kills a process whose memory exceeds
/// that of its machine, and starts it again.
fn large_bodies(record: &Record, trouble: bool) -> Result {
    let (mut system, _roles) = start(record, false)?;
    let mut worker = Worker::start(describe(&system, "i-1", "zone-a", 8), record);
    sleep(ms(1_500));
    let ordinary = "{\"spec\":\"work_ms=20000 cpu=4000 gpu=4\",\"steps\":[{\"count\":2,\"cpu\":4000,\
                    \"mem_mb\":1024,\"gpu\":4,\"estimate_ms\":20000}]}";
    if !submit(record, &system, "00000000000000a1", ordinary) {
        return Err("the ordinary job was not accepted".to_owned());
    }
    system.forget_bootstrap().map_err(text)?;
    let body = large_body(if trouble { LARGE_STEPS } else { 2 });
    record.note(&format!(
        "a body of the jobs to come has {} bytes",
        body.len()
    ));
    let callers = system.callers(0);
    let flood = record.clone();
    let until = Instant::now() + PLAY;
    let client = thread::spawn(move || {
        let (mut accepted, mut refused, mut unanswered) = (0, 0, 0);
        for number in (0..LARGE_BODIES).take_while(|_number| Instant::now() < until) {
            match call(callers, "POST", &format!("{number:016x}"), &body) {
                Ok((200, _)) => accepted += 1,
                Ok(_) => refused += 1,
                Err(_) => unanswered += 1,
            }
        }
        flood.note(&format!(
            "client: of these jobs {accepted} were accepted, {refused} refused, {unanswered} not answered"
        ));
    });
    let mut ends = [0_u32; 3];
    let mut peak_mb = [0_u64; 3];
    let mut restart_at: [Option<Instant>; 3] = [None; 3];
    while Instant::now() < until {
        for (at, replica) in system.replicas.iter_mut().enumerate() {
            let memory_mb = replica.memory_mb().unwrap_or(0);
            peak_mb[at] = peak_mb[at].max(memory_mb);
            let is_over = memory_mb > MEMORY_MB;
            if is_over {
                record.note(&format!(
                    "replica {at} uses {memory_mb} MB of {MEMORY_MB}, the platform kills it"
                ));
                replica.kill();
            }
            if is_over || replica.has_ended() {
                ends[at] += 1;
                restart_at[at] = Some(Instant::now() + RESTART_DELAY);
            }
            if restart_at[at].is_some_and(|when| Instant::now() >= when) {
                restart_at[at] = None;
                replica.start().map_err(text)?;
            }
        }
        sleep(ms(20));
    }
    let _ = client.join();
    record.note(&format!(
        "the replicas ended by themselves {ends:?} times, with at most {peak_mb:?} MB in use"
    ));
    let state = call(callers, "GET", "00000000000000a1", "");
    record.note(&format!("client: GET of the ordinary job: {state:?}"));
    let later = call(callers, "POST", "00000000000000a2", ordinary);
    record.note(&format!("client: POST of another ordinary job: {later:?}"));
    let failing = ends.iter().filter(|ends| **ends >= ENDS_MAX).count();
    if failing * 2 >= ends.len() {
        record.broken(&format!(
            "Fault: on {failing} of {} core machines, processes ended by themselves three times or more",
            ends.len()
        ));
    }
    worker.exit("is ended by the test");
    Ok(())
}

/// A job of this many steps, none of which can ever run.
fn large_body(steps: usize) -> String {
    let step = |at: usize| {
        format!(
            "{{\"count\":1,\"cpu\":64000,\"mem_mb\":1024,\"gpu\":1,\"estimate_ms\":1000,\"image\":\"{at:0>IMAGE_BYTES$}\"}}"
        )
    };
    let steps: Vec<String> = (0..steps).map(step).collect();
    format!(
        "{{\"spec\":\"{}\",\"steps\":[{}]}}",
        "x".repeat(SPEC_MAX_BYTES),
        steps.join(",")
    )
}

/// A writer of another kind sends heartbeats that lack the address of a worker.
fn other_writer(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start(record, false)?;
    let workers: Vec<Worker> = (1..=3)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    let over = Arc::new(AtomicBool::new(false));
    if trouble {
        let (writer, node, over) = (record.clone(), system.control(0), Arc::clone(&over));
        writer.note("a writer of another kind sends heartbeats without an address");
        thread::spawn(move || write_heartbeats(&writer, node, &over));
    }
    sleep(ms(3_000));
    let body = "{\"spec\":\"work_ms=1000 cpu=4000 gpu=4\",\"steps\":[{\"count\":1,\"cpu\":4000,\
                \"mem_mb\":1024,\"gpu\":4,\"estimate_ms\":1000}]}";
    let mut accepted = Vec::new();
    for number in 0..9 {
        let id = format!("00000000000000b{number}");
        if submit(record, &system, &id, body) {
            accepted.push((id, record.now_ms()));
        }
        sleep(ms(700));
    }
    record.note("the traffic ends");
    let jobs: Vec<_> = accepted.iter().map(|(id, _at)| (id.clone(), 1)).collect();
    check_idle_capacity(record, &jobs);
    for (id, at) in accepted {
        let first = record
            .runs()
            .into_iter()
            .find(|run| run.task.starts_with(&id));
        let waited = first.map(|run| run.started_ms.saturating_sub(at));
        record.note(&format!(
            "{id}: {waited:?} ms to its first start; {:?}",
            call(system.callers(0), "GET", &id, "")
        ));
    }
    over.store(true, Ordering::SeqCst);
    finish(workers);
    Ok(())
}

const FINISH_MS: u64 = 14_000;

fn write_heartbeats(record: &Record, node: SocketAddr, over: &AtomicBool) {
    let mut sequence = 0;
    while !over.load(Ordering::SeqCst) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"huvo11a\",\"zone\":\"zone-a\",\"version\":\"v1\",\"batch_slots\":8,\
             \"phase\":\"ready\",\"cold_remaining_ms\":0,\"born\":1770279401878,\"free_capacity\":\
             {{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":4}},\"labels\":[\"a\",\"r1-1\"],\
             \"current_time_ms\":482113,\"sequence\":{sequence}}}"
        );
        let request = Request {
            method: "PUT",
            path: "/api/instances/i-other",
            headers: &[],
            body: &body,
        };
        let answer = Client::new(node).send(&request, ms(1_000));
        if let Ok((status, text)) = answer {
            if text.contains("start") {
                record.note(&format!("the other writer gets {status} {text}"));
            }
        }
        sleep(ms(HEARTBEAT_MS));
    }
}

const CANCEL_MS: u64 = 3_000;
/// The machines are numbered with the replicas first.
const FIRST_ENTRY: usize = 3;

/// A submission through an entry that is cut off is carried out when the cut heals, after the client
/// was told that there is no such job to cancel.
fn late_submission(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start(record, true)?;
    let workers: Vec<Worker> = (1..=2)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    sleep(ms(2_000));
    let body = "{\"spec\":\"work_ms=2000 cpu=4000 gpu=4\",\"steps\":[{\"count\":2,\"cpu\":4000,\
                \"mem_mb\":1024,\"gpu\":4,\"estimate_ms\":2000}]}";
    if !submit(record, &system, "00000000000000c1", body) {
        return Err("the ordinary job was not accepted".to_owned());
    }
    sleep(ms(500));
    if trouble {
        record.note("entry 0 is cut off from the replicas");
        system.partition.cut(FIRST_ENTRY);
        sleep(ms(300));
    }
    let id = "00000000000000c2";
    let answer = call_as(
        system.callers(0),
        KEY,
        ("POST", &format!("{PREFIX}{id}"), body),
        1_000,
    );
    record.note(&format!(
        "client: POST {id} at entry 0, waiting 1,000 ms: {answer:?}"
    ));
    let answer = call(system.callers(1), "DELETE", id, "");
    record.note(&format!("client: DELETE {id} at entry 1: {answer:?}"));
    if !matches!(answer, Ok((200..=299 | 410, _))) {
        return Err("the cancelling was not acknowledged".to_owned());
    }
    let since_ms = record.now_ms();
    sleep(ms(CANCEL_MS + 700));
    if trouble {
        record.note("entry 0 reaches the replicas again");
        system.partition.heal();
    }
    sleep(ms(5_000));
    let answer = call(system.callers(1), "GET", id, "");
    record.note(&format!("client: GET {id} at entry 1: {answer:?}"));
    for run in record.runs() {
        if run.task.starts_with(id) && run.started_ms > since_ms + CANCEL_MS {
            let after_ms = run.started_ms - since_ms;
            record.broken(&format!(
                "UNASKED: {} starts {after_ms} ms after its job's cancelling was acknowledged",
                run.task
            ));
        }
    }
    finish(workers);
    Ok(())
}

/// The tasks of one job that lasts fail again and again, on all workers, and another job gets nothing.
fn broken_job(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start(record, false)?;
    let workers: Vec<Worker> = (1..=3)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    sleep(ms(2_000));
    let (how, count) = if trouble {
        ("fails work_ms=300", 24)
    } else {
        ("work_ms=100000", 20)
    };
    let broken = format!(
        "{{\"spec\":\"{how} cpu=500 gpu=1\",\"steps\":[{{\"count\":{count},\"cpu\":500,\"mem_mb\":256,\
         \"gpu\":1,\"estimate_ms\":300,\"long_running\":true}}]}}"
    );
    let path = format!("{PREFIX}00000000000000d1");
    let answer = call_as(
        system.callers(0),
        OTHER_KEY,
        ("POST", &path, &broken),
        DEADLINE_MS,
    );
    record.note(&format!(
        "client of the other tenant: POST 00000000000000d1: {answer:?}"
    ));
    if !matches!(answer, Ok((200, _))) {
        return Err("the broken job was not accepted".to_owned());
    }
    sleep(ms(1_000));
    let sound = "{\"spec\":\"work_ms=1000 cpu=4000 gpu=4\",\"steps\":[{\"count\":1,\"cpu\":4000,\
                 \"mem_mb\":1024,\"gpu\":4,\"estimate_ms\":1000}]}";
    if !submit(record, &system, "00000000000000d2", sound) {
        return Err("the sound job was not accepted".to_owned());
    }
    record.note("the traffic ends");
    check_idle_capacity(record, &[("00000000000000d2".to_owned(), 1)]);
    sleep(ms(50_000));
    let runs = record.runs();
    let busy_ms: u64 = runs
        .iter()
        .map(|run| run.ended_ms.unwrap_or(record.now_ms()) - run.started_ms)
        .sum();
    let has_run = runs
        .iter()
        .any(|run| run.task.starts_with("00000000000000d2"));
    record.note(&format!(
        "the sound job has been started: {has_run}; the 24 accelerators were in use for {} ms on average",
        busy_ms / 24
    ));
    finish(workers);
    Ok(())
}

/// For how long a task that lasts may have nothing running after its last run, and for how long on end
/// there has to be room for it.
const LASTING_REST_MS: u64 = 6_000 + 3_000;

/// All tasks of a job that lasts fail once at the same time, and none is started again for a long time.
fn failing_service(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start(record, false)?;
    let workers: Vec<Worker> = (1..=3)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    sleep(ms(2_000));
    let fails = if trouble {
        "fails_first fails_ms=4000 "
    } else {
        ""
    };
    let body = format!(
        "{{\"spec\":\"{fails}work_ms=100000 cpu=500 gpu=1\",\"steps\":[{{\"count\":24,\"cpu\":500,\
         \"mem_mb\":256,\"gpu\":1,\"estimate_ms\":300,\"long_running\":true}}]}}"
    );
    if !submit(record, &system, "00000000000000d1", &body) {
        return Err("the job was not accepted".to_owned());
    }
    sleep(ms(33_000));
    let runs = record.runs();
    let mut waits = Vec::new();
    for failed in runs.iter().filter(|run| run.how == "failed") {
        let ended_ms = failed.ended_ms.unwrap_or_default();
        let next = runs
            .iter()
            .find(|run| run.task == failed.task && run.run > failed.run);
        let again_ms = next.map_or_else(|| record.now_ms(), |next| next.started_ms);
        waits.push(again_ms - ended_ms);
    }
    let late = waits.iter().filter(|wait| **wait > LASTING_REST_MS).count();
    record.note(&format!(
        "{} tasks failed and had nothing running for {waits:?} ms",
        waits.len()
    ));
    if late > 0 {
        record.broken(&format!(
            "LOST: {late} tasks that last had nothing running for more than {LASTING_REST_MS} ms after they \
             had failed, while no worker had anything else to do"
        ));
    }
    finish(workers);
    Ok(())
}

/// From `finish_s` after the end of the traffic on, no job may have nothing running for 3 s while
/// tasks of it can run, there is room for it twice over and under half of the capacity is in use.
/// Each job is given with its number of tasks, all of which can run at once.
fn check_idle_capacity(record: &Record, jobs: &[(String, usize)]) {
    sleep(ms(FINISH_MS));
    let before = record.now_ms();
    record.note("the check after the end of the traffic begins");
    sleep(ms(3_000));
    let runs = record.runs();
    let is_busy = runs
        .iter()
        .any(|run| run.ended_ms.is_none_or(|ended_ms| ended_ms > before));
    for (job, tasks) in jobs {
        let own = runs.iter().filter(|run| run.task.starts_with(job));
        let done = own.filter(|run| run.how == "done").count();
        if done < *tasks && !is_busy {
            record.broken(&format!(
                "LOST: {done} of {tasks} tasks of {job} are done, and {FINISH_MS} ms after the end of the traffic \
                 nothing of it runs for 3 s, while nothing runs on any worker"
            ));
        }
    }
}

/// The most bytes of a job's `spec`.
const SPEC_MAX_BYTES: usize = 4_000;
const SMALL_TASKS: usize = 1_500;

/// A job of many small tasks makes the answers to a worker larger than it takes.
fn small_tasks(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start(record, false)?;
    let workers: Vec<Worker> = (1..=3)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    sleep(ms(2_000));
    let work = "work_ms=1000 cpu=20 gpu=0 ";
    let spec = if trouble {
        format!("{work}{}", "x".repeat(SPEC_MAX_BYTES - work.len()))
    } else {
        work.to_owned()
    };
    let body = format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{SMALL_TASKS},\"cpu\":20,\"mem_mb\":40,\"estimate_ms\":1000}}]}}"
    );
    let id = "00000000000000e2";
    if !submit(record, &system, id, &body) {
        return Err("the job of small tasks was not accepted".to_owned());
    }
    record.note("the traffic ends");
    check_idle_capacity(record, &[(id.to_owned(), SMALL_TASKS)]);
    record.note(&format!(
        "client: GET {id}: {:?}",
        call(system.callers(0), "GET", id, "")
    ));
    finish(workers);
    Ok(())
}

const RECLAIM_MS: u64 = 5_900;

/// Work of another tenant that lasts takes all accelerators, and an urgent job within its tenant's
/// guarantee finds none.
fn lasting_work(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start(record, false)?;
    let workers: Vec<Worker> = (1..=3)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    sleep(ms(2_000));
    let entry = system.callers(0);
    let lasts = if trouble {
        ",\"long_running\":true"
    } else {
        ""
    };
    let body = format!(
        "{{\"spec\":\"work_ms=100000 cpu=1000 gpu=1\",\"steps\":[{{\"count\":24,\"cpu\":1000,\"mem_mb\":1024,\
         \"gpu\":1,\"estimate_ms\":100000{lasts}}}]}}"
    );
    let id = "00000000000000f1";
    let path = format!("{PREFIX}{id}");
    let answer = call_as(entry, OTHER_KEY, ("POST", &path, &body), DEADLINE_MS);
    record.note(&format!(
        "client of the other tenant: POST {id}: {answer:?}"
    ));
    sleep(ms(3_000));
    let body = "{\"spec\":\"work_ms=2000 cpu=1000 gpu=2\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":1024,\
                \"gpu\":2,\"estimate_ms\":2000}]}";
    let urgent = "00000000000000f2";
    let path = format!("{URGENT_PREFIX}{urgent}");
    let answer = call_as(entry, KEY, ("POST", &path, body), DEADLINE_MS);
    record.note(&format!(
        "client of the guaranteed tenant: POST {urgent}, urgent: {answer:?}"
    ));
    if !matches!(answer, Ok((200, _))) {
        return Err("the urgent job was not accepted".to_owned());
    }
    let since_ms = record.now_ms();
    sleep(ms(30_000));
    let runs = record.runs();
    let begun = runs
        .iter()
        .filter(|run| run.task.starts_with(urgent) && run.started_ms <= since_ms + RECLAIM_MS);
    let begun = begun.count();
    let later = runs
        .iter()
        .filter(|run| run.task.starts_with(urgent))
        .count();
    let answer = call_as(entry, KEY, ("GET", &path, ""), DEADLINE_MS);
    record.note(&format!("client: GET {urgent}: {answer:?}"));
    if begun < 4 {
        record.broken(&format!(
            "RECLAIM: {begun} of 4 tasks of the urgent job have begun {RECLAIM_MS} ms after its acknowledgement, \
             and {later} after 30 s"
        ));
    }
    finish(workers);
    Ok(())
}

/// The attempts of `timetable-build`, whose jobs are gangs, on the site.
const GANG_ATTEMPTS: u32 = 2;

/// The last attempt of a gang fails on a worker that is cut off, and the gang is started once more.
fn unheard_failure(record: &Record, trouble: bool) -> Result {
    let (system, _roles) = start_with(record, false, GANG_ATTEMPTS)?;
    let workers: Vec<Worker> = (1..=4)
        .map(|at| Worker::start(describe(&system, &format!("i-{at}"), "zone-a", 8), record))
        .collect();
    sleep(ms(2_000));
    let body = "{\"spec\":\"first_fails fails_ms=2500 work_ms=60000 cpu=4000 gpu=8 members=2\",\"steps\":[{\"count\":2,\
                \"cpu\":4000,\"mem_mb\":1024,\"gpu\":8,\"estimate_ms\":4000,\"all_or_nothing\":true}]}";
    let id = "00000000000000a7";
    if !submit(record, &system, id, body) {
        return Err("the job was not accepted".to_owned());
    }
    let task = format!("{id}.0.0.0");
    let until = Instant::now() + ms(20_000);
    let second = loop {
        let runs = record.runs();
        if let Some(seen) = runs.iter().find(|seen| seen.task == task && seen.run == 2) {
            break seen.clone();
        }
        if Instant::now() >= until {
            return Err("the second attempt did not start".to_owned());
        }
        sleep(ms(20));
    };
    sleep(ms(1_200));
    let worker = workers
        .iter()
        .find(|worker| worker.about.id == second.worker);
    let worker = worker.ok_or("the worker of the second attempt is not known")?;
    if trouble {
        record.note(&format!(
            "{} is cut off from all machines of the system",
            second.worker
        ));
        worker.set_cut_off(true);
    }
    sleep(ms(4_300));
    if trouble {
        record.note(&format!("{} reaches the machines again", second.worker));
        worker.set_cut_off(false);
    }
    sleep(ms(5_000));
    let answer = call(system.callers(0), "GET", id, "");
    record.note(&format!("client: GET {id}: {answer:?}"));
    let failures = record.acknowledged_failures();
    let runs = record.runs();
    for start in runs.iter().filter(|seen| seen.task == task) {
        let earlier = runs.iter().filter(|seen| {
            seen.task == task
                && failures.contains(&(task.clone(), seen.run))
                && seen
                    .ended_ms
                    .is_some_and(|ended_ms| ended_ms < start.started_ms)
        });
        let failed = earlier.count();
        if failed >= GANG_ATTEMPTS as usize {
            record.broken(&format!(
                "BUDGET: run {} of {task} starts after {failed} runs have ended failed, of {GANG_ATTEMPTS} that it may",
                start.run
            ));
        }
    }
    finish(workers);
    Ok(())
}
