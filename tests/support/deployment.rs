//! A small deployment of the programs as processes, which records requests and responses.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::time::Instant;

use http::{Method, StatusCode};
use marjoramknot::fleet::WorkerCapacity;
use marjoramknot::units::{Accelerators, Cores, MemoryMb, Millis};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinSet;

use super::fake_worker::{FakeWorker, Faults, WorkerSpec};
use super::http_client::HttpClient;
use super::http_endpoint::HttpEndpoint;
use super::http_worker::run_worker;
use super::ports::{ReplicaPorts, replica_ports};
use super::processes::{
    POLL_INTERVAL, Process, WAIT_TIMEOUT, control_settings, entry_settings, write,
};

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

/// Name, zone and rack of each worker.
const WORKERS: [(&str, &str, &str); 3] = [
    ("senec-a", "Senec", "senec-1"),
    ("senec-b", "Senec", "senec-1"),
    ("trnava-a", "Trnava", "trnava-1"),
];

/// JSON fields whose values differ between runs.
const VOLATILE: [&str; 5] = ["address", "age_ms", "digest", "revision", "term"];

/// An entry's process and the addresses of its listeners.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub fleet: SocketAddr,
    pub operators: SocketAddr,
}

/// Three control replicas and two entries.
pub struct Deployment {
    pub folder: TempDir,
    pub ports: Vec<ReplicaPorts>,
    pub control: Vec<Process>,
    pub entries: Vec<Entry>,
    pub http: HttpClient,
    /// Recorded requests and responses of operators and callers.
    pub session: Vec<String>,
}

