//! What workers report, and what their silence means.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::gang::{Gang, Job, Place, Seen, Stage, Then};
use super::load::Load;
use super::{RequeueCause, Scheduler};
use crate::fleet::{TaskKey, TaskReport, TaskState, WorkerPoll};
use crate::units::{MemoryMb, Millis};

/// The longest result text that is kept.
const RESULT_MAX_BYTES: usize = 64 * 1024;
/// The longest error text that is kept.
const CAUSE_MAX_BYTES: usize = 1024;
/// Reported tasks looked at in one poll.
const REPORTS_MAX: usize = 4_096;

impl Scheduler {
    /// A worker polled: its report is taken in and its orders are given.
    pub(super) fn polled(&mut self, poll: &WorkerPoll, now: Millis) {
        let Some(ix) = self.pool.enter(poll) else {
            return self.answer_unknown(poll);
        };
        let worker = self.pool.worker(ix);
        let restarted = poll.incarnation > worker.incarnation;
        if poll.incarnation < worker.incarnation {
            return self.answer_unknown(poll);
        }
        let newer = restarted || poll.sequence > worker.sequence || !worker.heard;
        let again = !newer && poll.sequence == worker.sequence;
        if newer || again {
            self.hear(ix, poll, now);
        }
        if newer {
            self.take_reports(ix, poll, now);
        }
        self.answer(ix, poll.sequence);
    }

    fn hear(&mut self, ix: u32, poll: &WorkerPoll, now: Millis) {
        let worker = self.pool.worker_mut(ix);
        let appeared = !worker.alive(now) || poll.incarnation > worker.incarnation;
        if !worker.heard || poll.incarnation > worker.incarnation {
            worker.version = poll.orders_version.next();
        }
        worker.heard = true;
        worker.heard_ms = now;
        worker.incarnation = poll.incarnation;
        worker.sequence = poll.sequence;
        let foreign = worker.foreign;
        worker.measure(&poll.usage, now);
        let load_changed = worker.foreign != foreign;
        let offered = Load::of_capacity(&poll.capacity);
        let worker_offers = worker.offered;
        if load_changed {
            self.pool.touch(ix);
        }
        if appeared || worker_offers != offered {
            self.pool.offer(ix, offered);
            self.bindings.dirty = true;
            self.freed();
        }
        if appeared && self.pool.worker(ix).is_closed() {
            self.leave_worker(ix, now);
        }
    }

    /// Takes gangs off a worker that turns out to stand in a closed zone.
    fn leave_worker(&mut self, ix: u32, now: Millis) {
        let members = self.pool.worker(ix).members.iter();
        let gangs: BTreeSet<u64> = members.map(|(ordinal, _index)| *ordinal).collect();
        for ordinal in gangs {
            self.evict(ordinal, RequeueCause::ZoneOut, now);
        }
    }

    fn take_reports(&mut self, ix: u32, poll: &WorkerPoll, now: Millis) {
        let mut touched = BTreeSet::new();
        let mut reported = BTreeSet::new();
        let mut strays = Vec::new();
        for report in poll.tasks.iter().take(REPORTS_MAX) {
            match self.find_member(ix, &report.task) {
                Some(member) => {
                    reported.insert(member);
                    if self.take_report(member, report, now) {
                        touched.insert(member.0);
                    }
                }
                None => strays.push(report.task.clone()),
            }
        }
        let worker = self.pool.worker_mut(ix);
        if worker.strays != strays {
            worker.strays = strays;
            self.changed.insert(ix);
        }
        let members: Vec<_> = self.pool.worker(ix).members.iter().copied().collect();
        for member in members {
            if !reported.contains(&member) && self.unreported(member, poll) {
                touched.insert(member.0);
            }
        }
        for ordinal in touched {
            self.release_gone(ordinal, now);
            self.evaluate(ordinal, now);
        }
    }

    /// The member of a live attempt that a report is about.
    fn find_member(&self, ix: u32, task: &TaskKey) -> Option<(u64, u32)> {
        let ordinal = *self.by_key.get(&task.job)?;
        let gang = self.jobs.get(&ordinal)?.gang.as_ref()?;
        let place = gang.places.get(task.index.0 as usize)?;
        let incarnation = self.pool.worker(ix).incarnation;
        let same = gang.attempt == task.attempt
            && place.worker == ix
            && place.incarnation == incarnation
            && place.seen != Seen::Gone;
        same.then_some((ordinal, task.index.0))
    }

