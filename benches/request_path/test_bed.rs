//! Test bed: fake endpoints, one entry in front of them, and a stand-in for the control group.

#![expect(clippy::cast_precision_loss, reason = "figures are printed rounded")]

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use gotham::router::builder::build_simple_router;
use marjoramknot::control::{EndpointCapacity, EndpointShare};
use marjoramknot::entry::{ForwardOptions, Forwarder, Listener, add_service_routes};
use marjoramknot::kernel::Clock;
use marjoramknot::request_ledger::Ledger;
use marjoramknot::router::RouterView;
use marjoramknot::settings::ListenerSettings;
use marjoramknot::units::{Incarnation, Millis, Revision, Slots, WallMs};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::load::Target;
use crate::fake_endpoint::FakeEndpoint;
use crate::shares;

/// How the stand-in control group syncs commits to disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Commits {
    EachSynced,
    Batched,
}

/// Number of records after which the stand-in starts with an empty ledger, so that no load reaches
/// the ledger's limit.
const LEDGER_RECORDS: u32 = 2_000;

/// A ledger change that is waiting for its sync.
type LedgerChange = Box<dyn FnOnce(&mut Ledger, WallMs) + Send>;

pub struct TestBed {
    callers: Runtime,
    _entry: Runtime,
    endpoints: Vec<FakeEndpoint>,
    address: SocketAddr,
}

impl TestBed {
    pub fn start(endpoints: usize, commits: Commits) -> Self {
        let callers = start_runtime("callers", 4);
        let entry = start_runtime("entry", 2);
        let endpoints = callers.block_on(async {
            let mut started = Vec::new();
            for _ in 0..endpoints {
                started.push(FakeEndpoint::start().await);
            }
            started
        });
        let address = entry.block_on(start_entry(&endpoints, commits));
        Self {
            callers,
            _entry: entry,
            endpoints,
            address,
        }
    }

    pub fn run<T>(&self, load: impl Future<Output = T>) -> T {
        self.callers.block_on(load)
    }

    pub fn set_work_time(&self, duration: Duration) {
        for endpoint in &self.endpoints {
            endpoint.set_work_time(duration);
        }
    }

    pub fn through_entry(&self) -> Target {
        Target::Entry(self.address)
    }

    pub fn direct(&self) -> Target {
        Target::Direct(self.addresses())
    }

    pub fn shared_queue(&self, slots: usize) -> Target {
        Target::SharedQueue(
            self.addresses(),
            Arc::new(tokio::sync::Semaphore::new(slots)),
        )
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.address)
            .collect()
    }
}

fn start_runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("cannot create a runtime")
}

async fn start_entry(endpoints: &[FakeEndpoint], commits: Commits) -> SocketAddr {
    let clock = Clock::start();
    let committer = start_committer(commits);
    let (begin_committer, finish_committer) = (committer.clone(), committer);
    let options = ForwardOptions::builder()
        .entry("entry-1".parse().expect("an id"))
        .incarnation(Incarnation(1))
        .clock(clock)
        .begin(Arc::new(move |request| {
            let committer = begin_committer.clone();
            commit(committer, move |ledger, now| ledger.begin(&request, now)).boxed()
        }))
        .finish(Arc::new(move |request| {
            let committer = finish_committer.clone();
            commit(committer, move |ledger, now| ledger.finish(&request, now)).boxed()
        }))
        .report_usage(Arc::new(|_uses| {}))
        .build();
    let forwarder = Forwarder::start(options);
    let mut in_force = shares::in_force();
    in_force.revision = Revision(1);
    let shares = endpoints.iter().enumerate().map(share).collect();
    forwarder.update_view(RouterView {
        in_force: Arc::new(in_force),
        shares: Arc::new(shares),
        shares_version: 1,
        granted_until_ms: Millis::MAX,
    });
    let routes = build_simple_router(|builder| add_service_routes(builder, &forwarder));
    let mut settings = ListenerSettings::with_defaults(SocketAddr::from(([127, 0, 0, 1], 0)));
    settings.connections_max = 20_000;
    let listener = Listener::bind("callers", settings).await;
    let listener = listener.expect("cannot bind a free port");
    let handle = listener.serve(routes, &CancellationToken::new());
    let address = handle.address;
    // Keeps the handle alive, so that the listener serves until the process exits.
    std::mem::forget(handle);
    address
}

fn share((number, endpoint): (usize, &FakeEndpoint)) -> EndpointShare {
    let announced = shares::announcement(u16::try_from(number).expect("few endpoints"));
    EndpointShare {
        endpoint: announced.endpoint,
        incarnation: announced.incarnation,
        address: endpoint.address,
        service: announced.service,
        zone: announced.zone,
        slots: Slots(8),
        connections: Slots(64),
        leaving: false,
        abandoned_acked: EndpointCapacity::default(),
    }
}

/// Starts a thread that applies changes in order, each after a sync of the file it was written to.
fn start_committer(commits: Commits) -> mpsc::UnboundedSender<LedgerChange> {
    let (sender, mut receiver) = mpsc::unbounded_channel::<LedgerChange>();
    std::thread::spawn(move || {
        let mut file = tempfile::tempfile().expect("cannot create a temporary file");
        let mut ledger = Ledger::default();
        while let Some(first) = receiver.blocking_recv() {
            let mut batch = vec![first];
            while commits == Commits::Batched
                && let Ok(next) = receiver.try_recv()
            {
                batch.push(next);
            }
            if ledger.record_count() > LEDGER_RECORDS {
                ledger = Ledger::default();
            }
            write_and_sync(&mut file, batch.len());
            for apply in batch {
                apply(&mut ledger, WallMs(wall_ms()));
            }
        }
    });
    sender
}

fn write_and_sync(file: &mut File, records: usize) {
    let record = vec![0; 256 * records];
    file.write_all(&record)
        .expect("cannot write to the temporary file");
    file.sync_data().expect("cannot sync the temporary file");
}

async fn commit<T: Send + 'static>(
    committer: mpsc::UnboundedSender<LedgerChange>,
    change: impl FnOnce(&mut Ledger, WallMs) -> T + Send + 'static,
) -> marjoramknot::control::Result<T> {
    let (answer, answered) = oneshot::channel();
    let apply: LedgerChange = Box::new(move |ledger, now| {
        // The change is kept even if the caller has stopped waiting.
        let _told = answer.send(change(ledger, now));
    });
    committer
        .send(apply)
        .expect("the commit thread has stopped");
    Ok(answered.await.expect("the commit thread dropped a change"))
}

pub fn wall_ms() -> u64 {
    static CLOCK: std::sync::OnceLock<Clock> = std::sync::OnceLock::new();
    CLOCK.get_or_init(Clock::start).wall().0
}

/// Returns the processor time of all threads with this name so far, in milliseconds.
pub fn thread_cpu_ms(name: &str) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("cannot list /proc/self/task");
    let cpu_ns: u64 = tasks
        .flatten()
        .filter_map(|task| {
            std::fs::read_to_string(task.path().join("schedstat"))
                .ok()
                .zip(std::fs::read_to_string(task.path().join("comm")).ok())
        })
        .filter(|(_, comm)| comm.trim() == name)
        .filter_map(|(stat, _)| stat.split(' ').next()?.parse::<u64>().ok())
        .sum();
    cpu_ns as f64 / 1_000_000.0
}

/// Returns the resident memory of this process in MiB.
pub fn rss_mb() -> f64 {
    let status =
        std::fs::read_to_string("/proc/self/status").expect("cannot read /proc/self/status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
    kb.expect("/proc/self/status has no VmRSS") / 1_024.0
}
