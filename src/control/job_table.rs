use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::JobFilter;
use crate::fleet::Checkpoint;
use crate::scheduler::{
    JobKey, JobOutcome, JobPhase, JobRecord, JobSpec, JobTransition, Member, NotRunReason,
    RequeueCause, SubmitAnswer,
};
use crate::units::{Attempt, MemoryMb, Millis, TeamId, WallMs};

/// How long the record of an ended job is retained, so that a resubmission finds it.
pub const ENDED_JOB_RETENTION_MS: Millis = Millis(2 * 24 * 60 * 60 * 1_000);
/// How long after the creation of its id a job that is not idempotent may be submitted.
///
/// Its record is retained for at least as long, so that the job never runs twice.
const SUBMISSION_WINDOW_MS: Millis = Millis(24 * 60 * 60 * 1_000);
/// The maximum by which a caller's clock may be ahead of the leader's.
const CLOCK_SKEW_MAX_MS: Millis = Millis(60_000);
/// The maximum number of retained ended jobs.
pub const ENDED_JOBS_MAX: usize = 20_000;
/// The maximum total size of retained ended jobs, in bytes.
pub const ENDED_JOB_BYTES_MAX: u64 = 16 * 1024 * 1024;
/// The total size of ended jobs, in bytes, at which new jobs are refused. The size can exceed
/// [`ENDED_JOB_BYTES_MAX`] because jobs in their submission window must be retained.
const ENDED_JOB_BYTES_HARD_MAX: u64 = 2 * ENDED_JOB_BYTES_MAX;
/// The maximum number of jobs that have not ended, over all teams.
pub const UNENDED_JOBS_MAX: usize = 100_000;
/// The maximum total size of jobs that have not ended, over all teams, in bytes.
pub const UNENDED_JOB_BYTES_MAX: u64 = 64 * 1024 * 1024;
/// The estimated size of a job's record without its texts and members, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 512;
/// The estimated size of one gang member in a job's record, in bytes.
const MEMBER_SIZE_BYTES: u64 = 64;

/// All jobs that have not ended, and the retained ones that have.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobKey, JobRecord>,
    /// Digests of the submitted specs, which identify a resubmission after an ended job's payload
    /// is dropped.
    digests: BTreeMap<JobKey, SpecDigest>,
    /// Ended jobs, by their end: the order in which they are removed.
    ended: BTreeSet<(WallMs, JobKey)>,
    /// Ended jobs that may not be removed yet because their ids could still be submitted, by the
    /// end of their submission window.
    pinned: BTreeSet<(WallMs, JobKey)>,
    /// The number of waiting jobs of each team.
    waiting: BTreeMap<TeamId, u32>,
    next_ordinal: u64,
    unended_bytes: u64,
    ended_bytes: u64,
}

type SpecDigest = [u8; 32];

impl JobTable {
    pub(super) fn get(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.get(key)
    }

    pub(super) fn waiting_in(&self, team: &TeamId) -> u32 {
        self.waiting.get(team).copied().unwrap_or(0)
    }

    /// Lists jobs in the order of their submission.
    pub(super) fn list(&self, filter: &JobFilter) -> Vec<&JobRecord> {
        let wanted = |job: &&JobRecord| {
            let of_team = filter
                .team
                .as_ref()
                .is_none_or(|team| *team == job.spec.key.team);
            of_team && !(filter.unended_only && is_ended(job))
        };
        let mut jobs: Vec<_> = self.jobs.values().filter(wanted).collect();
        jobs.sort_by_key(|job| job.ordinal);
        jobs.truncate(usize::try_from(filter.limit).unwrap_or(usize::MAX));
        jobs
    }

    /// Accepts a job; the resubmission of a known job is accepted again without effect.
    ///
    /// `admit` decides whether to accept a new job, given the number of waiting jobs of its team.
    pub(super) fn submit(
        &mut self,
        spec: &JobSpec,
        now: WallMs,
        admit: impl FnOnce(u32) -> Result<(), NotRunReason>,
    ) -> SubmitAnswer {
        let digest = digest(spec);
        if let Some(known) = self.digests.get(&spec.key) {
            return if *known == digest {
                SubmitAnswer::Accepted
            } else {
                SubmitAnswer::IdTaken
            };
        }
        let admitted = self
            .check_capacity()
            .and_then(|()| check_submission_window(spec, now))
            .and_then(|()| admit(self.waiting_in(&spec.key.team)));
        if let Err(reason) = admitted {
            return SubmitAnswer::NotRun { reason };
        }
        let record = JobRecord::new(spec.clone(), now, self.next_ordinal);
        self.next_ordinal = self.next_ordinal.saturating_add(1);
        self.digests.insert(spec.key.clone(), digest);
        self.insert(record);
        SubmitAnswer::Accepted
    }

