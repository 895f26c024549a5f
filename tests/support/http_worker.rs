//! An in-memory worker that polls entries over HTTP in real time.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use marjoramknot::fleet::WorkerOrders;
use marjoramknot::kernel::Clock;
use tokio::time::sleep;

use super::fake_worker::FakeWorker;
use super::http_client::HttpClient;

/// Delay after a poll that returned no orders.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum time that a poll stays open while a task is running, so that the end of the task is
/// reported soon.
const BUSY_POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Polls the entries in turn until the future is dropped.
pub async fn run_worker(mut worker: FakeWorker, entries: Vec<SocketAddr>) {
    let http = HttpClient::default();
    let clock = Clock::start();
    for entry in entries.iter().cycle() {
        let sent_ms = clock.now();
        let poll = worker.poll(sent_ms);
        let body = serde_json::to_vec(&poll).expect("a poll is JSON");
        let answer = http.send(Method::POST, *entry, "/v1/workers/poll", &[], body);
        let busy = worker.running().next().is_some();
        let held = async {
            if busy {
                sleep(BUSY_POLL_TIMEOUT).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let answer = tokio::select! {
            answer = answer => answer,
            () = held => continue,
        };
        match answer {
            Ok((StatusCode::OK, orders)) => {
                let orders: WorkerOrders = serde_json::from_str(&orders).expect("orders are JSON");
                worker.receive(&orders, sent_ms, clock.now());
            }
            Ok(_) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}
