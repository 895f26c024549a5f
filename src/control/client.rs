use std::net::SocketAddr;
use std::sync::Arc;

use tarpc::context::Context;
use tokio::time::Instant;
use tracing::info;

use super::attempts::{AttemptOptions, RpcResult};
use super::connections::Connections;
use super::dialer::{Dialer, tcp_dialer};
use super::held_reports::REPORT_HOLD_MS;
use super::{
    CallExpiry, ControlApiClient, ControlError, EXCHANGE_LONG_POLL_MS, ExchangeAnswer,
    ExchangeRequest, JobFilter, JobView, ReportAnswer, ReportBatch, Result, Status,
};
use crate::release_note::{NoteAnswer, ReleaseNote};
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::scheduler::{JobKey, JobSpec, SubmitAnswer};
use crate::units::Millis;
use crate::workload::{WorkAnswer, WorkRequest};

/// How long one attempt at a call may take before its connection is considered dead.
const ATTEMPT_TIMEOUT_MS: Millis = Millis(1_000);
/// Like [`ATTEMPT_TIMEOUT_MS`], for calls on the workload, whose callers wait only one to a few
/// seconds.
pub(super) const WORKLOAD_ATTEMPT_TIMEOUT_MS: Millis = Millis(450);
/// Like [`ATTEMPT_TIMEOUT_MS`], for workers' reports, whose answers the leader may hold back.
const REPORT_ATTEMPT_TIMEOUT_MS: Millis = REPORT_HOLD_MS.saturating_add(Millis(250));
/// The deadline of a call, over all attempts, where its caller sets none.
const DEFAULT_DEADLINE_MS: Millis = Millis(5_000);
/// How much longer than its hold time a long poll (an exchange or a job look-up) may take.
const LONG_POLL_SLACK_MS: Millis = Millis(400);

/// A client of the control group that finds the leader, follows leader changes, and closes
/// connections on which a call misses its deadline.
///
/// All calls are safe to retry: exchanges and reports carry sequence numbers, reads change nothing,
/// and changes are idempotent by their content and expire when their attempt is given up. Clones
/// share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    pub(super) connections: Arc<Connections>,
    deadline_ms: Millis,
}

