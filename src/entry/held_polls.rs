use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::units::{Incarnation, Sequence, WorkerId};

/// A worker's poll that this entry holds open.
#[derive(Debug)]
struct HeldPoll {
    id: u64,
    incarnation: Incarnation,
    sequence: Sequence,
    orders: oneshot::Sender<WorkerOrders>,
    /// Orders that only renew the lease, returned if the hold ends without other orders.
    unchanged: Option<WorkerOrders>,
}

/// Result of releasing a poll.
#[derive(Debug)]
pub(super) enum ReleaseOutcome {
    /// The poll had already been answered or replaced.
    NotHeld,
    /// The poll was held until now.
    Held {
        /// Orders that only renew the lease.
        unchanged: Option<WorkerOrders>,
    },
}

/// The polls that this entry holds open, at most one per worker.
#[derive(Debug, Default)]
pub(super) struct HeldPolls {
    polls: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    by_worker: HashMap<WorkerId, HeldPoll>,
}

impl HeldPolls {
    /// Holds a poll, replacing an earlier one of the same worker.
    pub(super) fn hold(&self, poll: &WorkerPoll) -> (u64, oneshot::Receiver<WorkerOrders>) {
        let (orders, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.next_id += 1;
        let id = state.next_id;
        let held = HeldPoll {
            id,
            incarnation: poll.incarnation,
            sequence: poll.sequence,
            orders,
            unchanged: None,
        };
        state.by_worker.insert(poll.worker.clone(), held);
        (id, receiver)
    }

    /// Delivers orders to the poll that they answer. Returns `false` if that poll is not held.
    pub(super) fn deliver(&self, orders: WorkerOrders) -> bool {
        let mut state = self.lock();
        let is_expected = state
            .by_worker
            .get(&orders.worker)
            .is_some_and(|held| held.is_answered_by(&orders));
        if !is_expected {
            return false;
        }
        let held = state.by_worker.remove(&orders.worker);
        held.is_some_and(|held| held.orders.send(orders).is_ok())
    }

    /// Stores orders that only renew a lease until the hold ends.
    pub(super) fn store_unchanged(&self, orders: WorkerOrders) {
        let mut state = self.lock();
        if let Some(held) = state.by_worker.get_mut(&orders.worker)
            && held.is_answered_by(&orders)
        {
            held.unchanged = Some(orders);
        }
    }

    /// Returns whether the poll with this id is still held.
    pub(super) fn holds(&self, worker: &WorkerId, id: u64) -> bool {
        let state = self.lock();
        state
            .by_worker
            .get(worker)
            .is_some_and(|held| held.id == id)
    }

    /// Stops holding the poll with this id and returns its lease renewal if it was still held.
    pub(super) fn release(&self, worker: &WorkerId, id: u64) -> ReleaseOutcome {
        let mut state = self.lock();
        let is_held = state
            .by_worker
            .get(worker)
            .is_some_and(|held| held.id == id);
        if !is_held {
            return ReleaseOutcome::NotHeld;
        }
        let held = state.by_worker.remove(worker);
        held.map_or(ReleaseOutcome::NotHeld, |held| ReleaseOutcome::Held {
            unchanged: held.unchanged,
        })
    }

    /// Stops holding all polls. Their receivers are closed.
    pub(super) fn drop_all(&self) {
        self.lock().by_worker.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.polls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldPoll {
    /// Returns whether the orders answer this poll. They must be meant for the same worker process
    /// and for a poll that was sent no later than this one.
    fn is_answered_by(&self, orders: &WorkerOrders) -> bool {
        self.incarnation == orders.incarnation && self.sequence >= orders.sequence
    }
}
