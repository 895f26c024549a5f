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

/// Sends requests over one HTTP/1.1 connection to an endpoint.
pub(super) type RequestSender = http1::SendRequest<Full<Bytes>>;
/// Opens connections with the time-outs below.
pub(super) type Connector = TowerToHyperService<HttpConnector>;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the operating system drops a connection whose sent data stays unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which the operating system sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the connection is dropped.
const KEEPALIVE_PROBES: u32 = 3;
/// Time-out for a pooled connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Header with the caller's request id, which the endpoint echoes.
pub(super) const REQUEST_ID: &str = "marjoramknot-request-id";
/// Header with the entry's id of one attempt, which the endpoint echoes as well.
pub(super) const ATTEMPT: &str = "marjoramknot-attempt";
/// Header with the team, in requests from callers and to endpoints.
pub(super) const TEAM: &str = "marjoramknot-team";
/// Header that says whether the request may run more than once.
pub(super) const IDEMPOTENT: &str = "marjoramknot-idempotent";
/// Header with the milliseconds that are left until the caller's deadline.
pub(super) const DEADLINE_MS: &str = "marjoramknot-deadline-ms";
/// Header with the endpoint incarnation that the request is meant for.
pub(super) const INCARNATION: &str = "marjoramknot-incarnation";
/// Header with the outcome of the work when there is no complete response.
pub(super) const OUTCOME: &str = "marjoramknot-outcome";

/// The head of an endpoint's response that was matched to its attempt, with the connection it came
/// on.
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
    /// Returns the connection for an order: a pooled one, or a new one if the order asks for it.
    ///
    /// # Errors
    /// Returns the outcome of the attempt. No data was sent to the endpoint.
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
            // The request that used the connection reports why it ended.
            let _ended = connection.await;
            if let Some(forwarder) = forwarder.upgrade() {
                forwarder.connection_closed(instance, number);
            }
        });
        let ready = sender.ready().await;
        ready.map_err(|_closed| AttemptOutcome::ConnectFailed)?;
        Ok(sender)
    }

    /// Sends the request and waits for the head of the matching response.
    ///
    /// # Errors
    /// Returns the outcome of the attempt. It is [`AttemptOutcome::NotSent`] only if no data was
    /// sent.
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

/// Returns whether the endpoint reports that it did not run the request.
pub(super) fn reports_not_run(response: &Response<Incoming>) -> bool {
    let outcome = response.headers().get(OUTCOME);
    outcome.is_some_and(|outcome| outcome == "not_run")
}

/// Returns whether the framing of the body makes a truncated response detectable.
fn has_detectable_end(response: &Response<Incoming>) -> bool {
    let body = response.body();
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    body.is_end_stream() || body.size_hint().exact().is_some() || chunked
}

/// Returns whether the response echoes the request id and the attempt id.
///
/// This keeps a late or duplicate response to another attempt from being taken for this one.
fn matches_attempt(response: &Response<Incoming>, request: &CallerRequest, attempt: &str) -> bool {
    let echoes = |name: &str, value: &str| {
        let mut values = response.headers().get_all(name).iter();
        values.next().is_some_and(|echo| echo == value) && values.next().is_none()
    };
    echoes(REQUEST_ID, request.id.as_str()) && echoes(ATTEMPT, attempt)
}

/// Returns the response headers that are passed on to the caller: no hop-by-hop headers and none of
/// Marjoramknot's own.
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
        .expect("the path was validated when the request was read");
    let headers = message.headers_mut();
    let mut set = |name: &'static str, value: String| {
        let value = HeaderValue::try_from(value).expect("ids and numbers are valid header values");
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
    uri.parse().expect("a socket address forms a valid URI")
}
