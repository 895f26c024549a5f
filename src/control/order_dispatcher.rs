use std::collections::BTreeMap;

use super::entry_registry::EntryInstance;
use crate::fleet::{WorkerOrders, WorkerPoll};
use crate::units::{Incarnation, WorkerId};

/// A worker's poll and the entry that holds it.
#[derive(Clone, Debug)]
struct HeldPoll {
    instance: EntryInstance,
    incarnation: Incarnation,
}

/// The worker polls that entries hold, and for each entry the orders to send with its next
/// exchange. It does no I/O.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderDispatcher {
    polls: BTreeMap<WorkerId, HeldPoll>,
    outboxes: BTreeMap<EntryInstance, BTreeMap<WorkerId, WorkerOrders>>,
}

impl OrderDispatcher {
    /// Records that an entry now holds the worker's poll, in place of any other entry.
    pub(super) fn hold(&mut self, instance: &EntryInstance, poll: &WorkerPoll) {
        self.remove_poll(&poll.worker);
        let held = HeldPoll {
            instance: instance.clone(),
            incarnation: poll.incarnation,
        };
        self.polls.insert(poll.worker.clone(), held);
    }

    /// Records that an entry no longer holds a worker's poll, unless another entry holds it by now.
    pub(super) fn release(&mut self, instance: &EntryInstance, worker: &WorkerId) {
        if self
            .polls
            .get(worker)
            .is_some_and(|held| held.instance == *instance)
        {
            self.remove_poll(worker);
        }
    }

    /// Queues orders for the entry that holds the worker's poll. Orders for a worker without a held
    /// poll are dropped, because its next poll is answered with its current orders.
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

    /// Removes and returns all orders for an entry, which answers the held polls with them.
    pub(super) fn take(&mut self, instance: &EntryInstance) -> Vec<WorkerOrders> {
        let outbox = self.outboxes.remove(instance).unwrap_or_default();
        for worker in outbox.keys() {
            self.polls.remove(worker);
        }
        outbox.into_values().collect()
    }

    /// Removes an entry with its held polls and queued orders.
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
