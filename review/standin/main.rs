//! Stand-ins and scenarios of the scripted cases. `standin CASE RECORD [--calm]` exits with 0 if
//! the rule held, 1 if it was broken and 2 if the case could not run.

mod handover;
mod http;
mod json;
mod leak;
mod pending;
mod platform;
mod proxy;
mod record;
mod refused;
mod seeds;
mod slow;
mod worker;

use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::time::Duration;

use http::Client;
use record::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);
/// Host of all queues.
pub const HOST: &str = "jobs.ponds.example";
/// Key of the only team.
pub const KEY: &str = "senec-key-1";

/// A configuration with an urgent queue `/urgent/` and a queue of low priority `/low/`.
pub fn configuration(version: u32, keys: &str) -> String {
    let route = |name: &str, priority: u32, stretch: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"unsafe\",\
             \"timeout_ms\":3000,\"target_duration_ms\":1500,\"priority\":{priority},\
             \"service\":\"ponds\",\"max_attempts\":4,\"stretch\":{stretch},\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"ponds\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"enforces_capacity\":true,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"club-senec\",\
         \"api_keys\":[{keys}],\"priority\":1,\"guaranteed\":{{\"gpu\":8}}}}]}}",
        route("urgent", 0, "1.5"),
        route("low", 2, "3.0"),
    )
}

pub fn quoted(key: &str) -> String {
    format!("\"{key}\"")
}

/// Makes a client's call and records it. Returns the status, or 0 if there was no answer.
pub fn call(
    record: &Record,
    entry: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, String) {
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Authorization", authorization.as_str()),
        ("X-Deadline-Ms", "3000"),
    ];
    record.note(format!("client sends {method} {path}"));
    let answer = Client::new(entry).send(method, path, &headers, body, Duration::from_secs(3));
    let (status, body) = answer.map_or((0, String::new()), |a| (a.status, a.body));
    let shown = body.split(",\"message\"").next().unwrap_or_default();
    record.note(format!("client gets {status} {shown} for {method} {path}"));
    (status, body)
}

/// A job of one step of `count` tasks that each take all accelerators of a worker.
pub fn job(count: u32) -> String {
    job_with(count, "")
}

/// The same, with further fields of the step.
pub fn job_with(count: u32, fields: &str) -> String {
    format!(
        "{{\"spec\":\"x\",\"steps\":[{{\"count\":{count},\"cpu\":4000,\"mem_mb\":8000,\"gpu\":8,\
         \"estimate_ms\":8000{fields}}}]}}"
    )
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (Some(case), Some(path)) = (args.first(), args.get(1)) else {
        eprintln!("usage: standin CASE RECORD [--calm]");
        exit(2);
    };
    let trouble = !args.iter().any(|arg| arg == "--calm");
    let record = Record::new();
    let (watched, record_path) = (record.clone(), path.clone());
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        platform::kill_all();
        watched.note("the case took too long");
        watched.write(Path::new(&record_path));
        exit(2);
    });
    let outcome = match case.as_str() {
        "leak" => leak::run(&record, trouble),
        "handover" => handover::run(&record, trouble),
        "pending" => pending::run(&record, trouble),
        "refused" => refused::run(&record, trouble),
        "seeds" => seeds::run(&record, trouble),
        "slow" => slow::run(&record, trouble),
        _ => Outcome::CouldNotRun(format!("there is no case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken(text) => (1, format!("the rule was broken: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.note(text.clone());
    record.write(Path::new(path));
    println!("{text}");
    exit(code);
}