impl Client {
    /// Creates a client of the replicas at these addresses, which connects by TCP.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self::with_dialer(addresses, tcp_dialer())
    }

    /// Creates a client that opens its connections with `dialer`.
    #[must_use]
    pub fn with_dialer(addresses: Vec<SocketAddr>, dialer: Dialer) -> Self {
        Self {
            connections: Arc::new(Connections::new(addresses, dialer)),
            deadline_ms: DEFAULT_DEADLINE_MS,
        }
    }

    /// Returns a client with another deadline for each call that shares this one's connections.
    #[must_use]
    pub fn with_deadline(&self, deadline_ms: Millis) -> Self {
        Self {
            connections: Arc::clone(&self.connections),
            deadline_ms,
        }
    }

    /// Sets the replica to call as the leader, where the caller learned of it from another source.
    pub fn hint_leader(&self, leader: SocketAddr) {
        self.connections.hint_leader(leader);
    }

    /// Replaces the replicas that the settings name, after these have changed.
    pub fn set_configured(&self, addresses: Vec<SocketAddr>) {
        self.connections.set_configured(addresses);
    }

    /// Sets the replicas of the group, where the caller learned of them from another source.
    pub fn set_members(&self, members: &[SocketAddr]) {
        self.connections.set_members(members);
    }

    /// Asks the leader for the replicas of the group, so that the group is still found after all
    /// replicas that the settings name have been replaced.
    ///
    /// # Errors
    /// The group gave no answer within the deadline.
    pub async fn refresh_members(&self) -> Result<()> {
        let answer = self.call(
            self.deadline_ms,
            ATTEMPT_TIMEOUT_MS,
            async |client: ControlApiClient, context, _expires| client.members(context).await,
        );
        self.connections.set_members(&answer.await?);
        Ok(())
    }

    /// Makes a call that changes something by its content. It is refused where it arrives after this
    /// client has given the attempt up.
    async fn change<T, C, F>(&self, call: C) -> Result<T>
    where
        C: Fn(ControlApiClient, Context, CallExpiry) -> F,
        F: Future<Output = RpcResult<T>>,
    {
        let options = AttemptOptions {
            deadline_ms: self.deadline_ms,
            attempt_ms: ATTEMPT_TIMEOUT_MS,
            expires: true,
            awaits_leader: false,
        };
        let (answer, _maybe_applied) = self.call_attempts(options, call).await;
        answer
    }

    /// Makes one exchange with the assumed leader.
    ///
    /// It is attempted only once, because the next exchange must carry a new sequence number.
    ///
    /// # Errors
    /// [`ControlError::Unreachable`] if no leader answered, which includes an answer of a replica
    /// that is not the leader; [`ControlError::Refused`] if the leader rejected the exchange.
    pub async fn exchange(&self, request: &ExchangeRequest) -> Result<ExchangeAnswer> {
        let limit = EXCHANGE_LONG_POLL_MS.saturating_add(LONG_POLL_SLACK_MS);
        let call = move |client: ControlApiClient, context, _expires| {
            let request = request.clone();
            async move { client.exchange(context, request).await }
        };
        let answer = self.attempt_once(limit.duration(), &call).await;
        answer.unwrap_or(Err(ControlError::Unreachable))
    }

    /// Passes on reports of workers and endpoints.
    ///
    /// # Errors
    /// The group gave no answer within the deadline.
    pub async fn report(&self, batch: ReportBatch) -> Result<ReportAnswer> {
        self.call(
            self.deadline_ms,
            ATTEMPT_TIMEOUT_MS,
            async |client: ControlApiClient, context, _expires| {
                client.report(context, batch.clone()).await
            },
        )
        .await
    }

    /// Applies a release note. Sending the same note again is safe and reports the revision of the
    /// first application.
    ///
    /// # Errors
    /// [`ControlError::Uncertain`] if the note may have been applied.
    pub async fn apply_note(&self, note: ReleaseNote) -> Result<NoteAnswer> {
        self.change(move |client: ControlApiClient, context, expires| {
            let note = note.clone();
            async move { client.apply_note(context, expires, note).await }
        })
        .await
    }

    /// Records that an attempt at a non-idempotent request begins.
    ///
    /// # Errors
    /// [`ControlError::Uncertain`] if the begin may have been recorded.
    pub async fn begin_request(&self, request: BeginRequest) -> Result<BeginAnswer> {
        self.change(move |client: ControlApiClient, context, expires| {
            let request = request.clone();
            async move { client.begin_request(context, expires, request).await }
        })
        .await
    }

    /// Records how an attempt at a non-idempotent request ended.
    ///
    /// # Errors
    /// [`ControlError::Uncertain`] if the end may have been recorded.
    pub async fn finish_request(&self, request: FinishRequest) -> Result<FinishAnswer> {
        self.change(move |client: ControlApiClient, context, expires| {
            let request = request.clone();
            async move { client.finish_request(context, expires, request).await }
        })
        .await
    }

    /// Submits a job. Submitting the same job again is safe and gets the same answer.
    ///
    /// # Errors
    /// [`ControlError::Uncertain`] if the job may have been accepted.
    pub async fn submit_job(&self, spec: JobSpec) -> Result<SubmitAnswer> {
        self.change(move |client: ControlApiClient, context, expires| {
            let spec = spec.clone();
            async move { client.submit_job(context, expires, spec).await }
        })
        .await
    }

    /// Looks up a job and waits up to `wait_ms` for its end. The wait is split into short long
    /// polls, so that a dead connection is detected.
    ///
    /// # Errors
    /// The group gave no answer in time.
    pub async fn job(&self, key: JobKey, wait_ms: Millis) -> Result<Option<JobView>> {
        let deadline = Instant::now() + wait_ms.duration();
        loop {
            let left: Millis = deadline.saturating_duration_since(Instant::now()).into();
            let step = left.min(ATTEMPT_TIMEOUT_MS);
            let view = self.poll_job(&key, step).await?;
            let is_open = view.as_ref().is_some_and(|view| view.outcome.is_none());
            if !is_open || left <= step {
                return Ok(view);
            }
        }
    }

    async fn poll_job(&self, key: &JobKey, step: Millis) -> Result<Option<JobView>> {
        let limit = step.saturating_add(LONG_POLL_SLACK_MS);
        let deadline = limit.saturating_add(Millis(5_000));
        self.call(
            deadline,
            limit,
            async |client: ControlApiClient, context, _expires| {
                client.job(context, key.clone(), step).await
            },
        )
        .await
    }

    /// Lists jobs.
    ///
    /// # Errors
    /// The group gave no answer within the deadline.
    pub async fn jobs(&self, filter: JobFilter) -> Result<Vec<JobView>> {
        self.call(
            self.deadline_ms,
            ATTEMPT_TIMEOUT_MS,
            async |client: ControlApiClient, context, _expires| {
                client.jobs(context, filter.clone()).await
            },
        )
        .await
    }

    /// Requests cancellation of jobs and returns their state afterwards.
    ///
    /// # Errors
    /// [`ControlError::Uncertain`] if some may have been cancelled.
    pub async fn cancel_jobs(&self, keys: Vec<JobKey>) -> Result<Vec<JobView>> {
        self.change(move |client: ControlApiClient, context, expires| {
            let keys = keys.clone();
            async move { client.cancel_jobs(context, expires, keys).await }
        })
        .await
    }

    /// Returns the status of the whole deployment.
    ///
    /// # Errors
    /// The group gave no answer within the deadline.
    pub async fn status(&self) -> Result<Status> {
        self.call(
            self.deadline_ms,
            ATTEMPT_TIMEOUT_MS,
            async |client: ControlApiClient, context, _expires| client.status(context).await,
        )
        .await
    }

    /// Makes a call on the workload. All such calls are safe to retry.
    ///
    /// A caller's change is not sent while no replica answers as the leader, so that it certainly
    /// has no effect if none is found in time.
    ///
    /// A refusal is returned only if no earlier attempt can have been carried out: the key or queue
    /// of a job may be removed after its submission was accepted and before the answer arrives.
    ///
    /// # Errors
    /// [`ControlError::Uncertain`] if a change may have been made.
    pub async fn work(&self, request: WorkRequest) -> Result<WorkAnswer> {
        let attempt_ms = match &request {
            WorkRequest::Report(_) => REPORT_ATTEMPT_TIMEOUT_MS,
            _ => WORKLOAD_ATTEMPT_TIMEOUT_MS,
        };
        let options = AttemptOptions {
            deadline_ms: self.deadline_ms,
            attempt_ms,
            expires: request.is_change(),
            awaits_leader: matches!(request, WorkRequest::Call(_)) && request.is_change(),
        };
        let call = async |client: ControlApiClient, context, expires| {
            let request = request.clone();
            client.work(context, expires, request).await
        };
        let (answer, maybe_applied) = self.call_attempts(options, call).await;
        match answer {
            Ok(refusal)
                if maybe_applied && request.is_change() && refusal.is_refused_by_state() =>
            {
                info!(event = "refusal_uncertain", cause = ?refusal);
                Err(ControlError::Uncertain)
            }
            // A read that got no answer changed nothing.
            Err(ControlError::Uncertain) if !request.is_change() => Err(ControlError::Unreachable),
            answer => answer,
        }
    }

    /// Notes that the replica in this process leads, so that there is no outage.
    pub fn note_local_leader(&self) {
        self.connections.record_answer();
    }

    /// How long no replica has answered as the leader. Zero while one answers.
    #[must_use]
    pub fn lost_ms(&self) -> Millis {
        self.connections.lost_ms()
    }
}
