use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::units::{Incarnation, Sequence, WorkerId};

/// A poll that this entry holds open.
#[derive(Debug)]
struct HeldPoll {
    id: u64,
    incarnation: Incarnation,
    sequence: Sequence,
    orders: oneshot::Sender<WorkerOrders>,
    /// Orders that renew the lease and change nothing, for when the hold ends.
    unchanged: Option<WorkerOrders>,
}

/// What releasing a poll found.
#[derive(Debug)]
pub(super) enum ReleaseOutcome {
    /// The poll was answered or replaced before.
    NotHeld,
    /// The poll was held until now.
    Held {
        /// Orders that renew the lease and change nothing.
        unchanged: Option<WorkerOrders>,
    },
}

/// All polls that this entry holds open, at most one a worker.
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
    /// Holds a poll in the place of an earlier one of the same worker.
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

    /// Gives orders to the poll that they answer; false where it is not held.
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

    /// Keeps orders that renew a lease without a change.
    pub(super) fn store_unchanged(&self, orders: WorkerOrders) {
        let mut state = self.lock();
        if let Some(held) = state.by_worker.get_mut(&orders.worker)
            && held.is_answered_by(&orders)
        {
            held.unchanged = Some(orders);
        }
    }

    /// Whether this very poll is still held.
    pub(super) fn holds(&self, worker: &WorkerId, id: u64) -> bool {
        let state = self.lock();
        state
            .by_worker
            .get(worker)
            .is_some_and(|held| held.id == id)
    }

    /// Stops holding this very poll; gives its unchanged orders where it was still held.
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

    /// Stops holding all polls; their waiters see that they were dropped.
    pub(super) fn drop_all(&self) {
        self.lock().by_worker.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.polls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldPoll {
    /// Orders answer a poll of the same process that was sent no earlier than theirs.
    fn is_answered_by(&self, orders: &WorkerOrders) -> bool {
        self.incarnation == orders.incarnation && self.sequence >= orders.sequence
    }
}
