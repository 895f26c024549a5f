//! The real programs as separate processes: a note, a gang and a request from end to end.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Instant;

use http::{Method, StatusCode};
use marjoramknot::fleet::WorkerCapacity;
use marjoramknot::units::{Accelerators, Cores, MemoryMb, Millis};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinSet;

use support::fake_worker::{FakeWorker, Faults, Spec};
use support::http::Http;
use support::http_worker::run_worker;
use support::ports::{ReplicaPorts, replica_ports};
use support::processes::{BOUND, PAUSE, Process, control_settings, entry_settings, write};

mod support {
    #[expect(dead_code, reason = "other tests use the rest")]
    #[path = "../support/fake_worker.rs"]
    pub mod fake_worker;
    #[path = "../support/http.rs"]
    pub mod http;
    #[path = "../support/http_worker.rs"]
    pub mod http_worker;
    #[path = "../support/ports.rs"]
    pub mod ports;
    #[path = "../support/processes.rs"]
    pub mod processes;
}

const CONTROL: &str = env!("CARGO_BIN_EXE_marjoramknot-control");
const ENTRY: &str = env!("CARGO_BIN_EXE_marjoramknot-entry");
const CTL: &str = env!("CARGO_BIN_EXE_marjoramctl");

const NOTE: &str = r#"
version = 1

[[added.teams]]
name = "judges"

[[added.teams]]
name = "secretaries"

[[added.guarantees]]
team = "judges"
cells = [{ count = 2, accelerators = 8, adjacency = "rack" }]

[[added.zones]]
name = "Senec"
racks = [{ name = "senec-1", workers = 2, accelerators = 8, cores = 32, memory_mb = 65536 }]

[[added.zones]]
name = "Trnava"
racks = [{ name = "trnava-1", workers = 1, accelerators = 8, cores = 32, memory_mb = 65536 }]

[[added.services]]
name = "booking"

[[added.endpoints]]
name = "booking-runners"
prefix = "booking-"
service = "booking"
slots_max = 8
connections_max = 64
"#;

/// Fields of JSON that differ from run to run.
const VOLATILE: [&str; 6] = [
    "address",
    "age_ms",
    "digest",
    "explanation",
    "revision",
    "term",
];

/// One entry's process and where it listens.
struct Entry {
    process: Process,
    callers: SocketAddr,
    fleet: SocketAddr,
    operators: SocketAddr,
}

/// All processes of a small deployment.
struct Deployment {
    folder: TempDir,
    control: Vec<Process>,
    entries: Vec<Entry>,
    http: Http,
    /// What everybody said and heard.
    session: Vec<String>,
}

impl Deployment {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let ports = replica_ports(3);
        let zones = ["Senec", "Trnava", "Senec"];
        let control = (1..=3).map(|index| {
            let settings = control_settings(folder.path(), index, zones[index - 1], &ports);
            Process::start(CONTROL, &format!("control-{index}"), &settings)
        });
        let control = control.collect();
        let entries = (1..=2).map(|index| start_entry(folder.path(), index, &ports));
        Self {
            control,
            entries: entries.collect(),
            folder,
            http: Http::default(),
            session: Vec::new(),
        }
    }

    /// Runs `marjoramctl` against both entries.
    fn ctl(&self, line: &str) -> (Option<i32>, String) {
        let mut command = Command::new(CTL);
        for entry in &self.entries {
            command.arg("--entry").arg(entry.operators.to_string());
        }
        let output = command
            .args(["--timeout-ms", "30000"])
            .args(line.split_whitespace())
            .current_dir(self.folder.path())
            .output()
            .expect("marjoramctl runs");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).expect("marjoramctl prints text");
        (output.status.code(), text)
    }

    /// Runs `marjoramctl` and puts it into the session.
    fn operator(&mut self, line: &str) -> String {
        let (code, text) = self.ctl(line);
        let shown = masked_text(&text);
        let code = code.map_or_else(|| "killed".to_owned(), |code| code.to_string());
        self.session.push(format!(
            "operator$ marjoramctl {line}\n{shown}exit {code}\n"
        ));
        text
    }

    /// Sends a caller's request to one entry and puts it into the session.
    async fn caller(
        &mut self,
        entry: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> (StatusCode, Value) {
        let address = self.entries[entry].callers;
        let sent = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let answer = self
            .http
            .send(method.clone(), address, path, headers, sent.clone());
        let (status, text) = answer.await.expect("the entry answers");
        let answer = serde_json::from_str(&text).unwrap_or(Value::String(text));
        let shown = masked(&answer);
        let name = &self.entries[entry].process.name;
        self.session.push(format!(
            "caller to {name}: {method} {path} {sent}\n{status} {shown}\n"
        ));
        (status, answer)
    }

    /// Waits until both entries hold a grant.
    async fn wait_ready(&self) {
        for entry in &self.entries {
            let ready = async || self.health(entry).await == Some(StatusCode::OK);
            wait_until("an entry is ready", ready).await;
        }
    }

    async fn health(&self, entry: &Entry) -> Option<StatusCode> {
        let answer = self
            .http
            .send(Method::GET, entry.callers, "/health/ready", &[], "");
        answer.await.ok().map(|(status, _body)| status)
    }
}

