//! Tests that a listener limits all input in size, count and time, and drains without cutting off a
//! request.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::State;
use http::StatusCode;
use marjoramknot::entry::{Listener, ListenerHandle, RouteFuture, read_body, route, text_response};
use marjoramknot::settings::ListenerSettings;
use marjoramknot::units::Millis;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time limit of every wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Size of a response that does not fit into the buffers between two sockets.
const LARGE_BYTES: usize = 32 * 1_024 * 1_024;

/// State of the test routes; holds the requests to `/gated` until they are released.
struct Gate {
    entered: Semaphore,
    leave: Semaphore,
}

fn echo<'a>(_gate: &'a Gate, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let body = read_body(state).await?;
        let text = String::from_utf8_lossy(&body).into_owned();
        Ok(text_response(StatusCode::OK, text))
    }
    .boxed()
}

fn gated<'a>(gate: &'a Gate, _state: &'a mut State) -> RouteFuture<'a> {
    async {
        gate.entered.add_permits(1);
        let permit = gate.leave.acquire().await;
        permit.expect("the semaphore is never closed").forget();
        Ok(text_response(StatusCode::OK, "whole".to_owned()))
    }
    .boxed()
}

fn large<'a>(_gate: &'a Gate, _state: &'a mut State) -> RouteFuture<'a> {
    async { Ok(text_response(StatusCode::OK, "x".repeat(LARGE_BYTES))) }.boxed()
}

fn router(gate: &Arc<Gate>) -> Router {
    build_simple_router(|builder| {
        builder.post("/echo").to_new_handler(route(gate, echo));
        builder.get("/gated").to_new_handler(route(gate, gated));
        builder.get("/large").to_new_handler(route(gate, large));
    })
}

async fn serve(settings: ListenerSettings) -> (ListenerHandle, Arc<Gate>) {
    let gate = Arc::new(Gate {
        entered: Semaphore::new(0),
        leave: Semaphore::new(0),
    });
    let listener = Listener::bind("test", settings)
        .await
        .expect("a free port is bound");
    let leaving = CancellationToken::new();
    (listener.serve(router(&gate), &leaving), gate)
}

fn settings() -> ListenerSettings {
    ListenerSettings::with_defaults(SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn dial(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address)
        .await
        .expect("the listener accepts")
}

/// Reads until the connection is closed. Data lost to a reset is ignored.
async fn read_all(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 16_384];
    loop {
        let read = timeout(TIMEOUT, client.read(&mut chunk)).await;
        match read.expect("the connection is closed in time") {
            Ok(0) | Err(_) => return String::from_utf8_lossy(&bytes).into_owned(),
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
    }
}

/// Reads until the text has arrived.
async fn read_until(client: &mut TcpStream, text: &str) -> String {
    let mut seen = String::new();
    let mut chunk = vec![0; 1_024];
    while !seen.contains(text) {
        let read = timeout(TIMEOUT, client.read(&mut chunk)).await;
        let read = read.expect("the text comes in time").expect("a read works");
        assert_ne!(read, 0, "closed before {text:?} came: {seen}");
        seen.push_str(&String::from_utf8_lossy(&chunk[..read]));
    }
    seen
}

async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut client = dial(address).await;
    // The listener may respond and close before it has read the whole request.
    let _cut = client.write_all(request).await;
    read_all(&mut client).await
}

async fn assert_serves(address: SocketAddr) {
    let request =
        b"POST /echo HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let answer = exchange(address, request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("ok"), "{answer}");
}

