//! Workers' connections to a control replica, on which requests need not wait for earlier answers.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a test waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// A clock of a worker's next life after which no answer to the former one is valid any more.
pub const LATER_CLOCK_MS: u64 = 5_000;

/// A configuration with one queue and one tenant.
pub fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "r-1", "host": "ponds.example", "path_prefix": "/heats/", "kind": "unsafe",
            "timeout_ms": 3_000, "target_duration_ms": 800, "priority": 1, "service": "ponds",
            "max_attempts": 2, "stretch": 3.0, "public": false
        }],
        "services": [{"name": "ponds", "enforces_capacity": true}],
        "limits": {},
        "tenants": [{"name": "judges", "api_keys": ["key-1"], "guaranteed": {"gpu": 0}}]
    })
}

/// The report of an idle worker.
pub fn heartbeat(life: u64, sequence: u64, clock_ms: u64) -> Value {
    json!({
        "service": "ponds", "address": "10.0.0.9:1", "zone": "senec", "version": "v1",
        "batch_slots": 8, "phase": "ready", "cold_remaining_ms": 0, "born": life,
        "free_capacity": {"cpu": 8_000, "mem_mb": 8_000, "gpu": 8}, "labels": ["a", "r1"],
        "current_time_ms": clock_ms, "sequence": sequence, "running": [], "ended": []
    })
}

/// A connection whose requests are written without waiting for earlier answers.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await;
        Self {
            stream: BufReader::new(stream.expect("the replica listens")),
        }
    }

    pub async fn send(&mut self, path: &str, body: &Value) {
        let body = body.to_string();
        let length = body.len();
        let request = format!(
            "PUT {path} HTTP/1.1\r\nhost: control\r\ncontent-type: application/json\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        let sent = self.stream.write_all(request.as_bytes()).await;
        sent.expect("the replica reads");
    }

    /// Sends the report of an idle worker.
    pub async fn report(&mut self, worker: u32, (life, sequence): (u64, u64), clock_ms: u64) {
        let body = heartbeat(life, sequence, clock_ms);
        let path = format!("/api/instances/i-{worker}");
        self.send(&path, &body).await;
    }

    /// Reads the next answer.
    pub async fn answer(&mut self) -> (u16, Value) {
        let read = timeout(ANSWER_TIMEOUT, self.read_answer()).await;
        read.expect("an answer in time")
    }

    async fn read_answer(&mut self) -> (u16, Value) {
        let (mut status, mut length) = (0, 0);
        loop {
            let mut line = String::new();
            let read = self.stream.read_line(&mut line).await;
            assert!(read.expect("the answer is text") > 0, "an answer");
            let line = line.trim().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(rest) = line.strip_prefix("http/1.1 ") {
                status = rest[..3].parse().expect("a status");
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        let read = self.stream.read_exact(&mut body).await;
        read.expect("the whole body arrives");
        (status, serde_json::from_slice(&body).unwrap_or_default())
    }
}

/// Whether an answer holds anything that takes effect in a worker.
pub fn has_orders((status, answer): &(u16, Value)) -> bool {
    let is_empty = |name: &str| answer[name].is_null();
    let is_void = ["hold_ms", "start", "stop", "rate", "acked_seq"]
        .into_iter()
        .all(is_empty);
    (200..300).contains(status) && !is_void
}
