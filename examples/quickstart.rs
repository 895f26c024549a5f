//! Runs a small deployment in one process: three control replicas and an entry, started with the
//! same code as the real programs, and a fake endpoint and two fake workers. It applies a release
//! note, sends a request and runs a gang of 2 tasks with 8 accelerators each.
//!
//! Run it with `cargo run --release --example quickstart`.

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use marjoramknot::cli::run_ctl;
use marjoramknot::fleet::WorkerCapacity;
use marjoramknot::telemetry::init_metrics;
use marjoramknot::units::{Accelerators, Cores, MemoryMb, Millis};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::sleep;

use fake_worker::{FakeWorker, Faults, WorkerSpec};
use http_client::HttpClient;
use http_endpoint::HttpEndpoint;
use http_worker::run_worker;
use in_process::InProcessDeployment;

#[expect(dead_code, reason = "tests use the rest")]
#[path = "../tests/support/fake_worker.rs"]
mod fake_worker;
#[path = "../tests/support/http_client.rs"]
mod http_client;
#[expect(dead_code, reason = "tests use the rest")]
#[path = "../tests/support/http_endpoint.rs"]
mod http_endpoint;
#[path = "../tests/support/http_worker.rs"]
mod http_worker;
#[path = "../tests/support/in_process.rs"]
mod in_process;
#[path = "../tests/support/ports.rs"]
mod ports;

type ExampleResult = Result<(), Box<dyn Error>>;

const RELEASE_NOTE: &str = r#"
version = 1

[[added.teams]]
name = "judges"

[[added.guarantees]]
team = "judges"
cells = [{ count = 2, accelerators = 8, adjacency = "rack" }]

[[added.zones]]
name = "Senec"
racks = [{ name = "senec-1", workers = 2, accelerators = 8, cores = 32, memory_mb = 65536 }]

[[added.services]]
name = "booking"

[[added.endpoints]]
name = "booking-runners"
prefix = "booking-"
service = "booking"
slots_max = 8
connections_max = 64
"#;

/// Maximum wait for a component to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() -> ExampleResult {
    println!(
        "1. Three control replicas and an entry start; each finds the others by its settings."
    );
    let deployment = InProcessDeployment::start(3, "Senec", &init_metrics()?).await;
    let http = HttpClient::default();
    wait_for(&http, deployment.callers, "/health/ready", "ready\":true").await?;
    println!("   The entry holds a grant: its health check is green.\n");

    apply_note(deployment.operators).await?;

    println!("3. Two workers and an endpoint announce themselves over HTTP.");
    let mut fleet = JoinSet::new();
    for name in ["senec-a", "senec-b"] {
        fleet.spawn(run_worker(fake_worker_named(name)?, vec![deployment.fleet]));
    }
    let endpoint = HttpEndpoint::start("booking-a").await;
    let entries = vec![deployment.fleet];
    fleet.spawn(async move { endpoint.announce("booking", "Senec", entries).await });
    wait_for(&http, deployment.operators, "/v1/status", "senec-b").await?;
    wait_for(&http, deployment.operators, "/v1/status", "booking-a").await?;
    run_operator_command(deployment.operators, "workers").await;
    run_operator_command(deployment.operators, "endpoints").await;

    send_request(&http, deployment.callers).await?;
    run_gang(&http, deployment.callers).await?;
    run_operator_command(deployment.operators, "jobs list --all").await;

    println!(
        "6. Planned stop: the health check turns red, what is in progress ends, leadership is"
    );
    println!("   handed over.");
    fleet.shutdown().await;
    deployment.stop().await;
    println!("   Stopped.");
    Ok(())
}

async fn apply_note(operators: SocketAddr) -> ExampleResult {
    println!("2. An operator applies a release note and waits until it is in force.");
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("note.toml");
    std::fs::write(&path, RELEASE_NOTE)?;
    let command_line = format!("release-note apply --wait {}", path.display());
    println!("   $ marjoramctl release-note apply --wait note.toml");
    print_indented(&run_ctl_command(operators, &command_line).await);
    run_operator_command(operators, "teams").await;
    Ok(())
}

async fn send_request(http: &HttpClient, callers: SocketAddr) -> ExampleResult {
    println!("4. A caller's request goes to the endpoint and back.");
    let headers = [
        ("marjoramknot-team", "judges"),
        ("marjoramknot-request-id", "slot-1"),
        ("marjoramknot-idempotent", "true"),
    ];
    let path = "/v1/services/booking/bookings";
    let (status, body) = http
        .send(Method::POST, callers, path, &headers, "Piešťany at nine")
        .await?;
    println!("   POST {path}\n   {status}: {body}\n");
    Ok(())
}

async fn run_gang(http: &HttpClient, callers: SocketAddr) -> ExampleResult {
    println!(
        "5. A gang of 2 tasks x 8 accelerators: submitted, prepared on both workers, started."
    );
    let job = json!({
        "key": { "team": "judges", "id": "heat-7" },
        "class": "re-score",
        "tasks": 2,
        "accelerators": 8,
        "cores": 16,
        "memory_mb": 32_768,
        "adjacency": "rack",
        "idempotent": true,
        "declared_run_ms": 500,
        "payload": "500",
    });
    let (status, body) = http
        .send(Method::POST, callers, "/v1/jobs", &[], job.to_string())
        .await?;
    println!("   POST /v1/jobs\n   {status}: {body}");
    let path = "/v1/jobs/judges/heat-7?wait_ms=20000";
    let (status, body) = http.send(Method::GET, callers, path, &[], "").await?;
    let view: Value = serde_json::from_str(&body)?;
    println!("   GET {path}\n   {status}: {}\n", view["outcome"]);
    Ok(())
}

fn fake_worker_named(name: &str) -> Result<FakeWorker, Box<dyn Error>> {
    Ok(FakeWorker::new(WorkerSpec {
        worker: name.parse()?,
        zone: "Senec".parse()?,
        rack: "senec-1".parse()?,
        capacity: WorkerCapacity {
            accelerators: Accelerators(8),
            cores: Cores(32),
            memory_mb: MemoryMb(65_536),
        },
        faults: Faults::default(),
        run_ms: |payload| payload.parse().ok().map(Millis),
    }))
}

async fn wait_for(http: &HttpClient, address: SocketAddr, path: &str, text: &str) -> ExampleResult {
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        let answer = http.send(Method::GET, address, path, &[], "").await;
        if answer.is_ok_and(|(_status, body)| body.contains(text)) {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    let limit_s = READY_TIMEOUT.as_secs();
    Err(format!("{path} did not contain {text:?} within {limit_s} s").into())
}

async fn run_operator_command(operators: SocketAddr, command: &str) {
    println!("   $ marjoramctl {command}");
    print_indented(&run_ctl_command(operators, command).await);
}

async fn run_ctl_command(operators: SocketAddr, command: &str) -> String {
    let command_line = format!("--entry {operators} {command}");
    let args: Vec<_> = command_line.split_whitespace().map(str::to_owned).collect();
    run_ctl(&args).await.text
}

fn print_indented(text: &str) {
    for line in text.lines() {
        println!("   {line}");
    }
    println!();
}
