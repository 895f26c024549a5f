use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{sleep, timeout};

use super::attempt_guard::OpenAttempt;
use super::endpoint_client::{Answered, Sender, says_not_run};
use super::forward::{Directive, Forwarder};
use super::forward_idempotent::{AnswerSender, LATE_ANSWER_MS, read_whole, tell};
use super::forward_request::{CallerRequest, ForwardResponse};
use super::request_records::{Begin, Recorded};
use crate::request_ledger::{RESPONSE_BYTES_MAX, RecordState, StoredResponse};
use crate::router::{AttemptOutcome, RouterEvent, SendOrder, Ticket};
use crate::units::{Millis, Sequence};

/// First pause before a request in progress elsewhere is asked for again.
const ASK_AGAIN_MIN_MS: Millis = Millis(50);
/// Longest such pause.
const ASK_AGAIN_MAX_MS: Millis = Millis(500);

/// Where a recorded request stands after one directive.
enum Step {
    /// The caller can be told.
    Told(ForwardResponse),
    /// Another attempt may follow.
    GoOn,
}

impl Forwarder {
    /// Runs a request that must run at most once.
    ///
    /// The caller is told at its deadline at the latest; the work on the record goes on behind it,
    /// so that a late answer is kept for a resend.
    pub(super) async fn run_recorded(
        self: Arc<Self>,
        request: CallerRequest,
        caller: AnswerSender,
    ) {
        let mut caller = Some(caller);
        let (ticket, mut directives) = self.enqueue(&request);
        let mut pause_ms = ASK_AGAIN_MIN_MS;
        let answer = loop {
            let step = match directives.recv().await {
                None => Step::Told(ForwardResponse::lost()),
                Some(Directive::Refuse(refusal)) => {
                    let answer = ForwardResponse::refused(&refusal);
                    Step::Told(self.check_refusal(&request, answer).await)
                }
                Some(Directive::Send(order)) => {
                    self.try_once(&request, ticket, order, &mut caller, &mut pause_ms)
                        .await
                }
            };
            if let Step::Told(answer) = step {
                break answer;
            }
        };
        self.leave(ticket, directives);
        tell(&mut caller, answer);
    }

    /// Follows one order: commits the begin, sends, and commits how it ended.
    async fn try_once(
        self: &Arc<Self>,
        request: &CallerRequest,
        ticket: Ticket,
        order: SendOrder,
        caller: &mut Option<AnswerSender>,
        pause_ms: &mut Millis,
    ) -> Step {
        let attempt = OpenAttempt::new(self, order);
        let sender = match self.connect(&attempt.order).await {
            Ok(sender) => sender,
            Err(end) => {
                attempt.end(end);
                return Step::GoOn;
            }
        };
        let sequence = self.next_sequence();
        match self.begin(request, &attempt.order.instance, sequence).await {
            Begin::Begun => {}
            Begin::InProgress => {
                self.give_back(&attempt, sender);
                self.ask_again(ticket, pause_ms);
                return Step::GoOn;
            }
            Begin::Settled(answer) => {
                self.give_back(&attempt, sender);
                return Step::Told(answer);
            }
        }
        let in_time = self.now() < request.deadline_ms;
        if !in_time || !self.may_send(&attempt.order.instance) {
            self.finish(request, sequence, RecordState::NotSent).await;
            self.give_back(&attempt, sender);
            self.handle(RouterEvent::RetryScheduled {
                ticket,
                not_before_ms: self.now(),
            });
            return Step::GoOn;
        }
        self.send_begun(request, &attempt, sequence, sender, caller)
            .await
    }

