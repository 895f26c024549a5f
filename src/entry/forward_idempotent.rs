use std::sync::Arc;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::attempt_guard::AttemptGuard;
use super::endpoint_client::{EndpointResponse, relayed_headers, reports_not_run};
use super::forward::{Forwarder, RouterDecision};
use super::forward_request::{CallerRequest, ForwardResponse};
use super::relay_body::{RelayBody, StreamedAttempt};
use crate::router::{AttemptOutcome, SendOrder};
use crate::units::Millis;

/// Maximum size in bytes of a response that is buffered before it is relayed, so that a broken one
/// can be retried.
pub(super) const BUFFERED_BODY_MAX_BYTES: usize = 32 * 1_024;

/// Maximum time to wait for the end of an attempt whose caller has already been answered.
pub(super) const LATE_RESPONSE_TIMEOUT_MS: Millis = Millis(30_000);

/// Sends the response to the waiting caller.
pub(super) type ResponseSender = oneshot::Sender<ForwardResponse>;

impl Forwarder {
    /// Sends a request to one endpoint after another until one answers or the router refuses the
    /// request.
    ///
    /// If the deadline passes or the caller disconnects, the attempt in progress is still awaited
    /// in the background. The endpoint's slot stays in use until its response arrives.
    pub(super) async fn run_idempotent(
        self: Arc<Self>,
        request: CallerRequest,
        caller: ResponseSender,
    ) {
        let mut caller = Some(caller);
        let (ticket, mut decisions) = self.enqueue(&request);
        while let Some(decision) = next_decision(&mut decisions, &mut caller).await {
            let response = match decision {
                RouterDecision::Refuse(refusal) => {
                    Some(ForwardResponse::from_router_refusal(&refusal))
                }
                RouterDecision::Send(order) => self.run_attempt(&request, order, &mut caller).await,
            };
            if let Some(response) = response {
                respond(&mut caller, response);
            }
            if caller.is_none() {
                break;
            }
        }
        self.cancel_request(ticket, decisions);
    }

    /// Makes one attempt. Returns a response if the caller can be answered.
    async fn run_attempt(
        self: &Arc<Self>,
        request: &CallerRequest,
        order: SendOrder,
        caller: &mut Option<ResponseSender>,
    ) -> Option<ForwardResponse> {
        let attempt = AttemptGuard::new(self, order);
        let work = self.send_and_relay(request, &attempt);
        tokio::pin!(work);
        let remaining_ms = request.deadline_ms.since(self.now());
        let in_time = tokio::select! {
            ended = timeout(remaining_ms.duration(), &mut work) => ended.ok(),
            () = caller_closed(caller) => None,
        };
        match in_time {
            Some(Ok(response)) => return Some(response),
            Some(Err(end)) => {
                attempt.end(end);
                return None;
            }
            None => {}
        }
        if !attempt.is_sent() {
            attempt.end(AttemptOutcome::NotSent);
            return Some(ForwardResponse::deadline_before_send());
        }
        respond(caller, ForwardResponse::deadline_after_send());
        // A late response has no caller. Dropping a streamed response here ends its attempt.
        let late = timeout(LATE_RESPONSE_TIMEOUT_MS.duration(), &mut work).await;
        if let Ok(Err(end)) = late {
            attempt.end(end);
        }
        None
    }

    /// Makes one attempt and returns its response, or the outcome of the attempt if there is none.
    async fn send_and_relay(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: &AttemptGuard,
    ) -> Result<ForwardResponse, AttemptOutcome> {
        let order = attempt.order.clone();
        let sender = self.connect(&order).await?;
        if !self.may_send(&order.instance) {
            return Err(AttemptOutcome::NotSent);
        }
        attempt.mark_sent();
        let within = order.response_timeout_ms;
        let sequence = self.next_sequence();
        let answered = self
            .send_request(&order, request, sequence, sender, within)
            .await?;
        if reports_not_run(&answered.response) {
            return Err(self.drain_not_run_response(&order, answered).await);
        }
        self.relay(attempt, answered).await
    }

