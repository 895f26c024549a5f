use std::collections::BTreeMap;

use super::entry_registry::EntryInstance;
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::units::{Incarnation, WorkerId};

/// Which entry holds a worker's poll.
#[derive(Clone, Debug)]
struct HeldPoll {
    instance: EntryInstance,
    incarnation: Incarnation,
}

/// The polls that entries hold and the orders that wait for their exchanges: a pure core.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderDispatcher {
    polls: BTreeMap<WorkerId, HeldPoll>,
    outboxes: BTreeMap<EntryInstance, BTreeMap<WorkerId, WorkerOrders>>,
}

impl OrderDispatcher {
    /// An entry holds this poll from now on, and no other entry does.
    pub(super) fn hold(&mut self, instance: &EntryInstance, poll: &WorkerPoll) {
        self.remove_poll(&poll.worker);
        let held = HeldPoll {
            instance: instance.clone(),
            incarnation: poll.incarnation,
        };
        self.polls.insert(poll.worker.clone(), held);
    }

    /// An entry no longer holds a worker's poll; another entry's is left alone.
    pub(super) fn release(&mut self, instance: &EntryInstance, worker: &WorkerId) {
        if self
            .polls
            .get(worker)
            .is_some_and(|held| held.instance == *instance)
        {
            self.remove_poll(worker);
        }
    }

    /// Puts orders where the entry that holds the worker's poll takes them up; orders for a worker
    /// that does not poll are dropped, since its next poll is answered anew.
    pub(super) fn dispatch(&mut self, orders: WorkerOrders) {
        let Some(held) = self.polls.get(&orders.worker) else {
            return;
        };
        if held.incarnation == orders.incarnation {
            let outbox = self.outboxes.entry(held.instance.clone()).or_default();
            outbox.insert(orders.worker.clone(), orders);
        }
    }

    pub(super) fn has_orders(&self, instance: &EntryInstance) -> bool {
        self.outboxes.contains_key(instance)
    }

    /// Takes all orders for an entry, which answers those polls with them.
    pub(super) fn take(&mut self, instance: &EntryInstance) -> Vec<WorkerOrders> {
        let outbox = self.outboxes.remove(instance).unwrap_or_default();
        for worker in outbox.keys() {
            self.polls.remove(worker);
        }
        outbox.into_values().collect()
    }

    /// Forgets all that an entry held.
    pub(super) fn remove_entry(&mut self, instance: &EntryInstance) {
        self.outboxes.remove(instance);
        self.polls.retain(|_, held| held.instance != *instance);
    }

    fn remove_poll(&mut self, worker: &WorkerId) {
        let Some(held) = self.polls.remove(worker) else {
            return;
        };
        if let Some(outbox) = self.outboxes.get_mut(&held.instance) {
            outbox.remove(worker);
            if outbox.is_empty() {
                self.outboxes.remove(&held.instance);
            }
        }
    }
}
