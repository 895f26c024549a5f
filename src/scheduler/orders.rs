//! What is ordered of each worker.

use super::gang::{Job, Seen};
use super::{Action, Scheduler};
use crate::fleet::{
    DesiredState, LEASE_MS, START_VALID_MS, TaskKey, TaskOrder, TaskSpec, WorkerOrders, WorkerPoll,
};
use crate::units::{Accelerators, Cores, MemoryMb, OrdersVersion, Sequence, TaskIndex};

impl Scheduler {
    /// Gives new orders to all workers for which something changed.
    pub(super) fn flush_orders(&mut self) {
        for ix in std::mem::take(&mut self.changed) {
            let worker = self.pool.worker_mut(ix);
            worker.version = worker.version.next();
            if worker.heard {
                let sequence = worker.sequence;
                let orders = self.orders_for(ix, sequence);
                self.out.push(Action::Order(orders));
            }
        }
    }

    /// Answers a poll with the present orders.
    pub(super) fn answer(&mut self, ix: u32, sequence: Sequence) {
        if self.changed.remove(&ix) {
            let worker = self.pool.worker_mut(ix);
            worker.version = worker.version.next();
        }
        let orders = self.orders_for(ix, sequence);
        self.out.push(Action::Order(orders));
    }

    /// Answers a poll of an unknown place or an earlier process: nothing may run.
    pub(super) fn answer_unknown(&mut self, poll: &WorkerPoll) {
        let stop = |task: &TaskKey| TaskOrder {
            task: task.clone(),
            desired_state: DesiredState::Stop,
            spec: None,
        };
        self.out.push(Action::Order(WorkerOrders {
            worker: poll.worker.clone(),
            incarnation: poll.incarnation,
            sequence: poll.sequence,
            term: self.term,
            version: OrdersVersion::ZERO,
            lease_ms: LEASE_MS,
            start_valid_ms: START_VALID_MS,
            tasks: poll.tasks.iter().map(|report| stop(&report.task)).collect(),
        }));
    }

    fn orders_for(&self, ix: u32, sequence: Sequence) -> WorkerOrders {
        let worker = self.pool.worker(ix);
        let wanted = worker.members.iter();
        let wanted = wanted.filter_map(|(ordinal, index)| self.order_of(ix, *ordinal, *index));
        let strays = worker.strays.iter().map(|task| TaskOrder {
            task: task.clone(),
            desired_state: DesiredState::Stop,
            spec: None,
        });
        WorkerOrders {
            worker: worker.id.clone(),
            incarnation: worker.incarnation,
            sequence,
            term: self.term,
            version: worker.version,
            lease_ms: LEASE_MS,
            start_valid_ms: START_VALID_MS,
            tasks: wanted.chain(strays).collect(),
        }
    }

    fn order_of(&self, ix: u32, ordinal: u64, index: u32) -> Option<TaskOrder> {
        let job = self.jobs.get(&ordinal)?;
        let gang = job.gang.as_ref()?;
        let place = gang.places.get(index as usize)?;
        let worker = self.pool.worker(ix);
        if place.seen == Seen::Gone || place.incarnation != worker.incarnation {
            return None;
        }
        let mut want = gang.want()?;
        let idle = matches!(place.seen, Seen::Nothing | Seen::Prepared);
        if want == DesiredState::Run && idle && !worker.open {
            want = DesiredState::Prepare;
        }
        let needs_spec = matches!(want, DesiredState::Prepare | DesiredState::Run) && idle;
        Some(TaskOrder {
            task: TaskKey {
                job: job.record.spec.key.clone(),
                attempt: gang.attempt,
                index: TaskIndex(index),
            },
            desired_state: want,
            spec: needs_spec.then(|| self.spec_of(job, index)),
        })
    }

    fn spec_of(&self, job: &Job, index: u32) -> TaskSpec {
        let gang = job.gang.as_ref().expect("orders are given for gangs");
        let spec = &job.record.spec;
        let peers = gang.places.iter();
        let peers = peers.map(|place| (self.pool.worker(place.worker).id.clone(), None));
        TaskSpec {
            payload: spec.payload.clone(),
            accelerators: Accelerators(gang.load.accelerators),
            cores: Cores(gang.load.cores),
            memory_mb: MemoryMb(gang.load.memory_mb),
            gang_size: spec.tasks,
            checkpoint: job.record.checkpoints.get(index as usize).cloned(),
            peers: peers.collect(),
        }
    }
}
