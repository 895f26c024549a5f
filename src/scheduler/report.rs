//! Handles the reports of workers, and workers that stop polling.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::gang::{AfterStop, Assignment, Gang, Job, Stage, TaskStatus};
use super::resources::Resources;
use super::{RequeueCause, Scheduler};
use crate::fleet::{TaskKey, TaskReport, TaskState, WorkerPoll};
use crate::units::{MemoryMb, Millis};

/// The maximum size of a stored result.
const RESULT_MAX_BYTES: usize = 64 * 1024;
/// The maximum size of a stored error message.
const CAUSE_MAX_BYTES: usize = 1024;
/// The maximum number of reported tasks examined in one poll.
const REPORTS_MAX: usize = 4_096;

impl Scheduler {
    /// Applies a worker's poll and answers it with orders.
    pub(super) fn handle_poll(&mut self, poll: &WorkerPoll, now: Millis) {
        let Some(ix) = self.pool.register(poll) else {
            return self.answer_unknown_worker(poll);
        };
        let worker = self.pool.worker(ix);
        let restarted = poll.incarnation > worker.incarnation;
        if poll.incarnation < worker.incarnation {
            return self.answer_unknown_worker(poll);
        }
        let is_new = restarted || poll.sequence > worker.sequence || !worker.has_polled;
        let repeated = !is_new && poll.sequence == worker.sequence;
        if is_new || repeated {
            self.update_worker(ix, poll, now);
        }
        if is_new {
            self.apply_reports(ix, poll, now);
        }
        self.answer_poll(ix, poll.sequence);
    }

    fn update_worker(&mut self, ix: u32, poll: &WorkerPoll, now: Millis) {
        let worker = self.pool.worker_mut(ix);
        let appeared = !worker.is_alive(now) || poll.incarnation > worker.incarnation;
        if !worker.has_polled || poll.incarnation > worker.incarnation {
            worker.version = poll.orders_version.next();
        }
        worker.has_polled = true;
        worker.last_poll_ms = now;
        worker.incarnation = poll.incarnation;
        worker.sequence = poll.sequence;
        let external_usage = worker.external_usage;
        worker.record_usage(&poll.usage, now);
        let usage_changed = worker.external_usage != external_usage;
        let reported_capacity = Resources::from_capacity(&poll.capacity);
        let previous_capacity = worker.reported_capacity;
        if usage_changed {
            self.pool.mark_rack_stale(ix);
        }
        if appeared || previous_capacity != reported_capacity {
            self.pool.set_reported_capacity(ix, reported_capacity);
            self.bindings.dirty = true;
            self.capacity_freed();
        }
        if appeared && self.pool.worker(ix).is_closed() {
            self.evict_from_worker(ix, now);
        }
    }

    /// Evicts all gangs from a worker that turns out to be in a closed zone.
    fn evict_from_worker(&mut self, ix: u32, now: Millis) {
        let members = self.pool.worker(ix).members.iter();
        let gangs: BTreeSet<u64> = members.map(|(ordinal, _index)| *ordinal).collect();
        for ordinal in gangs {
            self.evict(ordinal, RequeueCause::ZoneOut, now);
        }
    }

    fn apply_reports(&mut self, ix: u32, poll: &WorkerPoll, now: Millis) {
        let mut changed_jobs = BTreeSet::new();
        let mut reported = BTreeSet::new();
        let mut unexpected_tasks = Vec::new();
        for report in poll.tasks.iter().take(REPORTS_MAX) {
            match self.find_member(ix, &report.task) {
                Some(member) => {
                    reported.insert(member);
                    if self.apply_report(member, report, now) {
                        changed_jobs.insert(member.0);
                    }
                }
                None => unexpected_tasks.push(report.task.clone()),
            }
        }
        let worker = self.pool.worker_mut(ix);
        if worker.unexpected_tasks != unexpected_tasks {
            worker.unexpected_tasks = unexpected_tasks;
            self.changed_workers.insert(ix);
        }
        let members: Vec<_> = self.pool.worker(ix).members.iter().copied().collect();
        for member in members {
            if !reported.contains(&member) && self.handle_missing_report(member, poll) {
                changed_jobs.insert(member.0);
            }
        }
        for ordinal in changed_jobs {
            self.release_gone_tasks(ordinal, now);
            self.advance_gang(ordinal, now);
        }
    }

    /// Finds the task of a current attempt that a report is about.
    fn find_member(&self, ix: u32, task: &TaskKey) -> Option<(u64, u32)> {
        let ordinal = *self.by_key.get(&task.job)?;
        let gang = self.jobs.get(&ordinal)?.gang.as_ref()?;
        let assignment = gang.assignments.get(task.index.0 as usize)?;
        let incarnation = self.pool.worker(ix).incarnation;
        let same = gang.attempt == task.attempt
            && assignment.worker == ix
            && assignment.incarnation == incarnation
            && assignment.status != TaskStatus::Gone;
        same.then_some((ordinal, task.index.0))
    }

