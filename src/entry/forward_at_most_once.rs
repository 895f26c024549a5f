use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{sleep, timeout};

use super::attempt_guard::AttemptGuard;
use super::endpoint_client::{EndpointResponse, RequestSender, reports_not_run};
use super::forward::{Forwarder, RouterDecision};
use super::forward_idempotent::{
    LATE_RESPONSE_TIMEOUT_MS, ResponseSender, read_body_up_to, respond,
};
use super::forward_request::{CallerRequest, ForwardResponse};
use super::request_records::{BeginOutcome, RecordedOutcome};
use crate::request_ledger::{RESPONSE_BYTES_MAX, RecordState, StoredResponse};
use crate::router::{AttemptOutcome, RouterEvent, SendOrder, Ticket};
use crate::units::{Millis, Sequence};

/// Initial delay before a request that another attempt has in progress is retried.
const RECORD_RETRY_MIN_MS: Millis = Millis(50);
/// Maximum delay between such retries.
const RECORD_RETRY_MAX_MS: Millis = Millis(500);

/// Next step of a recorded request after one decision of the router.
enum Step {
    /// Answers the caller.
    Respond(ForwardResponse),
    /// Waits for the next decision, which may allow another attempt.
    Continue,
}

impl Forwarder {
    /// Runs a request that must run at most once.
    ///
    /// The caller is answered at its deadline at the latest. Work on the record continues in the
    /// background, so that a late response is stored for a resend.
    pub(super) async fn run_at_most_once(
        self: Arc<Self>,
        request: CallerRequest,
        caller: ResponseSender,
    ) {
        let mut caller = Some(caller);
        let (ticket, mut decisions) = self.enqueue(&request);
        let mut retry_delay_ms = RECORD_RETRY_MIN_MS;
        let answer = loop {
            let step = match decisions.recv().await {
                None => Step::Respond(ForwardResponse::lost_request()),
                Some(RouterDecision::Refuse(refusal)) => {
                    let answer = ForwardResponse::from_router_refusal(&refusal);
                    Step::Respond(self.verify_not_run(&request, answer).await)
                }
                Some(RouterDecision::Send(order)) => {
                    self.run_recorded_attempt(
                        &request,
                        ticket,
                        order,
                        &mut caller,
                        &mut retry_delay_ms,
                    )
                    .await
                }
            };
            if let Step::Respond(answer) = step {
                break answer;
            }
        };
        self.cancel_request(ticket, decisions);
        respond(&mut caller, answer);
    }

    /// Makes one attempt: commits its begin, sends the request and commits how it ended.
    async fn run_recorded_attempt(
        self: &Arc<Self>,
        request: &CallerRequest,
        ticket: Ticket,
        order: SendOrder,
        caller: &mut Option<ResponseSender>,
        retry_delay_ms: &mut Millis,
    ) -> Step {
        let attempt = AttemptGuard::new(self, order);
        let sender = match self.connect(&attempt.order).await {
            Ok(sender) => sender,
            Err(end) => {
                attempt.end(end);
                return Step::Continue;
            }
        };
        let sequence = self.next_sequence();
        match self.begin(request, &attempt.order.instance, sequence).await {
            BeginOutcome::Begun => {}
            BeginOutcome::InProgress => {
                self.release_unused(&attempt, sender);
                self.schedule_retry(ticket, retry_delay_ms);
                return Step::Continue;
            }
            BeginOutcome::Respond(answer) => {
                self.release_unused(&attempt, sender);
                return Step::Respond(answer);
            }
        }
        let in_time = self.now() < request.deadline_ms;
        if !in_time || !self.may_send(&attempt.order.instance) {
            self.finish(request, sequence, RecordState::NotSent).await;
            self.release_unused(&attempt, sender);
            self.handle(RouterEvent::RetryScheduled {
                ticket,
                not_before_ms: self.now(),
            });
            return Step::Continue;
        }
        self.send_recorded(request, &attempt, sequence, sender, caller)
            .await
    }

