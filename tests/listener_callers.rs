//! Tests of the callers' listener: malformed, oversized, unknown and duplicate input for jobs and
//! services.

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

#[tokio::test(flavor = "multi_thread")]
async fn rejects_invalid_jobs() {
    let (deployment, http) = start_deployment().await;
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
        assert_refused(&http, to, body, status, code, Some("not_run")).await;
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
        assert_refused(&http, to, String::new(), status, code, None).await;
    }
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn job_life() {
    let (deployment, http) = start_deployment().await;
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
async fn rejects_invalid_service_requests() {
    let (deployment, http) = start_deployment().await;
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
