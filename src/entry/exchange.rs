//! The periodic exchange with the leader of the control group.

use std::sync::{Arc, Mutex, PoisonError};

use bon::Builder;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep, timeout};
use tracing::{debug, info};

use super::grant::{AnswerOutcome, EntryState, GrantHolder};
use super::held_polls::{HeldPolls, ReleaseOutcome};
use super::reports::{Report, Reporter};
use crate::control::{Client, ControlError, ExchangeAnswer, ExchangeRequest, Result, StateUpdate};
use crate::fleet::{
    AnnouncementResponse, EndpointAnnouncement, POLL_HOLD_MS, WorkerOrders, WorkerPoll,
};
use crate::kernel::Clock;
use crate::router::UsageReport;
use crate::units::{EntryId, Incarnation, WorkerId, ZoneId};

/// Minimum time between two exchanges, so that bursts of changes are sent together.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Delay before the next exchange after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between exchanges that the leader answers at once instead of holding them open: those
/// of an entry that is leaving, or whose router has not yet applied its new shares.
const UNHELD_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that a planned stop waits for the leader to acknowledge it.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of reports waiting to be sent to the leader.
const REPORT_QUEUE_MAX: usize = 8_192;

/// Identity and connections of an entry for its exchanges.
#[derive(Builder, Clone, Debug)]
pub struct ExchangeOptions {
    /// Id of the entry.
    pub entry: EntryId,
    /// Incarnation of this process; it increases with each restart.
    pub incarnation: Incarnation,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Client of the control group.
    pub client: Client,
    /// Clock of this process.
    pub clock: Clock,
}

/// The exchange with the control group's leader. It keeps the configuration in force and the grant,
/// and relays reports and orders between workers, endpoints and the leader.
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
    usage: Mutex<UsageReport>,
    polls: Arc<HeldPolls>,
    /// Wakes the exchange loop when the entry begins to leave.
    leave_requested: Notify,
    /// Whether the leader has answered an exchange that announced that the entry is leaving.
    leave_acknowledged: watch::Sender<bool>,
}