    fn place_mut(&mut self, member: (u64, u32)) -> Option<(&mut Gang, usize)> {
        let gang = self.jobs.get_mut(&member.0)?.gang.as_mut()?;
        Some((gang, member.1 as usize))
    }

    /// Takes in one task's state; true where it changed.
    fn take_report(&mut self, member: (u64, u32), report: &TaskReport, now: Millis) -> bool {
        let limit = self.memory_limit(member.0);
        let Some((gang, at)) = self.place_mut(member) else {
            return false;
        };
        let place = &mut gang.places[at];
        let before = place.seen;
        let worker = place.worker;
        place.seen = match &report.state {
            TaskState::Prepared => Seen::Prepared,
            TaskState::Refused { .. } => Seen::Refused,
            TaskState::Running | TaskState::Throttled => Seen::Running,
            TaskState::Checkpointed { checkpoint } => {
                place.checkpoint = Some(checkpoint.clone());
                Seen::Checkpointed
            }
            TaskState::Stopped { .. } => Seen::Stopped,
            TaskState::Succeeded { result } => {
                place.result = Some(cut(result, RESULT_MAX_BYTES));
                Seen::Succeeded
            }
            TaskState::Failed { .. } => Seen::Failed,
            TaskState::OverMemory { .. } => Seen::OverMemory,
        };
        let seen = place.seen;
        match &report.state {
            TaskState::Failed { cause } => note_cause(gang, cause),
            TaskState::Refused { reason } => note_cause(gang, reason),
            TaskState::OverMemory { used_mb } => {
                let larger = larger_memory(gang.load.memory_mb, used_mb.0);
                gang.larger_memory_mb = (larger <= limit).then_some(larger);
                note_cause(gang, "a task passed its memory limit and may not have more");
            }
            _ => {}
        }
        let failed = matches!(seen, Seen::Failed | Seen::Refused);
        if failed && before != seen {
            self.blame(member.0, worker, now);
        }
        before != seen
    }

    fn memory_limit(&self, ordinal: u64) -> MemoryMb {
        let team = self.jobs.get(&ordinal).map(|job| &job.record.spec.key.team);
        let team = team.and_then(|team| self.in_force.teams.get(team));
        team.map_or(MemoryMb::ZERO, |team| team.task_memory_max_mb)
    }

