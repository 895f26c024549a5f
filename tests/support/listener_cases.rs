//! A deployment with a release note in force, and checks of requests that its listeners must
//! reject.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use marjoramknot::telemetry::{Metrics, init_metrics};
use serde_json::Value;

use super::http_client::HttpClient;
use super::in_process::InProcessDeployment;

/// Time limit of every wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

const NOTE: &str = r#"
version = 1

[[added.teams]]
name = "judges"
queued_jobs_max = 1

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

fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(|| init_metrics().expect("one recorder a process"))
}

/// Starts a deployment and waits until the release note is in force.
pub async fn start_deployment() -> (InProcessDeployment, HttpClient) {
    let deployment = InProcessDeployment::start(1, "Senec", metrics()).await;
    let http = HttpClient::default();
    let since = Instant::now();
    loop {
        let address = deployment.operators;
        let applied = http.send(Method::POST, address, "/v1/release-notes", &[], NOTE);
        let status = http.send(Method::GET, address, "/v1/status", &[], "");
        let applied = applied
            .await
            .is_ok_and(|(status, _)| status == StatusCode::OK);
        let (_code, status) = status.await.expect("the listener answers");
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        if applied && status["in_force_everywhere"] == status["revision"] {
            return (deployment, http);
        }
        assert!(since.elapsed() < TIMEOUT, "the note is not in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn merge(value: &mut Value, changes: Value) {
    let (Value::Object(fields), Value::Object(changes)) = (value, changes) else {
        panic!("both are objects");
    };
    fields.extend(changes);
}

/// Sends a body that must be rejected and checks the error response.
pub async fn assert_refused(
    http: &HttpClient,
    to: (SocketAddr, Method, &str),
    body: String,
    status: StatusCode,
    code: &str,
    outcome: Option<&str>,
) {
    let (address, method, path) = to;
    let short: String = body.chars().take(300).collect();
    let sent = http.send(method, address, path, &[], body).await;
    let (got, text) = sent.expect("the listener answers");
    assert_eq!(got, status, "{path} {short}: {text}");
    let answer: Value = serde_json::from_str(&text).expect("every refusal is JSON");
    assert_eq!(answer["code"], code, "{path} {short}: {text}");
    assert_eq!(
        answer["outcome"].as_str(),
        outcome,
        "{path} {short}: {text}"
    );
}
