use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::service::call_handler;
use gotham::state::State;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use super::body::{BodyReservation, GuardedBody, LimitedBody};
use super::client_io::ClientIo;
use super::response::{StreamedResponse, error_response};
use crate::budget::{BudgetLimits, ByteBudget};
use crate::connections::{Connection, Connections};
use crate::settings::ListenerSettings;
use crate::telemetry::{record_connections, record_response};
use crate::units::Millis;

/// Delay before accepting again after the operating system failed to provide a connection, for
/// example because no file descriptors were left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time that a client may still take to complete a request header once the listener drains.
const HEADER_GRACE: Duration = Duration::from_secs(1);
/// Interval at which a draining listener closes idle connections.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a response that needs no reservation. 1,024 connections hold at most 4 MiB in
/// responses of this size.
const UNCOUNTED_RESPONSE_MAX_BYTES: usize = 4 * 1_024;
/// Maximum number of bytes reserved for a response, so that each fits into a default budget. The
/// largest are lists of jobs and configurations of about this size.
const COUNTED_RESPONSE_MAX_BYTES: usize = 1_024 * 1_024;
/// Header from which gotham takes the id of a request. Its value must be valid UTF-8.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A bound listener that limits the size, number and duration of all input.
///
/// It replaces gotham's accept loop, which cannot drain connections; see docs/DESIGN.md.
#[derive(Debug)]
pub struct Listener {
    name: &'static str,
    socket: TcpListener,
    address: SocketAddr,
    settings: ListenerSettings,
}

/// Handle to a running listener.
#[derive(Debug)]
pub struct ListenerHandle {
    /// Local address of the listener.
    pub address: SocketAddr,
    name: &'static str,
    leaving: CancellationToken,
    stop: CancellationToken,
    connections: Arc<Connections>,
    accepting: JoinHandle<GracefulShutdown>,
}

impl Listener {
    /// Binds the address in the settings. The name identifies the listener in the log.
    ///
    /// # Errors
    /// Returns the error of the operating system, with the address.
    pub async fn bind(name: &'static str, settings: ListenerSettings) -> io::Result<Self> {
        let wanted = settings.listen;
        let bound = TcpListener::bind(wanted).await;
        let socket = bound.map_err(|cause| {
            io::Error::new(cause.kind(), format!("cannot listen on {wanted}: {cause}"))
        })?;
        let address = socket.local_addr()?;
        info!(event = "listening", listener = name, address = %address);
        Ok(Self {
            name,
            socket,
            address,
            settings,
        })
    }

    /// Returns the local address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests with a gotham handler until the handle is drained.
    ///
    /// Once `leaving` is cancelled, every response closes its connection, so that clients connect
    /// to another entry.
    #[must_use]
    pub fn serve<H: NewHandler + 'static>(
        self,
        handler: H,
        leaving: &CancellationToken,
    ) -> ListenerHandle {
        let connections = Arc::new(Connections::new(self.settings.connections_max));
        let leaving = leaving.child_token();
        let stop = CancellationToken::new();
        let context = ListenerContext {
            name: self.name,
            handler: Arc::new(handler),
            budget: ByteBudget::new(
                self.name,
                BudgetLimits::with_small_reserve(self.settings.body_budget_bytes),
            ),
            settings: Arc::new(self.settings),
            connections: Arc::clone(&connections),
            leaving: leaving.clone(),
        };
        let accepting = tokio::spawn(accept(self.socket, context, stop.clone()));
        ListenerHandle {
            address: self.address,
            name: self.name,
            leaving,
            stop,
            connections,
            accepting,
        }
    }
}

impl ListenerHandle {
    /// Stops accepting connections and waits up to `within` for the requests in progress.
    ///
    /// Returns the number of connections that were cut off at the end.
    pub async fn drain(mut self, within: Millis) -> usize {
        self.leaving.cancel();
        self.stop.cancel();
        let Ok(graceful) = (&mut self.accepting).await else {
            return 0;
        };
        let ended = tokio::select! {
            () = graceful.shutdown() => true,
            () = self.close_unfinished_headers() => false,
            () = sleep(within.duration()) => false,
        };
        let cut = self.connections.len();
        if !ended {
            warn!(event = "drain_cut", listener = self.name, connections = cut);
            self.connections.close_all();
            return cut;
        }
        info!(event = "drained", listener = self.name);
        0
    }

    /// Closes connections whose client has not sent a complete request header. Hyper's graceful
    /// shutdown would wait for them.
    async fn close_unfinished_headers(&self) {
        sleep(HEADER_GRACE).await;
        loop {
            self.connections.close_idle();
            sleep(CLOSE_IDLE_INTERVAL).await;
        }
    }
}

struct ListenerContext<H> {
    name: &'static str,
    handler: Arc<H>,
    settings: Arc<ListenerSettings>,
    budget: ByteBudget,
    connections: Arc<Connections>,
    leaving: CancellationToken,
}

impl<H> Clone for ListenerContext<H> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            handler: Arc::clone(&self.handler),
            settings: Arc::clone(&self.settings),
            budget: self.budget.clone(),
            connections: Arc::clone(&self.connections),
            leaving: self.leaving.clone(),
        }
    }
}

async fn accept<H: NewHandler + 'static>(
    socket: TcpListener,
    context: ListenerContext<H>,
    stop: CancellationToken,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => break,
            accepted = socket.accept() => accepted,
        };
        let (client, address) = match accepted {
            Ok(accepted) => accepted,
            Err(cause) => {
                warn!(event = "accept_failed", cause = %cause);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = context.connections.make_room() => {}
        }
        let connection = context.connections.add();
        let watcher = graceful.watcher();
        let context = context.clone();
        tokio::spawn(async move {
            record_connections(context.name, context.connections.len());
            serve_client(client, address, &connection, watcher, &context).await;
            context.connections.remove(&connection);
            record_connections(context.name, context.connections.len());
        });
    }
    graceful
}

