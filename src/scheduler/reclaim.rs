//! Claims on workers that are not free yet, and the choice of gangs to evict for them.

use std::collections::{BTreeMap, BTreeSet};

use super::gang::{Gang, Stage, TaskStatus};
use super::pool::WorkerPool;
use super::resources::Resources;
use super::{RequeueCause, Scheduler};
use crate::units::{Millis, TeamId};

/// Why workers are claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimKind {
    /// A team reclaims its guarantee; borrowers are evicted at once.
    Reclaim,
    /// A blocked gang reserves the cell that becomes free first. Until `until_ms`, work that ends
    /// earlier may use it.
    Reserve { until_ms: Millis },
    /// Other gangs are being moved out of a reserved cell.
    Move,
}

/// Workers claimed for one job, one entry per task.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) team: TeamId,
    pub(super) workers: Vec<u32>,
    pub(super) resources: Resources,
    pub(super) kind: ClaimKind,
    pub(super) since_ms: Millis,
}

impl Claim {
    fn total_accelerators(&self) -> u64 {
        self.workers.len() as u64 * u64::from(self.resources.accelerators)
    }
}

/// A movable gang may use a reserved cell if it needs at most the claim's accelerators divided by
/// this.
const SMALL_GANG_RATIO: u64 = 8;

/// All claims, by job and by worker.
#[derive(Debug, Default)]
pub(super) struct Claims {
    pub(super) by_job: BTreeMap<u64, Claim>,
    by_worker: BTreeMap<u32, BTreeSet<u64>>,
}

impl Claims {
    pub(super) fn clear(&mut self) {
        self.by_job.clear();
        self.by_worker.clear();
    }

    pub(super) fn insert(&mut self, ordinal: u64, claim: Claim, pool: &mut WorkerPool) {
        self.drop_claim(ordinal, pool);
        for ix in &claim.workers {
            self.by_worker.entry(*ix).or_default().insert(ordinal);
        }
        self.by_job.insert(ordinal, claim);
    }

    pub(super) fn drop_claim(&mut self, ordinal: u64, _pool: &mut WorkerPool) {
        let Some(claim) = self.by_job.remove(&ordinal) else {
            return;
        };
        for ix in claim.workers {
            if let Some(jobs) = self.by_worker.get_mut(&ix) {
                jobs.remove(&ordinal);
                if jobs.is_empty() {
                    self.by_worker.remove(&ix);
                }
            }
        }
    }

    fn sum_claims_on(&self, ix: u32, counts: impl Fn(u64, &Claim) -> bool) -> Resources {
        let jobs = self.by_worker.get(&ix).into_iter().flatten();
        let claims = jobs.map(|ordinal| (*ordinal, &self.by_job[ordinal]));
        let counted = claims.filter(|(ordinal, claim)| counts(*ordinal, claim));
        counted.fold(Resources::ZERO, |sum, (_ordinal, claim)| {
            let tasks = claim.workers.iter().filter(|worker_ix| **worker_ix == ix);
            tasks.fold(sum, |sum, _place| sum.saturating_add(claim.resources))
        })
    }

    /// Resources of a worker claimed by other jobs, for a job that is expected to end at `end_ms`.
    ///
    /// A reservation does not count against work that ends before it, nor against a movable gang
    /// that is far smaller.
    pub(super) fn claimed_on(
        &self,
        ix: u32,
        except: u64,
        end_ms: Millis,
        movable_accelerators: u64,
    ) -> Resources {
        self.sum_claims_on(ix, |ordinal, claim| {
            let reserved = matches!(claim.kind, ClaimKind::Reserve { .. });
            if reserved
                && movable_accelerators.saturating_mul(SMALL_GANG_RATIO)
                    <= claim.total_accelerators()
            {
                return false;
            }
            let ends_before =
                matches!(claim.kind, ClaimKind::Reserve { until_ms } if end_ms <= until_ms);
            ordinal != except && !ends_before
        })
    }

    /// Resources of a worker that other jobs claim for guarantees.
    pub(super) fn reclaims_on(&self, ix: u32, except: u64) -> Resources {
        self.sum_claims_on(ix, |ordinal, claim| {
            ordinal != except && claim.kind == ClaimKind::Reclaim
        })
    }

    /// Resources of a worker that other jobs claim for the guarantee of `team`.
    pub(super) fn team_reclaims_on(&self, ix: u32, except: u64, team: &TeamId) -> Resources {
        self.sum_claims_on(ix, |ordinal, claim| {
            ordinal != except && claim.kind == ClaimKind::Reclaim && claim.team == *team
        })
    }

    pub(super) fn reservation_count(&self) -> usize {
        let claims = self.by_job.values();
        claims
            .filter(|claim| !matches!(claim.kind, ClaimKind::Reclaim))
            .count()
    }
}

impl Scheduler {
    /// Evicts borrowers from `workers`. Returns false and evicts nobody if that cannot make enough
    /// room.
    pub(super) fn evict_borrowers(
        &mut self,
        ordinal: u64,
        workers: &[u32],
        resources: Resources,
        cause: &RequeueCause,
        now: Millis,
    ) -> bool {
        let mut needs: BTreeMap<u32, Resources> = BTreeMap::new();
        for ix in workers {
            let need = needs.entry(*ix).or_default();
            *need = need.saturating_add(resources);
        }
        let mut victims = BTreeSet::new();
        for (ix, need) in &needs {
            if !self.choose_victims(ordinal, *ix, *need, &mut victims, now) {
                return false;
            }
        }
        let timeout_ms = self.checkpoint_timeout(ordinal, now);
        for victim in victims {
            self.evict(victim, cause.clone(), now);
            self.shorten_checkpoint_deadline(victim, now.saturating_add(timeout_ms));
        }
        true
    }