    /// Sends a request whose begin is committed. From here on the request may have run.
    async fn send_recorded(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: &AttemptGuard,
        sequence: Sequence,
        sender: RequestSender,
        caller: &mut Option<ResponseSender>,
    ) -> Step {
        attempt.mark_sent();
        let order = attempt.order.clone();
        let work = self.send_and_buffer(request, &order, sequence, sender);
        tokio::pin!(work);
        let remaining_ms = request.deadline_ms.since(self.now());
        let ended = match timeout(remaining_ms.duration(), &mut work).await {
            Ok(ended) => ended,
            Err(_elapsed) => {
                respond(caller, ForwardResponse::deadline_after_send());
                self.finish(request, sequence, RecordState::Unknown).await;
                let late = timeout(LATE_RESPONSE_TIMEOUT_MS.duration(), work).await;
                late.unwrap_or(Err(AttemptOutcome::TimedOut))
            }
        };
        match ended {
            Ok((answer, sender)) => {
                attempt.end_answered(sender);
                let state = RecordState::Answered(answer);
                self.record_outcome(request, sequence, state, caller).await
            }
            Err(end @ (AttemptOutcome::NotSent | AttemptOutcome::Busy { .. })) => {
                self.finish(request, sequence, RecordState::NotSent).await;
                attempt.end(end);
                Step::Continue
            }
            Err(end) => {
                attempt.end(end);
                self.record_outcome(request, sequence, RecordState::Unknown, caller)
                    .await
            }
        }
    }

    /// Commits how an attempt ended before its caller is answered.
    async fn record_outcome(
        self: &Arc<Self>,
        request: &CallerRequest,
        sequence: Sequence,
        state: RecordState,
        caller: &mut Option<ResponseSender>,
    ) -> Step {
        let work = self.finish(request, sequence, state);
        tokio::pin!(work);
        let remaining_ms = request
            .deadline_ms
            .since(self.now())
            .max(RECORD_RETRY_MAX_MS);
        let recorded = match timeout(remaining_ms.duration(), &mut work).await {
            Ok(recorded) => recorded,
            Err(_elapsed) => {
                respond(caller, ForwardResponse::deadline_after_send());
                work.await
            }
        };
        Step::Respond(match recorded {
            RecordedOutcome::Answered(answer) => ForwardResponse::stored(answer),
            RecordedOutcome::NoAnswer => ForwardResponse::unknown(
                StatusCode::BAD_GATEWAY,
                "outcome_unknown",
                "the endpoint gave no whole answer that can be kept; the work may have run",
            ),
        })
    }

    /// Sends the request and reads its complete response.
    async fn send_and_buffer(
        self: &Arc<Self>,
        request: &CallerRequest,
        order: &SendOrder,
        sequence: Sequence,
        sender: RequestSender,
    ) -> Result<(StoredResponse, RequestSender), AttemptOutcome> {
        let within = request.deadline_ms.since(self.now());
        let within = within.saturating_add(LATE_RESPONSE_TIMEOUT_MS);
        let answered = self
            .send_request(order, request, sequence, sender, within)
            .await?;
        if reports_not_run(&answered.response) {
            return Err(self.drain_not_run_response(order, answered).await);
        }
        let EndpointResponse { response, sender } = answered;
        let (head, body) = response.into_parts();
        let max_bytes = usize::try_from(RESPONSE_BYTES_MAX).unwrap_or(usize::MAX);
        let whole = read_body_up_to(body, max_bytes).await;
        let body = whole.map_err(|_part| AttemptOutcome::Failed)?;
        let content_type = head.headers.get(http::header::CONTENT_TYPE);
        let answer = StoredResponse {
            status: head.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .into(),
            body: body.into(),
        };
        Ok((answer, sender))
    }

    /// Releases the slot of an attempt that sent nothing. Its connection stays usable.
    fn release_unused(&self, attempt: &AttemptGuard, sender: RequestSender) {
        let reusable = self.keep_connection(attempt.order.connection, sender);
        attempt.end(AttemptOutcome::Released { reusable });
    }

    /// Returns a request to the router's queue while another attempt is in progress, so that the
    /// ledger is asked again later.
    fn schedule_retry(self: &Arc<Self>, ticket: Ticket, retry_delay_ms: &mut Millis) {
        let not_before_ms = self.now().saturating_add(*retry_delay_ms);
        *retry_delay_ms = Millis(retry_delay_ms.get().saturating_mul(2)).min(RECORD_RETRY_MAX_MS);
        self.handle(RouterEvent::RetryScheduled {
            ticket,
            not_before_ms,
        });
    }
}

/// Waits for the given delay, then doubles it up to `max`.
pub(super) async fn back_off(delay: &mut Duration, max: Duration) {
    sleep(*delay).await;
    *delay = delay.saturating_mul(2).min(max);
}
