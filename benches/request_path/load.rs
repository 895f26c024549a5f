//! Closed-loop and open-loop load generators, and the results that callers observe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Target {
    /// To an entry.
    Entry(SocketAddr),
    /// To the endpoints, round-robin.
    Direct(Vec<SocketAddr>),
    /// To the endpoints, round-robin, from one unbounded queue; the semaphore limits the number of
    /// concurrent requests.
    SharedQueue(Vec<SocketAddr>, Arc<Semaphore>),
}

/// Target and properties of the requests that a loop sends.
#[derive(Clone, Debug)]
pub struct Load {
    target: Target,
    client: HttpClient,
    idempotent: bool,
    deadline: Duration,
}

/// Results that the callers observed.
#[derive(Debug)]
pub struct LoadResults {
    pub answered: u64,
    pub in_time: u64,
    pub refused: u64,
    /// Refused and failed requests by status and error code.
    pub causes: BTreeMap<String, u64>,
    /// Answers within the deadline for each of the two teams.
    pub teams: [u64; 2],
    latencies_us: Histogram<u64>,
    refusal_latencies_us: Histogram<u64>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);
static NEXT_ENDPOINT: AtomicUsize = AtomicUsize::new(0);

impl Load {
    pub fn new(target: Target) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            target,
            client: Client::builder(TokioExecutor::new()).build(connector),
            idempotent: true,
            deadline: Duration::from_secs(10),
        }
    }

    pub const fn non_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }

    pub const fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sends one request. The error is the status and error code of a refusal, or says that the
    /// response is missing or incomplete.
    async fn send(&self, id: u64) -> Result<(), String> {
        let uri = match &self.target {
            Target::Entry(address) => format!("http://{address}/v1/services/booking/ponds"),
            Target::Direct(endpoints) | Target::SharedQueue(endpoints, _) => {
                let turn = NEXT_ENDPOINT.fetch_add(1, Ordering::Relaxed);
                format!("http://{}/ponds", endpoints[turn % endpoints.len()])
            }
        };
        let request = Request::post(uri)
            .header("marjoramknot-team", team(id))
            .header("marjoramknot-request-id", format!("r{id}"))
            .header("marjoramknot-idempotent", self.idempotent.to_string())
            .header(
                "marjoramknot-made-ms",
                super::test_bed::wall_ms().to_string(),
            )
            .header(
                "marjoramknot-deadline-ms",
                self.deadline.as_millis().to_string(),
            )
            .body(Full::from("heat 2"))
            .expect("the request is invalid");
        let _permit = match &self.target {
            Target::SharedQueue(_, slots) => Some(
                slots
                    .acquire()
                    .await
                    .expect("the semaphore is never closed"),
            ),
            _ => None,
        };
        let response = self.client.request(request).await;
        let response = response.map_err(|_failed| "no answer".to_owned())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|_early| "broken answer".to_owned())?;
        if head.status == 200 {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        let code = body.split('"').nth(3).unwrap_or_default();
        Err(format!("{} {code}", head.status.as_u16()))
    }
}

const fn team(id: u64) -> &'static str {
    if id.is_multiple_of(2) {
        "regatta"
    } else {
        "judges"
    }
}

impl LoadResults {
    fn new() -> Self {
        let bounds = || Histogram::new_with_bounds(1, 60_000_000, 3);
        let histogram = || bounds().expect("the histogram bounds are invalid");
        Self {
            answered: 0,
            in_time: 0,
            refused: 0,
            causes: BTreeMap::new(),
            teams: [0; 2],
            latencies_us: histogram(),
            refusal_latencies_us: histogram(),
        }
    }

    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub fn refusal_latency_ms(&self, quantile: f64) -> f64 {
        self.refusal_latencies_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    fn record(&mut self, load: &Load, id: u64, answered: Result<(), String>, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if let Err(cause) = answered {
            self.refused += 1;
            *self.causes.entry(cause).or_default() += 1;
            self.refusal_latencies_us.saturating_record(latency_us);
            return;
        }
        self.answered += 1;
        self.latencies_us.saturating_record(latency_us);
        if latency <= load.deadline {
            self.in_time += 1;
            self.teams[usize::from(!id.is_multiple_of(2))] += 1;
        }
    }
}

/// Runs `callers` callers for `span`, each of which sends one request after the other.
pub async fn closed_loop(load: Load, callers: usize, duration: Duration) -> LoadResults {
    let results = Arc::new(Mutex::new(LoadResults::new()));
    let end = Instant::now() + duration;
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let (load, results) = (load.clone(), Arc::clone(&results));
        tasks.spawn(async move {
            while Instant::now() < end {
                let started = Instant::now();
                let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
                let answered = load.send(id).await;
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.record(&load, id, answered, started.elapsed());
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    take_results(&results)
}

/// Sends `per_s` requests per second for `span`, without waiting for earlier ones. Latency is
/// counted from the time at which a request is due.
pub async fn open_loop(load: Load, per_s: u64, duration: Duration) -> LoadResults {
    let results = Arc::new(Mutex::new(LoadResults::new()));
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    let (mut sent, mut ticks) = (0, tokio::time::interval(Duration::from_millis(1)));
    loop {
        ticks.tick().await;
        let elapsed = started.elapsed();
        if elapsed >= duration {
            break;
        }
        let due = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX) * per_s / 1_000_000;
        while sent < due {
            let due_at = started + Duration::from_micros(sent * 1_000_000 / per_s);
            let (load, results) = (load.clone(), Arc::clone(&results));
            let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
            tasks.spawn(async move {
                let answered = load.send(id).await;
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.record(&load, id, answered, due_at.elapsed());
            });
            sent += 1;
        }
    }
    // An unbounded queue would take long to drain, so requests still unanswered after 3 s are
    // dropped.
    let remaining = async { while tasks.join_next().await.is_some() {} };
    let _in_time = tokio::time::timeout(Duration::from_secs(3), remaining).await;
    tasks.shutdown().await;
    take_results(&results)
}

fn take_results(results: &Mutex<LoadResults>) -> LoadResults {
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut results, LoadResults::new())
}
