//! A fake endpoint that counts requests, announces itself and injects faults.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use marjoramknot::fleet::{AnnouncementResponse, EndpointAnnouncement};
use marjoramknot::units::{Sequence, Slots};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

type AnswerBody = BoxBody<Bytes, io::Error>;

/// How the endpoint handles a request or connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Runs the request and responds.
    None,
    /// Closes the connection as soon as it is opened.
    CloseOnConnect,
    /// Closes the connection in the middle of the request.
    CloseMidRequest,
    /// Runs the request and closes the connection without a response.
    CloseWithoutAnswer,
    /// Responds that it is busy and did not run the request.
    Busy,
    /// Runs the request and responds only when released.
    Hang,
    /// Runs the request and crashes, breaking all connections.
    Crash,
    /// Runs the request and responds after this many milliseconds.
    Delayed(u64),
    /// Responds with the answer to another request that runs at the same time.
    SwapAnswers,
    /// Responds twice.
    DuplicateAnswer,
    /// Breaks off the response body.
    Truncated,
    /// Sends a body without framing, so that a truncation is not detectable.
    NoFraming,
    /// Echoes the id of another request.
    WrongId,
    /// Echoes the id of another attempt.
    WrongAttempt,
    /// Echoes no ids.
    NoEcho,
    /// Responds with a body of this many bytes.
    Large(usize),
    /// Announces a body of this many bytes and breaks it off in the middle.
    LargeTruncated(usize),
    /// Reads the request, does not run it and never responds on this connection again.
    Silent,
}

/// Counters of a fake endpoint.
#[derive(Debug, Default)]
pub struct Counts {
    /// Number of runs by request id.
    pub ran: BTreeMap<String, u32>,
    /// Requests that are running.
    pub running: u32,
    /// Maximum number of requests that were running at the same time.
    pub running_max: u32,
    /// Open connections.
    pub connections: u32,
    /// Maximum number of connections that were open at the same time.
    pub connections_max: u32,
    /// Total number of connections opened.
    pub connections_opened: u32,
}

#[derive(Debug)]
struct Shared {
    counts: Mutex<Counts>,
    faults: Mutex<VecDeque<Fault>>,
    default_fault: Mutex<Fault>,
    work_ms: AtomicU32,
    release: Notify,
    released: AtomicBool,
    crashed: Mutex<CancellationToken>,
    waiting_swap: Mutex<Option<Swap>>,
}

/// A request that waits for another one to swap answers with.
#[derive(Debug)]
struct Swap {
    echo: Echo,
    other: oneshot::Sender<Echo>,
}

/// Ids that a response echoes.
#[derive(Clone, Debug, Default)]
struct Echo {
    id: String,
    attempt: String,
}

/// A fake endpoint.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeEndpoint {
    /// Starts on a free port.
    pub async fn start() -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts on an address, for example that of an endpoint that crashed.
    pub async fn start_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("the port is free");
        let address = listener.local_addr().expect("a bound listener has one");
        let endpoint = Self {
            address,
            shared: Arc::new(Shared {
                counts: Mutex::default(),
                faults: Mutex::default(),
                default_fault: Mutex::new(Fault::None),
                work_ms: AtomicU32::new(0),
                release: Notify::new(),
                released: AtomicBool::new(false),
                crashed: Mutex::default(),
                waiting_swap: Mutex::default(),
            }),
        };
        tokio::spawn(accept(listener, Arc::clone(&endpoint.shared)));
        endpoint
    }

    /// Applies these faults to the next requests, one each.
    pub fn queue_faults(&self, faults: &[Fault]) {
        lock(&self.shared.faults).extend(faults);
    }

    /// Applies this fault to every request from now on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.default_fault) = fault;
    }

    /// Sets how long each request runs.
    pub fn set_work_time(&self, span: Duration) {
        let work_ms = u32::try_from(span.as_millis()).expect("the span is short");
        self.shared.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Releases all hanging requests, including later ones.
    pub fn release(&self) {
        self.shared.released.store(true, Ordering::Release);
        self.shared.release.notify_waiters();
    }

    /// Crashes: stops listening and breaks all connections.
    pub fn crash(&self) {
        lock(&self.shared.crashed).cancel();
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, id: &str) -> u32 {
        self.counts(|counts| counts.ran.get(id).copied().unwrap_or_default())
    }

    /// Reads the counters.
    pub fn counts<T>(&self, look: impl FnOnce(&Counts) -> T) -> T {
        look(&lock(&self.shared.counts))
    }

    /// Announces itself to an entry repeatedly, at the interval that the entry asks for.
    pub fn announce(&self, entry: SocketAddr, first: EndpointAnnouncement) -> Announcer {
        let announcer = Announcer {
            current: Arc::new(Mutex::new(first)),
            accepted: Arc::new(AtomicBool::new(false)),
        };
        tokio::spawn(announce(entry, self.clone(), announcer.clone()));
        announcer
    }
}

