use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sha2::{Digest, Sha256};
use tokio::time::timeout;

use super::forward::Forwarder;
use super::forward_at_most_once::back_off;
use super::forward_request::{CallerRequest, ForwardResponse};
use crate::request_ledger::{
    BeginAnswer, BeginRequest, ContentDigest, DEDUP_WINDOW_MS, FinishAnswer, FinishRequest,
    RecordState, StoredResponse,
};
use crate::router::EndpointInstance;
use crate::units::{Incarnation, Millis, Sequence};

/// First pause before a commit is asked for again.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest such pause.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// How long a refusal may be checked against the ledger.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the end of an attempt is offered to the ledger; its record expires by itself after.
const FINISH_TIMEOUT: Duration = Duration::from_mins(1);
/// How long after the request's deadline its record still waits for the end of the attempt, which
/// may have to find a new leader first.
const COMMIT_GRACE_MS: Millis = Millis(2_000);
/// The endpoint of a check, which sends nothing.
const NO_ENDPOINT: &str = "none";

/// What the ledger says of an attempt that wants to begin.
#[derive(Debug)]
pub(super) enum BeginOutcome {
    /// It may be sent.
    Begun,
    /// Another attempt is in progress.
    InProgress,
    /// The caller can be told without an attempt.
    Respond(ForwardResponse),
}

/// What the ledger holds after an attempt's end.
#[derive(Debug)]
pub(super) enum RecordedOutcome {
    /// This answer, for the caller and for every resend.
    Answered(StoredResponse),
    /// No answer.
    NoAnswer,
}

impl Forwarder {
    /// Commits that an attempt begins; asks again until the deadline, always for the same attempt.
    pub(super) async fn begin(
        self: &Arc<Self>,
        request: &CallerRequest,
        instance: &EndpointInstance,
        sequence: Sequence,
    ) -> BeginOutcome {
        let remaining_ms = request.deadline_ms.since(self.now());
        let begin = self.begin_request(request, instance, sequence, remaining_ms);
        let result = timeout(remaining_ms.duration(), self.begin_with_retries(begin)).await;
        match result {
            Ok(BeginAnswer::Begun) => BeginOutcome::Begun,
            Ok(BeginAnswer::InProgress) => BeginOutcome::InProgress,
            Ok(answer) => BeginOutcome::Respond(begin_answer_response(answer)),
            Err(_elapsed) => {
                self.spawn_finish_not_sent(request, sequence);
                BeginOutcome::Respond(not_checked_response())
            }
        }
    }

    /// Asks the ledger whether a refused request really never ran.
    ///
    /// This entry sent nothing, but an earlier send of the same id may have run elsewhere: "not run"
    /// must be true of the id. A check begins an attempt that is never sent, and ends it at once.
    pub(super) async fn verify_not_run(
        self: &Arc<Self>,
        request: &CallerRequest,
        refusal: ForwardResponse,
    ) -> ForwardResponse {
        let Ok(_permit) = self.not_run_checks.try_acquire() else {
            return not_checked_response();
        };
        let instance = EndpointInstance {
            endpoint: NO_ENDPOINT.parse().expect("the name is an id"),
            incarnation: Incarnation::ZERO,
        };
        let sequence = self.next_sequence();
        let timeout_ms = Millis::from(CHECK_TIMEOUT);
        let begin = self.begin_request(request, &instance, sequence, timeout_ms);
        let result = timeout(CHECK_TIMEOUT, self.begin_with_retries(begin)).await;
        match result {
            Ok(BeginAnswer::Begun) => {
                self.spawn_finish_not_sent(request, sequence);
                refusal
            }
            Ok(BeginAnswer::InProgress) => ForwardResponse::unknown(
                StatusCode::CONFLICT,
                "in_progress",
                "an earlier send of this id is in progress; send it again for its answer",
            ),
            Ok(answer) => begin_answer_response(answer),
            Err(_elapsed) => {
                self.spawn_finish_not_sent(request, sequence);
                not_checked_response()
            }
        }
    }