    /// Rebinds a team's unused cells to the workers where the smallest gangs would be evicted.
    ///
    /// Does nothing while the team has a reclaim in progress.
    pub(super) fn rebind_at_lowest_cost(&mut self, ordinal: u64, now: Millis) {
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let claimed = self.claims.by_job.values();
        if claimed
            .into_iter()
            .any(|c| c.kind == ClaimKind::Reclaim && c.team == team)
        {
            return;
        }
        // Workers without accelerators hold no cells, and idle workers cost nothing.
        let in_use = self.pool.known().filter(|ix| {
            let worker = self.pool.worker(*ix);
            worker.free().accelerators < worker.capacity.accelerators
        });
        let costs: BTreeMap<u32, u64> = in_use.map(|ix| (ix, self.eviction_cost(ix))).collect();
        let cost = |pool: &WorkerPool, ix: u32, size: u32| {
            if pool.worker(ix).free().accelerators >= size {
                return 0;
            }
            costs.get(&ix).copied().unwrap_or(u64::MAX)
        };
        self.bindings
            .rebind_at_lowest_cost(&team, &mut self.pool, now, cost);
    }

    /// Accelerators of all gangs that would have to be evicted to clear a worker.
    pub(super) fn eviction_cost(&self, ix: u32) -> u64 {
        let members = self.pool.worker(ix).members.iter();
        let gangs: BTreeSet<u64> = members.map(|(ordinal, _index)| *ordinal).collect();
        let gangs = gangs.into_iter().filter_map(|ordinal| self.gang(ordinal));
        let borrowed = gangs.filter(|gang| !gang.non_preemptible && !gang.is_ending());
        borrowed.map(total_accelerators).sum()
    }

    /// Adds gangs to `victims` until the worker has room, starting with the smallest and then the
    /// least work lost.
    fn choose_victims(
        &self,
        ordinal: u64,
        ix: u32,
        need: Resources,
        victims: &mut BTreeSet<u64>,
        now: Millis,
    ) -> bool {
        let worker = self.pool.worker(ix);
        let mut used: BTreeMap<u64, Resources> = BTreeMap::new();
        for (ordinal, _index) in &worker.members {
            let gang = self.jobs.get(ordinal).and_then(|job| job.gang.as_ref());
            if let Some(gang) = gang.filter(|gang| !gang.non_preemptible) {
                let held = used.entry(*ordinal).or_default();
                *held = held.saturating_add(gang.resources);
            }
        }
        let mut taken = worker
            .used
            .saturating_add(self.claims.reclaims_on(ix, ordinal));
        let limit = worker.capacity.saturating_sub(worker.external_usage);
        let fits = |taken: Resources| taken.saturating_add(need).fits_in(limit);
        for (ordinal, held) in &used {
            let leaving = self.gang(*ordinal).is_some_and(Gang::is_ending);
            if leaving || victims.contains(ordinal) {
                taken = taken.saturating_sub(*held);
            }
        }
        let mut candidates: Vec<((u64, u64), u64, Resources)> = used
            .iter()
            .filter(|(ordinal, _held)| !victims.contains(ordinal))
            .filter_map(|(ordinal, held)| {
                let gang = self.gang(*ordinal).filter(|gang| !gang.is_ending())?;
                let cost = (total_accelerators(gang), work_lost_by_stopping(gang, now));
                Some((cost, *ordinal, *held))
            })
            .collect();
        candidates.sort_unstable();
        for (_cost, ordinal, held) in candidates {
            if fits(taken) {
                break;
            }
            taken = taken.saturating_sub(held);
            victims.insert(ordinal);
        }
        fits(taken)
    }

    pub(super) fn gang(&self, ordinal: u64) -> Option<&Gang> {
        self.jobs.get(&ordinal)?.gang.as_ref()
    }

    /// How long victims may take for their checkpoints. Urgent work allows less time, and the time
    /// that the owner of a guarantee has already waited is deducted.
    fn checkpoint_timeout(&self, ordinal: u64, now: Millis) -> Millis {
        let Some(job) = self.jobs.get(&ordinal) else {
            return self.options.checkpoint_timeout_ms;
        };
        if job.record.spec.urgent {
            return self.options.urgent_checkpoint_timeout_ms;
        }
        let waited_ms = now.since(job.guarantee_unmet_since_ms.unwrap_or(now));
        self.options.checkpoint_timeout_ms.since(waited_ms)
    }

    /// Shortens a victim's checkpoint deadline to `latest_ms` if it is later.
    fn shorten_checkpoint_deadline(&mut self, victim: u64, latest_ms: Millis) {
        let gang = self.jobs.get_mut(&victim).and_then(|job| job.gang.as_mut());
        if let Some(gang) = gang
            && let Stage::Checkpointing { until_ms, .. } = &mut gang.stage
        {
            *until_ms = latest_ms.min(*until_ms);
        }
    }
}

/// Accelerator-milliseconds of work that may be lost if the gang is stopped.
fn work_lost_by_stopping(gang: &Gang, now: Millis) -> u64 {
    let idle = gang
        .assignments
        .iter()
        .all(|p| matches!(p.status, TaskStatus::Unreported | TaskStatus::Prepared));
    if idle || gang.started_ms == Millis::ZERO {
        return 0;
    }
    now.since(gang.started_ms)
        .0
        .saturating_mul(total_accelerators(gang))
}

/// Accelerators of a whole gang; tasks without accelerators count as one each.
fn total_accelerators(gang: &Gang) -> u64 {
    gang.assignments.len() as u64 * u64::from(gang.resources.accelerators.max(1))
}
