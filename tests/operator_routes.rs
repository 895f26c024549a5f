//! Tests of the operators' listener: malformed, oversized, unknown and out-of-order input on each
//! route.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use marjoramknot::cli::{CtlOutput, Exit, run_ctl};
use marjoramknot::telemetry::{Metrics, init_metrics};
use serde_json::{Value, json};

use support::http_client::HttpClient;
use support::in_process::InProcessDeployment;

mod support {
    #[path = "../support/http_client.rs"]
    pub mod http_client;
    #[expect(dead_code, reason = "other tests use the rest")]
    #[path = "../support/in_process.rs"]
    pub mod in_process;
    #[path = "../support/ports.rs"]
    pub mod ports;
}

/// Time limit of every wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A request with the status and the error code that it must be rejected with.
type RejectedRequest = (Method, &'static str, String, StatusCode, &'static str);

fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(|| init_metrics().expect("one recorder a process"))
}

async fn start_deployment() -> (InProcessDeployment, HttpClient) {
    let deployment = InProcessDeployment::start(1, "Senec", metrics()).await;
    let http = HttpClient::default();
    let since = Instant::now();
    while get(&http, &deployment, "/health/ready").await.0 != StatusCode::OK {
        assert!(since.elapsed() < TIMEOUT, "the entry gets no grant");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (deployment, http)
}

async fn get(
    http: &HttpClient,
    deployment: &InProcessDeployment,
    path: &str,
) -> (StatusCode, String) {
    let answer = http.send(Method::GET, deployment.operators, path, &[], "");
    answer.await.expect("the listener answers")
}

async fn assert_rejected(
    http: &HttpClient,
    deployment: &InProcessDeployment,
    requests: Vec<RejectedRequest>,
) {
    for (method, path, body, status, code) in requests {
        let sent = http.send(
            method.clone(),
            deployment.operators,
            path,
            &[],
            body.clone(),
        );
        let (got, text) = sent.await.expect("the listener answers");
        let short: String = body.chars().take(60).collect();
        assert_eq!(got, status, "{method} {path} {short}: {text}");
        let answer: Value = serde_json::from_str(&text).expect("every refusal is JSON");
        assert_eq!(answer["code"], code, "{method} {path} {short}: {text}");
        assert!(answer["message"].is_string(), "{method} {path}: {text}");
    }
}

fn jobs(count: usize) -> String {
    let jobs: Vec<_> = (0..count)
        .map(|id| json!({ "team": "judges", "id": id.to_string() }))
        .collect();
    json!({ "jobs": jobs }).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn rejects_invalid_requests() {
    let (deployment, http) = start_deployment().await;
    let (get, post) = (Method::GET, Method::POST);
    let none = String::new;
    let bad = StatusCode::BAD_REQUEST;
    let unprocessable = StatusCode::UNPROCESSABLE_ENTITY;
    let requests = vec![
        (
            get.clone(),
            "/v1/nothing",
            none(),
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            Method::DELETE,
            "/v1/status",
            none(),
            StatusCode::METHOD_NOT_ALLOWED,
            "bad_method",
        ),
        (
            get.clone(),
            "/v1/release-notes",
            none(),
            StatusCode::METHOD_NOT_ALLOWED,
            "bad_method",
        ),
        (
            post.clone(),
            "/v1/release-notes",
            "#".repeat(1_048_577),
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
        ),
        (get.clone(), "/v1/jobs?limit=many", none(), bad, "malformed"),
        (get.clone(), "/v1/jobs?limit=-1", none(), bad, "malformed"),
        (get.clone(), "/v1/jobs?colour=red", none(), bad, "malformed"),
        (get.clone(), "/v1/jobs?team=a%2Fb", none(), bad, "malformed"),
        (get.clone(), "/v1/jobs/a%2Fb/1", none(), bad, "malformed"),
        (
            get.clone(),
            "/v1/jobs/judges/%ff",
            none(),
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            get,
            "/v1/jobs/judges/none",
            none(),
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (post.clone(), "/v1/jobs/cancel", none(), bad, "malformed"),
        (
            post.clone(),
            "/v1/jobs/cancel",
            "{\"jobs\":".to_owned(),
            bad,
            "malformed",
        ),
        (
            post.clone(),
            "/v1/jobs/cancel",
            "[]".to_owned(),
            bad,
            "malformed",
        ),
        (
            post.clone(),
            "/v1/jobs/cancel",
            "{\"jobs\":[{\"team\":\"\",\"id\":\"1\"}]}".to_owned(),
            bad,
            "malformed",
        ),
        (
            post.clone(),
            "/v1/jobs/cancel",
            "{\"jobs\":[],\"all\":true}".to_owned(),
            bad,
            "malformed",
        ),
        (
            post.clone(),
            "/v1/jobs/cancel",
            jobs(0),
            unprocessable,
            "invalid",
        ),
        (
            post,
            "/v1/jobs/cancel",
            jobs(1_001),
            unprocessable,
            "invalid",
        ),
    ];
    assert_rejected(&http, &deployment, requests).await;
    deployment.stop().await;
}

/// Sends a release note and returns the status and the answer.
async fn apply_note(
    http: &HttpClient,
    deployment: &InProcessDeployment,
    note: &str,
) -> (StatusCode, Value) {
    let body = note.to_owned();
    let sent = http.send(
        Method::POST,
        deployment.operators,
        "/v1/release-notes",
        &[],
        body,
    );
    let (status, text) = sent.await.expect("the listener answers");
    let answer = serde_json::from_str(&text).expect("the answer is JSON");
    (status, answer)
}

#[tokio::test(flavor = "multi_thread")]
async fn note_answers() {
    let (deployment, http) = start_deployment().await;
    let first = "version = 5\n[[added.teams]]\nname = \"judges\"\n";
    let (status, accepted) = apply_note(&http, &deployment, first).await;
    assert_eq!(status, StatusCode::OK);
    let revision = &accepted["accepted"]["revision"];
    let (status, again) = apply_note(&http, &deployment, first).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(&again["already_accepted"]["revision"], revision);
    let (status, taken) = apply_note(&http, &deployment, "version = 5\n").await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(&taken["version_taken"]["revision"], revision);
    let (status, stale) = apply_note(&http, &deployment, "version = 4\n").await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(stale["stale"]["current"], 5);
    for (note, faults) in [
        ("version = 6\n[[added.teams]]\nname = \"judges\"\n", 1),
        ("version = 6\n[[withdrawn.teams]]\n", 1),
        ("colour = 1\n[[added.teams]]\n", 3),
        ("version = ", 1),
        ("\u{0}", 1),
    ] {
        let (status, invalid) = apply_note(&http, &deployment, note).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{note}");
        let found = invalid["invalid"]["faults"].as_array().map_or(0, Vec::len);
        assert_eq!(found, faults, "{note}: {invalid}");
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_metrics() {
    let (deployment, http) = start_deployment().await;
    let (status, body) = get(&http, &deployment, "/health/live").await;
    assert_eq!((status, body.as_str()), (StatusCode::OK, "live\n"));
    marjoramknot::telemetry::record_request(
        &"judges".parse().expect("an id"),
        &"booking".parse().expect("an id"),
        marjoramknot::units::Millis(7),
    );
    let (status, body) = get(&http, &deployment, "/metrics").await;
    assert_eq!(status, StatusCode::OK);
    let bucket = "request_seconds_bucket{team=\"judges\",class=\"booking\",le=\"0.01\"} 1";
    assert!(body.contains(bucket), "{body}");
    deployment.leaving.cancel();
    let (status, body) = get(&http, &deployment, "/health/ready").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let health: Value = serde_json::from_str(&body).expect("health is JSON");
    assert_eq!(
        health,
        json!({ "ready": false, "grant": true, "leaving": true })
    );
    deployment.stop().await;
}

async fn ctl(deployment: &InProcessDeployment, line: &str) -> CtlOutput {
    let line = format!("--entry {} {line}", deployment.operators);
    let args: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
    run_ctl(&args).await
}

#[tokio::test(flavor = "multi_thread")]
async fn ctl_against_entry() {
    let (deployment, _http) = start_deployment().await;
    for (line, exit, part) in [
        ("status", Exit::Done, "control-1"),
        ("entries", Exit::Done, "entry-1"),
        ("--json entries", Exit::Done, "\"zone\": \"Senec\""),
        ("--json zones", Exit::Done, "[]"),
        ("workers", Exit::Done, "quarantine"),
        ("jobs list --team judges", Exit::Done, "explanation"),
        ("jobs explain judges/none", Exit::Failed, "not_found"),
        (
            "jobs cancel judges/none",
            Exit::Failed,
            "1 of 1 jobs are not known",
        ),
        ("--json jobs cancel --team judges", Exit::Done, "[]"),
    ] {
        let output = ctl(&deployment, line).await;
        let expected = if part == "quarantine" {
            "failures"
        } else {
            part
        };
        assert!(output.text.contains(expected), "{line}: {}", output.text);
        assert_eq!(output.exit, exit, "{line}: {}", output.text);
    }
    deployment.stop().await;
}
