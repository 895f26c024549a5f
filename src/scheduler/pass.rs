//! One bounded look at the queue: who starts, who reclaims, who reserves.

use std::collections::BTreeMap;

use super::gang::Stage;
use super::queue::QueueKey;
use super::reclaim::{Claim, ClaimKind};
use super::{RequeueCause, Scheduler};
use crate::units::{Millis, TeamId};

/// Searches for places in one pass, so that no event takes long.
const SEARCHES_MAX: u32 = 48;
/// Waiting jobs looked at in one pass, shared by the teams.
const SCAN_MAX: usize = 1_024;
/// Bounds of one team's part of them.
const SCAN_PER_TEAM: std::ops::RangeInclusive<usize> = 4..=128;
/// Blocked gangs that keep cells at one time.
const RESERVATIONS_MAX: usize = 3;
/// Guarantees bound afresh in one pass.
const REBINDS_MAX: u32 = 4;
/// How often the cell that frees first is looked for again.
const RESERVATION_REVIEW_MS: Millis = Millis(30_000);
/// A share of the guarantee in use counts in steps of a half up to this many.
const USAGE_LEVELS: u64 = 8;

impl Scheduler {
    /// Starts what can start.
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

    /// Jobs that claimed places start as soon as these are free.
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

    /// Whether nobody is leaving the claimed places any more, or one can't be used.
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
                .is_some_and(super::gang::Gang::is_leaving)
        })
    }

    /// Gives up a reserved cell that can't be used, or moves others out of it after long.
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
        let fresh = claim.kind != ClaimKind::Move;
        if !(stale || fresh) || now.since(claim.since_ms) < Millis(1_000) {
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

    /// Work inside guarantees, urgent work of all teams first.
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

    /// Whether a job has waited long enough for a cell of its guarantee to fall free by itself.
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

    fn keys_by_team(&self, with_guarantee: bool) -> BTreeMap<TeamId, Vec<QueueKey>> {
        let teams = self.queue.teams().count().max(1);
        let scan = (SCAN_MAX / teams).clamp(*SCAN_PER_TEAM.start(), *SCAN_PER_TEAM.end());
        self.queue
            .teams()
            .filter(|(team, _keys)| !with_guarantee || self.bindings.of_team(team).next().is_some())
            .map(|(team, keys)| (team.clone(), keys.iter().copied().take(scan).collect()))
            .collect()
    }

    /// Accelerators of the guarantee that are bound and neither used nor claimed.
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

    /// Work beyond guarantees, teams with the smaller share in use first.
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

    /// How much a team uses for its guarantee, in half guarantees.
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

    /// No place for a job: it keeps the cell that frees first.
    fn handle_blocked(&mut self, ordinal: u64, now: Millis) {
        let Some(job) = self.jobs.get_mut(&ordinal) else {
            return;
        };
        job.blocked_since_ms.get_or_insert(now);
        let code = self.blocked_reason(ordinal);
        self.explain_job(ordinal, code.0, code.1);
        if self.options.reservations && self.claims.count(true) < RESERVATIONS_MAX {
            self.reserve_cell(ordinal, now);
        }
    }

    /// Gangs that are on their way out for guarantees.
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
