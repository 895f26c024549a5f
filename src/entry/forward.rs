use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::endpoint_client::{Connector, RequestSender, connector};
use super::forward_request::{CallerRequest, ForwardResponse};
use super::grant::EntryState;
use crate::control;
use crate::kernel::Clock;
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::router::{
    AttemptOutcome, ConnectionId, EndpointInstance, Router, RouterAction, RouterEvent,
    RouterRefusal, RouterView, SendOrder, Ticket, UsageReport,
};
use crate::units::{EntryId, Incarnation, Millis, Sequence, ServiceName, TeamId};

/// Interval at which queues and connections are checked while requests are waiting.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// Interval at which queues and connections are checked while no request is waiting.
const IDLE_TICK: Duration = Duration::from_millis(200);
/// Maximum number of refused requests that are checked against the ledger concurrently.
const NOT_RUN_CHECKS_MAX: usize = 64;

/// Commits the begin of an attempt to the ledger.
pub type BeginFn =
    Arc<dyn Fn(BeginRequest) -> BoxFuture<'static, control::Result<BeginAnswer>> + Send + Sync>;
/// Commits the end of an attempt to the ledger.
pub type FinishFn =
    Arc<dyn Fn(FinishRequest) -> BoxFuture<'static, control::Result<FinishAnswer>> + Send + Sync>;
/// Receives the usage of the entry's shares.
pub type ReportUsageFn = Arc<dyn Fn(UsageReport) + Send + Sync>;

/// Dependencies of a forwarder.
#[derive(bon::Builder, Clone)]
pub struct ForwardOptions {
    /// Id of the entry.
    pub entry: EntryId,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Clock of the entry, on which grants are counted.
    pub clock: Clock,
    /// Commits the begin of an attempt to the ledger.
    pub begin: BeginFn,
    /// Commits the end of an attempt to the ledger.
    pub finish: FinishFn,
    /// Receives the usage of the entry's shares.
    pub report_usage: ReportUsageFn,
}

impl fmt::Debug for ForwardOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ForwardOptions")
            .field("entry", &self.entry)
            .finish_non_exhaustive()
    }
}

/// Decision of the router about one request.
#[derive(Debug)]
pub(super) enum RouterDecision {
    Send(SendOrder),
    Refuse(RouterRefusal),
}

/// Forwards callers' requests to endpoints. It performs the I/O that [`Router`] decides on.
pub struct Forwarder {
    pub(super) options: ForwardOptions,
    pub(super) connector: Connector,
    pub(super) not_run_checks: Semaphore,
    router: Mutex<Router>,
    waiters: Mutex<HashMap<Ticket, mpsc::UnboundedSender<RouterDecision>>>,
    pool: Mutex<HashMap<ConnectionId, RequestSender>>,
    last_ticket: AtomicU64,
    last_sequence: AtomicU64,
    tasks: TaskTracker,
    stopped: CancellationToken,
}