    /// Counts a failure against the job and its worker.
    ///
    /// A job that fails on a second worker is suspect itself: its failures are withdrawn.
    fn blame(&mut self, ordinal: u64, worker: u32, now: Millis) {
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

    /// A member was not in its worker's report; true where that tells anything.
    fn unreported(&mut self, member: (u64, u32), poll: &WorkerPoll) -> bool {
        let term = self.term;
        let Some((gang, at)) = self.place_mut(member) else {
            return false;
        };
        let stopping = matches!(gang.stage, Stage::Stopping { .. } | Stage::Releasing);
        let place = &mut gang.places[at];
        if place.seen == Seen::Gone {
            return false;
        }
        let restarted = poll.incarnation > place.incarnation;
        let heard_stop = poll.term == term && poll.orders_version >= place.stop_version;
        let obeyed = stopping && heard_stop;
        let vanished = !stopping && gang.started && poll.incarnation == place.incarnation;
        if restarted || obeyed || vanished {
            place.seen = if restarted || obeyed {
                Seen::Gone
            } else {
                Seen::Stopped
            };
            return true;
        }
        false
    }

    /// Stops gangs of silent workers and frees what certainly runs no more.
    pub(super) fn watch_workers(&mut self, now: Millis) {
        let mut lost = BTreeSet::new();
        let mut gone = BTreeSet::new();
        let (mut probe_wanted, mut doubts) = (false, false);
        let settled = self.settled(now);
        let known: Vec<u32> = self.pool.known().collect();
        for ix in known {
            let worker = self.pool.worker_mut(ix);
            worker.health.tick(now);
            probe_wanted |= worker.health.accepts_probe(true, now);
            doubts |= worker.health.is_suspect() || !worker.health.is_up();
            if worker.alive(now) {
                continue;
            }
            if worker.heard && worker.members.is_empty() {
                continue;
            }
            let members = worker.members.iter().copied();
            if worker.lease_over(now) {
                gone.extend(members);
            } else if settled {
                lost.extend(members.map(|(ordinal, _index)| ordinal));
            }
        }
        if probe_wanted && !self.probe_wanted {
            self.freed();
        }
        self.probe_wanted = probe_wanted;
        self.doubts = doubts;
        for member in &gone {
            if let Some((gang, at)) = self.place_mut(*member) {
                gang.places[at].seen = Seen::Gone;
            }
            lost.insert(member.0);
        }
        if !lost.is_empty() {
            self.bindings.dirty = true;
        }
        for ordinal in lost {
            self.release_gone(ordinal, now);
            self.lose(ordinal, now);
        }
    }

    /// A member's worker is silent: the other members are stopped.
    fn lose(&mut self, ordinal: u64, now: Millis) {
        let gang = self
            .jobs
            .get_mut(&ordinal)
            .and_then(|job| job.gang.as_mut());
        let Some(gang) = gang else {
            return;
        };
        match gang.stage {
            Stage::Preparing => self.stop(ordinal, Then::Requeue(RequeueCause::PrepareFailed), now),
            Stage::Running | Stage::Checkpointing { .. } => {
                if gang.all(Seen::Succeeded) {
                    return self.evaluate(ordinal, now);
                }
                self.stop(ordinal, Then::Requeue(RequeueCause::WorkerLost), now);
            }
            Stage::Placing | Stage::Starting => {
                gang.abort
                    .get_or_insert(Then::Requeue(RequeueCause::WorkerLost));
            }
            Stage::Stopping { .. } | Stage::Releasing => self.evaluate(ordinal, now),
            Stage::Closing | Stage::Ending => {}
        }
    }

    /// Takes gangs out of closed zones.
    pub(super) fn leave_closed_zones(&mut self, now: Millis) {
        let leaving: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_ordinal, job)| self.stands_in_closed_zone(job))
            .map(|(ordinal, _job)| *ordinal)
            .collect();
        for ordinal in leaving {
            self.evict(ordinal, RequeueCause::ZoneOut, now);
        }
    }

    fn stands_in_closed_zone(&self, job: &Job) -> bool {
        let closed = |place: &Place| self.pool.worker(place.worker).is_closed();
        job.gang
            .as_ref()
            .is_some_and(|gang| gang.places.iter().any(closed))
    }

    /// Takes a gang from its places, by checkpoint where it runs.
    ///
    /// Work that may not run again is left to finish once all of it runs.
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
            Stage::Placing | Stage::Starting => gang.abort = Some(Then::Requeue(cause)),
            Stage::Preparing => self.stop(ordinal, Then::Requeue(cause), now),
            Stage::Running if !idempotent => {
                let sentence = "It may not run again, so it finishes where it runs.";
                self.explain_job(ordinal, "finishes_in_place", sentence);
                self.evaluate(ordinal, now);
            }
            Stage::Running => {
                gang.stage = Stage::Checkpointing { cause, until_ms };
                self.changed_members(ordinal);
                let sentence = "It writes a checkpoint and then leaves its places.";
                self.explain_job(ordinal, "checkpointing", sentence);
                self.evaluate(ordinal, now);
            }
            _ => {}
        }
    }
}

fn note_cause(gang: &mut Gang, text: &str) {
    gang.cause.get_or_insert_with(|| cut(text, CAUSE_MAX_BYTES));
}

/// Half as much again as was used, or as was ordered.
fn larger_memory(ordered_mb: u64, used_mb: u64) -> MemoryMb {
    let base = ordered_mb.max(used_mb);
    MemoryMb(base.saturating_add(base / 2).saturating_add(1))
}

/// The text up to a limit, whole characters only.
fn cut(text: &str, limit_bytes: usize) -> SmolStr {
    let mut end = text.len().min(limit_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    SmolStr::new(&text[..end])
}
