//! Measures processor time and memory of a control replica and an entry in this process, with idle
//! workers that poll over HTTP.

use std::fs;
use std::time::Duration;

use http::Method;
use marjoramknot::fleet::WorkerCapacity;
use marjoramknot::telemetry::{Metrics, init_metrics};
use marjoramknot::units::{Accelerators, Cores, MemoryMb};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::messages::id;
use crate::support::fake_worker::{FakeWorker, Faults, WorkerSpec};
use crate::support::http_client::HttpClient;
use crate::support::http_worker::run_worker;
use crate::support::in_process::InProcessDeployment;

const SETTLE_TIME: Duration = Duration::from_secs(4);
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second in `/proc`, fixed by the kernel ABI.
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

/// Resources used by the process that runs the control replica, the entry and the workers' clients.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time, in percent of a core.
    pub core_pct: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

/// Measures one control replica, one entry and `workers` idle workers in this process.
pub fn measure(runtime: &Runtime, metrics: &Metrics, workers: u32) -> ProcessUsage {
    runtime.block_on(async {
        let deployment = InProcessDeployment::start(1, "zone-00000", metrics).await;
        apply_note(&deployment, workers).await;
        let mut fleet = JoinSet::new();
        for number in 0..workers {
            fleet.spawn(run_worker(worker(number), vec![deployment.fleet]));
        }
        sleep(SETTLE_TIME).await;
        let before = cpu_ticks();
        sleep(MEASURED_TIME).await;
        let core_pct = 100.0 * (cpu_ticks() - before) / TICKS_PER_S / MEASURED_TIME.as_secs_f64();
        let resident_mb = resident_mb();
        fleet.shutdown().await;
        deployment.stop().await;
        ProcessUsage {
            core_pct,
            resident_mb,
        }
    })
}

/// Returns the metrics that all measured deployments share, since a process can install only one
/// recorder.
pub fn metrics() -> Metrics {
    init_metrics().expect("a recorder is already installed")
}

async fn apply_note(deployment: &InProcessDeployment, workers: u32) {
    let note = format!(
        "version = 1\n[[added.zones]]\nname = \"zone-00000\"\n\
         racks = [{{ name = \"rack-00000\", workers = {}, accelerators = 8, cores = 32, memory_mb = 65536 }}]\n",
        workers.max(1)
    );
    let http = HttpClient::default();
    loop {
        let path = "/v1/release-notes";
        let answer = http
            .send(Method::POST, deployment.operators, path, &[], note.clone())
            .await;
        if answer.is_ok_and(|(status, _body)| status.is_success()) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn worker(number: u32) -> FakeWorker {
    FakeWorker::new(WorkerSpec {
        worker: id("worker", number),
        zone: id("zone", 0),
        rack: id("rack", 0),
        capacity: WorkerCapacity {
            accelerators: Accelerators(8),
            cores: Cores(32),
            memory_mb: MemoryMb(65_536),
        },
        faults: Faults::default(),
        run_ms: |_payload| None,
    })
}

/// Returns the processor time of this process since its start, in clock ticks.
fn cpu_ticks() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("cannot read /proc/self/stat");
    let fields = stat.rsplit(')').next().expect("/proc/self/stat is empty");
    let tick = |index: usize| {
        fields
            .split_whitespace()
            .nth(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    tick(11)
        .zip(tick(12))
        .map(|(user, system)| user + system)
        .expect("/proc/self/stat has no processor times")
}

fn resident_mb() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("cannot read /proc/self/statm");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.expect("/proc/self/statm has no resident size") * PAGE_BYTES / 1e6
}