fn start_entry(folder: &Path, index: usize, ports: &[ReplicaPorts]) -> Entry {
    let zone = ["Senec", "Trnava"][index - 1];
    let settings = entry_settings(folder, index, zone, ports);
    let mut process = Process::start(ENTRY, &format!("entry-{index}"), &settings);
    Entry {
        callers: process.address("callers"),
        fleet: process.address("fleet"),
        operators: process.address("operators"),
        process,
    }
}

async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !holds().await {
        assert!(since.elapsed() < BOUND, "not in time: {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Replaces revisions and spans of time, and evens out the columns that they stand in.
fn masked_text(text: &str) -> String {
    text.lines().map(|line| masked_line(line) + "\n").collect()
}

fn masked_line(line: &str) -> String {
    let mut masked = String::new();
    let mut last = "";
    for word in line.split_inclusive(' ') {
        let bare = word.trim_end_matches([' ', ',']);
        let number = bare.strip_suffix("ms").unwrap_or(bare);
        let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
        let volatile = is_number && (bare.ends_with("ms") || last == "revision");
        if volatile {
            masked.push_str(&word.replacen(bare, "#", 1));
        } else if !(bare.is_empty() && masked.ends_with("  ")) {
            masked.push_str(word);
        }
        last = bare;
    }
    masked.trim_end().to_owned()
}

/// Replaces the values of volatile fields.
fn masked(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| {
                let volatile = VOLATILE.contains(&name.as_str());
                let value = if volatile { json!("#") } else { masked(value) };
                (name.clone(), value)
            });
            Value::Object(fields.collect())
        }
        Value::Array(items) => items.iter().map(masked).collect(),
        other => other.clone(),
    }
}

fn worker(name: &str, zone: &str, rack: &str) -> FakeWorker {
    FakeWorker::new(Spec {
        worker: name.parse().expect("the name is an id"),
        zone: zone.parse().expect("the name is an id"),
        rack: rack.parse().expect("the name is an id"),
        capacity: WorkerCapacity {
            accelerators: Accelerators(8),
            cores: Cores(32),
            memory_mb: MemoryMb(65_536),
        },
        faults: Faults::default(),
        run_ms: |payload| payload.parse().ok().map(Millis),
    })
}

fn gang(id: &str, tasks: u32, run_ms: u32) -> Value {
    json!({
        "key": { "team": "judges", "id": id },
        "class": "re-score",
        "tasks": tasks,
        "accelerators": 8,
        "cores": 16,
        "memory_mb": 32_768,
        "adjacency": "rack",
        "idempotent": true,
        "declared_run_ms": run_ms,
        "payload": run_ms.to_string(),
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_session() {
    let mut deployment = Deployment::start();
    deployment.wait_ready().await;

    write(deployment.folder.path(), "note.toml", NOTE);
    write(deployment.folder.path(), "other.toml", "version = 1\n");
    write(
        deployment.folder.path(),
        "faulty.toml",
        "version = 2\ncolour = 1\n[[added.teams]]\nname = \"a b\"\n",
    );
    deployment.operator("release-note apply --wait note.toml");
    deployment.operator("release-note apply note.toml");
    deployment.operator("release-note apply other.toml");
    deployment.operator("release-note apply faulty.toml");
    deployment.operator("zones");

    let fleet: Vec<_> = deployment.entries.iter().map(|entry| entry.fleet).collect();
    let mut workers = JoinSet::new();
    for (name, zone, rack) in [
        ("senec-a", "Senec", "senec-1"),
        ("senec-b", "Senec", "senec-1"),
        ("trnava-a", "Trnava", "trnava-1"),
    ] {
        workers.spawn(run_worker(worker(name, zone, rack), fleet.clone()));
    }
    wait_until("three workers are up", async || {
        let (_code, text) = deployment.ctl("workers");
        text.matches(" up ").count() == 3
    })
    .await;
    deployment.operator("workers");

    let no_body = Value::Null;
    let submitted = deployment
        .caller(0, Method::POST, "/v1/jobs", &[], &gang("heat-7", 2, 300))
        .await;
    assert_eq!(submitted.0, StatusCode::ACCEPTED);
    let path = "/v1/jobs/judges/heat-7?wait_ms=20000";
    let (status, view) = deployment.caller(1, Method::GET, path, &[], &no_body).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(
        view["outcome"]["succeeded"]["results"]
            .as_array()
            .map(Vec::len),
        Some(2)
    );

    deployment
        .caller(1, Method::POST, "/v1/jobs", &[], &gang("heat-7", 2, 301))
        .await;
    deployment
        .caller(0, Method::POST, "/v1/jobs", &[], &gang("heat-8", 400, 300))
        .await;
    wait_until("the accelerators are free again", async || {
        let (_code, text) = deployment.ctl("--json teams");
        let teams: Value = serde_json::from_str(&text).expect("teams are JSON");
        teams[0]["used"] == 0
    })
    .await;
    deployment.operator("jobs list --all");
    deployment.operator("teams");

    for entry in &deployment.entries {
        entry.process.terminate();
    }
    for index in 0..2 {
        assert_eq!(deployment.entries[index].process.wait(), Some(0));
    }
    for control in &deployment.control {
        control.terminate();
    }
    for control in &mut deployment.control {
        assert_eq!(control.wait(), Some(0), "{}", control.name);
    }
    insta::assert_snapshot!(deployment.session.join("\n"));
}
