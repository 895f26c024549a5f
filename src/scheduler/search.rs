//! Finds workers for one job: in cells of its guarantee, in free cells of others, or by reclaiming.

use super::gang::Job;
use super::placement::{PlacementRequest, find_placement};
use super::reclaim::{Claim, ClaimKind};
use super::resources::Resources;
use super::worker::Worker;
use super::{RequeueCause, Scheduler};
use crate::release_note::Adjacency;
use crate::units::{Millis, TeamId};

/// A gang shape for which no placement was found.
#[derive(Clone, Debug)]
struct Shape {
    /// The team, if the search depended on the team's own holdings.
    team: Option<TeamId>,
    tasks: u32,
    resources: Resources,
    adjacency: Adjacency,
    end_ms: Millis,
}

/// Shapes for which no placement was found since capacity was last freed.
#[derive(Debug, Default)]
pub(super) struct UnplaceableShapes {
    shapes: Vec<Shape>,
}

impl UnplaceableShapes {
    pub(super) fn clear(&mut self) {
        self.shapes.clear();
    }

    /// Whether a shape that is no harder to place has already failed.
    fn covers(&self, shape: &Shape) -> bool {
        self.shapes.iter().any(|failed| {
            failed.team == shape.team
                && failed.tasks <= shape.tasks
                && failed.resources.fits_in(shape.resources)
                && failed.adjacency >= shape.adjacency
                && failed.end_ms <= shape.end_ms
        })
    }
}

/// Which claims of other jobs are respected.
#[derive(Clone, Copy, Debug)]
enum ClaimsCounted {
    /// Only reclaims: reservations do not block work inside a guarantee.
    Reclaims,
    /// All claims.
    All,
}

impl Scheduler {
    pub(super) fn placement_request(&self, ordinal: u64) -> PlacementRequest {
        let job = &self.jobs[&ordinal];
        PlacementRequest {
            tasks: job.record.spec.tasks,
            resources: job.task_resources(),
            adjacency: job.record.spec.adjacency,
            best_fit: self.options.best_fit,
            free_only: true,
        }
    }

    /// When a job that starts now is expected to end.
    pub(super) fn expected_end(&self, ordinal: u64, now: Millis) -> Millis {
        let spec = &self.jobs[&ordinal].record.spec;
        let team = &spec.key.team;
        let expected = self
            .estimates
            .expected_run_time(team, &spec.class, spec.declared_run_ms);
        now.saturating_add(expected)
    }

    /// Whether a job may start on a worker at all.
    pub(super) fn is_eligible(&self, ix: u32, worker: &Worker, ordinal: u64, now: Millis) -> bool {
        is_eligible(&self.jobs[&ordinal], ix, worker, now)
    }

    /// Whether a job is suitable to probe a suspect worker: a single task, idempotent, not urgent
    /// and without earlier failures.
    fn may_probe(&self, ordinal: u64) -> bool {
        let job = &self.jobs[&ordinal];
        let spec = &job.record.spec;
        spec.tasks == 1 && spec.idempotent && !spec.urgent && job.failed_on.is_empty()
    }

    /// Searches for a placement, unless a shape no harder to place has failed since capacity was
    /// freed.
    fn search(
        &mut self,
        ordinal: u64,
        shape_team: Option<TeamId>,
        now: Millis,
        searches: &mut u32,
        claims: ClaimsCounted,
        room: impl Fn(&Worker) -> (Resources, Resources),
    ) -> Option<Vec<u32>> {
        let request = self.placement_request(ordinal);
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let shape = Shape {
            team: shape_team,
            tasks: request.tasks,
            resources: request.resources,
            adjacency: request.adjacency,
            end_ms: self.expected_end(ordinal, now),
        };
        let has_failed_before = !self.jobs[&ordinal].failed_on.is_empty();
        if self.unplaceable.covers(&shape) && !self.claims.by_job.contains_key(&ordinal) {
            return None;
        }
        *searches += 1;
        let end_ms = shape.end_ms;
        let movable_accelerators =
            if self.options.defragment && self.jobs[&ordinal].record.spec.idempotent {
                self.jobs[&ordinal].accelerators().max(1)
            } else {
                u64::MAX
            };
        let resources = request.resources;
        let job = &*self.jobs[&ordinal];
        let room = |ix: u32, worker: &Worker| {
            let (free, limit) = room(worker);
            if !resources.fits_in(free)
                || !resources.fits_in(limit)
                || !is_eligible(job, ix, worker, now)
            {
                return None;
            }
            let free = match claims {
                ClaimsCounted::All => free.saturating_sub(self.claims.claimed_on(
                    ix,
                    ordinal,
                    end_ms,
                    movable_accelerators,
                )),
                ClaimsCounted::Reclaims => {
                    free.saturating_sub(self.claims.reclaims_on(ix, ordinal))
                }
            };
            Some(free.min(limit.saturating_sub(self.claims.team_reclaims_on(ix, ordinal, &team))))
        };
        let trusted_room = |ix: u32, worker: &Worker| {
            let trusted = !worker.health.is_suspect() && worker.health.is_up();
            if trusted { room(ix, worker) } else { None }
        };
        let probe_room = |ix: u32, worker: &Worker| {
            if worker.health.accepts_probe(true, now) {
                room(ix, worker)
            } else {
                None
            }
        };
        let probes = self.probe_wanted && self.may_probe(ordinal);
        let found = probes
            .then(|| find_placement(&self.pool, &request, probe_room))
            .flatten();
        let found = found.or_else(|| find_placement(&self.pool, &request, trusted_room));
        let retry_suspect = found.is_none() && self.has_suspect_workers;
        let found = found.or_else(|| {
            retry_suspect
                .then(|| find_placement(&self.pool, &request, room))
                .flatten()
        });
        if let Some(workers) = found {
            return Some(workers);
        }
        if !has_failed_before {
            self.unplaceable.shapes.push(shape);
        }
        None
    }