impl Deployment {
    pub fn start() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let ports = replica_ports(3);
        let control = (1..=3).map(|index| start_control(folder.path(), index, &ports));
        let control = control.collect();
        let entries = (1..=2).map(|index| start_entry(folder.path(), index, &ports));
        Self {
            control,
            entries: entries.collect(),
            folder,
            ports,
            http: HttpClient::default(),
            session: Vec::new(),
        }
    }

    /// Runs `marjoramctl` against both entries and returns its exit code and output.
    pub fn ctl(&self, line: &str) -> (Option<i32>, String) {
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

    /// Runs `marjoramctl` and records command and output in the session.
    pub fn operator(&mut self, line: &str) -> String {
        let (code, text) = self.ctl(line);
        let shown = mask_text(&text);
        let code = code.map_or_else(|| "killed".to_owned(), |code| code.to_string());
        self.session.push(format!(
            "operator$ marjoramctl {line}\n{shown}exit {code}\n"
        ));
        text
    }

    /// Sends a caller's request to one entry and records it with its response in the session.
    pub async fn caller(
        &mut self,
        entry: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> (StatusCode, Value) {
        let address = self.entries[entry].callers;
        let shown_headers: Vec<_> = headers
            .iter()
            .filter(|(name, _value)| *name != "marjoramknot-made-ms")
            .map(|(name, value)| format!("{name}: {value}\n"))
            .collect();
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
        let shown = mask(&answer);
        let name = &self.entries[entry].process.name;
        let headers = shown_headers.concat();
        let request = format!("{method} {path}\n{headers}{sent}");
        let request = request.trim_end();
        self.session
            .push(format!("caller to {name}: {request}\n{status} {shown}\n"));
        (status, answer)
    }

    /// Returns the name of the control group's leader, as known to the entries.
    pub fn leader(&self) -> String {
        let status = self.status();
        let leader = status["group"]["leader"].as_str();
        leader.expect("the status names a leader").to_owned()
    }

    /// Returns the process of the leader.
    pub fn leader_process(&mut self) -> &mut Process {
        let leader = self.leader();
        let mut control = self.control.iter_mut();
        let process = control.find(|control| control.name == leader);
        process.expect("the leader is one of the replicas")
    }

    /// Kills and restarts a replica, with an empty data folder if its disk is lost.
    pub fn restart(&mut self, name: &str, disk_lost: bool) {
        let at = self.control.iter().position(|control| control.name == name);
        let at = at.expect("the name is one of the replicas");
        self.control[at].kill();
        if disk_lost {
            std::fs::remove_dir_all(self.folder.path().join(name)).expect("the data folder exists");
        }
        self.control[at] = start_control(self.folder.path(), at + 1, &self.ports);
    }

    /// Returns the status as the leader reports it, or null if no entry answers.
    pub fn status(&self) -> Value {
        let (_code, text) = self.ctl("--json status");
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// Waits until both entries are ready, that is, hold a grant.
    pub async fn wait_ready(&self) {
        for entry in &self.entries {
            let ready = async || self.health(entry).await == Some(StatusCode::OK);
            wait_until("an entry is ready", ready).await;
        }
    }

    pub async fn health(&self, entry: &Entry) -> Option<StatusCode> {
        let answer = self
            .http
            .send(Method::GET, entry.callers, "/health/ready", &[], "");
        answer.await.ok().map(|(status, _body)| status)
    }
}

fn start_control(folder: &Path, index: usize, ports: &[ReplicaPorts]) -> Process {
    let zone = ["Senec", "Trnava", "Senec"][index - 1];
    let settings = control_settings(folder, index, zone, ports);
    Process::start(CONTROL, &format!("control-{index}"), &settings)
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

pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !holds().await {
        assert!(
            since.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Masks revisions and durations, and collapses the padding of their columns.
fn mask_text(text: &str) -> String {
    text.lines().map(|line| mask_line(line) + "\n").collect()
}

fn mask_line(line: &str) -> String {
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

/// Masks the values of volatile JSON fields.
fn mask(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| {
                let volatile = VOLATILE.contains(&name.as_str());
                let value = if volatile { json!("#") } else { mask(value) };
                (name.clone(), value)
            });
            Value::Object(fields.collect())
        }
        Value::Array(items) => items.iter().map(mask).collect(),
        other => other.clone(),
    }
}

fn worker(name: &str, zone: &str, rack: &str) -> FakeWorker {
    FakeWorker::new(WorkerSpec {
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

pub fn gang(id: &str, tasks: u32, run_ms: u32) -> Value {
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

/// Applies a note, applies it again, and sends a note with the same version and an invalid note.
pub async fn apply_notes(deployment: &mut Deployment) {
    deployment.wait_ready().await;
    let folder = deployment.folder.path();
    write(folder, "note.toml", NOTE);
    write(folder, "other.toml", "version = 1\n");
    let faulty = "version = 2\ncolour = 1\n[[added.teams]]\nname = \"a b\"\n";
    write(folder, "faulty.toml", faulty);
    deployment.operator("release-note apply --wait note.toml");
    deployment.operator("release-note apply note.toml");
    deployment.operator("release-note apply other.toml");
    deployment.operator("release-note apply faulty.toml");
    deployment.operator("zones");
}

/// Starts workers and an endpoint, and waits until the deployment knows them.
pub async fn announce_fleet(
    deployment: &mut Deployment,
    fleet: &mut JoinSet<()>,
) -> Arc<HttpEndpoint> {
    let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.fleet).collect();
    for (name, zone, rack) in WORKERS {
        fleet.spawn(run_worker(worker(name, zone, rack), entries.clone()));
    }
    let endpoint = Arc::new(HttpEndpoint::start("booking-a").await);
    let announced = Arc::clone(&endpoint);
    fleet.spawn(async move { announced.announce("booking", "Senec", entries).await });
    wait_until("the fleet is known", async || {
        let (_code, workers) = deployment.ctl("workers");
        let (_code, endpoints) = deployment.ctl("endpoints");
        workers.matches(" up ").count() == WORKERS.len() && endpoints.contains("booking-a")
    })
    .await;
    deployment.operator("workers");
    endpoint
}
