//! Tests of the listener for workers and endpoints: malformed, oversized, unknown and out-of-order
//! input.

use http::{Method, StatusCode};
use serde_json::{Value, json};

use support::listener_cases::{assert_refused, merge, start_deployment};

mod support {
    #[path = "../support/http_client.rs"]
    pub mod http_client;
    #[expect(dead_code, reason = "other tests use the rest")]
    #[path = "../support/in_process.rs"]
    pub mod in_process;
    #[path = "../support/listener_cases.rs"]
    pub mod listener_cases;
    #[path = "../support/ports.rs"]
    pub mod ports;
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

#[tokio::test(flavor = "multi_thread")]
async fn rejects_invalid_polls() {
    let (deployment, http) = start_deployment().await;
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
        assert_refused(&http, to, body, status, code, None).await;
    }
    deployment.stop().await;
}

/// Orders must name the poll that they answer, even if polls arrive out of order. A lease is
/// counted from the time at which its poll was sent, so an older poll must never be counted with
/// the time of a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn polls_out_of_order() {
    let (deployment, http) = start_deployment().await;
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
async fn rejects_invalid_announcements() {
    let (deployment, http) = start_deployment().await;
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
        assert_refused(&http, to(), body, bad, "malformed", None).await;
    }
    let large = "x".repeat(1_048_577);
    assert_refused(
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
