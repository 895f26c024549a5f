use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use metrics::{Counter, Gauge, counter, gauge};
use thiserror::Error;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Duration, Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::{BudgetLedger, BudgetLimits, Decision, Direction, HolderId};
use crate::units::Millis;

/// Maximum time that a body waits for bytes of an exhausted budget. Callers wait 3 s for an answer.
const WAIT_MAX: Duration = Duration::from_secs(2);
/// Maximum number of bodies that wait for an exhausted budget. It bounds the work of each release,
/// which wakes all of them.
const WAITERS_MAX: usize = 64;

/// Result of reserving bytes.
pub(crate) type Result<T> = std::result::Result<T, BudgetError>;

/// Why bytes were not reserved.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum BudgetError {
    /// The budget stayed exhausted.
    #[error("too much is being received at present")]
    Exhausted,
    /// The holder was closed in favour of another.
    #[error("closed without progress while too much is being received")]
    Closed,
}

/// A budget of bytes, shared by all holders of a listener.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    shared: Arc<Shared>,
}

struct Shared {
    name: &'static str,
    state: Mutex<State>,
    released: Notify,
    waiters: Semaphore,
    next_id: AtomicU64,
    epoch: Instant,
    used: Gauge,
    closed: Counter,
    refused: Counter,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ByteBudget")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

struct State {
    ledger: BudgetLedger,
    closers: BTreeMap<HolderId, CancellationToken>,
}

impl ByteBudget {
    /// Creates a budget. The name identifies it in the log and in the metrics.
    pub(crate) fn new(name: &'static str, limits: BudgetLimits) -> Self {
        let refusals =
            |cause| counter!("body_budget_refusals", "listener" => name, "cause" => cause);
        let shared = Shared {
            name,
            state: Mutex::new(State {
                ledger: BudgetLedger::new(limits),
                closers: BTreeMap::new(),
            }),
            released: Notify::new(),
            waiters: Semaphore::new(WAITERS_MAX),
            next_id: AtomicU64::new(0),
            epoch: Instant::now(),
            used: gauge!("body_budget_used_bytes", "listener" => name),
            closed: refusals("stalled"),
            refused: refusals("exhausted"),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns a holder without bytes for something that is received.
    pub(crate) fn holder(&self) -> Holder {
        self.new_holder(Direction::Receiving, CancellationToken::new())
    }

    /// Returns a holder without bytes for responses, which is closed by this token.
    pub(crate) fn response_holder(&self, closed: CancellationToken) -> Holder {
        self.new_holder(Direction::Sending, closed)
    }

    /// Counts a request for bytes that was refused without asking the ledger.
    pub(crate) fn count_refusal(&self) {
        self.shared.refused.increment(1);
    }

    fn new_holder(&self, direction: Direction, closed: CancellationToken) -> Holder {
        Holder {
            shared: Arc::clone(&self.shared),
            id: self.shared.next_id.fetch_add(1, Ordering::Relaxed),
            direction,
            closed,
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a refusal.
    fn refuse(&self) -> BudgetError {
        self.refused.increment(1);
        BudgetError::Exhausted
    }

    fn now(&self) -> Millis {
        Millis::from(self.epoch.elapsed())
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "budgets are far below 2^52 bytes"
    )]
    fn record_used(&self, used_bytes: usize) {
        self.used.set(used_bytes as f64);
    }
}

/// Result of one attempt to reserve bytes.
enum Attempt {
    Reserved,
    /// The holder itself is being closed.
    Closed,
    Exhausted {
        /// When the next holder counts as stalled, unless none can.
        next_stall: Option<Instant>,
    },
}

/// The reserved bytes of one body or frame. They are released when this is dropped.
#[derive(Debug)]
pub(crate) struct Holder {
    shared: Arc<Shared>,
    id: HolderId,
    direction: Direction,
    closed: CancellationToken,
}

impl Holder {
    /// Raises the reservation to `bytes`, waiting a limited time while the budget is exhausted.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<()> {
        if let Some(reserved) = self.reserve_free(bytes) {
            return reserved;
        }
        // Without a permit this holder would not wait for the bytes of a holder closed for it.
        let Ok(_waiter) = self.shared.waiters.try_acquire() else {
            return Err(self.shared.refuse());
        };
        let deadline = Instant::now() + WAIT_MAX;
        loop {
            let mut released = std::pin::pin!(self.shared.released.notified());
            released.as_mut().enable();
            let next_try = match self.reserve_or_close(bytes) {
                Attempt::Reserved => return Ok(()),
                Attempt::Closed => return Err(BudgetError::Closed),
                Attempt::Exhausted { next_stall } => next_stall.unwrap_or(deadline).min(deadline),
            };
            if Instant::now() >= deadline {
                return Err(self.shared.refuse());
            }
            tokio::select! {
                () = self.closed.cancelled() => return Err(BudgetError::Closed),
                () = released => {}
                () = sleep_until(next_try) => {}
            }
        }
    }

    /// Raises the reservation to `bytes` without waiting. If the budget is exhausted, a holder that
    /// has stalled is closed, so that a later attempt succeeds.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Result<()> {
        match self.reserve_or_close(bytes) {
            Attempt::Reserved => Ok(()),
            Attempt::Closed => Err(BudgetError::Closed),
            Attempt::Exhausted { .. } => Err(self.shared.refuse()),
        }
    }

    /// Raises the reservation to `bytes` if no other holder must be closed for that.
    fn reserve_free(&self, bytes: usize) -> Option<Result<()>> {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        match state
            .ledger
            .reserve_free(self.direction, self.id, bytes, now)?
        {
            Decision::Granted => {
                self.record_reserved(&mut state);
                Some(Ok(()))
            }
            Decision::Closed => Some(Err(BudgetError::Closed)),
            Decision::Exhausted { .. } => None,
        }
    }

    /// Raises the reservation to `bytes`, or closes a holder that has stalled.
    fn reserve_or_close(&self, bytes: usize) -> Attempt {
        let shared = &self.shared;
        let now = shared.now();
        let mut state = shared.lock();
        match state
            .ledger
            .reserve_for(self.direction, self.id, bytes, now)
        {
            Decision::Granted => {
                self.record_reserved(&mut state);
                Attempt::Reserved
            }
            Decision::Closed => Attempt::Closed,
            Decision::Exhausted {
                close,
                next_stall_ms,
            } => {
                if let Some(closer) = close.and_then(|id| state.closers.get(&id)) {
                    closer.cancel();
                    shared.closed.increment(1);
                    info!(event = "stalled_body_closed", listener = shared.name);
                }
                Attempt::Exhausted {
                    next_stall: next_stall_ms.map(|at| shared.epoch + at.duration()),
                }
            }
        }
    }

    fn record_reserved(&self, state: &mut State) {
        let closers = state.closers.entry(self.id);
        closers.or_insert_with(|| self.closed.clone());
        self.shared.record_used(state.ledger.used_bytes());
    }

    /// Records that the client has sent more.
    pub(crate) fn record_progress(&self) {
        let now = self.shared.now();
        self.shared.lock().ledger.record_progress(self.id, now);
    }

    /// Records that all has been read. From here on the holder is not closed for another.
    pub(crate) fn complete(&self) {
        self.shared.lock().ledger.complete(self.id);
    }

    /// Returns the token that is cancelled when the holder is closed in favour of another.
    pub(crate) const fn closer(&self) -> &CancellationToken {
        &self.closed
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.closers.remove(&self.id).is_none() {
            return;
        }
        state.ledger.release(self.id);
        self.shared.record_used(state.ledger.used_bytes());
        drop(state);
        self.shared.released.notify_waiters();
    }
}