#[rstest]
#[case::no_route(
    b"GET /none HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "404",
    "not_found"
)]
#[case::bad_method(
    b"PUT /echo HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "405",
    "bad_method"
)]
#[case::garbage(b"\x00\x01\x02\x03\r\n\r\n", "400", "")]
#[case::http2(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "", "")]
#[case::version(b"GET /echo HTTP/9.9\r\nhost: a\r\n\r\n", "400", "")]
#[case::bad_length(
    b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
    "400",
    ""
)]
#[case::two_lengths(
    b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    "400",
    ""
)]
#[case::bad_chunk(b"POST /echo HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400", "truncated")]
#[case::request_id(b"POST /echo HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-request-id: \xff\xfe\r\ncontent-length: 0\r\n\r\n", "400", "malformed")]
#[case::bad_path(
    b"GET /%ff%fe HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "40",
    ""
)]
#[tokio::test]
async fn malformed_input(#[case] request: &[u8], #[case] status: &str, #[case] code: &str) {
    let (listener, _gate) = serve(settings()).await;
    let answer = exchange(listener.address, request).await;
    if status.is_empty() {
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    } else {
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    }
    assert!(answer.contains(code), "{answer}");
    assert_serves(listener.address).await;
    assert_eq!(listener.drain(Millis(10_000)).await, 0);
}

#[rstest]
#[case::length(format!("content-length: 2000\r\n\r\n{}", "x".repeat(2_000)))]
#[case::chunked(format!("transfer-encoding: chunked\r\n\r\n7d0\r\n{}\r\n0\r\n\r\n", "x".repeat(2_000)))]
#[tokio::test]
async fn large_body(#[case] rest: String) {
    let (listener, _gate) = serve(ListenerSettings {
        body_max_bytes: 1_999,
        ..settings()
    })
    .await;
    let request = format!("POST /echo HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{rest}");
    let answer = exchange(listener.address, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("too_large"), "{answer}");
    assert_serves(listener.address).await;
}

