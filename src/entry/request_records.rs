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

/// Initial delay before a commit is retried.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Maximum delay between retries of a commit.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Time-out for checking a refused request against the ledger.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time during which committing the end of an attempt is retried. If no retry succeeds, the
/// ledger sets the record to unknown by itself.
const FINISH_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after the request's deadline that an entry has to commit the end of the attempt, since it
/// may have to find a new leader first.
const COMMIT_GRACE_MS: Millis = Millis(2_000);
/// Endpoint id recorded for a check, which sends nothing to an endpoint.
const NO_ENDPOINT: &str = "none";

/// Answer of the ledger to an attempt that is about to begin.
#[derive(Debug)]
pub(super) enum BeginOutcome {
    /// The attempt may be sent.
    Begun,
    /// Another attempt is in progress.
    InProgress,
    /// The caller can be answered without an attempt.
    Respond(ForwardResponse),
}

/// Contents of the ledger after the end of an attempt.
#[derive(Debug)]
pub(super) enum RecordedOutcome {
    /// The stored answer, for the caller and for every resend.
    Answered(StoredResponse),
    /// The ledger is not known to hold an answer.
    NoAnswer,
}

impl Forwarder {
    /// Commits the begin of an attempt. The commit is retried until the deadline, always for the
    /// same attempt.
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

    /// Checks with the ledger whether a refused request has never run.
    ///
    /// This entry sent nothing, but an earlier send of the same id may have run through another
    /// entry, and "not run" must hold for the id. The check begins an attempt that is never sent
    /// and ends it at once.
    pub(super) async fn verify_not_run(
        self: &Arc<Self>,
        request: &CallerRequest,
        refusal: ForwardResponse,
    ) -> ForwardResponse {
        let Ok(_permit) = self.not_run_checks.try_acquire() else {
            return not_checked_response();
        };
        let instance = EndpointInstance {
            endpoint: NO_ENDPOINT.parse().expect("the name is a valid id"),
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

    /// Commits how an attempt ended. The commit is retried until the ledger has accepted it or
    /// [`FINISH_TIMEOUT`] has passed.
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

    /// Commits in the background that nothing was sent.
    fn spawn_finish_not_sent(self: &Arc<Self>, request: &CallerRequest, sequence: Sequence) {
        let forwarder = Arc::clone(self);
        let request = request.clone();
        self.spawn(async move {
            forwarder
                .finish(&request, sequence, RecordState::NotSent)
                .await;
        });
    }

    /// Sends the begin until there is an answer. The ledger counts repeated begins of one attempt
    /// as one.
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

/// Returns the digest of the content that a resend must match. Each part is preceded by its length,
/// so that different splits into parts give different digests.
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

/// Returns the response to a caller whose request the ledger has already decided.
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

/// Response when this entry sent nothing and the ledger cannot be asked about earlier sends.
fn not_checked_response() -> ForwardResponse {
    ForwardResponse::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_checked",
        "this entry sent nothing, but whether an earlier send of this id ran cannot be checked now",
    )
}
