//! The real programs as separate processes: a note, a gang and a request from end to end.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use http::{Method, StatusCode};
use marjoramknot::fleet::WorkerCapacity;
use marjoramknot::kernel::Clock;
use marjoramknot::units::{Accelerators, Cores, MemoryMb, Millis};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinSet;

use support::fake_worker::{FakeWorker, Faults, Spec};
use support::http_client::Http;
use support::http_endpoint::HttpEndpoint;
use support::http_worker::run_worker;
use support::ports::{ReplicaPorts, replica_ports};
use support::processes::{BOUND, PAUSE, Process, control_settings, entry_settings, write};

mod support {
    #[expect(dead_code, reason = "other tests use the rest")]
    #[path = "../support/fake_worker.rs"]
    pub mod fake_worker;
    #[path = "../support/http_client.rs"]
    pub mod http_client;
    #[path = "../support/http_endpoint.rs"]
    pub mod http_endpoint;
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

/// Workers by name, zone and rack.
const WORKERS: [(&str, &str, &str); 3] = [
    ("senec-a", "Senec", "senec-1"),
    ("senec-b", "Senec", "senec-1"),
    ("trnava-a", "Trnava", "trnava-1"),
];

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
        let shown = masked(&answer);
        let name = &self.entries[entry].process.name;
        let headers = shown_headers.concat();
        let request = format!("{method} {path}\n{headers}{sent}");
        let request = request.trim_end();
        self.session
            .push(format!("caller to {name}: {request}\n{status} {shown}\n"));
        (status, answer)
    }

    /// Who leads the control group, as the entries know.
    fn leader(&self) -> String {
        let (_code, text) = self.ctl("--json status");
        let status: Value = serde_json::from_str(&text).expect("the status is JSON");
        let leader = status["group"]["leader"].as_str();
        leader.expect("a leader gave the status").to_owned()
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

/// An operator applies a note, sends it again, races with another one and makes mistakes.
async fn apply_notes(deployment: &mut Deployment) {
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

/// Workers and an endpoint announce themselves.
async fn announce_fleet(deployment: &mut Deployment, fleet: &mut JoinSet<()>) -> Arc<HttpEndpoint> {
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

/// A request that may run again, and one that may not, sent twice at different entries.
async fn book(deployment: &mut Deployment, endpoint: &HttpEndpoint) {
    let booking = json!({ "pond": "Piešťany", "hour": 9 });
    let path = "/v1/services/booking/bookings";
    let idempotent = [
        ("marjoramknot-team", "secretaries"),
        ("marjoramknot-request-id", "slot-1"),
        ("marjoramknot-idempotent", "true"),
    ];
    deployment
        .caller(0, Method::POST, path, &idempotent, &booking)
        .await;
    let now_ms = Clock::start().wall().to_string();
    let once = [
        ("marjoramknot-team", "secretaries"),
        ("marjoramknot-request-id", "slot-2"),
        ("marjoramknot-made-ms", now_ms.as_str()),
    ];
    for entry in 0..2 {
        deployment
            .caller(entry, Method::POST, path, &once, &booking)
            .await;
    }
    assert_eq!(endpoint.ran.load(Ordering::Relaxed), 2);
}

/// A gang that fits, the same id with other content, and a gang that no rack could hold.
async fn run_gang(deployment: &mut Deployment) {
    let path = "/v1/jobs";
    let heat = gang("heat-7", 2, 300);
    let (status, _answer) = deployment.caller(0, Method::POST, path, &[], &heat).await;
    assert_eq!(status, StatusCode::ACCEPTED);
    let look = "/v1/jobs/judges/heat-7?wait_ms=20000";
    let (status, view) = deployment
        .caller(1, Method::GET, look, &[], &Value::Null)
        .await;
    assert_eq!(status, StatusCode::OK);
    let results = view["outcome"]["succeeded"]["results"].as_array();
    assert_eq!(results.map(Vec::len), Some(2));
    let other = gang("heat-7", 2, 301);
    deployment.caller(1, Method::POST, path, &[], &other).await;
    let large = gang("heat-8", 400, 300);
    deployment.caller(0, Method::POST, path, &[], &large).await;
    wait_until("the accelerators are free again", async || {
        let (_code, text) = deployment.ctl("--json teams");
        let teams: Value = serde_json::from_str(&text).expect("teams are JSON");
        teams[0]["used"] == 0
    })
    .await;
    deployment.operator("jobs list --all");
    deployment.operator("teams");
}

/// A zone is taken out: a gang for it waits and says so; it runs once the zone is back.
async fn take_zone_out(deployment: &mut Deployment) {
    let racks = "racks = [{ name = \"senec-1\", workers = 2, accelerators = 8, cores = 32, memory_mb = 65536 }]";
    for (version, state) in [(2, "out"), (3, "in")] {
        let zone = format!("[[changed.zones]]\nname = \"Senec\"\nstate = \"{state}\"\n{racks}\n");
        let note = format!("version = {version}\n{zone}");
        write(
            deployment.folder.path(),
            &format!("senec-{state}.toml"),
            &note,
        );
    }
    deployment.operator("release-note apply --wait senec-out.toml");
    deployment.operator("zones");
    let heat = gang("heat-9", 2, 100);
    deployment
        .caller(0, Method::POST, "/v1/jobs", &[], &heat)
        .await;
    let heat = gang("heat-10", 2, 100);
    deployment
        .caller(1, Method::POST, "/v1/jobs", &[], &heat)
        .await;
    let explain = "jobs explain judges/heat-9 judges/heat-10";
    wait_until("both wait for the zone", async || {
        let (_code, text) = deployment.ctl(explain);
        text.matches("waits_for_zone").count() == 2
    })
    .await;
    deployment.operator(explain);
    // The answer may still show the job as waiting, so that only the end is put into the session.
    let cancelled = deployment.ctl("jobs cancel judges/heat-10");
    assert_eq!(cancelled.0, Some(0), "{}", cancelled.1);
    deployment.operator("release-note apply --wait senec-in.toml");
    let look = "/v1/jobs/judges/heat-9?wait_ms=20000";
    deployment
        .caller(0, Method::GET, look, &[], &Value::Null)
        .await;
    let look = "/v1/jobs/judges/heat-10?wait_ms=20000";
    deployment
        .caller(0, Method::GET, look, &[], &Value::Null)
        .await;
}

fn stop(deployment: &mut Deployment) {
    for entry in &mut deployment.entries {
        entry.process.terminate();
        assert_eq!(entry.process.wait(), Some(0), "{}", entry.process.name);
    }
    for control in &mut deployment.control {
        control.terminate();
        assert_eq!(control.wait(), Some(0), "{}", control.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_session() {
    let mut deployment = Deployment::start();
    let mut fleet = JoinSet::new();
    apply_notes(&mut deployment).await;
    let endpoint = announce_fleet(&mut deployment, &mut fleet).await;
    book(&mut deployment, &endpoint).await;
    run_gang(&mut deployment).await;
    take_zone_out(&mut deployment).await;
    stop(&mut deployment);
    insta::assert_snapshot!(deployment.session.join("\n"));
}

/// Sends requests that end when the endpoint's gate opens; every second one may run only once.
fn send_slow(deployment: &Deployment, ids: std::ops::Range<u32>) -> JoinSet<(u32, String)> {
    let now_ms = Clock::start().wall().to_string();
    let address = deployment.entries[0].callers;
    let mut requests = JoinSet::new();
    for id in ids {
        let (http, now_ms) = (deployment.http.clone(), now_ms.clone());
        requests.spawn(async move {
            let name = format!("slow-{id}");
            let once = ("marjoramknot-made-ms", now_ms.as_str());
            let again = ("marjoramknot-idempotent", "true");
            let headers = [
                ("marjoramknot-team", "secretaries"),
                ("marjoramknot-request-id", name.as_str()),
                if id % 2 == 0 { once } else { again },
            ];
            let path = "/v1/services/booking/slow";
            let answer = http.send(Method::POST, address, path, &headers, name.clone());
            let answer = answer
                .await
                .map(|(status, body)| format!("{status} {body}"));
            (id, answer.unwrap_or_else(|cause| cause))
        });
    }
    requests
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stops() {
    let mut deployment = Deployment::start();
    let mut fleet = JoinSet::new();
    apply_notes(&mut deployment).await;
    let endpoint = announce_fleet(&mut deployment, &mut fleet).await;
    let mut requests = send_slow(&deployment, 0..6);
    let ran = || endpoint.ran.load(Ordering::Relaxed);
    wait_until("six requests are in progress", async || ran() == 6).await;

    deployment.entries[0].process.terminate();
    let entry = &deployment.entries[0];
    let red = Some(StatusCode::SERVICE_UNAVAILABLE);
    wait_until("the health check is red", async || {
        deployment.health(entry).await == red
    })
    .await;
    let leader = deployment.leader();
    let control = deployment
        .control
        .iter_mut()
        .find(|control| control.name == leader);
    let control = control.expect("the leader is one of the replicas");
    control.terminate();
    assert_eq!(control.wait(), Some(0));
    wait_until("another replica leads", async || {
        let (code, _text) = deployment.ctl("status");
        code == Some(0) && deployment.leader() != leader
    })
    .await;

    endpoint.gate.add_permits(6);
    while let Some(answered) = requests.join_next().await {
        let (id, answer) = answered.expect("a request does not panic");
        let whole =
            answer.starts_with("200 OK booking ") && answer.ends_with(&format!("slow-{id}"));
        assert!(whole, "request {id}: {answer}");
    }
    assert_eq!(deployment.entries[0].process.wait(), Some(0));
    assert_eq!(ran(), 6);
}