    fn assignment_mut(&mut self, member: (u64, u32)) -> Option<(&mut Gang, usize)> {
        let gang = self.jobs.get_mut(&member.0)?.gang.as_mut()?;
        Some((gang, member.1 as usize))
    }

    /// Applies the reported state of one task. Returns true if its status changed.
    fn apply_report(&mut self, member: (u64, u32), report: &TaskReport, now: Millis) -> bool {
        let limit = self.memory_limit(member.0);
        let Some((gang, at)) = self.assignment_mut(member) else {
            return false;
        };
        let assignment = &mut gang.assignments[at];
        let before = assignment.status;
        let worker = assignment.worker;
        assignment.status = match &report.state {
            TaskState::Prepared => TaskStatus::Prepared,
            TaskState::Refused { .. } => TaskStatus::Refused,
            TaskState::Running | TaskState::Throttled => TaskStatus::Running,
            TaskState::Checkpointed { checkpoint } => {
                assignment.checkpoint = Some(checkpoint.clone());
                TaskStatus::Checkpointed
            }
            TaskState::Stopped { .. } => TaskStatus::Stopped,
            TaskState::Succeeded { result } => {
                assignment.result = Some(truncate(result, RESULT_MAX_BYTES));
                TaskStatus::Succeeded
            }
            TaskState::Failed { .. } => TaskStatus::Failed,
            TaskState::OverMemory { .. } => TaskStatus::OverMemory,
        };
        let status = assignment.status;
        match &report.state {
            TaskState::Failed { cause } => record_cause(gang, cause),
            TaskState::Refused { reason } => record_cause(gang, reason),
            TaskState::OverMemory { used_mb } => {
                let larger = increased_memory(gang.resources.memory_mb, used_mb.0);
                gang.increased_memory_mb = (larger <= limit).then_some(larger);
                record_cause(gang, "a task passed its memory limit and may not have more");
            }
            _ => {}
        }
        let failed = matches!(status, TaskStatus::Failed | TaskStatus::Refused);
        if failed && before != status {
            self.record_failure(member.0, worker, now);
        }
        before != status
    }

    fn memory_limit(&self, ordinal: u64) -> MemoryMb {
        let team = self.jobs.get(&ordinal).map(|job| &job.record.spec.key.team);
        let team = team.and_then(|team| self.in_force.teams.get(team));
        team.map_or(MemoryMb::ZERO, |team| team.task_memory_max_mb)
    }

