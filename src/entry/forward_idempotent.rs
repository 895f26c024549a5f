use std::sync::Arc;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::endpoint_link::{Answered, Sender, relayed_headers, says_not_run};
use super::forward::{Directive, Forwarder};
use super::forward_request::{CallerRequest, ForwardAnswer};
use super::relay_body::{RelayBody, Relayed};
use crate::router::{AttemptEnd, SendOrder};

/// Answers up to this size are read whole before they are relayed, so that a broken one is retried.
pub(super) const WHOLE_BYTES_MAX: usize = 32 * 1_024;

/// The caller's side of a request.
pub(super) type AnswerSender = oneshot::Sender<ForwardAnswer>;

impl Forwarder {
    /// Sends a request to one endpoint after the other until one answers or the router refuses.
    pub(super) async fn run_idempotent(
        self: Arc<Self>,
        request: CallerRequest,
        mut caller: AnswerSender,
    ) {
        let (ticket, mut directives) = self.enqueue(&request);
        let answer = tokio::select! {
            answer = self.attempt_until_answered(&request, &mut directives) => Some(answer),
            () = caller.closed() => None,
        };
        self.leave(ticket, directives);
        if let Some(answer) = answer {
            // A caller that has gone away needs no answer.
            let _told = caller.send(answer);
        }
    }

    async fn attempt_until_answered(
        self: &Arc<Self>,
        request: &CallerRequest,
        directives: &mut mpsc::UnboundedReceiver<Directive>,
    ) -> ForwardAnswer {
        while let Some(directive) = directives.recv().await {
            let order = match directive {
                Directive::Refuse(refusal) => return ForwardAnswer::refused(&refusal),
                Directive::Send(order) => order,
            };
            let mut attempt = OpenAttempt::new(self, order);
            let left_ms = request.deadline_ms.since(self.now());
            match timeout(left_ms.duration(), self.attempt(request, &mut attempt)).await {
                Ok(Ok(answer)) => return answer,
                Ok(Err(end)) => attempt.end(end),
                Err(_elapsed) if attempt.sent => {
                    attempt.end(AttemptEnd::GivenUp);
                    return ForwardAnswer::late();
                }
                Err(_elapsed) => attempt.end(AttemptEnd::NotSent),
            }
        }
        ForwardAnswer::lost()
    }

    /// One attempt: the answer, or how the attempt ended without one.
    async fn attempt(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: &mut OpenAttempt,
    ) -> Result<ForwardAnswer, AttemptEnd> {
        let order = attempt.order.clone();
        let sender = self.connect(&order).await?;
        if !self.may_send(&order.run) {
            return Err(AttemptEnd::NotSent);
        }
        attempt.sent = true;
        let within = order.answer_within_ms;
        let sequence = self.next_sequence();
        let answered = self
            .exchange_head(&order, request, sequence, sender, within)
            .await?;
        if says_not_run(&answered.response) {
            return Err(self.end_of_refusal(&order, answered).await);
        }
        self.relay(attempt, answered).await
    }

    /// Reads the rest of a refusal, so that its connection can be used again.
    pub(super) async fn end_of_refusal(&self, order: &SendOrder, answered: Answered) -> AttemptEnd {
        let Answered { response, sender } = answered;
        let read = read_whole(response.into_body(), WHOLE_BYTES_MAX).await;
        let reusable = read.is_ok() && self.keep_connection(order.connection, sender);
        AttemptEnd::Busy { reusable }
    }

    /// Relays an answer: a small one whole, a large one as it comes.
    async fn relay(
        self: &Arc<Self>,
        attempt: &mut OpenAttempt,
        answered: Answered,
    ) -> Result<ForwardAnswer, AttemptEnd> {
        let Answered { response, sender } = answered;
        let (head, body) = response.into_parts();
        let headers = relayed_headers(&head.headers);
        let (body, first) = match read_whole(body, WHOLE_BYTES_MAX).await {
            Ok(whole) => {
                self.answered(attempt, sender);
                return Ok(answered_with(head.status, headers, whole_body(whole)));
            }
            Err(PartOfBody::Broken) => return Err(AttemptEnd::Broken),
            Err(PartOfBody::Larger { first, rest }) => (*rest, first),
        };
        let rest = RelayBody::new(first, body, Relayed::new(attempt.take(), sender));
        Ok(answered_with(head.status, headers, Body::new(rest)))
    }

    /// Ends an attempt whose whole answer has come.
    fn answered(self: &Arc<Self>, attempt: &mut OpenAttempt, sender: Sender) {
        let reusable = self.keep_connection(attempt.order.connection, sender);
        attempt.end(AttemptEnd::Answered { reusable });
    }
}

/// An attempt whose slot is given back on every way out, also when its caller goes away.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    forwarder: Arc<Forwarder>,
    pub(super) order: SendOrder,
    /// Whether a byte may have gone out.
    pub(super) sent: bool,
    open: bool,
}

impl OpenAttempt {
    pub(super) fn new(forwarder: &Arc<Forwarder>, order: SendOrder) -> Self {
        Self {
            forwarder: Arc::clone(forwarder),
            order,
            sent: false,
            open: true,
        }
    }

    pub(super) fn end(&mut self, end: AttemptEnd) {
        if self.open {
            self.open = false;
            self.forwarder.end_attempt(&self.order, end);
        }
    }

    /// Ends the attempt with its whole answer and keeps its connection where it still serves.
    pub(super) fn end_answered(&mut self, sender: Sender) {
        let forwarder = Arc::clone(&self.forwarder);
        forwarder.answered(self, sender);
    }

    /// Moves the duty to end the attempt.
    fn take(&mut self) -> Self {
        self.open = false;
        Self {
            forwarder: Arc::clone(&self.forwarder),
            order: self.order.clone(),
            sent: true,
            open: true,
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        let end = if self.sent {
            AttemptEnd::GivenUp
        } else {
            AttemptEnd::NotSent
        };
        self.end(end);
    }
}

/// A body that was not read whole.
#[derive(Debug)]
pub(super) enum PartOfBody {
    /// It ended early or its framing is broken.
    Broken,
    /// It is larger than what was asked for.
    Larger {
        first: Vec<Bytes>,
        rest: Box<Incoming>,
    },
}

/// Reads a body up to `max_bytes`.
pub(super) async fn read_whole(mut body: Incoming, max_bytes: usize) -> Result<Bytes, PartOfBody> {
    let mut frames = Vec::new();
    let mut bytes = 0;
    if body.size_hint().lower() > max_bytes as u64 {
        let rest = Box::new(body);
        return Err(PartOfBody::Larger {
            first: frames,
            rest,
        });
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_early| PartOfBody::Broken)?;
        if let Ok(data) = frame.into_data() {
            bytes += data.len();
            frames.push(data);
        }
        if bytes > max_bytes {
            let rest = Box::new(body);
            return Err(PartOfBody::Larger {
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

/// A body that is at hand.
pub(super) fn whole_body(bytes: Bytes) -> Body {
    let whole = Full::new(bytes).map_err(|never: std::convert::Infallible| match never {});
    Body::new(whole)
}

fn answered_with(status: StatusCode, headers: http::HeaderMap, body: Body) -> ForwardAnswer {
    ForwardAnswer::Answered {
        status,
        headers,
        body,
    }
}

/// The answer with a whole body, as HTTP.
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
