use std::net::SocketAddr;

use futures::future::join_all;
use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};

use super::client::{Client, WORKLOAD_ATTEMPT_TIMEOUT_MS};
use super::connections::Search;
use super::{CallExpiry, ControlApiClient, ControlError, Result};
use crate::units::Millis;
use crate::workload::WorkRequest;

/// The delay before the next attempt while no leader is known.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How much longer the server may work on a call than the client waits for its answer.
const SERVER_DEADLINE_SLACK: Duration = Duration::from_secs(5);

/// Interval at which a search asks each replica whether it leads, and so the longest time for which a
/// new leader that answers at once goes unnoticed. It is shorter than [`RETRY_DELAY`], since one
/// search serves all calls.
const SEARCH_INTERVAL: Duration = Duration::from_millis(25);
/// How many questions to one replica may be open at a time. They are staggered, so that a replica that
/// returns need not wait for the time-out of a question from before that.
const OPEN_QUESTIONS: u32 = 3;
/// After how long a search checks again which replicas there are and whether a call still waits.
const SEARCH_ROUND: Duration = Duration::from_secs(2);

/// The result of one attempt at a call, as the RPC client returns it.
pub(super) type RpcResult<T> = std::result::Result<Result<T>, RpcError>;

/// How a call is attempted.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOptions {
    /// How long all attempts may take together.
    pub(super) deadline_ms: Millis,
    /// How long one attempt may take before its connection is considered dead.
    pub(super) attempt_ms: Millis,
    /// Whether an attempt is refused where it arrives after it was given up.
    pub(super) expires: bool,
    /// Whether no attempt is sent while no replica answers as the leader. The call then waits for a
    /// leader that others look for, and has no effect if none is found.
    pub(super) awaits_leader: bool,
}

/// How long one attempt may take.
#[derive(Clone, Copy, Debug)]
struct AttemptTime {
    /// Bounds the call.
    limit: Duration,
    /// Bounds the call together with the opening of its connection.
    left: Duration,
    /// Whether the replica refuses the call once it has been given up.
    expires: bool,
}

impl AttemptTime {
    /// For a call that changes nothing by its content and is attempted once.
    const fn of_one(limit: Duration) -> Self {
        Self {
            limit,
            left: Duration::MAX,
            expires: false,
        }
    }
}

/// What the attempts at a call may have caused.
#[derive(Clone, Copy, Debug, Default)]
struct Effect {
    /// Whether the present attempt was sent.
    sent: bool,
    /// Whether an attempt was sent and its effect is unknown.
    unknown: bool,
}

/// When to retry after an attempt that gave no final answer.
enum Retry {
    /// Another replica was named as the leader.
    Immediately,
    /// No leader is known, the replica failed, or the change was not committed in time.
    AfterDelay,
}

impl Client {
    /// Retries a call until it gets a final answer or the deadline passes.
    pub(super) async fn call<T, C, F>(
        &self,
        deadline_ms: Millis,
        attempt_ms: Millis,
        call: C,
    ) -> Result<T>
    where
        C: Fn(ControlApiClient, Context, CallExpiry) -> F,
        F: Future<Output = RpcResult<T>>,
    {
        let options = AttemptOptions {
            deadline_ms,
            attempt_ms,
            expires: false,
            awaits_leader: false,
        };
        let (answer, _maybe_applied) = self.call_attempts(options, call).await;
        answer
    }