    /// Applies a transition if it fits the job's attempt and phase. Returns false if it does not
    /// and nothing was changed.
    pub(super) fn apply(&mut self, transition: &JobTransition, now: WallMs) -> bool {
        let Some(known) = self.jobs.get(transition.job()) else {
            return false;
        };
        let mut job = known.clone();
        let applied = match transition {
            JobTransition::Placed {
                attempt, members, ..
            } => apply_placed(&mut job, *attempt, members),
            JobTransition::Started { attempt, .. } => apply_started(&mut job, *attempt),
            JobTransition::Requeued {
                attempt,
                cause,
                checkpoints,
                attained_ms,
                memory_mb,
                ..
            } => {
                let progress = AttemptProgress {
                    checkpoints,
                    attained_ms: *attained_ms,
                    memory_mb: *memory_mb,
                };
                apply_requeued(&mut job, *attempt, cause, &progress)
            }
            JobTransition::CancelRequested { .. } => apply_cancel_requested(&mut job),
            JobTransition::Ended { outcome, .. } => apply_ended(&mut job, outcome, now),
        };
        if applied {
            self.replace(job);
        }
        applied
    }

    /// Removes ended jobs that exceed the retention limits, the oldest first.
    pub(super) fn expire(&mut self, now: WallMs) {
        self.unpin(now);
        while let Some((ended_ms, _)) = self.ended.first() {
            let is_old = now.since(*ended_ms) > ENDED_JOB_RETENTION_MS;
            let is_over_limit =
                self.ended.len() > ENDED_JOBS_MAX || self.ended_bytes > ENDED_JOB_BYTES_MAX;
            if !is_old && !is_over_limit {
                break;
            }
            if let Some((_, key)) = self.ended.pop_first() {
                self.digests.remove(&key);
                self.remove(&key);
            }
        }
    }

    /// Makes jobs whose submission window is over removable.
    fn unpin(&mut self, now: WallMs) {
        while self.pinned.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.pinned.pop_first() else {
                return;
            };
            let ended_ms = self.jobs.get(&key).and_then(|job| job.ended_ms);
            self.ended.insert((ended_ms.unwrap_or(now), key));
        }
    }

    fn check_capacity(&self) -> Result<(), NotRunReason> {
        let unended = self.jobs.len().saturating_sub(self.ended.len());
        let is_full = unended >= UNENDED_JOBS_MAX
            || self.unended_bytes >= UNENDED_JOB_BYTES_MAX
            || self.ended_bytes >= ENDED_JOB_BYTES_HARD_MAX;
        if is_full {
            return Err(NotRunReason::QueueFull);
        }
        Ok(())
    }

    fn replace(&mut self, mut job: JobRecord) {
        self.remove(&job.spec.key);
        if let Some(ended_ms) = job.ended_ms {
            job.spec.payload = SmolStr::default();
            job.checkpoints = Vec::new();
            let key = job.spec.key.clone();
            match job.spec.made_ms.filter(|_| !job.spec.idempotent) {
                Some(made_ms) => self.pinned.insert((window_end(made_ms), key)),
                None => self.ended.insert((ended_ms, key)),
            };
        }
        self.insert(job);
    }

    fn insert(&mut self, job: JobRecord) {
        self.count_waiting(&job, 1);
        let bytes = self.byte_count_mut(&job);
        *bytes = bytes.saturating_add(estimated_size(&job));
        self.jobs.insert(job.spec.key.clone(), job);
    }

    fn remove(&mut self, key: &JobKey) {
        if let Some(job) = self.jobs.remove(key) {
            self.count_waiting(&job, -1);
            let bytes = self.byte_count_mut(&job);
            *bytes = bytes.saturating_sub(estimated_size(&job));
        }
    }

    const fn byte_count_mut(&mut self, job: &JobRecord) -> &mut u64 {
        if is_ended(job) {
            &mut self.ended_bytes
        } else {
            &mut self.unended_bytes
        }
    }

    fn count_waiting(&mut self, job: &JobRecord, change: i32) {
        if job.phase != JobPhase::Waiting {
            return;
        }
        let team = &job.spec.key.team;
        let count = self.waiting_in(team).saturating_add_signed(change);
        if count == 0 {
            self.waiting.remove(team);
        } else {
            self.waiting.insert(team.clone(), count);
        }
    }
}

/// The state that an attempt leaves for the next one.
struct AttemptProgress<'a> {
    checkpoints: &'a [Checkpoint],
    attained_ms: Millis,
    memory_mb: MemoryMb,
}

pub(super) const fn is_ended(job: &JobRecord) -> bool {
    matches!(job.phase, JobPhase::Ended { .. })
}

