//! The exchange with the control group's leader.

use std::sync::{Arc, Mutex, PoisonError};

use bon::Builder;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep, timeout};
use tracing::{debug, info};

use super::grant::{AnswerOutcome, EntryState, GrantHolder};
use super::held_polls::{HeldPolls, Released};
use super::reports::{Report, Reporter};
use crate::control::{Client, ControlError, ExchangeAnswer, ExchangeRequest, Result, StateUpdate};
use crate::fleet::{
    AnnouncementResponse, EndpointAnnouncement, POLL_HOLD_MS, WorkerOrders, WorkerPoll,
};
use crate::kernel::Clock;
use crate::router::UsageReport;
use crate::units::{EntryId, Incarnation, WorkerId, ZoneId};

/// The shortest time between two exchanges, so that a burst of news is taken together.
const PACE: Duration = Duration::from_millis(20);
/// The pause after an exchange that failed.
const PAUSE: Duration = Duration::from_millis(50);
/// The pause between exchanges that the leader has no reason to hold: those of an entry that is
/// leaving, or whose router has not yet taken its shares over.
const SLOW_PACE: Duration = Duration::from_millis(200);
/// How long a planned stop waits until the leader knows of it.
const LEAVE_WAIT: Duration = Duration::from_secs(2);
/// Reports that wait to be passed on.
const REPORTS_MAX: usize = 8_192;

/// Who this entry is.
#[derive(Builder, Clone, Debug)]
pub struct ExchangeOptions {
    /// Its id.
    pub entry: EntryId,
    /// The run of this process: larger after each restart.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The way to the control group.
    pub client: Client,
    /// This process's clock.
    pub clock: Clock,
}

/// The exchange with the control group's leader: it keeps the state in force and the grant, and
/// passes reports and orders between workers, endpoints and the leader.
#[derive(Debug)]
pub struct Exchange {
    shared: Arc<Shared>,
    reports: mpsc::Sender<Report>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    options: ExchangeOptions,
    holder: Mutex<GrantHolder>,
    state: watch::Sender<EntryState>,
    uses: Mutex<UsageReport>,
    polls: Arc<HeldPolls>,
    /// Tells the pull loop that the entry begins to leave.
    leave: Notify,
    /// Whether the leader has answered an exchange that told it of the leaving.
    left: watch::Sender<bool>,
}

impl Exchange {
    /// Starts to exchange.
    #[must_use]
    pub fn start(options: ExchangeOptions) -> Self {
        let (reports, taken) = mpsc::channel(REPORTS_MAX);
        let polls = Arc::new(HeldPolls::default());
        let state = watch::Sender::new(EntryState::default());
        let reporter = Reporter {
            entry: options.entry.clone(),
            incarnation: options.incarnation,
            client: options.client.clone(),
            polls: Arc::clone(&polls),
            state: state.subscribe(),
            clock: options.clock,
        };
        let shared = Arc::new(Shared {
            options,
            holder: Mutex::default(),
            state,
            uses: Mutex::default(),
            polls,
            leave: Notify::new(),
            left: watch::Sender::new(false),
        });
        let pull = tokio::spawn(pull(Arc::clone(&shared)));
        let report = tokio::spawn(reporter.run(taken));
        Self {
            shared,
            reports,
            tasks: vec![pull, report],
        }
    }