    /// Places a job in free cells of its team's guarantee.
    pub(super) fn try_guaranteed(&mut self, ordinal: u64, now: Millis, searches: &mut u32) -> bool {
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let resources = self.jobs[&ordinal].task_resources();
        let racks = self.bindings.racks_of(&team, &self.pool);
        let shape_team = Some(team.clone());
        let claims = ClaimsCounted::Reclaims;
        let found = self.search(ordinal, shape_team, now, searches, claims, |worker| {
            if !racks.contains(&worker.rack) {
                return (Resources::ZERO, Resources::ZERO);
            }
            (worker.free(), worker.unused_bound_room(&team, resources))
        });
        let Some(workers) = found else {
            return false;
        };
        self.claims.drop_claim(ordinal, &mut self.pool);
        self.place_gang(ordinal, &workers, true, now);
        true
    }

    /// Places a job in free resources. Work that must not run again is placed only where it cannot
    /// be reclaimed.
    pub(super) fn try_borrowed(&mut self, ordinal: u64, now: Millis, searches: &mut u32) -> bool {
        let spec = &self.jobs[&ordinal].record.spec;
        let non_preemptible = !spec.idempotent;
        let team = spec.key.team.clone();
        let resources = self.jobs[&ordinal].task_resources();
        let shape_team = non_preemptible.then(|| team.clone());
        let claims = ClaimsCounted::All;
        let found = self.search(ordinal, shape_team, now, searches, claims, |worker| {
            let free = worker.free();
            (
                free,
                if non_preemptible {
                    worker.non_preemptible_room(&team, resources)
                } else {
                    Resources::MAX
                },
            )
        });
        let Some(workers) = found else {
            return false;
        };
        self.claims.drop_claim(ordinal, &mut self.pool);
        self.place_gang(ordinal, &workers, non_preemptible, now);
        true
    }

    /// Evicts borrowers from cells of the team's guarantee and claims these cells for the job.
    pub(super) fn try_reclaim(&mut self, ordinal: u64, now: Millis, searches: &mut u32) -> bool {
        if self.active_reclaims() >= self.options.concurrent_reclaims_max {
            self.dirty = true;
            return false;
        }
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        if self.options.rebind && self.rebinds_left > 0 {
            self.rebinds_left -= 1;
            self.rebind_at_lowest_cost(ordinal, now);
        }
        let mut request = self.placement_request(ordinal);
        request.free_only = false;
        let racks = self.bindings.racks_of(&team, &self.pool);
        *searches += 1;
        let workers = find_placement(&self.pool, &request, |ix, worker| {
            if !racks.contains(&worker.rack) || !self.is_eligible(ix, worker, ordinal, now) {
                return None;
            }
            let room = worker
                .room_after_reclaim()
                .saturating_sub(self.claims.reclaims_on(ix, ordinal));
            let limit = worker.unused_bound_room(&team, request.resources);
            Some(room.min(limit.saturating_sub(self.claims.team_reclaims_on(ix, ordinal, &team))))
        });
        let Some(workers) = workers else {
            return false;
        };
        if !self.evict_borrowers(
            ordinal,
            &workers,
            request.resources,
            &RequeueCause::Reclaimed,
            now,
        ) {
            return false;
        }
        let claim = Claim {
            team,
            workers,
            resources: request.resources,
            kind: ClaimKind::Reclaim,
            since_ms: now,
        };
        self.claims.insert(ordinal, claim, &mut self.pool);
        let sentence = "Borrowers leave the cells of the team's guarantee.";
        self.explain_job(ordinal, "reclaiming", sentence);
        self.dirty = true;
        true
    }
}

fn is_eligible(job: &Job, ix: u32, worker: &Worker, now: Millis) -> bool {
    if job.has_failed_on(ix) || !worker.open || !worker.is_alive(now) {
        return false;
    }
    let spec = &job.record.spec;
    let single = spec.tasks == 1;
    worker.health.is_up() || (spec.idempotent && worker.health.accepts_probe(single, now))
}
