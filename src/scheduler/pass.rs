//! One scheduling pass over the queue, with limited cost: starts, reclaims and reservations.

use std::collections::BTreeMap;

use super::gang::Stage;
use super::queue::QueueKey;
use super::reclaim::{Claim, ClaimKind};
use super::{RequeueCause, Scheduler};
use crate::units::{Millis, TeamId};

/// Placement searches in one pass; bounds the cost of an event.
const SEARCHES_MAX: u32 = 48;
/// Queued jobs examined in one pass, divided among the teams.
const SCAN_MAX: usize = 1_024;
/// Limits of the number of jobs examined per team.
const SCAN_PER_TEAM: std::ops::RangeInclusive<usize> = 4..=128;
/// Number of blocked gangs that may hold a reservation at the same time.
const RESERVATIONS_MAX: usize = 3;
/// Number of times that guarantees may be rebound in one pass.
const REBINDS_MAX: u32 = 4;
/// How often a reservation is dropped and searched for again.
const RESERVATION_REVIEW_MS: Millis = Millis(30_000);
/// The usage of a guarantee is compared in steps of one half, up to this many steps.
const USAGE_LEVELS: u64 = 8;

impl Scheduler {
    /// Starts all queued jobs that can start, within the limits of a pass.
    pub(super) fn run_pass(&mut self, now: Millis) {
        if !self.dirty && !self.bindings.is_unfinished() {
            return;
        }
        self.dirty = false;
        self.rebinds_left = REBINDS_MAX;
        self.pool.refresh_racks();
        self.bindings.refresh(&self.in_force, &mut self.pool, now);
        let mut searches = 0;
        self.schedule_claims(now, &mut searches);
        if self.options.guarantees {
            self.schedule_guaranteed(now, &mut searches);
        }
        self.schedule_borrowed(now, &mut searches);
        if searches >= SEARCHES_MAX {
            self.dirty = true;
        }
    }

    /// Starts jobs that hold claims as soon as the claimed workers have room.
    fn schedule_claims(&mut self, now: Millis, searches: &mut u32) {
        let claimants: Vec<u64> = self.claims.by_job.keys().copied().collect();
        for ordinal in claimants {
            let claim = self.claims.by_job[&ordinal].clone();
            if claim.kind == ClaimKind::Reclaim {
                let started = self.try_guaranteed(ordinal, now, searches);
                if !started && self.claim_is_stale(&claim, now) {
                    self.claims.drop_claim(ordinal, &mut self.pool);
                    self.dirty = true;
                }
            } else if !self.try_borrowed(ordinal, now, searches) {
                self.review_reservation(ordinal, &claim, now);
            }
        }
    }

    /// Whether a claim is obsolete: no gang is vacating the claimed workers any more, or one of the
    /// workers is unusable.
    fn claim_is_stale(&self, claim: &Claim, now: Millis) -> bool {
        let unusable = |ix: &u32| !self.pool.worker(*ix).is_usable(now);
        if claim.workers.iter().any(unusable) {
            return true;
        }
        let mut members = claim
            .workers
            .iter()
            .flat_map(|ix| &self.pool.worker(*ix).members);
        !members.any(|(ordinal, _index)| {
            self.gang(*ordinal)
                .is_some_and(super::gang::Gang::is_ending)
        })
    }

    /// Drops a reservation with an unusable worker, searches again for an old one, and moves other
    /// gangs out of it if the job has been blocked for long.
    fn review_reservation(&mut self, ordinal: u64, claim: &Claim, now: Millis) {
        let unusable = |ix: &u32| !self.pool.worker(*ix).is_usable(now);
        if claim.workers.iter().any(unusable) {
            self.claims.drop_claim(ordinal, &mut self.pool);
            self.dirty = true;
            return;
        }
        if claim.kind != ClaimKind::Move && now.since(claim.since_ms) >= RESERVATION_REVIEW_MS {
            self.claims.drop_claim(ordinal, &mut self.pool);
            self.reserve_cell(ordinal, now);
        }
        let blocked_since_ms = self.jobs.get(&ordinal).and_then(|job| job.blocked_since_ms);
        let blocked_for = now.since(blocked_since_ms.unwrap_or(now));
        if !self.options.defragment || blocked_for < self.options.defragment_after_ms {
            return;
        }
        let stale = claim.kind == ClaimKind::Move && self.claim_is_stale(claim, now);
        let not_yet_moved = claim.kind != ClaimKind::Move;
        if !(stale || not_yet_moved) || now.since(claim.since_ms) < Millis(1_000) {
            return;
        }
        let Some(mut claim) = self.claims.by_job.get(&ordinal).cloned() else {
            return;
        };
        if self.evict_borrowers(
            ordinal,
            &claim.workers,
            claim.resources,
            &RequeueCause::Moved,
            now,
        ) {
            claim.kind = ClaimKind::Move;
            claim.since_ms = now;
            self.claims.insert(ordinal, claim, &mut self.pool);
        }
    }

    /// Schedules work inside guarantees, starting with the urgent work of all teams.
    fn schedule_guaranteed(&mut self, now: Millis, searches: &mut u32) {
        let keys = self.keys_by_team(true);
        for urgent in [true, false] {
            for (team, keys) in &keys {
                let keys = keys.iter().filter(|key| (key.rank == 0) == urgent);
                self.schedule_team(team, keys, now, searches);
            }
        }
    }