async fn serve_client<H: NewHandler + 'static>(
    client: TcpStream,
    address: SocketAddr,
    connection: &Arc<Connection>,
    watcher: Watcher,
    context: &ListenerContext<H>,
) {
    let settings = &context.settings;
    let _ignored = client.set_nodelay(true);
    let write_timeout = settings.write_timeout_ms.duration();
    let client = ClientIo::new(client, Arc::clone(connection), write_timeout);
    let (service_context, service_connection) = (context.clone(), Arc::clone(connection));
    let service = service_fn(move |request| {
        let (context, connection) = (service_context.clone(), Arc::clone(&service_connection));
        async move { serve_request(request, address, &connection, &context).await }
    });
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout_ms.duration())
        .max_buf_size(settings.header_max_bytes);
    let served = builder.serve_connection(TokioIo::new(client), service);
    let served = watcher.watch(served);
    let ended = tokio::select! {
        ended = served => ended,
        () = connection.closed.cancelled() => Ok(()),
    };
    if let Err(cause) = ended {
        debug!(event = "connection_failed", client = %address, cause = %cause);
    }
}

async fn serve_request<H: NewHandler + 'static>(
    request: Request<Incoming>,
    address: SocketAddr,
    connection: &Arc<Connection>,
    context: &ListenerContext<H>,
) -> io::Result<Response<GuardedBody>> {
    let Some(guard) = connection.begin() else {
        return Err(io::ErrorKind::ConnectionAborted.into());
    };
    let arrived = Instant::now();
    let reservation = (!request.body().is_end_stream())
        .then(|| BodyReservation::new(&context.budget, context.settings.body_max_bytes));
    let refused = reservation.as_ref().map(BodyReservation::refused);
    let mut answer = if has_text_request_id(&request) {
        handle_request(request, address, context, reservation).await?
    } else {
        let message = "the header x-request-id is not text";
        error_response(StatusCode::BAD_REQUEST, "malformed", message, None)
    };
    record_response(context.name, answer.status(), arrived.elapsed().into());
    let is_refused = refused.is_some_and(|refused| refused.load(Ordering::Acquire));
    if is_refused {
        connection.has_unread_body.store(true, Ordering::Release);
    }
    if is_refused || context.leaving.is_cancelled() || context.connections.take_room_wanted() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    let response_bytes = buffered_bytes(&answer).min(context.settings.body_budget_bytes / 2);
    if response_bytes > UNCOUNTED_RESPONSE_MAX_BYTES {
        // The request has run, so it is not refused: the connection ends without a response.
        let held = connection.hold_response(&context.budget, response_bytes);
        held.await.map_err(io::Error::other)?;
    }
    Ok(answer.map(|body| GuardedBody::new(body, guard)))
}

/// Returns the bytes that a response keeps in memory while its client does not read.
fn buffered_bytes(response: &Response<Body>) -> usize {
    if response.extensions().get::<StreamedResponse>().is_some() {
        return 0;
    }
    let bytes = response.body().size_hint().exact();
    let bytes = bytes.and_then(|bytes| usize::try_from(bytes).ok());
    bytes.map_or(0, |bytes| bytes.min(COUNTED_RESPONSE_MAX_BYTES))
}

async fn handle_request<H: NewHandler + 'static>(
    request: Request<Incoming>,
    address: SocketAddr,
    context: &ListenerContext<H>,
    reservation: Option<BodyReservation>,
) -> io::Result<Response<Body>> {
    let settings = &context.settings;
    let limited = request.map(|body| {
        let within = settings.body_timeout_ms.duration();
        LimitedBody::new(body, settings.body_max_bytes, within)
    });
    let mut state = State::from_request(limited, address);
    if let Some(reservation) = reservation {
        state.put(reservation);
    }
    let state = AssertUnwindSafe(state);
    let answer = call_handler(Arc::clone(&context.handler), state).await;
    answer.map(with_error_body).map_err(io::Error::other)
}

/// Returns whether the request id header is valid UTF-8. Gotham panics otherwise.
fn has_text_request_id(request: &Request<Incoming>) -> bool {
    let mut ids = request.headers().get_all(REQUEST_ID_HEADER).iter();
    ids.all(|id| std::str::from_utf8(id.as_bytes()).is_ok())
}

/// Adds an error body to responses that gotham generates itself, which have none.
fn with_error_body(answer: Response<Body>) -> Response<Body> {
    let bare = answer.body().size_hint().exact() == Some(0)
        && !answer.headers().contains_key(CONTENT_TYPE);
    if !bare {
        return answer;
    }
    let (code, message) = match answer.status() {
        StatusCode::NOT_FOUND => ("not_found", "there is no such route"),
        StatusCode::METHOD_NOT_ALLOWED => ("bad_method", "the route does not take this method"),
        StatusCode::BAD_REQUEST => ("malformed", "the path or query is malformed"),
        StatusCode::INTERNAL_SERVER_ERROR => ("internal", "the request could not be handled"),
        _ => return answer,
    };
    let (head, _empty) = answer.into_parts();
    let mut response = error_response(head.status, code, message, None);
    for (name, value) in &head.headers {
        response.headers_mut().insert(name.clone(), value.clone());
    }
    response
}