/// Returns the estimated size of a job in the replicated state, in bytes.
fn estimated_size(job: &JobRecord) -> u64 {
    let checkpoints = job.checkpoints.iter().map(|checkpoint| checkpoint.0.len());
    let texts = job.spec.payload.len() + checkpoints.sum::<usize>();
    let phase = match &job.phase {
        JobPhase::Placed { members } | JobPhase::Started { members } => {
            MEMBER_SIZE_BYTES.saturating_mul(members.len() as u64)
        }
        JobPhase::Ended {
            outcome: JobOutcome::Succeeded { results },
        } => results.iter().map(|result| result.len() as u64 + 24).sum(),
        JobPhase::Waiting | JobPhase::Ended { .. } => 0,
    };
    RECORD_OVERHEAD_BYTES
        .saturating_add(texts as u64)
        .saturating_add(phase)
}

fn window_end(made_ms: WallMs) -> WallMs {
    WallMs(made_ms.0.saturating_add(SUBMISSION_WINDOW_MS.get()))
}

/// Checks that a job that is not idempotent is submitted within its window, so that the record of
/// an earlier submission cannot have been removed.
fn check_submission_window(spec: &JobSpec, now: WallMs) -> Result<(), NotRunReason> {
    if spec.idempotent {
        return Ok(());
    }
    match spec.made_ms {
        Some(made_ms) if made_ms.since(now) > CLOCK_SKEW_MAX_MS => Err(NotRunReason::NoMadeTime),
        Some(made_ms) if now >= window_end(made_ms) => Err(NotRunReason::TooOld),
        Some(_) => Ok(()),
        None => Err(NotRunReason::NoMadeTime),
    }
}

fn digest(spec: &JobSpec) -> SpecDigest {
    let bytes = postcard::to_allocvec(spec).expect("a job always encodes");
    Sha256::digest(bytes).into()
}

/// Starts a new attempt. It must place every task, because a partial gang would never run.
fn apply_placed(job: &mut JobRecord, attempt: Attempt, members: &[Member]) -> bool {
    let is_complete = members.len() == usize::try_from(job.spec.tasks).unwrap_or(usize::MAX)
        && members
            .iter()
            .zip(0_u32..)
            .all(|(member, index)| member.index.get() == index);
    let fits = job.phase == JobPhase::Waiting
        && attempt == job.attempt.next()
        && attempt != job.attempt
        && is_complete;
    if fits {
        job.attempt = attempt;
        job.phase = JobPhase::Placed {
            members: members.to_vec(),
        };
    }
    fits
}

fn apply_started(job: &mut JobRecord, attempt: Attempt) -> bool {
    if attempt != job.attempt {
        return false;
    }
    let JobPhase::Placed { members } = &job.phase else {
        return false;
    };
    job.phase = JobPhase::Started {
        members: members.clone(),
    };
    job.started_once = true;
    true
}

fn apply_requeued(
    job: &mut JobRecord,
    attempt: Attempt,
    cause: &RequeueCause,
    progress: &AttemptProgress<'_>,
) -> bool {
    if attempt != job.attempt {
        return false;
    }
    let may_requeue = match &job.phase {
        JobPhase::Placed { .. } => true,
        JobPhase::Started { .. } => job.spec.idempotent || may_resume(job, cause, progress),
        JobPhase::Waiting | JobPhase::Ended { .. } => false,
    };
    if !may_requeue {
        return false;
    }
    job.phase = JobPhase::Waiting;
    if !progress.checkpoints.is_empty() {
        job.checkpoints = progress.checkpoints.to_vec();
    }
    job.attained_ms = job.attained_ms.max(progress.attained_ms);
    job.memory_mb = progress.memory_mb;
    true
}

/// Whether a started job that is not idempotent may continue in another attempt. It may only from a
/// complete set of checkpoints after an orderly stop; otherwise work could run twice.
fn may_resume(job: &JobRecord, cause: &RequeueCause, progress: &AttemptProgress<'_>) -> bool {
    let is_orderly = matches!(
        cause,
        RequeueCause::Reclaimed | RequeueCause::ZoneOut | RequeueCause::Moved
    );
    let tasks = usize::try_from(job.spec.tasks).unwrap_or(usize::MAX);
    is_orderly && progress.checkpoints.len() == tasks
}

const fn apply_cancel_requested(job: &mut JobRecord) -> bool {
    let fits = !is_ended(job) && !job.cancel_requested;
    if fits {
        job.cancel_requested = true;
    }
    fits
}

/// Ends a job. The outcome must agree with what the job did: "not run", for example, is rejected
/// once the job has started.
fn apply_ended(job: &mut JobRecord, outcome: &JobOutcome, now: WallMs) -> bool {
    let is_consistent = match outcome {
        JobOutcome::NotRun { .. } => !job.started_once,
        JobOutcome::Succeeded { .. } => matches!(job.phase, JobPhase::Started { .. }),
        JobOutcome::Failed { .. } | JobOutcome::Cancelled | JobOutcome::Unknown { .. } => {
            job.started_once
        }
    };
    if is_ended(job) || !is_consistent {
        return false;
    }
    job.phase = JobPhase::Ended {
        outcome: outcome.clone(),
    };
    job.ended_ms = Some(now);
    true
}