impl fmt::Debug for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Forwarder")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl Forwarder {
    /// Starts a forwarder. Requests wait until [`Forwarder::update_view`] provides a view.
    #[must_use]
    pub fn start(options: ForwardOptions) -> Arc<Self> {
        let forwarder = Arc::new(Self {
            options,
            connector: connector(),
            not_run_checks: Semaphore::new(NOT_RUN_CHECKS_MAX),
            router: Mutex::default(),
            waiters: Mutex::default(),
            pool: Mutex::default(),
            last_ticket: AtomicU64::new(0),
            last_sequence: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            stopped: CancellationToken::new(),
        });
        tokio::spawn(Arc::clone(&forwarder).tick());
        forwarder
    }

    /// Applies the leader's current view of endpoints, shares and the grant.
    pub fn update_view(self: &Arc<Self>, view: RouterView) {
        self.handle(RouterEvent::ViewChanged(view));
        self.report_usage();
    }

    /// Applies the state of the exchange and each change of it until the exchange ends.
    pub async fn follow_state(self: Arc<Self>, mut state: watch::Receiver<EntryState>) {
        loop {
            let now = state.borrow_and_update().clone();
            self.update_view(RouterView {
                in_force: now.in_force,
                shares: now.shares,
                shares_version: now.shares_version,
                granted_until_ms: now.grant_until_ms,
            });
            if state.changed().await.is_err() {
                return;
            }
        }
    }

    /// Forwards one request and waits for its response.
    ///
    /// The work runs in a task of its own, so that a non-idempotent request is completed and
    /// recorded even if the caller disconnects.
    pub async fn forward(self: &Arc<Self>, request: CallerRequest) -> ForwardResponse {
        let (answer, answered) = oneshot::channel();
        let forwarder = Arc::clone(self);
        if request.idempotent {
            self.tasks
                .spawn(async move { forwarder.run_idempotent(request, answer).await });
        } else {
            self.tasks
                .spawn(async move { forwarder.run_at_most_once(request, answer).await });
        }
        answered
            .await
            .unwrap_or_else(|_closed| ForwardResponse::lost_request())
    }

    /// Waits until every accepted request has ended and its record is committed.
    pub async fn drain(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        self.stopped.cancel();
        lock(&self.pool).clear();
    }

    /// Returns the maximum deadline of a service, or `None` if the service is not known.
    #[must_use]
    pub fn deadline_max(&self, service: &ServiceName) -> Option<Millis> {
        lock(&self.router).deadline_max(service)
    }

    /// Returns whether a team is declared.
    #[must_use]
    pub fn has_team(&self, team: &TeamId) -> bool {
        lock(&self.router).has_team(team)
    }

    /// Returns the number of requests that are waiting or in progress.
    #[must_use]
    pub fn request_count(&self) -> usize {
        lock(&self.router).requests()
    }

    /// Returns the current usage of the entry's shares.
    #[must_use]
    pub fn usage(&self) -> UsageReport {
        let now = self.now();
        lock(&self.router).report(now)
    }

    fn report_usage(&self) {
        (self.options.report_usage)(self.usage());
    }

    pub(super) fn now(&self) -> Millis {
        self.options.clock.now()
    }

    pub(super) fn next_sequence(&self) -> Sequence {
        Sequence(self.last_sequence.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Queues a request with the router and returns the receiver of its decisions.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        request: &CallerRequest,
    ) -> (Ticket, mpsc::UnboundedReceiver<RouterDecision>) {
        let ticket = Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let (decisions, receiver) = mpsc::unbounded_channel();
        lock(&self.waiters).insert(ticket, decisions);
        self.handle(RouterEvent::Arrived {
            ticket,
            request: request.queued(),
        });
        (ticket, receiver)
    }

    /// Removes a request from the router and releases orders that it has received but not used.
    pub(super) fn cancel_request(
        self: &Arc<Self>,
        ticket: Ticket,
        mut decisions: mpsc::UnboundedReceiver<RouterDecision>,
    ) {
        decisions.close();
        lock(&self.waiters).remove(&ticket);
        self.handle(RouterEvent::Cancelled { ticket });
        while let Ok(decision) = decisions.try_recv() {
            if let RouterDecision::Send(order) = decision {
                self.handle(order_not_used(order));
            }
        }
    }

    pub(super) fn end_attempt(self: &Arc<Self>, order: &SendOrder, end: AttemptOutcome) {
        self.handle(RouterEvent::AttemptEnded {
            ticket: order.ticket,
            instance: order.instance.clone(),
            connection: order.connection,
            outcome: end,
        });
    }

    pub(super) fn may_send(&self, instance: &EndpointInstance) -> bool {
        let now = self.now();
        lock(&self.router).may_send(instance, now)
    }

    pub(super) fn take_connection(&self, connection: ConnectionId) -> Option<RequestSender> {
        lock(&self.pool).remove(&connection)
    }

    /// Returns a connection to the pool for its next request. Returns `false` if it is closed or
    /// the forwarder has stopped.
    pub(super) fn keep_connection(&self, connection: ConnectionId, sender: RequestSender) -> bool {
        if sender.is_closed() || self.stopped.is_cancelled() {
            return false;
        }
        lock(&self.pool).insert(connection, sender);
        true
    }

    pub(super) fn connection_closed(
        self: &Arc<Self>,
        instance: EndpointInstance,
        connection: ConnectionId,
    ) {
        lock(&self.pool).remove(&connection);
        self.handle(RouterEvent::ConnectionClosed {
            instance,
            connection,
        });
    }

    /// Spawns a task that may outlive its request; [`Forwarder::drain`] waits for it.
    pub(super) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(work);
    }

    pub(super) fn handle(self: &Arc<Self>, event: RouterEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = self.now();
            let actions = lock(&self.router).handle(event, now);
            for action in actions {
                events.extend(self.dispatch(action));
            }
        }
    }

    /// Performs a router action. Returns the follow-up event if no request is waiting for the
    /// action.
    fn dispatch(&self, action: RouterAction) -> Option<RouterEvent> {
        match action {
            RouterAction::Send(order) => {
                let waiter = lock(&self.waiters).get(&order.ticket).cloned();
                let sent = waiter.map(|waiter| waiter.send(RouterDecision::Send(order.clone())));
                let delivered = matches!(sent, Some(Ok(())));
                (!delivered).then(|| order_not_used(order))
            }
            RouterAction::Refuse { ticket, refusal } => {
                let waiter = lock(&self.waiters).remove(&ticket)?;
                // If the receiver is gone, the request has already been answered.
                let _sent = waiter.send(RouterDecision::Refuse(refusal));
                None
            }
            RouterAction::Close { connection, .. } => {
                lock(&self.pool).remove(&connection);
                None
            }
        }
    }

    async fn tick(self: Arc<Self>) {
        while !self.stopped.is_cancelled() {
            let waiting = lock(&self.router).waiting() > 0;
            sleep(if waiting { BUSY_TICK } else { IDLE_TICK }).await;
            self.handle(RouterEvent::Tick);
            self.report_usage();
        }
    }
}

/// Builds the event that releases an order which was not used.
fn order_not_used(order: SendOrder) -> RouterEvent {
    let reusable = !order.new_connection;
    RouterEvent::AttemptEnded {
        ticket: order.ticket,
        instance: order.instance,
        connection: order.connection,
        outcome: AttemptOutcome::Released { reusable },
    }
}

/// Locks a mutex that is only held briefly and by code that does not panic, so that poisoning can
/// be ignored.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