impl Exchange {
    /// Starts the exchange loop and the reporter.
    #[must_use]
    pub fn start(options: ExchangeOptions) -> Self {
        let (reports, receiver) = mpsc::channel(REPORT_QUEUE_MAX);
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
            usage: Mutex::default(),
            polls,
            leave_requested: Notify::new(),
            leave_acknowledged: watch::Sender::new(false),
        });
        let exchanges = tokio::spawn(run_exchanges(Arc::clone(&shared)));
        let reporting = tokio::spawn(reporter.run(receiver));
        Self {
            shared,
            reports,
            tasks: vec![exchanges, reporting],
        }
    }

    /// Returns a receiver for the state that the entry may act on and for its changes.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<EntryState> {
        self.shared.state.subscribe()
    }

    /// Returns whether new work may start now.
    #[must_use]
    pub fn may_start(&self) -> bool {
        self.shared.may_start()
    }

    /// Returns the client of the control group.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.shared.options.client
    }

    /// Sets the usage of this entry's shares, which the next exchange reports.
    ///
    /// The exchange acknowledges the version of the shares under which this usage was counted and
    /// no newer one, since the router does not yet observe limits that it has not applied.
    pub fn set_usage(&self, usage: UsageReport) {
        *self
            .shared
            .usage
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = usage;
    }

    /// Sends a worker's poll to the leader and holds it open until there are orders, or for
    /// [`POLL_HOLD_MS`].
    ///
    /// Dropping the future, as happens when the worker disconnects, releases the poll.
    ///
    /// # Errors
    /// Returns [`ControlError::Unreachable`] if there are no orders that may be relayed, and
    /// [`ControlError::Refused`] if too many reports are waiting, if a newer poll of the worker
    /// replaced this one or if the entry is leaving.
    pub async fn poll_worker(&self, poll: WorkerPoll) -> Result<WorkerOrders> {
        if self.shared.holder().is_leaving() {
            return Err(refused("this entry is leaving"));
        }
        let (id, receiver) = self.shared.polls.hold(&poll);
        let poll_guard = PollGuard {
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
        match timeout(POLL_HOLD_MS.duration(), receiver).await {
            Ok(Ok(orders)) if self.may_start() => Ok(orders),
            Ok(Err(_replaced)) => Err(refused("the poll is no longer held")),
            Ok(Ok(_)) => Err(ControlError::Unreachable),
            Err(_elapsed) => {
                let unchanged = poll_guard.finish().filter(|_| self.may_start());
                unchanged.ok_or(ControlError::Unreachable)
            }
        }
    }

    /// Sends an endpoint's announcement to the leader.
    ///
    /// # Errors
    /// Returns an error if too many reports are waiting or the leader did not answer in time.
    pub async fn announce(
        &self,
        announcement: EndpointAnnouncement,
    ) -> Result<AnnouncementResponse> {
        let (answer, receiver) = oneshot::channel();
        let report = Report::Announced {
            announcement: Box::new(announcement),
            answer,
        };
        let queued = self.reports.try_send(report);
        queued.map_err(|_full| refused("too many reports wait"))?;
        receiver.await.map_err(|_gone| ControlError::Unreachable)?
    }

    /// Begins a planned stop: gives up the grant, releases the held polls and waits a
    /// limited time for the leader to acknowledge it.
    ///
    /// Exchanges continue afterwards, so that shares are returned as requests end.
    pub async fn leave(&self) {
        let state = {
            let mut holder = self.shared.holder();
            holder.leave();
            holder.state().clone()
        };
        self.shared.state.send_replace(state);
        self.shared.polls.drop_all();
        self.shared.leave_requested.notify_one();
        let mut acknowledged = self.shared.leave_acknowledged.subscribe();
        let known = timeout(LEAVE_TIMEOUT, acknowledged.wait_for(|known| *known)).await;
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

/// Releases a held poll when the future that waits for it is dropped.
struct PollGuard<'a> {
    exchange: &'a Exchange,
    worker: WorkerId,
    id: u64,
}

impl PollGuard<'_> {
    /// Stops holding the poll and returns the orders that renew its lease unchanged, if there are
    /// any.
    fn finish(&self) -> Option<WorkerOrders> {
        match self.exchange.shared.polls.release(&self.worker, self.id) {
            ReleaseOutcome::NotHeld => None,
            ReleaseOutcome::Held { unchanged } => {
                self.exchange.report_released(&self.worker);
                unchanged
            }
        }
    }
}

impl Drop for PollGuard<'_> {
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
        let usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        ExchangeRequest {
            entry: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            zone: self.options.zone.clone(),
            sequence: sent.sequence,
            revision: sent.revision,
            usage: usage.endpoints.clone(),
            shares_version: usage.shares_version,
            leaving: holder.is_leaving(),
        }
    }

    /// Returns whether the answer only repeats shares that this entry already has.
    fn repeats_known_shares(&self, answer: &ExchangeAnswer) -> bool {
        let is_repeated = answer.shares_version == self.holder().state().shares_version;
        answer.shares.is_some() && is_repeated && answer.update == StateUpdate::Current
    }

    fn apply_answer(&self, request: &ExchangeRequest, answer: ExchangeAnswer) {
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
            self.leave_acknowledged.send_replace(true);
        }
        if self.may_start() {
            for orders in answer.orders {
                self.polls.deliver(orders);
            }
        }
    }
}

async fn run_exchanges(shared: Arc<Shared>) {
    loop {
        let request = shared.request();
        let answer = tokio::select! {
            answer = shared.options.client.exchange(&request) => answer,
            () = shared.leave_requested.notified() => continue,
        };
        let pause = match answer {
            Ok(answer) => {
                let is_known = shared.repeats_known_shares(&answer);
                shared.apply_answer(&request, answer);
                if is_known {
                    UNHELD_EXCHANGE_INTERVAL
                } else {
                    EXCHANGE_INTERVAL_MIN
                }
            }
            Err(cause) => {
                debug!(event = "exchange_failed", %cause);
                RETRY_DELAY
            }
        };
        let pause = if request.leaving {
            UNHELD_EXCHANGE_INTERVAL
        } else {
            pause
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.leave_requested.notified() => {}
        }
    }
}

fn refused(reason: &str) -> ControlError {
    ControlError::Refused {
        reason: reason.into(),
    }
}
