use std::collections::BTreeMap;

use super::entry_registry::EntryRun;
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::units::{Incarnation, WorkerId};

/// Which entry holds a worker's poll.
#[derive(Clone, Debug)]
struct HeldPoll {
    run: EntryRun,
    incarnation: Incarnation,
}

/// The polls that entries hold and the orders that wait for their exchanges: a pure core.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderBook {
    polls: BTreeMap<WorkerId, HeldPoll>,
    outboxes: BTreeMap<EntryRun, BTreeMap<WorkerId, WorkerOrders>>,
}

impl OrderBook {
    /// An entry holds this poll from now on, and no other entry does.
    pub(super) fn hold(&mut self, run: &EntryRun, poll: &WorkerPoll) {
        self.forget(&poll.worker);
        let held = HeldPoll {
            run: run.clone(),
            incarnation: poll.incarnation,
        };
        self.polls.insert(poll.worker.clone(), held);
    }

    /// An entry no longer holds a worker's poll; another entry's is left alone.
    pub(super) fn release(&mut self, run: &EntryRun, worker: &WorkerId) {
        if self.polls.get(worker).is_some_and(|held| held.run == *run) {
            self.forget(worker);
        }
    }

    /// Puts orders where the entry that holds the worker's poll takes them up; orders for a worker
    /// that does not poll are dropped, since its next poll is answered anew.
    pub(super) fn route(&mut self, orders: WorkerOrders) {
        let Some(held) = self.polls.get(&orders.worker) else {
            return;
        };
        if held.incarnation == orders.incarnation {
            let outbox = self.outboxes.entry(held.run.clone()).or_default();
            outbox.insert(orders.worker.clone(), orders);
        }
    }

    pub(super) fn has_orders(&self, run: &EntryRun) -> bool {
        self.outboxes.contains_key(run)
    }

    /// Takes all orders for an entry, which answers those polls with them.
    pub(super) fn take(&mut self, run: &EntryRun) -> Vec<WorkerOrders> {
        let outbox = self.outboxes.remove(run).unwrap_or_default();
        for worker in outbox.keys() {
            self.polls.remove(worker);
        }
        outbox.into_values().collect()
    }

    /// Forgets all that an entry held.
    pub(super) fn drop_entry(&mut self, run: &EntryRun) {
        self.outboxes.remove(run);
        self.polls.retain(|_, held| held.run != *run);
    }

    fn forget(&mut self, worker: &WorkerId) {
        let Some(held) = self.polls.remove(worker) else {
            return;
        };
        if let Some(outbox) = self.outboxes.get_mut(&held.run) {
            outbox.remove(worker);
            if outbox.is_empty() {
                self.outboxes.remove(&held.run);
            }
        }
    }
}