    /// What the entry may act on; the receiver also tells of changes.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<EntryState> {
        self.shared.state.subscribe()
    }

    /// Whether new work may start now.
    #[must_use]
    pub fn may_start(&self) -> bool {
        self.shared.may_start()
    }

    /// The way to the control group.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.shared.options.client
    }

    /// Sets what this entry uses of its shares, for the next exchange.
    ///
    /// The exchange acknowledges the version that these uses were counted under, and no newer one:
    /// what the router has not taken over yet, it does not obey yet.
    pub fn set_usage(&self, uses: UsageReport) {
        *self
            .shared
            .uses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = uses;
    }

    /// Passes a worker's poll on and holds it until there are orders, or for [`POLL_HOLD_MS`].
    ///
    /// Dropping the future, as when the worker disconnects, releases the poll.
    ///
    /// # Errors
    /// [`ControlError::Unreachable`] where there are no orders that may be relayed, and
    /// [`ControlError::Refused`] where a newer poll of the worker took this one's place or the entry
    /// is leaving.
    pub async fn poll_worker(&self, poll: WorkerPoll) -> Result<WorkerOrders> {
        if self.shared.holder().is_leaving() {
            return Err(refused("this entry is leaving"));
        }
        let (id, given) = self.shared.polls.hold(&poll);
        let release = Release {
            exchange: self,
            worker: poll.worker.clone(),
            id,
        };
        let report = Report::Poll {
            poll: Box::new(poll),
            id,
        };
        let queued = self.reports.try_send(report);
        queued.map_err(|_full| refused("too many reports wait"))?;
        match timeout(POLL_HOLD_MS.duration(), given).await {
            Ok(Ok(orders)) if self.may_start() => Ok(orders),
            Ok(Err(_replaced)) => Err(refused("the poll is no longer held")),
            Ok(Ok(_)) => Err(ControlError::Unreachable),
            Err(_elapsed) => {
                let unchanged = release.finish().filter(|_| self.may_start());
                unchanged.ok_or(ControlError::Unreachable)
            }
        }
    }

    /// Passes an endpoint's announcement on.
    ///
    /// # Errors
    /// The leader gave no answer in time.
    pub async fn announce(
        &self,
        announcement: EndpointAnnouncement,
    ) -> Result<AnnouncementResponse> {
        let (answer, given) = oneshot::channel();
        let report = Report::Announced {
            announcement: Box::new(announcement),
            answer,
        };
        let queued = self.reports.try_send(report);
        queued.map_err(|_full| refused("too many reports wait"))?;
        given.await.map_err(|_gone| ControlError::Unreachable)?
    }

    /// Begins a planned stop: gives the grant up, lets held polls go and waits a bounded time until
    /// the leader knows. Exchanges go on, so that shares are given back as requests end.
    pub async fn leave(&self) {
        let state = {
            let mut holder = self.shared.holder();
            holder.leave();
            holder.state().clone()
        };
        self.shared.state.send_replace(state);
        self.shared.polls.drop_all();
        self.shared.leave.notify_one();
        let mut left = self.shared.left.subscribe();
        let known = timeout(LEAVE_WAIT, left.wait_for(|left| *left)).await;
        info!(event = "entry_left", known = known.is_ok());
    }

    fn report_released(&self, worker: &WorkerId) {
        let worker = worker.clone();
        if self.reports.try_send(Report::Released { worker }).is_err() {
            debug!(event = "release_not_reported");
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Releases a poll when its future is dropped.
struct Release<'a> {
    exchange: &'a Exchange,
    worker: WorkerId,
    id: u64,
}

impl Release<'_> {
    /// Stops to hold the poll and gives its unchanged orders.
    fn finish(&self) -> Option<WorkerOrders> {
        match self.exchange.shared.polls.release(&self.worker, self.id) {
            Released::NotHeld => None,
            Released::Held { unchanged } => {
                self.exchange.report_released(&self.worker);
                unchanged
            }
        }
    }
}

impl Drop for Release<'_> {
    fn drop(&mut self) {
        self.finish();
    }
}

impl Shared {
    fn holder(&self) -> std::sync::MutexGuard<'_, GrantHolder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn may_start(&self) -> bool {
        self.state.borrow().may_start(self.options.clock.now())
    }

    fn request(&self) -> ExchangeRequest {
        let mut holder = self.holder();
        let sent = holder.begin_exchange(self.options.clock.now());
        let uses = self.uses.lock().unwrap_or_else(PoisonError::into_inner);
        ExchangeRequest {
            entry: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            zone: self.options.zone.clone(),
            sequence: sent.sequence,
            revision: sent.revision,
            usage: uses.endpoints.clone(),
            shares_version: uses.shares_version,
            leaving: holder.is_leaving(),
        }
    }

    /// Whether the answer only repeats shares that are here already.
    fn knows_shares(&self, answer: &ExchangeAnswer) -> bool {
        let is_repeated = answer.shares_version == self.holder().state().shares_version;
        answer.shares.is_some() && is_repeated && answer.update == StateUpdate::Current
    }

    fn take(&self, request: &ExchangeRequest, answer: ExchangeAnswer) {
        let state = {
            let mut holder = self.holder();
            if let AnswerOutcome::Ignored { cause } = holder.apply_answer(&answer) {
                info!(event = "exchange_ignored", cause = cause.as_str());
                return;
            }
            holder.state().clone()
        };
        if state.in_force.revision != request.revision {
            info!(event = "state_moved", revision = %state.in_force.revision);
        }
        self.state.send_replace(state);
        if request.leaving {
            self.left.send_replace(true);
        }
        if self.may_start() {
            for orders in answer.orders {
                self.polls.give(orders);
            }
        }
    }
}

async fn pull(shared: Arc<Shared>) {
    loop {
        let request = shared.request();
        let answer = tokio::select! {
            answer = shared.options.client.exchange(&request) => answer,
            () = shared.leave.notified() => continue,
        };
        let pause = match answer {
            Ok(answer) => {
                let is_known = shared.knows_shares(&answer);
                shared.take(&request, answer);
                if is_known { SLOW_PACE } else { PACE }
            }
            Err(cause) => {
                debug!(event = "exchange_failed", %cause);
                PAUSE
            }
        };
        let pause = if request.leaving { SLOW_PACE } else { pause };
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.leave.notified() => {}
        }
    }
}

fn refused(reason: &str) -> ControlError {
    ControlError::Refused {
        reason: reason.into(),
    }
}