    /// Commits how an attempt ended; asks again until the ledger has taken it or its record is gone.
    pub(super) async fn finish(
        self: &Arc<Self>,
        request: &CallerRequest,
        sequence: Sequence,
        state: RecordState,
    ) -> RecordedOutcome {
        let kept_answer = match &state {
            RecordState::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        let finish = FinishRequest {
            key: request.key(),
            entry: self.options.entry.clone(),
            entry_incarnation: self.options.incarnation,
            sequence,
            state,
        };
        let answer = timeout(FINISH_TIMEOUT, self.finish_with_retries(finish)).await;
        match (answer, kept_answer) {
            (Ok(FinishAnswer::Recorded), Some(answer)) => RecordedOutcome::Answered(answer),
            (Ok(FinishAnswer::NotRecorded(RecordState::Answered(answer))), _) => {
                RecordedOutcome::Answered(answer)
            }
            _ => RecordedOutcome::NoAnswer,
        }
    }

    /// Commits behind the request that nothing was sent.
    fn spawn_finish_not_sent(self: &Arc<Self>, request: &CallerRequest, sequence: Sequence) {
        let forwarder = Arc::clone(self);
        let request = request.clone();
        self.spawn(async move {
            forwarder
                .finish(&request, sequence, RecordState::NotSent)
                .await;
        });
    }

    /// Asks until there is an answer; a repeated begin of one attempt is one begin.
    async fn begin_with_retries(&self, begin: BeginRequest) -> BeginAnswer {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            if let Ok(answer) = (self.options.begin)(begin.clone()).await {
                return answer;
            }
            back_off(&mut delay, RETRY_DELAY_MAX).await;
        }
    }

    async fn finish_with_retries(&self, finish: FinishRequest) -> FinishAnswer {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            if let Ok(answer) = (self.options.finish)(finish.clone()).await {
                return answer;
            }
            back_off(&mut delay, RETRY_DELAY_MAX).await;
        }
    }

    fn begin_request(
        &self,
        request: &CallerRequest,
        instance: &EndpointInstance,
        sequence: Sequence,
        deadline_ms: Millis,
    ) -> BeginRequest {
        BeginRequest {
            key: request.key(),
            content: content_digest(request),
            made_ms: request.made_ms,
            entry: self.options.entry.clone(),
            entry_incarnation: self.options.incarnation,
            sequence,
            endpoint: instance.endpoint.clone(),
            endpoint_incarnation: instance.incarnation,
            deadline_ms: deadline_ms.saturating_add(COMMIT_GRACE_MS),
        }
    }
}

/// The digest that a resend must have; lengths keep the parts apart.
fn content_digest(request: &CallerRequest) -> ContentDigest {
    let mut digest = Sha256::new();
    for part in [
        request.method.as_str().as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    ContentDigest(digest.finalize().into())
}

/// What a caller is told where the ledger has settled its request.
fn begin_answer_response(answer: BeginAnswer) -> ForwardResponse {
    match answer {
        BeginAnswer::Answered(answer) => ForwardResponse::stored(answer),
        BeginAnswer::ContentMismatch => ForwardResponse::not_run(
            StatusCode::CONFLICT,
            "content_mismatch",
            "the id was used with other content; this content did not run",
            None,
        ),
        BeginAnswer::TooOld => ForwardResponse::unknown(
            StatusCode::GONE,
            "too_old",
            format!(
                "the id was made more than {} s ago; it is not run now, and it is not known any \
                 more whether it ran before",
                DEDUP_WINDOW_MS.get() / 1_000
            ),
        ),
        BeginAnswer::MadeInFuture => ForwardResponse::not_run(
            StatusCode::BAD_REQUEST,
            "made_ahead",
            "marjoramknot-made-ms lies in the future; the work did not run",
            None,
        ),
        BeginAnswer::Full => ForwardResponse::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "ledger_full",
            "as many requests are kept as may be; the work did not run",
            Some(Millis(5_000)),
        ),
        BeginAnswer::Unknown | BeginAnswer::Begun | BeginAnswer::InProgress => {
            ForwardResponse::unknown(
                StatusCode::BAD_GATEWAY,
                "outcome_unknown",
                "an earlier attempt has no known answer; the work may have run",
            )
        }
    }
}

/// The answer where this entry sent nothing and the ledger cannot be asked about earlier sends.
fn not_checked_response() -> ForwardResponse {
    ForwardResponse::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_checked",
        "this entry sent nothing, but whether an earlier send of this id ran cannot be checked now",
    )
}