    /// Like [`Client::call`]. Also returns whether an attempt before the last one may have been
    /// applied.
    pub(super) async fn call_attempts<T, C, F>(
        &self,
        options: AttemptOptions,
        call: C,
    ) -> (Result<T>, bool)
    where
        C: Fn(ControlApiClient, Context, CallExpiry) -> F,
        F: Future<Output = RpcResult<T>>,
    {
        let deadline = Instant::now() + options.deadline_ms.duration();
        let mut effect = Effect::default();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (Err(deadline_error(effect.unknown)), effect.unknown);
            }
            if options.awaits_leader && self.connections.is_lost() {
                drop(timeout(left, self.found_leader()).await);
                continue;
            }
            let time = AttemptTime {
                limit: options.attempt_ms.duration(),
                left,
                expires: options.expires,
            };
            let target = self.connections.target();
            let mut leader = self.connections.watch_leader();
            effect.sent = false;
            let answer = tokio::select! {
                answer = self.attempt(target, time, &mut effect, &call) => Some(answer),
                () = other_leader(target, &mut leader) => None,
            };
            let answer = answer.unwrap_or_else(|| {
                // The call may have reached the replica that does not answer.
                effect.unknown |= effect.sent;
                Err(Retry::Immediately)
            });
            match answer {
                Ok(Err(ControlError::Refused { .. })) if effect.unknown => {
                    return (Err(ControlError::Uncertain), effect.unknown);
                }
                Ok(answer) => return (answer, effect.unknown),
                Err(Retry::Immediately) => {}
                Err(Retry::AfterDelay) => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    drop(timeout(RETRY_DELAY.min(left), leader.changed()).await);
                }
            }
        }
    }

    /// Makes one attempt at a call that is not repeated. `None` if no leader answered.
    pub(super) async fn attempt_once<T, C, F>(&self, limit: Duration, call: &C) -> Option<Result<T>>
    where
        C: Fn(ControlApiClient, Context, CallExpiry) -> F,
        F: Future<Output = RpcResult<T>>,
    {
        let target = self.connections.target();
        let attempt = self
            .attempt(
                target,
                AttemptTime::of_one(limit),
                &mut Effect::default(),
                call,
            )
            .await;
        attempt.ok()
    }

    /// Makes one attempt at this replica and records its effect.
    async fn attempt<T, C, F>(
        &self,
        target: Option<SocketAddr>,
        time: AttemptTime,
        effect: &mut Effect,
        call: &C,
    ) -> std::result::Result<Result<T>, Retry>
    where
        C: Fn(ControlApiClient, Context, CallExpiry) -> F,
        F: Future<Output = RpcResult<T>>,
    {
        let (began, began_ms) = (Instant::now(), self.connections.now());
        let Some(address) = target else {
            self.connections.record_failure(began_ms);
            return Err(Retry::AfterDelay);
        };
        let opened = timeout(time.left, self.connections.open(address)).await;
        let Some(connection) = opened.ok().flatten() else {
            self.connections.retire(address, None);
            self.connections.record_failure(began_ms);
            return Err(Retry::AfterDelay);
        };
        let limit = time.limit.min(time.left.saturating_sub(began.elapsed()));
        let given_up = Instant::now() + limit;
        let expires = if time.expires {
            timeout(limit, connection.expiry(given_up)).await
        } else {
            Ok(Some(CallExpiry(Millis::MAX)))
        };
        let Ok(Some(expires)) = expires else {
            self.connections.retire(address, Some(&connection));
            self.connections.record_failure(began_ms);
            return Err(Retry::AfterDelay);
        };
        let mut context = context::current();
        context.deadline = given_up.into_std() + SERVER_DEADLINE_SLACK;
        effect.sent = true;
        let answer = call(connection.client.clone(), context, expires);
        let result = timeout_at(given_up, answer).await;
        match result {
            Ok(Ok(Err(ControlError::NotLeader { leader }))) => {
                if self.connections.redirect(address, leader) {
                    return Err(Retry::Immediately);
                }
                self.connections.record_failure(began_ms);
                Err(Retry::AfterDelay)
            }
            Ok(Ok(Err(ControlError::Expired))) => {
                // This process was suspended, or the replica's clock was.
                connection.forget_clock();
                self.connections.record_failure(began_ms);
                Err(Retry::AfterDelay)
            }
            Ok(Ok(Err(ControlError::Uncertain))) => {
                effect.unknown = true;
                self.connections.record_failure(began_ms);
                Err(Retry::AfterDelay)
            }
            Ok(Ok(answer)) => {
                self.connections.confirm_leader(address);
                Ok(answer)
            }
            Ok(Err(_)) | Err(_) => {
                effect.unknown = true;
                self.connections.retire(address, Some(&connection));
                self.connections.record_failure(began_ms);
                Err(Retry::AfterDelay)
            }
        }
    }

    /// Waits until a replica answers as the leader again, and sees to it that one is looked for.
    async fn found_leader(&self) {
        let mut lost = self.connections.watch_lost();
        if let Some(search) = self.connections.begin_search() {
            let client = self.clone();
            tokio::spawn(async move { client.search_leader(search).await });
        }
        // The sender is part of the connections, which this client holds.
        drop(lost.wait_for(|lost| !lost).await);
    }

    /// Asks all replicas again and again until one answers as the leader or no call waits for it.
    ///
    /// One search serves all waiting calls, and goes on when their deadlines pass.
    async fn search_leader(self, mut search: Search) {
        while !search.ends() {
            let mut lost = self.connections.watch_lost();
            // One question follows the leader that replicas name, which may be a new replica.
            let replicas = self.connections.candidates().into_iter().map(Some);
            let questions = replicas
                .chain([None])
                .flat_map(|replica| (0..OPEN_QUESTIONS).map(move |question| (replica, question)))
                .map(|(replica, question)| self.ask(replica, question));
            tokio::select! {
                _found = lost.wait_for(|lost| !lost) => {}
                _never = join_all(questions) => {}
                () = sleep(SEARCH_ROUND) => {}
            }
        }
    }

    /// Asks this replica, or whichever is to be called next, whether it leads, again and again.
    async fn ask(&self, replica: Option<SocketAddr>, question: u32) {
        let call = async |client: ControlApiClient, context, expires| {
            client
                .work(context, expires, WorkRequest::CheckLeader)
                .await
        };
        let limit = WORKLOAD_ATTEMPT_TIMEOUT_MS.duration();
        // The first term staggers questions that wait for their time-out, and the second one those to
        // a replica that answers at once.
        sleep(limit / OPEN_QUESTIONS * question + SEARCH_INTERVAL * question).await;
        loop {
            let target = replica.or_else(|| self.connections.target());
            let mut effect = Effect::default();
            drop(
                self.attempt(target, AttemptTime::of_one(limit), &mut effect, &call)
                    .await,
            );
            sleep(SEARCH_INTERVAL * OPEN_QUESTIONS).await;
        }
    }
}

/// Waits until another replica than `target` has answered as the leader, so that a call need not
/// wait for a replica that no longer answers.
async fn other_leader(
    target: Option<SocketAddr>,
    leader: &mut watch::Receiver<Option<SocketAddr>>,
) {
    let is_other = |confirmed: &Option<SocketAddr>| confirmed.is_some() && *confirmed != target;
    loop {
        if leader.changed().await.is_err() {
            return std::future::pending().await;
        }
        if is_other(&leader.borrow_and_update()) {
            return;
        }
    }
}

const fn deadline_error(maybe_applied: bool) -> ControlError {
    if maybe_applied {
        ControlError::Uncertain
    } else {
        ControlError::Unreachable
    }
}
