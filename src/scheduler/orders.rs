//! Builds the orders for workers.

use super::gang::{Job, TaskStatus};
use super::{Action, Scheduler};
use crate::fleet::{
    DesiredState, LEASE_MS, START_VALID_MS, TaskKey, TaskOrder, TaskSpec, WorkerOrders, WorkerPoll,
};
use crate::units::{Accelerators, Cores, MemoryMb, OrdersVersion, Sequence, TaskIndex};

impl Scheduler {
    /// Emits new orders for all workers whose orders changed.
    pub(super) fn flush_orders(&mut self) {
        for ix in std::mem::take(&mut self.changed_workers) {
            let worker = self.pool.worker_mut(ix);
            worker.version = worker.version.next();
            if worker.has_polled {
                let sequence = worker.sequence;
                let orders = self.orders_for(ix, sequence);
                self.actions.push(Action::Order(orders));
            }
        }
    }

    /// Answers a poll with the current orders.
    pub(super) fn answer_poll(&mut self, ix: u32, sequence: Sequence) {
        if self.changed_workers.remove(&ix) {
            let worker = self.pool.worker_mut(ix);
            worker.version = worker.version.next();
        }
        let orders = self.orders_for(ix, sequence);
        self.actions.push(Action::Order(orders));
    }

    /// Answers a poll from a worker that is unknown, or from an earlier incarnation of a known
    /// worker: all its tasks must stop.
    pub(super) fn answer_unknown_worker(&mut self, poll: &WorkerPoll) {
        let stop = |task: &TaskKey| TaskOrder {
            task: task.clone(),
            desired_state: DesiredState::Stop,
            spec: None,
        };
        self.actions.push(Action::Order(WorkerOrders {
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
        let wanted = wanted.filter_map(|(ordinal, index)| self.task_order(ix, *ordinal, *index));
        let unexpected_tasks = worker.unexpected_tasks.iter().map(|task| TaskOrder {
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
            tasks: wanted.chain(unexpected_tasks).collect(),
        }
    }

    fn task_order(&self, ix: u32, ordinal: u64, index: u32) -> Option<TaskOrder> {
        let job = self.jobs.get(&ordinal)?;
        let gang = job.gang.as_ref()?;
        let assignment = gang.assignments.get(index as usize)?;
        let worker = self.pool.worker(ix);
        if assignment.status == TaskStatus::Gone || assignment.incarnation != worker.incarnation {
            return None;
        }
        let mut desired_state = gang.desired_state()?;
        let idle = matches!(
            assignment.status,
            TaskStatus::Unreported | TaskStatus::Prepared
        );
        if desired_state == DesiredState::Run && idle && !worker.open {
            desired_state = DesiredState::Prepare;
        }
        let needs_spec = matches!(desired_state, DesiredState::Prepare | DesiredState::Run) && idle;
        Some(TaskOrder {
            task: TaskKey {
                job: job.record.spec.key.clone(),
                attempt: gang.attempt,
                index: TaskIndex(index),
            },
            desired_state,
            spec: needs_spec.then(|| self.task_spec(job, index)),
        })
    }

    fn task_spec(&self, job: &Job, index: u32) -> TaskSpec {
        let gang = job.gang.as_ref().expect("orders are given for gangs");
        let spec = &job.record.spec;
        let peers = gang.assignments.iter();
        let peers = peers.map(|assignment| (self.pool.worker(assignment.worker).id.clone(), None));
        TaskSpec {
            payload: spec.payload.clone(),
            accelerators: Accelerators(gang.resources.accelerators),
            cores: Cores(gang.resources.cores),
            memory_mb: MemoryMb(gang.resources.memory_mb),
            gang_size: spec.tasks,
            checkpoint: job.record.checkpoints.get(index as usize).cloned(),
            peers: peers.collect(),
        }
    }
}