    /// Reads the rest of a response that reports that the request did not run, so that the
    /// connection can be reused.
    pub(super) async fn drain_not_run_response(
        &self,
        order: &SendOrder,
        answered: EndpointResponse,
    ) -> AttemptOutcome {
        let EndpointResponse { response, sender } = answered;
        let read = read_body_up_to(response.into_body(), BUFFERED_BODY_MAX_BYTES).await;
        let reusable = read.is_ok() && self.keep_connection(order.connection, sender);
        AttemptOutcome::Busy { reusable }
    }

    /// Relays a response: a small one after buffering it, a large one as a stream.
    async fn relay(
        self: &Arc<Self>,
        attempt: &AttemptGuard,
        answered: EndpointResponse,
    ) -> Result<ForwardResponse, AttemptOutcome> {
        let EndpointResponse { response, sender } = answered;
        let (head, body) = response.into_parts();
        let headers = relayed_headers(&head.headers);
        let (body, first) = match read_body_up_to(body, BUFFERED_BODY_MAX_BYTES).await {
            Ok(whole) => {
                attempt.end_answered(sender);
                return Ok(ForwardResponse::Completed {
                    status: head.status,
                    headers,
                    body: full_body(whole),
                    streamed: false,
                });
            }
            Err(PartialBody::Broken) => return Err(AttemptOutcome::Failed),
            Err(PartialBody::Larger { first, rest }) => (*rest, first),
        };
        let rest = RelayBody::new(
            first,
            body,
            StreamedAttempt::new(attempt.transfer(), sender),
        );
        Ok(ForwardResponse::Completed {
            status: head.status,
            headers,
            body: Body::new(rest),
            streamed: true,
        })
    }
}

/// Reason why a body was not read to its end.
#[derive(Debug)]
pub(super) enum PartialBody {
    /// The body ended early or its framing is invalid.
    Broken,
    /// The body is larger than the limit.
    Larger {
        first: Vec<Bytes>,
        rest: Box<Incoming>,
    },
}

/// Reads a body of up to `max_bytes`.
pub(super) async fn read_body_up_to(
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, PartialBody> {
    let mut frames = Vec::new();
    let mut bytes = 0;
    if body.size_hint().lower() > max_bytes as u64 {
        let rest = Box::new(body);
        return Err(PartialBody::Larger {
            first: frames,
            rest,
        });
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_early| PartialBody::Broken)?;
        if let Ok(data) = frame.into_data() {
            bytes += data.len();
            frames.push(data);
        }
        if bytes > max_bytes {
            let rest = Box::new(body);
            return Err(PartialBody::Larger {
                first: frames,
                rest,
            });
        }
    }
    Ok(join(frames, bytes))
}

fn join(mut frames: Vec<Bytes>, bytes: usize) -> Bytes {
    if frames.len() == 1 {
        return frames.remove(0);
    }
    let mut whole = Vec::with_capacity(bytes);
    for frame in frames {
        whole.extend_from_slice(&frame);
    }
    whole.into()
}

/// Builds a body from bytes in memory.
pub(super) fn full_body(bytes: Bytes) -> Body {
    let whole = Full::new(bytes).map_err(|never: std::convert::Infallible| match never {});
    Body::new(whole)
}

/// Builds an HTTP response from its parts.
pub(super) fn into_response(
    status: StatusCode,
    headers: http::HeaderMap,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the next decision of the router, or `None` once the caller has disconnected.
async fn next_decision(
    decisions: &mut mpsc::UnboundedReceiver<RouterDecision>,
    caller: &mut Option<ResponseSender>,
) -> Option<RouterDecision> {
    tokio::select! {
        decision = decisions.recv() => decision,
        () = caller_closed(caller) => None,
    }
}

async fn caller_closed(caller: &mut Option<ResponseSender>) {
    match caller {
        Some(caller) => caller.closed().await,
        None => std::future::pending().await,
    }
}

/// Sends the response to the caller, at most once.
pub(super) fn respond(caller: &mut Option<ResponseSender>, answer: ForwardResponse) {
    if let Some(caller) = caller.take() {
        // A caller that has disconnected needs no response, or sends the request again with the
        // same id.
        let _sent = caller.send(answer);
    }
}
