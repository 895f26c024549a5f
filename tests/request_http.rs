//! Tests of the callers' and endpoints' routes over HTTP: headers, errors, streams and a planned
//! stop.

#[path = "support/fake_endpoint.rs"]
mod fake_endpoint;
#[path = "support/forwarding.rs"]
mod forwarding;
#[path = "support/shares.rs"]
mod shares;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fake_endpoint::{FakeEndpoint, Fault};
use forwarding::{FakeControl, TestEntry, until, wall_clock};
use futures::FutureExt;
use gotham::router::builder::build_simple_router;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use marjoramknot::control::{EndpointShare, ExchangeRequest, GRANT_MS};
use marjoramknot::entry::{
    AnnouncementRelay, Listener, ListenerHandle, add_endpoint_routes, add_service_routes,
};
use marjoramknot::router::{RouterView, ShareAllocator};
use marjoramknot::settings::ListenerSettings;
use marjoramknot::units::{EntryId, Incarnation, Millis, Revision, Sequence};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Server {
    entry: TestEntry,
    endpoint: FakeEndpoint,
    control: Arc<FakeControl>,
    address: SocketAddr,
    handle: Option<ListenerHandle>,
    client: HttpClient,
}

async fn server() -> Server {
    let control = Arc::new(FakeControl::default());
    let endpoint = FakeEndpoint::start().await;
    let entry = TestEntry::new("entry-1", &control, &[&endpoint]);
    let routes = build_simple_router(|builder| add_service_routes(builder, &entry.forwarder));
    let settings = ListenerSettings::with_defaults(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = Listener::bind("callers", settings).await;
    let listener = listener.expect("a free port is bound");
    let handle = listener.serve(routes, &CancellationToken::new());
    Server {
        entry,
        endpoint,
        control,
        address: handle.address,
        handle: Some(handle),
        client: Client::builder(TokioExecutor::new()).build_http(),
    }
}

/// A request with its method, path and headers, each written as `name: value`.
struct Call {
    method: &'static str,
    path: &'static str,
    headers: Vec<String>,
}

fn call(headers: &[&str]) -> Call {
    let mut all = vec![
        "marjoramknot-team: regatta".to_owned(),
        "marjoramknot-idempotent: true".to_owned(),
        "marjoramknot-deadline-ms: 300".to_owned(),
    ];
    all.extend(headers.iter().map(|&header| header.to_owned()));
    Call {
        method: "POST",
        path: "/v1/services/booking/ponds/4?day=sat",
        headers: all,
    }
}

impl Server {
    async fn send(&self, call: &Call) -> http::Response<hyper::body::Incoming> {
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        for header in &call.headers {
            let (name, value) = header.split_once(": ").expect("a name and a value");
            request = request.header(name, value);
        }
        let request = request
            .body(Full::from("heat 2"))
            .expect("a well-formed request");
        self.client
            .request(request)
            .await
            .expect("the entry answers")
    }

    /// Sends a request and formats the response as the caller sees it.
    async fn response_text(&self, call: &Call) -> String {
        let response = self.send(call).await;
        let mut seen = format!("{}\n", response.status());
        for name in [
            "marjoramknot-request-id",
            "marjoramknot-outcome",
            "retry-after",
        ] {
            if let Some(value) = response.headers().get(name) {
                let value = value.to_str().expect("the header is text");
                writeln!(seen, "{name}: {value}").expect("a text can be written");
            }
        }
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the body is whole");
        let body = String::from_utf8(body.to_bytes().to_vec()).expect("the body is text");
        seen + &body + "\n"
    }
}

#[tokio::test]
async fn refusals() {
    let first = server().await;
    // A failed endpoint gets no requests for a while, so the later requests use one of their own.
    let second = server().await;
    second.endpoint.queue_faults(&[Fault::CloseWithoutAnswer]);
    let mut session = String::new();
    let mut server = &first;
    let mut record = async |server: &Server, title: &str, call: Call| {
        let seen = server.response_text(&call).await;
        writeln!(session, "# {title}\n{seen}").expect("a text can be written");
    };
    record(server, "answered", call(&["marjoramknot-request-id: r1"])).await;
    record(server, "id missing", call(&[])).await;
    let mut other = call(&["marjoramknot-request-id: r2"]);
    other.headers.remove(0);
    record(server, "team missing", other).await;
    let twice = ["marjoramknot-request-id: r2", "marjoramknot-team: judges"];
    record(server, "team twice", call(&twice)).await;
    record(
        server,
        "id malformed",
        call(&["marjoramknot-request-id: r 2"]),
    )
    .await;
    let mut other = call(&["marjoramknot-request-id: r2"]);
    other.headers[1] = "marjoramknot-idempotent: maybe".to_owned();
    record(server, "idempotent malformed", other).await;
    let mut other = call(&["marjoramknot-request-id: r2"]);
    other.headers.remove(1);
    record(server, "made-ms missing", other).await;
    let mut other = call(&["marjoramknot-request-id: r2"]);
    other.path = "/v1/services/maps/4";
    record(server, "no such service", other).await;
    let mut other = call(&["marjoramknot-request-id: r2"]);
    other.headers[0] = "marjoramknot-team: nobody".to_owned();
    record(server, "no such team", other).await;
    server.endpoint.queue_faults(&[Fault::Hang]);
    record(
        server,
        "deadline while running",
        call(&["marjoramknot-request-id: r3"]),
    )
    .await;
    server.endpoint.set_fault(Fault::CloseWithoutAnswer);
    record(
        server,
        "no whole answer",
        call(&["marjoramknot-request-id: r4"]),
    )
    .await;
    server = &second;
    let recorded = |id: &str, made_ms: u64| {
        let mut call = call(&[]);
        call.headers[1] = "marjoramknot-idempotent: false".to_owned();
        call.headers.push(format!("marjoramknot-request-id: {id}"));
        call.headers
            .push(format!("marjoramknot-made-ms: {made_ms}"));
        call
    };
    let made_ms = wall_clock().0;
    record(server, "outcome unknown", recorded("r5", made_ms)).await;
    record(server, "resent", recorded("r5", made_ms)).await;
    record(server, "id used again", recorded("r5", made_ms + 1)).await;
    record(server, "too old", recorded("r6", 0)).await;
    record(server, "made ahead", recorded("r6", made_ms + 3_600_000)).await;
    server
        .control
        .unreachable
        .store(true, std::sync::atomic::Ordering::Release);
    record(server, "ledger out of reach", recorded("r7", made_ms)).await;
    insta::assert_snapshot!(session);
}

#[tokio::test]
async fn cut_off_entry() {
    let mut server = server().await;
    server.entry.granted_until_ms = Millis::ZERO;
    server.entry.update_view();
    let seen = server
        .response_text(&call(&["marjoramknot-request-id: r1"]))
        .await;
    insta::assert_snapshot!(seen);
    assert_eq!(server.endpoint.run_count("r1"), 0);
}

#[tokio::test]
async fn truncated_stream_is_detectable() {
    let server = server().await;
    let mut call = call(&["marjoramknot-request-id: r1"]);
    call.headers[2] = "marjoramknot-deadline-ms: 8000".to_owned();
    server
        .endpoint
        .queue_faults(&[Fault::Large(3_000_000), Fault::LargeTruncated(3_000_000)]);
    let whole = server.send(&call).await.into_body().collect().await;
    assert_eq!(
        whole.expect("the stream is whole").to_bytes().len(),
        3_000_000
    );
    let broken = server.send(&call).await.into_body().collect().await;
    broken.expect_err("the early end shows");
}

#[tokio::test]
async fn planned_stop() {
    let mut server = server().await;
    let handle = server.handle.take().expect("it serves");
    server.endpoint.set_work_time(Duration::from_millis(100));
    let mut calls = Vec::new();
    for number in 0..40 {
        let mut call = call(&[]);
        call.headers[2] = "marjoramknot-deadline-ms: 8000".to_owned();
        call.headers
            .push(format!("marjoramknot-request-id: r{number}"));
        if number % 4 == 0 {
            call.headers[1] = "marjoramknot-idempotent: false".to_owned();
            call.headers
                .push(format!("marjoramknot-made-ms: {}", wall_clock().0));
        }
        calls.push(call);
    }
    let sent: Vec<_> = calls.iter().map(|call| server.send(call)).collect();
    let sent = futures::future::join_all(sent);
    let forwarder = Arc::clone(&server.entry.forwarder);
    let (answers, cut) = tokio::join!(sent, async {
        until("all are taken", || forwarder.request_count() == 40).await;
        // Eight requests run and the others wait. None of them may be cut off or refused.
        let cut = handle.drain(Millis(8_000)).await;
        forwarder.drain().await;
        cut
    });
    assert_eq!(cut, 0);
    for answer in answers {
        assert_eq!(answer.status(), 200);
        answer
            .into_body()
            .collect()
            .await
            .expect("the body is whole");
    }
    assert_eq!(server.endpoint.counts(|counts| counts.running_max), 8);
}

/// Two entries, the leader's share allocator and one endpoint that announces itself over HTTP.
struct SharedEndpoint {
    allocator: Arc<Mutex<ShareAllocator>>,
    entries: Vec<(TestEntry, EntryShares)>,
    endpoint: FakeEndpoint,
}

struct EntryShares {
    sequence: u64,
    version: u64,
    shares: Arc<Vec<EndpointShare>>,
}

impl SharedEndpoint {
    async fn start() -> Self {
        let control = Arc::new(FakeControl::default());
        let endpoint = FakeEndpoint::start().await;
        let entries = ["entry-1", "entry-2"].map(|name| {
            let mut entry = TestEntry::new(name, &control, &[]);
            entry.in_force.revision = Revision(1);
            let held = EntryShares {
                sequence: 0,
                version: 0,
                shares: Arc::default(),
            };
            (entry, held)
        });
        let shared = Self {
            allocator: Arc::default(),
            entries: entries.into(),
            endpoint,
        };
        let first = shares::announcement(0);
        let address = shared.announcements().await;
        shared.endpoint.announce(address, first);
        shared
    }

    /// Serves the endpoint route with the share allocator behind it.
    async fn announcements(&self) -> SocketAddr {
        let allocator = Arc::clone(&self.allocator);
        let clock = self.entries[0].0.clock;
        let in_force = self.entries[0].0.in_force.clone();
        let announcing = Arc::new(AnnouncementRelay {
            announce: Arc::new(move |announcement| {
                let mut allocator = allocator.lock().expect("the lock is not poisoned");
                let answer = allocator.observe_announcement(&announcement, &in_force, clock.now());
                async { Ok(answer) }.boxed()
            }),
        });
        let routes = build_simple_router(|builder| add_endpoint_routes(builder, &announcing));
        let settings = ListenerSettings::with_defaults(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = Listener::bind("fleet", settings).await;
        let handle = listener
            .expect("a free port is bound")
            .serve(routes, &CancellationToken::new());
        let address = handle.address;
        // Leak the handle so that the listener serves until the test ends.
        std::mem::forget(handle);
        address
    }

    /// Runs one exchange of every entry that is not cut off.
    fn exchange(&mut self, cut_off: &[usize]) {
        let now = self.entries[0].0.clock.now();
        let mut allocator = self.allocator.lock().expect("the lock is not poisoned");
        for (index, (entry, held)) in self.entries.iter_mut().enumerate() {
            if cut_off.contains(&index) {
                continue;
            }
            held.sequence += 1;
            let report = entry.forwarder.usage();
            let id = format!("entry-{}", index + 1).parse().expect("an id");
            allocator.observe_entry(
                &ExchangeRequest {
                    entry: id,
                    incarnation: Incarnation(1),
                    zone: "Senec".parse().expect("an id"),
                    sequence: Sequence(held.sequence),
                    revision: Revision(1),
                    usage: report.endpoints,
                    shares_version: report.shares_version,
                    leaving: false,
                },
                now,
            );
            allocator.tick(&entry.in_force, now);
            let id = format!("entry-{}", index + 1).parse().expect("an id");
            let version = allocator.shares_version(&id, Incarnation(1));
            if version != report.shares_version {
                held.version = version;
                held.shares = Arc::new(allocator.shares_for(&id, Incarnation(1)));
            }
            entry.granted_until_ms = now.saturating_add(GRANT_MS);
            entry.forwarder.update_view(RouterView {
                in_force: Arc::new(entry.in_force.clone()),
                shares: Arc::clone(&held.shares),
                shares_version: held.version,
                granted_until_ms: entry.granted_until_ms,
            });
        }
    }

    /// Runs exchanges every 20 ms until the condition holds.
    async fn until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        self.until_without(&[], what, condition).await;
    }

    /// Runs exchanges until the condition holds while some entries are cut off.
    async fn until_without(
        &mut self,
        cut_off: &[usize],
        what: &str,
        condition: impl Fn(&Self) -> bool,
    ) {
        for _ in 0..1_000 {
            self.exchange(cut_off);
            if condition(self) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("condition not met within 20 s: {what}");
    }

    fn expire(&self, entry: &EntryId) {
        let now = self.entries[0].0.clock.now();
        let mut allocator = self.allocator.lock().expect("the lock is not poisoned");
        allocator.expire_entry(entry, Incarnation(1), now);
    }

    fn slots(&self, index: usize) -> u32 {
        let shares = self.entries[index].1.shares.iter();
        shares.map(|share| share.slots.get()).sum()
    }
}

/// Sends requests through one entry, each in its own task.
fn send_many(
    entry: &TestEntry,
    prefix: &str,
    count: u32,
) -> Vec<tokio::task::JoinHandle<forwarding::CallerResult>> {
    let send = |number| {
        let id = format!("{prefix}-{number}");
        let request = entry.request(&id, Duration::from_secs(20));
        let forwarder = Arc::clone(&entry.forwarder);
        tokio::spawn(
            async move { forwarding::read_response(forwarder.forward(request).await).await },
        )
    };
    (0..count).map(send).collect()
}

#[tokio::test]
async fn partitioned_entry_keeps_its_slots() {
    let mut shared = SharedEndpoint::start().await;
    let both = |shared: &SharedEndpoint| shared.slots(0) + shared.slots(1) == 8;
    shared.until("the slots are shared", both).await;
    shared.endpoint.set_fault(Fault::Hang);
    let held = send_many(&shared.entries[0].0, "a", 8);
    let running = |shared: &SharedEndpoint| shared.endpoint.counts(|counts| counts.running) == 8;
    shared.until("one entry holds all slots", running).await;
    let wanted = send_many(&shared.entries[1].0, "b", 8);
    let clock = shared.entries[0].0.clock;
    let cut_ms = clock.now();
    let grant_ms = GRANT_MS.with_clock_margin();
    let ended = move |_: &SharedEndpoint| clock.now().since(cut_ms) > grant_ms;
    shared
        .until_without(&[0], "the grant has ended", ended)
        .await;
    let first = "entry-1".parse().expect("an id");
    shared.expire(&first);
    let later = move |_: &SharedEndpoint| {
        clock.now().since(cut_ms) > grant_ms.saturating_add(Millis(1_500))
    };
    shared
        .until_without(&[0], "announcements have come", later)
        .await;
    assert_eq!(
        shared.slots(1),
        0,
        "the slots of the lost holder are in use still"
    );
    shared.endpoint.set_fault(Fault::None);
    shared.endpoint.release();
    let done = |_: &SharedEndpoint| wanted.iter().all(tokio::task::JoinHandle::is_finished);
    shared
        .until_without(&[0], "the other entry has slots", done)
        .await;
    for result in held.into_iter().chain(wanted) {
        let result = result.await.expect("no request panics");
        assert_eq!(
            result,
            forwarding::expected_response(),
            "nothing in progress was cut"
        );
    }
    assert_eq!(shared.endpoint.counts(|counts| counts.running_max), 8);
}

#[rstest]
#[case(0)]
#[case(1)]
#[tokio::test]
async fn shares_follow_demand(#[case] busy: usize) {
    let mut shared = SharedEndpoint::start().await;
    let both = |shared: &SharedEndpoint| shared.slots(0) + shared.slots(1) == 8;
    shared.until("the slots are shared", both).await;
    shared.endpoint.set_work_time(Duration::from_millis(30));
    // All requests go to one entry first, then to the other.
    for (round, index) in [busy, 1 - busy].into_iter().enumerate() {
        let entry = &shared.entries[index].0;
        let sent = send_many(entry, &format!("r{round}"), 100);
        let all_here = move |shared: &SharedEndpoint| shared.slots(index) == 8;
        shared.until("one entry has all slots", all_here).await;
        let done = |_: &SharedEndpoint| sent.iter().all(tokio::task::JoinHandle::is_finished);
        shared.until("all are answered", done).await;
        for result in sent {
            let result = result.await.expect("no request panics");
            assert_eq!(result, forwarding::expected_response());
        }
    }
    shared.endpoint.counts(|counts| {
        assert_eq!(counts.running_max, 8, "all slots were used and no more");
        assert!(counts.connections_max <= 64);
    });
}