    /// Counts a failure against the job and the worker.
    ///
    /// A job that fails on a second worker is itself suspect, so the failures it caused are
    /// withdrawn.
    fn record_failure(&mut self, ordinal: u64, worker: u32, now: Millis) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        job.failed_on.retain(|(failed, _when)| *failed != worker);
        job.failed_on.push((worker, now));
        if !self.options.quarantine {
            return;
        }
        if job.failed_on.len() > 1 {
            for (ix, _when) in &job.failed_on {
                self.pool
                    .worker_mut(*ix)
                    .health
                    .withdraw_failure(ordinal, now);
            }
            let probe = &mut self.pool.worker_mut(worker).health;
            if !probe.is_up() {
                probe.record_failure(ordinal, now);
            }
        } else {
            self.pool
                .worker_mut(worker)
                .health
                .record_failure(ordinal, now);
        }
        self.bindings.dirty = true;
    }

    /// Handles a task that is missing from its worker's report. Returns true if its status changed.
    fn handle_missing_report(&mut self, member: (u64, u32), poll: &WorkerPoll) -> bool {
        let term = self.term;
        let Some((gang, at)) = self.assignment_mut(member) else {
            return false;
        };
        let stopping = matches!(gang.stage, Stage::Stopping { .. } | Stage::Releasing);
        let assignment = &mut gang.assignments[at];
        if assignment.status == TaskStatus::Gone {
            return false;
        }
        let restarted = poll.incarnation > assignment.incarnation;
        let heard_stop = poll.term == term && poll.orders_version >= assignment.stop_version;
        let obeyed = stopping && heard_stop;
        let vanished = !stopping && gang.started && poll.incarnation == assignment.incarnation;
        if restarted || obeyed || vanished {
            assignment.status = if restarted || obeyed {
                TaskStatus::Gone
            } else {
                TaskStatus::Stopped
            };
            return true;
        }
        false
    }

    /// Stops gangs with silent workers, and releases tasks whose worker's lease is over.
    pub(super) fn check_workers(&mut self, now: Millis) {
        let mut lost = BTreeSet::new();
        let mut gone = BTreeSet::new();
        let (mut probe_wanted, mut has_suspect_workers) = (false, false);
        let is_settled = self.is_settled(now);
        let known: Vec<u32> = self.pool.known().collect();
        for ix in known {
            let worker = self.pool.worker_mut(ix);
            worker.health.tick(now);
            probe_wanted |= worker.health.accepts_probe(true, now);
            has_suspect_workers |= worker.health.is_suspect() || !worker.health.is_up();
            if worker.is_alive(now) {
                continue;
            }
            if worker.has_polled && worker.members.is_empty() {
                continue;
            }
            let members = worker.members.iter().copied();
            if worker.lease_expired(now) {
                gone.extend(members);
            } else if is_settled {
                lost.extend(members.map(|(ordinal, _index)| ordinal));
            }
        }
        if probe_wanted && !self.probe_wanted {
            self.capacity_freed();
        }
        self.probe_wanted = probe_wanted;
        self.has_suspect_workers = has_suspect_workers;
        for member in &gone {
            if let Some((gang, at)) = self.assignment_mut(*member) {
                gang.assignments[at].status = TaskStatus::Gone;
            }
            lost.insert(member.0);
        }
        if !lost.is_empty() {
            self.bindings.dirty = true;
        }
        for ordinal in lost {
            self.release_gone_tasks(ordinal, now);
            self.handle_lost_worker(ordinal, now);
        }
    }

    /// Handles the loss of a worker: the remaining tasks of the gang are stopped.
    fn handle_lost_worker(&mut self, ordinal: u64, now: Millis) {
        let gang = self
            .jobs
            .get_mut(&ordinal)
            .and_then(|job| job.gang.as_mut());
        let Some(gang) = gang else {
            return;
        };
        match gang.stage {
            Stage::Preparing => self.stop_gang(
                ordinal,
                AfterStop::Requeue(RequeueCause::PrepareFailed),
                now,
            ),
            Stage::Running | Stage::Checkpointing { .. } => {
                if gang.all(TaskStatus::Succeeded) {
                    return self.advance_gang(ordinal, now);
                }
                self.stop_gang(ordinal, AfterStop::Requeue(RequeueCause::WorkerLost), now);
            }
            Stage::CommittingPlacement | Stage::CommittingStart => {
                gang.stop_after_commit
                    .get_or_insert(AfterStop::Requeue(RequeueCause::WorkerLost));
            }
            Stage::Stopping { .. } | Stage::Releasing => self.advance_gang(ordinal, now),
            Stage::CommittingEnd | Stage::CommittingSuccess => {}
        }
    }

    /// Evicts gangs from closed zones.
    pub(super) fn evict_from_closed_zones(&mut self, now: Millis) {
        let affected: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_ordinal, job)| self.is_in_closed_zone(job))
            .map(|(ordinal, _job)| *ordinal)
            .collect();
        for ordinal in affected {
            self.evict(ordinal, RequeueCause::ZoneOut, now);
        }
    }

    fn is_in_closed_zone(&self, job: &Job) -> bool {
        let closed = |assignment: &Assignment| self.pool.worker(assignment.worker).is_closed();
        job.gang
            .as_ref()
            .is_some_and(|gang| gang.assignments.iter().any(closed))
    }

    /// Evicts a gang, with a checkpoint if it runs.
    ///
    /// Running work that must not run again is left to finish.
    pub(super) fn evict(&mut self, ordinal: u64, cause: RequeueCause, now: Millis) {
        let until_ms = now.saturating_add(self.options.checkpoint_timeout_ms);
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        let idempotent = job.record.spec.idempotent;
        let Some(gang) = job.gang.as_mut() else {
            return;
        };
        match gang.stage {
            Stage::CommittingPlacement | Stage::CommittingStart => {
                gang.stop_after_commit = Some(AfterStop::Requeue(cause));
            }
            Stage::Preparing => self.stop_gang(ordinal, AfterStop::Requeue(cause), now),
            Stage::Running if !idempotent => {
                let sentence = "It may not run again, so it finishes where it runs.";
                self.explain_job(ordinal, "finishes_in_place", sentence);
                self.advance_gang(ordinal, now);
            }
            Stage::Running => {
                gang.stage = Stage::Checkpointing { cause, until_ms };
                self.mark_members_changed(ordinal);
                let sentence = "It writes a checkpoint and then leaves its places.";
                self.explain_job(ordinal, "checkpointing", sentence);
                self.advance_gang(ordinal, now);
            }
            _ => {}
        }
    }
}

fn record_cause(gang: &mut Gang, text: &str) {
    gang.cause
        .get_or_insert_with(|| truncate(text, CAUSE_MAX_BYTES));
}

/// The memory limit for the next attempt: one and a half times the memory used or allocated,
/// whichever is larger, plus 1 MB.
fn increased_memory(allocated_mb: u64, used_mb: u64) -> MemoryMb {
    let base = allocated_mb.max(used_mb);
    MemoryMb(base.saturating_add(base / 2).saturating_add(1))
}

/// Truncates a text to a limit, at a character boundary.
fn truncate(text: &str, limit_bytes: usize) -> SmolStr {
    let mut end = text.len().min(limit_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    SmolStr::new(&text[..end])
}