    /// Sends what the ledger knows as begun: from here on it may have run.
    async fn send_begun(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: &OpenAttempt,
        sequence: Sequence,
        sender: Sender,
        caller: &mut Option<AnswerSender>,
    ) -> Step {
        attempt.set_sent();
        let order = attempt.order.clone();
        let work = self.whole_answer(request, &order, sequence, sender);
        tokio::pin!(work);
        let left_ms = request.deadline_ms.since(self.now());
        let ended = match timeout(left_ms.duration(), &mut work).await {
            Ok(ended) => ended,
            Err(_elapsed) => {
                tell(caller, ForwardResponse::late());
                self.finish(request, sequence, RecordState::Unknown).await;
                let late = timeout(LATE_ANSWER_MS.duration(), work).await;
                late.unwrap_or(Err(AttemptOutcome::TimedOut))
            }
        };
        match ended {
            Ok((answer, sender)) => {
                attempt.end_answered(sender);
                let state = RecordState::Answered(answer);
                self.settle(request, sequence, state, caller).await
            }
            Err(end @ (AttemptOutcome::NotSent | AttemptOutcome::Busy { .. })) => {
                self.finish(request, sequence, RecordState::NotSent).await;
                attempt.end(end);
                Step::GoOn
            }
            Err(end) => {
                attempt.end(end);
                self.settle(request, sequence, RecordState::Unknown, caller)
                    .await
            }
        }
    }

    /// Commits how an attempt ended before its caller is told.
    async fn settle(
        self: &Arc<Self>,
        request: &CallerRequest,
        sequence: Sequence,
        state: RecordState,
        caller: &mut Option<AnswerSender>,
    ) -> Step {
        let work = self.finish(request, sequence, state);
        tokio::pin!(work);
        let left_ms = request.deadline_ms.since(self.now()).max(ASK_AGAIN_MAX_MS);
        let recorded = match timeout(left_ms.duration(), &mut work).await {
            Ok(recorded) => recorded,
            Err(_elapsed) => {
                tell(caller, ForwardResponse::late());
                work.await
            }
        };
        Step::Told(match recorded {
            Recorded::Answered(answer) => ForwardResponse::stored(answer),
            Recorded::Other => ForwardResponse::unknown(
                StatusCode::BAD_GATEWAY,
                "outcome_unknown",
                "the endpoint gave no whole answer that can be kept; the work may have run",
            ),
        })
    }

    /// Sends the request and reads its whole answer.
    async fn whole_answer(
        self: &Arc<Self>,
        request: &CallerRequest,
        order: &SendOrder,
        sequence: Sequence,
        sender: Sender,
    ) -> Result<(StoredResponse, Sender), AttemptOutcome> {
        let within = request.deadline_ms.since(self.now());
        let within = within.saturating_add(LATE_ANSWER_MS);
        let answered = self
            .exchange_head(order, request, sequence, sender, within)
            .await?;
        if says_not_run(&answered.response) {
            return Err(self.end_of_refusal(order, answered).await);
        }
        let Answered { response, sender } = answered;
        let (head, body) = response.into_parts();
        let max_bytes = usize::try_from(RESPONSE_BYTES_MAX).unwrap_or(usize::MAX);
        let whole = read_whole(body, max_bytes).await;
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

    /// Gives an attempt's slot back with nothing sent; its connection stays of use.
    fn give_back(&self, attempt: &OpenAttempt, sender: Sender) {
        let reusable = self.keep_connection(attempt.order.connection, sender);
        attempt.end(AttemptOutcome::Released { reusable });
    }

    /// Puts a request back that another attempt has in progress, to ask the ledger again.
    fn ask_again(self: &Arc<Self>, ticket: Ticket, pause_ms: &mut Millis) {
        let not_before_ms = self.now().saturating_add(*pause_ms);
        *pause_ms = Millis(pause_ms.get().saturating_mul(2)).min(ASK_AGAIN_MAX_MS);
        self.handle(RouterEvent::RetryScheduled {
            ticket,
            not_before_ms,
        });
    }
}

/// Waits a little longer each time, up to `max`.
pub(super) async fn back_off(pause: &mut Duration, max: Duration) {
    sleep(*pause).await;
    *pause = pause.saturating_mul(2).min(max);
}
