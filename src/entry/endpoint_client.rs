use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri, header};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1;
use hyper::service::Service as _;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::service::TowerToHyperService;
use tokio::time::timeout;

use super::forward::Forwarder;
use super::forward_request::CallerRequest;
use crate::router::{AttemptOutcome, SendOrder};
use crate::units::{Millis, Sequence};

/// The way to send requests on one connection.
pub(super) type RequestSender = http1::SendRequest<Full<Bytes>>;
/// Opens connections under the limits below.
pub(super) type Connector = TowerToHyperService<HttpConnector>;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long sent bytes may stay unacknowledged before the system gives the connection up.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be quiet before the system probes it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is given up.
const KEEPALIVE_PROBES: u32 = 3;
/// How long a connection that has answered may take to be ready again.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// The caller's id, which an endpoint echoes.
pub(super) const REQUEST_ID: &str = "marjoramknot-request-id";
/// The entry's number for one attempt, which an endpoint echoes too.
pub(super) const ATTEMPT: &str = "marjoramknot-attempt";
/// The team, towards the endpoint as from the caller.
pub(super) const TEAM: &str = "marjoramknot-team";
/// Whether the request may run more than once.
pub(super) const IDEMPOTENT: &str = "marjoramknot-idempotent";
/// Milliseconds until the caller wants to be told.
pub(super) const DEADLINE_MS: &str = "marjoramknot-deadline-ms";
/// The incarnation that the request is meant for.
pub(super) const INCARNATION: &str = "marjoramknot-incarnation";
/// What became of the work, where there is no whole answer.
pub(super) const OUTCOME: &str = "marjoramknot-outcome";

/// An answer's head that belongs to the attempt, with its connection.
#[derive(Debug)]
pub(super) struct EndpointResponse {
    pub(super) response: Response<Incoming>,
    pub(super) sender: RequestSender,
}

pub(super) fn connector() -> Connector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    TowerToHyperService::new(connector)
}

impl Forwarder {
    /// Gets the connection of an order, opened anew where the order says so.
    ///
    /// # Errors
    /// How the attempt ends; no byte went out.
    pub(super) async fn connect(
        self: &Arc<Self>,
        order: &SendOrder,
    ) -> Result<RequestSender, AttemptOutcome> {
        if !order.new_connection {
            let mut sender = self
                .take_connection(order.connection)
                .ok_or(AttemptOutcome::NotSent)?;
            let ready = timeout(READY_TIMEOUT, sender.ready()).await;
            return match ready {
                Ok(Ok(())) => Ok(sender),
                _ => Err(AttemptOutcome::NotSent),
            };
        }
        let opened = timeout(CONNECT_TIMEOUT, self.open(order)).await;
        opened.unwrap_or(Err(AttemptOutcome::ConnectFailed))
    }

    async fn open(self: &Arc<Self>, order: &SendOrder) -> Result<RequestSender, AttemptOutcome> {
        let address = address_uri(order.address);
        let stream = self.connector.call(address).await;
        let stream = stream.map_err(|_refused| AttemptOutcome::ConnectFailed)?;
        let handshake = http1::handshake(stream).await;
        let (mut sender, connection) =
            handshake.map_err(|_failed| AttemptOutcome::ConnectFailed)?;
        let forwarder = Arc::downgrade(self);
        let (instance, number) = (order.instance.clone(), order.connection);
        tokio::spawn(async move {
            // Why a connection ended is told to the request that it had.
            let _ended = connection.await;
            if let Some(forwarder) = forwarder.upgrade() {
                forwarder.connection_closed(instance, number);
            }
        });
        let ready = sender.ready().await;
        ready.map_err(|_closed| AttemptOutcome::ConnectFailed)?;
        Ok(sender)
    }

    /// Sends the request and waits for the head of the answer that belongs to it.
    ///
    /// # Errors
    /// How the attempt ends: [`AttemptOutcome::NotSent`] only where no byte went out.
    pub(super) async fn send_request(
        &self,
        order: &SendOrder,
        request: &CallerRequest,
        sequence: Sequence,
        mut sender: RequestSender,
        timeout_ms: Millis,
    ) -> Result<EndpointResponse, AttemptOutcome> {
        let attempt = self.attempt_id(sequence);
        let remaining_ms = request.deadline_ms.since(self.now());
        let message = build_request(request, order, &attempt, remaining_ms);
        let sent = timeout(timeout_ms.duration(), sender.try_send_request(message)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                return Err(if unsent {
                    AttemptOutcome::NotSent
                } else {
                    AttemptOutcome::Failed
                });
            }
            Err(_elapsed) => return Err(AttemptOutcome::TimedOut),
        };
        if !matches_attempt(&response, request, &attempt) || !has_detectable_end(&response) {
            return Err(AttemptOutcome::Failed);
        }
        Ok(EndpointResponse { response, sender })
    }

    fn attempt_id(&self, sequence: Sequence) -> String {
        let options = &self.options;
        format!("{}-{}-{sequence}", options.entry, options.incarnation)
    }
}

/// Whether the endpoint says that it did not run the request.
pub(super) fn reports_not_run(response: &Response<Incoming>) -> bool {
    let outcome = response.headers().get(OUTCOME);
    outcome.is_some_and(|outcome| outcome == "not_run")
}

/// Whether an early end of the body would show.
fn has_detectable_end(response: &Response<Incoming>) -> bool {
    let body = response.body();
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    body.is_end_stream() || body.size_hint().exact().is_some() || chunked
}

/// An answer belongs to an attempt when it echoes the request's id and the attempt's number, so that
/// neither a late nor a doubled answer of another one is taken for it.
fn matches_attempt(response: &Response<Incoming>, request: &CallerRequest, attempt: &str) -> bool {
    let echoes = |name: &str, value: &str| {
        let mut values = response.headers().get_all(name).iter();
        values.next().is_some_and(|echo| echo == value) && values.next().is_none()
    };
    echoes(REQUEST_ID, request.id.as_str()) && echoes(ATTEMPT, attempt)
}

/// The headers of an endpoint's answer that its caller gets.
pub(super) fn relayed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut relayed = HeaderMap::new();
    for (name, value) in headers {
        let ours = name.as_str().starts_with("marjoramknot-");
        let hop = matches!(
            *name,
            header::CONNECTION
                | header::TRANSFER_ENCODING
                | header::CONTENT_LENGTH
                | header::TE
                | header::TRAILER
                | header::UPGRADE
        ) || name == "keep-alive";
        if !ours && !hop {
            relayed.append(name, value.clone());
        }
    }
    relayed
}

fn build_request(
    request: &CallerRequest,
    order: &SendOrder,
    attempt: &str,
    remaining_ms: Millis,
) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request
        .path
        .parse()
        .expect("the path was checked when the request came");
    let headers = message.headers_mut();
    let mut set = |name: &'static str, value: String| {
        let value = HeaderValue::try_from(value).expect("ids and numbers are header text");
        headers.insert(name, value);
    };
    set("host", order.address.to_string());
    set(REQUEST_ID, request.id.to_string());
    set(ATTEMPT, attempt.to_owned());
    set(TEAM, request.team.to_string());
    set(IDEMPOTENT, request.idempotent.to_string());
    set(DEADLINE_MS, remaining_ms.get().to_string());
    set(INCARNATION, order.instance.incarnation.to_string());
    if let Some(content_type) = &request.content_type {
        headers.insert(header::CONTENT_TYPE, content_type.clone());
    }
    message
}

fn address_uri(address: SocketAddr) -> Uri {
    let uri = format!("http://{address}/");
    uri.parse().expect("an address makes a URI")
}