    fn schedule_team<'a>(
        &mut self,
        team: &TeamId,
        keys: impl Iterator<Item = &'a QueueKey>,
        now: Millis,
        searches: &mut u32,
    ) {
        for key in keys {
            if *searches >= SEARCHES_MAX {
                return;
            }
            let unused = self.unused_guarantee(team);
            if unused == 0 {
                return;
            }
            let needed = self.jobs[&key.ordinal].accelerators();
            let claim = self.claims.by_job.get(&key.ordinal);
            let reclaims = claim.is_some_and(|claim| claim.kind == ClaimKind::Reclaim);
            if needed == 0 || needed > unused || reclaims {
                continue;
            }
            let started = self.try_borrowed(key.ordinal, now, searches)
                || self.try_guaranteed(key.ordinal, now, searches)
                || (self.reclaim_delay_elapsed(key.ordinal, now)
                    && self.try_reclaim(key.ordinal, now, searches));
            if !started && !self.options.backfill {
                return;
            }
        }
    }

    /// Whether a job has waited long enough for a cell of its guarantee to become free by itself.
    fn reclaim_delay_elapsed(&mut self, ordinal: u64, now: Millis) -> bool {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return false;
        };
        let since_ms = *job.guarantee_unmet_since_ms.get_or_insert(now);
        let is_over =
            job.record.spec.urgent || now.since(since_ms) >= self.options.reclaim_delay_ms;
        self.dirty |= !is_over;
        is_over
    }

    fn keys_by_team(&self, only_guaranteed: bool) -> BTreeMap<TeamId, Vec<QueueKey>> {
        let teams = self.queue.teams().count().max(1);
        let scan = (SCAN_MAX / teams).clamp(*SCAN_PER_TEAM.start(), *SCAN_PER_TEAM.end());
        self.queue
            .teams()
            .filter(|(team, _keys)| {
                !only_guaranteed || self.bindings.of_team(team).next().is_some()
            })
            .map(|(team, keys)| (team.clone(), keys.iter().copied().take(scan).collect()))
            .collect()
    }

    /// Accelerators of the guarantee that are bound, and neither used nor claimed.
    fn unused_guarantee(&self, team: &TeamId) -> u64 {
        let groups = self.bindings.of_team(team);
        let bound = groups.map(|g| g.cells.len() as u64 * u64::from(g.spec.accelerators.0));
        let used = self.pool.team_usage(team).non_preemptible;
        let claimed = self.claims.by_job.iter().filter(|(ordinal, claim)| {
            claim.kind == ClaimKind::Reclaim
                && self
                    .jobs
                    .get(ordinal)
                    .is_some_and(|job| job.record.spec.key.team == *team)
        });
        let claimed =
            claimed.map(|(_o, c)| c.workers.len() as u64 * u64::from(c.resources.accelerators));
        bound
            .sum::<u64>()
            .saturating_sub(used)
            .saturating_sub(claimed.sum())
    }

    /// Schedules work outside guarantees, starting with the teams that use the smallest share.
    fn schedule_borrowed(&mut self, now: Millis, searches: &mut u32) {
        let keys = self.keys_by_team(false);
        let mut heads: BTreeMap<(u64, QueueKey), (&TeamId, &[QueueKey])> = BTreeMap::new();
        for (team, keys) in &keys {
            if let Some((first, rest)) = keys.split_first() {
                heads.insert((self.usage_level(team), *first), (team, rest));
            }
        }
        while let Some(((_level, key), (team, rest))) = heads.pop_first() {
            if *searches >= SEARCHES_MAX {
                return;
            }
            let waits = self
                .jobs
                .get(&key.ordinal)
                .is_some_and(|job| job.queued.is_some());
            let claims = self.claims.by_job.contains_key(&key.ordinal);
            if waits && !claims && !self.try_borrowed(key.ordinal, now, searches) {
                self.handle_blocked(key.ordinal, now);
                if !self.options.backfill {
                    return;
                }
            }
            if let Some((first, rest)) = rest.split_first() {
                heads.insert((self.usage_level(team), *first), (team, rest));
            }
        }
    }

    /// A team's usage relative to its guarantee, in halves of the guarantee.
    fn usage_level(&self, team: &TeamId) -> u64 {
        if !self.options.fair_shares {
            return 0;
        }
        let used = self.pool.team_usage(team);
        let groups = self.bindings.of_team(team);
        let guarantee: u64 = groups
            .map(|g| u64::from(g.spec.count) * u64::from(g.spec.accelerators.0))
            .sum();
        let share = (used.non_preemptible + used.borrowed) * 2 / guarantee.max(8);
        share.min(USAGE_LEVELS)
    }

    /// Handles a job that fits nowhere: explains why, and reserves the cell that becomes free
    /// first.
    fn handle_blocked(&mut self, ordinal: u64, now: Millis) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        job.blocked_since_ms.get_or_insert(now);
        let code = self.blocked_reason(ordinal);
        self.explain_job(ordinal, code.0, code.1);
        if self.options.reservations && self.claims.reservation_count() < RESERVATIONS_MAX {
            self.reserve_cell(ordinal, now);
        }
    }

    /// Number of gangs that are writing checkpoints because of a reclaim.
    pub(super) fn active_reclaims(&self) -> usize {
        let gangs = self.jobs.values().filter_map(|job| job.gang.as_ref());
        let leaving = gangs.filter(|gang| {
            matches!(
                gang.stage,
                Stage::Checkpointing {
                    cause: RequeueCause::Reclaimed,
                    ..
                }
            )
        });
        leaving.count()
    }
}