#[tokio::test]
async fn large_head() {
    let (listener, _gate) = serve(ListenerSettings {
        header_max_bytes: 8_192,
        ..settings()
    })
    .await;
    let field = format!("x-long: {}\r\n", "x".repeat(10_000));
    let request = format!("POST /echo HTTP/1.1\r\nhost: a\r\n{field}\r\n");
    let answer = exchange(listener.address, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let many = "x-many: y\r\n".repeat(400);
    let request = format!("POST /echo HTTP/1.1\r\nhost: a\r\n{many}\r\n");
    let answer = exchange(listener.address, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_serves(listener.address).await;
}

#[rstest]
#[case::nothing(b"")]
#[case::half_head(b"POST /echo HTTP/1.1\r\nhost:")]
#[tokio::test]
async fn slow_head(#[case] start: &[u8]) {
    let (listener, _gate) = serve(ListenerSettings {
        header_timeout_ms: Millis(200),
        ..settings()
    })
    .await;
    let mut client = dial(listener.address).await;
    client.write_all(start).await.expect("the start is sent");
    let answer = read_all(&mut client).await;
    assert!(!answer.contains(" 200 "), "{answer}");
    assert_serves(listener.address).await;
}

#[tokio::test]
async fn slow_body() {
    let (listener, _gate) = serve(ListenerSettings {
        body_timeout_ms: Millis(200),
        ..settings()
    })
    .await;
    let mut client = dial(listener.address).await;
    let request = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf";
    client.write_all(request).await.expect("half is sent");
    let answer = read_until(&mut client, "too_slow").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[tokio::test]
async fn truncated_body() {
    let (listener, _gate) = serve(settings()).await;
    let mut client = dial(listener.address).await;
    let request = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf";
    client.write_all(request).await.expect("half is sent");
    client.shutdown().await.expect("the sending side closes");
    let answer = read_all(&mut client).await;
    assert!(!answer.contains(" 200 "), "{answer}");
    assert_serves(listener.address).await;
}

#[tokio::test]
async fn slow_reader() {
    let (listener, _gate) = serve(ListenerSettings {
        write_timeout_ms: Millis(300),
        ..settings()
    })
    .await;
    let mut client = dial(listener.address).await;
    let request = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
    client
        .write_all(request)
        .await
        .expect("the request is sent");
    let _first = read_until(&mut client, "200").await;
    // The client reads no further. The drain ends only because the listener closes the stalled
    // connection after the write time-out.
    assert_eq!(listener.drain(Millis(20_000)).await, 0);
    assert!(read_all(&mut client).await.len() < LARGE_BYTES);
}

#[tokio::test]
async fn idle_connections_make_room() {
    let (listener, _gate) = serve(ListenerSettings {
        connections_max: 4,
        header_timeout_ms: Millis(300_000),
        ..settings()
    })
    .await;
    let mut clients = Vec::new();
    for start in [&b""[..], b"G", b"POST /echo", b""] {
        let mut client = dial(listener.address).await;
        client.write_all(start).await.expect("the start is sent");
        clients.push(client);
    }
    for _request in 0..6 {
        assert_serves(listener.address).await;
    }
    assert_eq!(listener.drain(Millis(2_000)).await, 0);
}

#[tokio::test]
async fn busy_connections_are_kept() {
    let (listener, gate) = serve(ListenerSettings {
        connections_max: 2,
        ..settings()
    })
    .await;
    let mut clients = Vec::new();
    for _client in 0..2 {
        let mut client = dial(listener.address).await;
        let request = b"GET /gated HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        client
            .write_all(request)
            .await
            .expect("the request is sent");
        clients.push(client);
    }
    let entered = gate.entered.acquire_many(2).await;
    entered.expect("the semaphore is never closed").forget();
    let late = tokio::spawn(assert_serves_boxed(listener.address));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!late.is_finished(), "a third connection was served");
    gate.leave.add_permits(2);
    for client in &mut clients {
        assert!(read_all(client).await.ends_with("whole"));
    }
    let served = timeout(TIMEOUT, late).await.expect("the third is served");
    served.expect("the third is answered");
}

fn assert_serves_boxed(address: SocketAddr) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(assert_serves(address))
}

#[tokio::test]
async fn drain_finishes_requests() {
    let (listener, gate) = serve(settings()).await;
    let address = listener.address;
    let mut idle = dial(address).await;
    let mut busy = dial(address).await;
    let request = b"GET /gated HTTP/1.1\r\nhost: a\r\n\r\n";
    busy.write_all(request).await.expect("the request is sent");
    let entered = gate.entered.acquire().await;
    entered.expect("the semaphore is never closed").forget();
    let draining = tokio::spawn(listener.drain(Millis(20_000)));
    assert_eq!(read_all(&mut idle).await, "");
    assert!(!draining.is_finished(), "the drain cut the request");
    gate.leave.add_permits(1);
    let answer = read_all(&mut busy).await;
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("whole"), "{answer}");
    assert_eq!(draining.await.expect("the drain ends"), 0);
    let refused = TcpStream::connect(address).await;
    refused.expect_err("the listener is closed");
}

#[tokio::test]
async fn leave_closes() {
    let gate = Arc::new(Gate {
        entered: Semaphore::new(0),
        leave: Semaphore::new(0),
    });
    let listener = Listener::bind("test", settings())
        .await
        .expect("a free port is bound");
    let leaving = CancellationToken::new();
    let listener = listener.serve(router(&gate), &leaving);
    leaving.cancel();
    let mut client = dial(listener.address).await;
    let request = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok";
    client
        .write_all(request)
        .await
        .expect("the request is sent");
    let answer = read_all(&mut client).await;
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("ok"), "{answer}");
}

#[tokio::test]
async fn drain_cut() {
    let (listener, gate) = serve(settings()).await;
    let mut busy = dial(listener.address).await;
    let request = b"GET /gated HTTP/1.1\r\nhost: a\r\n\r\n";
    busy.write_all(request).await.expect("the request is sent");
    let entered = gate.entered.acquire().await;
    entered.expect("the semaphore is never closed").forget();
    assert_eq!(listener.drain(Millis(200)).await, 1);
}

#[tokio::test]
async fn address_taken() {
    let (listener, _gate) = serve(settings()).await;
    let taken = Listener::bind("second", ListenerSettings::with_defaults(listener.address)).await;
    let error = taken.expect_err("the address is taken").to_string();
    assert!(error.contains(&listener.address.to_string()), "{error}");
}