/// Announcements of a fake endpoint.
#[derive(Clone, Debug)]
pub struct Announcer {
    current: Arc<Mutex<EndpointAnnouncement>>,
    accepted: Arc<AtomicBool>,
}

impl Announcer {
    /// Announces from now on that the endpoint is leaving.
    pub fn leave(&self) {
        lock(&self.current).leaving = true;
    }

    /// Returns whether the last announcement was accepted.
    pub fn accepted(&self) -> bool {
        self.accepted.load(Ordering::Acquire)
    }
}

async fn announce(entry: SocketAddr, endpoint: FakeEndpoint, announcer: Announcer) {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let crashed = lock(&endpoint.shared.crashed).clone();
    while !crashed.is_cancelled() {
        let body = {
            let mut current = lock(&announcer.current);
            current.address = endpoint.address;
            current.sequence = Sequence(current.sequence.get() + 1);
            current.slots_used = Slots(endpoint.counts(|counts| counts.running));
            current.connections_used = Slots(endpoint.counts(|counts| counts.connections));
            serde_json::to_vec(&*current).expect("an announcement serializes")
        };
        let request = Request::post(format!("http://{entry}/v1/endpoints/announce"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .expect("the request is well formed");
        let answer = send_announcement(&client, request).await;
        let accepted = matches!(answer, Some(AnnouncementResponse::Accepted { .. }));
        announcer.accepted.store(accepted, Ordering::Release);
        let pause = match answer {
            Some(AnnouncementResponse::Accepted { renew_ms }) => renew_ms.duration(),
            _ => Duration::from_millis(200),
        };
        tokio::time::sleep(pause).await;
    }
}

async fn send_announcement(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<AnnouncementResponse> {
    let response = client.request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let crashed = lock(&shared.crashed).clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = crashed.cancelled() => return,
        };
        let (stream, _caller) = accepted.expect("the system gives connections");
        stream.set_nodelay(true).expect("the connection is open");
        let (shared, crashed) = (Arc::clone(&shared), crashed.clone());
        tokio::spawn(async move {
            open_connection(&shared);
            tokio::select! {
                () = connection(stream, &shared) => {}
                () = crashed.cancelled() => {}
            }
            lock(&shared.counts).connections -= 1;
        });
    }
}

fn open_connection(shared: &Shared) {
    let mut counts = lock(&shared.counts);
    counts.connections += 1;
    counts.connections_opened += 1;
    counts.connections_max = counts.connections_max.max(counts.connections);
}

/// Serves one connection. The next fault decides about faults below HTTP.
async fn connection(mut stream: TcpStream, shared: &Arc<Shared>) {
    let first = lock(&shared.faults).front().copied();
    let default_fault = *lock(&shared.default_fault);
    match first.unwrap_or(default_fault) {
        Fault::CloseOnConnect => {
            next_fault(shared);
        }
        Fault::CloseMidRequest => {
            next_fault(shared);
            let mut some = [0; 32];
            let _read = stream.read(&mut some).await;
        }
        Fault::DuplicateAnswer => {
            next_fault(shared);
            answer_twice(stream, shared).await;
        }
        _ => {
            let served = Arc::clone(shared);
            let service = service_fn(move |request| handle_request(request, Arc::clone(&served)));
            // A connection that is broken by a fault ends with an error.
            let _ended = Builder::new(TokioExecutor::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        }
    }
}

async fn handle_request(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<AnswerBody>, io::Error> {
    let mut echo = Echo {
        id: header(&request, "marjoramknot-request-id"),
        attempt: header(&request, "marjoramknot-attempt"),
    };
    let path = request.uri().to_string();
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let fault = next_fault(&shared);
    if fault == Fault::Busy {
        let mut busy = answer(
            &echo,
            StatusCode::SERVICE_UNAVAILABLE,
            full_body(Bytes::new()),
        );
        let outcome = HeaderValue::from_static("not_run");
        busy.headers_mut().insert("marjoramknot-outcome", outcome);
        return Ok(busy);
    }
    if fault == Fault::Silent {
        return std::future::pending().await;
    }
    let _running = RunningGuard::begin(&shared, &echo.id);
    let work_ms = shared.work_ms.load(Ordering::Relaxed);
    if work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(work_ms.into())).await;
    }
    let text = Bytes::from(format!("{path} {}", String::from_utf8_lossy(&body)));
    match fault {
        Fault::CloseWithoutAnswer => return Err(io::ErrorKind::ConnectionAborted.into()),
        Fault::Crash => {
            lock(&shared.crashed).cancel();
            return std::future::pending().await;
        }
        Fault::Hang => wait_for_release(&shared).await,
        Fault::Delayed(span_ms) => tokio::time::sleep(Duration::from_millis(span_ms)).await,
        Fault::SwapAnswers => echo = swap_answers(&shared, echo).await,
        Fault::WrongId => echo.id = "another".into(),
        Fault::WrongAttempt => echo.attempt = "another".into(),
        Fault::NoEcho => echo = Echo::default(),
        _ => {}
    }
    let body = match fault {
        Fault::Truncated => truncated_body(text.len() + 10, text),
        Fault::NoFraming => unframed_body(text),
        Fault::Large(bytes) => full_body(Bytes::from(vec![b'x'; bytes])),
        Fault::LargeTruncated(bytes) => truncated_body(bytes, Bytes::from(vec![b'x'; bytes / 2])),
        _ => full_body(text),
    };
    let mut answer = answer(&echo, StatusCode::OK, body);
    if let Fault::LargeTruncated(bytes) = fault {
        answer.headers_mut().insert("content-length", bytes.into());
    }
    if fault == Fault::NoFraming {
        *answer.version_mut() = http::Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert("connection", close);
    }
    Ok(answer)
}

/// Responds to one request twice and keeps the connection open.
async fn answer_twice(mut stream: TcpStream, shared: &Arc<Shared>) {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut some = [0; 1024];
        let read = stream.read(&mut some).await.unwrap_or_default();
        if read == 0 {
            return;
        }
        head.extend_from_slice(&some[..read]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let field = |name: &str| {
        let mut lines = head.lines();
        let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_default().to_owned()
    };
    let (id, attempt) = (
        field("marjoramknot-request-id"),
        field("marjoramknot-attempt"),
    );
    drop(RunningGuard::begin(shared, &id));
    let answer = format!(
        "HTTP/1.1 200 OK\r\nmarjoramknot-request-id: {id}\r\nmarjoramknot-attempt: {attempt}\r\n\
         content-length: {}\r\n\r\n{id}",
        id.len()
    );
    // Send the second response in its own segment, after the first has been read.
    let _sent = stream.write_all(answer.as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    let _sent = stream.write_all(answer.as_bytes()).await;
    let mut rest = Vec::new();
    let _read = stream.read_to_end(&mut rest).await;
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
struct RunningGuard(Arc<Shared>);

impl RunningGuard {
    fn begin(shared: &Arc<Shared>, id: &str) -> Self {
        let mut counts = lock(&shared.counts);
        *counts.ran.entry(id.to_owned()).or_default() += 1;
        counts.running += 1;
        counts.running_max = counts.running_max.max(counts.running);
        Self(Arc::clone(shared))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0.counts).running -= 1;
    }
}

async fn wait_for_release(shared: &Shared) {
    let released = shared.release.notified();
    if !shared.released.load(Ordering::Acquire) {
        released.await;
    }
}

/// Swaps answers with the next request that has the same fault.
async fn swap_answers(shared: &Shared, echo: Echo) -> Echo {
    let waiting = lock(&shared.waiting_swap).take();
    if let Some(waiting) = waiting {
        // If the first request is gone, nobody needs its answer.
        let _taken = waiting.other.send(echo);
        return waiting.echo;
    }
    let (other, swapped) = oneshot::channel();
    let waits = Swap {
        echo: echo.clone(),
        other,
    };
    *lock(&shared.waiting_swap) = Some(waits);
    swapped.await.unwrap_or(echo)
}

fn next_fault(shared: &Shared) -> Fault {
    let next = lock(&shared.faults).pop_front();
    next.unwrap_or(*lock(&shared.default_fault))
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name);
    value.map_or_else(String::new, |value| {
        String::from_utf8_lossy(value.as_bytes()).into_owned()
    })
}

fn answer(echo: &Echo, status: StatusCode, body: AnswerBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    let mut set = |name: &'static str, value: &str| {
        if !value.is_empty() {
            let value = HeaderValue::try_from(value).expect("the echo was a header");
            headers.insert(name, value);
        }
    };
    set("marjoramknot-request-id", &echo.id);
    set("marjoramknot-attempt", &echo.attempt);
    set("content-type", "text/plain");
    answer
}

fn full_body(bytes: Bytes) -> AnswerBody {
    let body = Full::new(bytes);
    body.map_err(|never: Infallible| match never {}).boxed()
}

/// Builds a body that ends with an error after `bytes`. `promised` is unused.
fn truncated_body(promised: usize, bytes: Bytes) -> AnswerBody {
    let _ = promised;
    let frames = vec![
        Ok(Frame::data(bytes)),
        Err(io::ErrorKind::ConnectionAborted.into()),
    ];
    BodyExt::boxed(StreamBody::new(futures::stream::iter(frames).then(
        |frame| async move {
            // Let the data be sent before the error.
            tokio::time::sleep(Duration::from_millis(5)).await;
            frame
        },
    )))
}

fn unframed_body(bytes: Bytes) -> AnswerBody {
    let frames = vec![Ok(Frame::data(bytes))];
    BodyExt::boxed(StreamBody::new(futures::stream::iter(frames)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
