//! The callers' and the fleet's listeners: malformed, oversized, unknown and out-of-order input.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use marjoramknot::telemetry::{Metrics, start_metrics};
use serde_json::{Value, json};

use support::http_client::Http;
use support::in_process::InProcess;

mod support {
    #[path = "../support/http_client.rs"]
    pub mod http_client;
    #[path = "../support/in_process.rs"]
    pub mod in_process;
    #[path = "../support/ports.rs"]
    pub mod ports;
}

/// Bound on every wait for a condition.
const BOUND: Duration = Duration::from_secs(30);

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
    METRICS.get_or_init(|| start_metrics().expect("one recorder a process"))
}

/// A deployment with the note in force.
async fn ready() -> (InProcess, Http) {
    let deployment = InProcess::start(1, "Senec", metrics()).await;
    let http = Http::default();
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
        assert!(since.elapsed() < BOUND, "the note is not in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn job(changes: Value) -> String {
    let mut job = json!({
        "key": { "team": "judges", "id": "heat-1" },
        "class": "re-score",
        "tasks": 2,
        "accelerators": 8,
        "cores": 16,
        "memory_mb": 1_024,
        "idempotent": true,
        "declared_run_ms": 500,
    });
    merge(&mut job, changes);
    job.to_string()
}

fn poll(changes: Value) -> String {
    let mut poll = json!({
        "worker": "senec-a",
        "zone": "Senec",
        "rack": "senec-1",
        "incarnation": 1,
        "sequence": 1,
        "capacity": { "accelerators": 8, "cores": 32, "memory_mb": 65_536 },
    });
    merge(&mut poll, changes);
    poll.to_string()
}

fn announcement(changes: Value) -> String {
    let mut announcement = json!({
        "endpoint": "booking-a",
        "service": "booking",
        "zone": "Senec",
        "address": "127.0.0.1:9",
        "incarnation": 1,
        "sequence": 1,
        "slots": 8,
        "connections": 64,
    });
    merge(&mut announcement, changes);
    announcement.to_string()
}

fn merge(value: &mut Value, changes: Value) {
    let (Value::Object(fields), Value::Object(changes)) = (value, changes) else {
        panic!("both are objects");
    };
    fields.extend(changes);
}

/// Sends a body that must be refused and checks the refusal.
async fn refused(
    http: &Http,
    to: (std::net::SocketAddr, Method, &str),
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

#[tokio::test(flavor = "multi_thread")]
async fn job_rows() {
    let (deployment, http) = ready().await;
    let bad = StatusCode::BAD_REQUEST;
    let unprocessable = StatusCode::UNPROCESSABLE_ENTITY;
    let too_large = StatusCode::PAYLOAD_TOO_LARGE;
    for (body, status, code) in [
        (String::new(), bad, "malformed"),
        ("{\"key\":".to_owned(), bad, "malformed"),
        ("[1]".to_owned(), bad, "malformed"),
        (job(json!({ "colour": "red" })), bad, "malformed"),
        (
            job(json!({ "key": { "team": "judges" } })),
            bad,
            "malformed",
        ),
        (
            job(json!({ "key": { "team": "a b", "id": "1" } })),
            bad,
            "malformed",
        ),
        (job(json!({ "tasks": -1 })), bad, "malformed"),
        (job(json!({ "tasks": 4_294_967_296_u64 })), bad, "malformed"),
        (job(json!({ "idempotent": "yes" })), bad, "malformed"),
        (job(json!({ "adjacency": "moon" })), bad, "malformed"),
        ("{".repeat(100_000), bad, "malformed"),
        ("x".repeat(1_048_577), too_large, "too_large"),
        (job(json!({ "tasks": 0 })), unprocessable, "invalid"),
        (job(json!({ "tasks": 513 })), unprocessable, "invalid"),
        (job(json!({ "accelerators": 3 })), unprocessable, "invalid"),
        (
            job(json!({ "memory_mb": u64::MAX })),
            unprocessable,
            "invalid",
        ),
        (job(json!({ "cores": u32::MAX })), unprocessable, "invalid"),
        (
            job(json!({ "declared_run_ms": u64::MAX })),
            unprocessable,
            "invalid",
        ),
        (job(json!({ "deadline_ms": 0 })), unprocessable, "invalid"),
        (
            job(json!({ "payload": "x".repeat(16_385) })),
            unprocessable,
            "invalid",
        ),
        (
            job(json!({ "key": { "team": "nobody", "id": "1" } })),
            unprocessable,
            "no_such_team",
        ),
        (job(json!({ "tasks": 400 })), unprocessable, "never_fits"),
    ] {
        let to = (deployment.callers, Method::POST, "/v1/jobs");
        refused(&http, to, body, status, code, Some("not_run")).await;
    }
    for (method, path, status, code) in [
        (
            Method::GET,
            "/v1/jobs/judges/none",
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            Method::DELETE,
            "/v1/jobs/judges/none",
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            Method::GET,
            "/v1/jobs/judges/none?wait_ms=-1",
            bad,
            "malformed",
        ),
        (Method::GET, "/v1/jobs/judges/none?wait=1", bad, "malformed"),
        (
            Method::PUT,
            "/v1/jobs/judges/none",
            StatusCode::METHOD_NOT_ALLOWED,
            "bad_method",
        ),
        (
            Method::GET,
            "/v1/release-notes",
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            Method::GET,
            "/v1/status",
            StatusCode::NOT_FOUND,
            "not_found",
        ),
    ] {
        let to = (deployment.callers, method, path);
        refused(&http, to, String::new(), status, code, None).await;
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_life() {
    let (deployment, http) = ready().await;
    let callers = deployment.callers;
    let send = async |method, path: &str, body: String| {
        let answer = http.send(method, callers, path, &[], body).await;
        let (status, text) = answer.expect("the listener answers");
        let value: Value = serde_json::from_str(&text).expect("the answer is JSON");
        (status, value)
    };
    for _resend in 0..2 {
        let (status, answer) = send(Method::POST, "/v1/jobs", job(json!({}))).await;
        assert_eq!(status, StatusCode::ACCEPTED, "{answer}");
    }
    let other = job(json!({ "tasks": 1 }));
    let (status, answer) = send(Method::POST, "/v1/jobs", other).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(answer["code"], "id_taken");
    let second = job(json!({ "key": { "team": "judges", "id": "heat-2" } }));
    let (status, answer) = send(Method::POST, "/v1/jobs", second).await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{answer}");
    assert_eq!(
        (&answer["code"], &answer["outcome"]),
        (&json!("queue_full"), &json!("not_run"))
    );
    let path = "/v1/jobs/judges/heat-1";
    let (_status, view) = send(Method::GET, path, String::new()).await;
    assert_eq!(view["phase"], "waiting", "{view}");
    let (status, _view) = send(Method::DELETE, path, String::new()).await;
    assert_eq!(status, StatusCode::OK);
    let look = format!("{path}?wait_ms=20000");
    let (_status, view) = send(Method::GET, &look, String::new()).await;
    assert_eq!(view["outcome"]["not_run"]["reason"], "cancelled", "{view}");
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_rows() {
    let (deployment, http) = ready().await;
    let bad = StatusCode::BAD_REQUEST;
    let unprocessable = StatusCode::UNPROCESSABLE_ENTITY;
    let task = |state: Value| {
        let job = json!({ "team": "judges", "id": "heat-1" });
        json!({ "task": { "job": job, "attempt": 1, "index": 0 }, "state": state })
    };
    let capacity = |accelerators: u32, cores: u32, memory_mb: u64| json!({ "capacity": { "accelerators": accelerators, "cores": cores, "memory_mb": memory_mb } });
    for (body, status, code) in [
        (String::new(), bad, "malformed"),
        ("null".to_owned(), bad, "malformed"),
        (poll(json!({ "sequence": "1" })), bad, "malformed"),
        (poll(json!({ "worker": "" })), bad, "malformed"),
        (poll(json!({ "colour": 1 })), bad, "malformed"),
        (
            poll(json!({ "tasks": [task(json!("asleep"))] })),
            bad,
            "malformed",
        ),
        (
            poll(json!({ "tasks": vec![task(json!("running")); 1_025] })),
            unprocessable,
            "invalid",
        ),
        (
            poll(
                json!({ "tasks": [task(json!({ "succeeded": { "result": "x".repeat(65_537) } }))] }),
            ),
            unprocessable,
            "invalid",
        ),
        (
            poll(json!({ "tasks": [task(json!({ "failed": { "cause": "x".repeat(4_097) } }))] })),
            unprocessable,
            "invalid",
        ),
        (poll(capacity(65, 1, 1)), unprocessable, "invalid"),
        (poll(capacity(8, u32::MAX, 1)), unprocessable, "invalid"),
        (poll(capacity(8, 1, u64::MAX)), unprocessable, "invalid"),
        (
            "x".repeat(1_048_577),
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
        ),
    ] {
        let to = (deployment.fleet, Method::POST, "/v1/workers/poll");
        refused(&http, to, body, status, code, None).await;
    }
    deployment.stop().await;
}

/// Orders name the poll that they answer, also where polls come out of order: a lease counts from
/// when that poll was sent, so that an older poll never gets the time of a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn polls_out_of_order() {
    let (deployment, http) = ready().await;
    let send = |sequence: u64| {
        let http = http.clone();
        let address = deployment.fleet;
        let body = poll(json!({ "sequence": sequence }));
        async move {
            let sent = http.send(Method::POST, address, "/v1/workers/poll", &[], body);
            let (status, text) = sent.await.expect("the listener answers");
            let orders: Value = serde_json::from_str(&text).expect("the answer is JSON");
            (status, orders["sequence"].as_u64())
        }
    };
    assert_eq!(send(7).await, (StatusCode::OK, Some(7)));
    assert_eq!(send(6).await, (StatusCode::OK, Some(6)));
    assert_eq!(send(6).await, (StatusCode::OK, Some(6)));
    assert_eq!(send(8).await, (StatusCode::OK, Some(8)));
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_rows() {
    let (deployment, http) = ready().await;
    let to = || (deployment.fleet, Method::POST, "/v1/endpoints/announce");
    let bad = StatusCode::BAD_REQUEST;
    for body in [
        String::new(),
        "{".to_owned(),
        announcement(json!({ "address": "here" })),
        announcement(json!({ "address": "booking.example:80" })),
        announcement(json!({ "slots": -1 })),
        announcement(json!({ "colour": 1 })),
        announcement(json!({ "zone": "" })),
    ] {
        refused(&http, to(), body, bad, "malformed", None).await;
    }
    let large = "x".repeat(1_048_577);
    refused(
        &http,
        to(),
        large,
        StatusCode::PAYLOAD_TOO_LARGE,
        "too_large",
        None,
    )
    .await;
    let send = async |changes: Value| {
        let (address, method, path) = to();
        let answer = http
            .send(method, address, path, &[], announcement(changes))
            .await;
        let (status, text) = answer.expect("the listener answers");
        assert_eq!(status, StatusCode::OK, "{text}");
        serde_json::from_str::<Value>(&text).expect("the answer is JSON")
    };
    assert!(send(json!({})).await["accepted"]["renew_ms"].is_u64());
    for changes in [
        json!({ "endpoint": "matching-a" }),
        json!({ "endpoint": "booking-b", "service": "matching" }),
        json!({ "endpoint": "booking-c", "zone": "Nitra" }),
        json!({ "endpoint": "booking-d", "slots": 9 }),
        json!({ "endpoint": "booking-e", "connections": 65 }),
    ] {
        let answer = send(changes.clone()).await;
        assert!(
            answer["refused"]["reason"].is_string(),
            "{changes}: {answer}"
        );
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_rows() {
    let (deployment, http) = ready().await;
    let team = ("marjoramknot-team", "judges");
    let id = ("marjoramknot-request-id", "slot-1");
    let again = ("marjoramknot-idempotent", "true");
    let now = ("marjoramknot-deadline-ms", "300");
    let path = "/v1/services/booking/bookings";
    for (path, headers, status, code) in [
        (path, vec![id, again], 400, "malformed"),
        (path, vec![team, again], 400, "malformed"),
        (path, vec![team, id], 400, "malformed"),
        (
            path,
            vec![team, id, ("marjoramknot-idempotent", "perhaps")],
            400,
            "malformed",
        ),
        (
            path,
            vec![team, id, again, ("marjoramknot-deadline-ms", "soon")],
            400,
            "malformed",
        ),
        (path, vec![team, id, id, again], 400, "malformed"),
        (
            path,
            vec![("marjoramknot-team", "a/b"), id, again],
            400,
            "malformed",
        ),
        (
            "/v1/services/a%20b/c",
            vec![team, id, again],
            400,
            "malformed",
        ),
        (
            path,
            vec![("marjoramknot-team", "nobody"), id, again, now],
            0,
            "",
        ),
        ("/v1/services/none/c", vec![team, id, again, now], 0, ""),
        (path, vec![team, id, again, now], 0, ""),
    ] {
        let sent = http.send(Method::POST, deployment.callers, path, &headers, "x");
        let (got, text) = sent.await.expect("the listener answers");
        let answer: Value = serde_json::from_str(&text).expect("every refusal is JSON");
        assert_eq!(answer["outcome"], "not_run", "{path} {headers:?}: {text}");
        assert!(!got.is_success(), "{path} {headers:?}: {text}");
        if status > 0 {
            assert_eq!(got.as_u16(), status, "{path} {headers:?}: {text}");
            assert_eq!(answer["code"], code, "{path} {headers:?}: {text}");
        }
    }
    deployment.stop().await;
}
