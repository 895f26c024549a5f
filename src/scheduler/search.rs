//! Places for one job: free cells of its guarantee, free cells of others, or reclaimed ones.

use super::gang::Job;
use super::load::Load;
use super::placement::{Ask, find};
use super::reclaim::{Claim, ClaimKind};
use super::worker::Worker;
use super::{RequeueCause, Scheduler};
use crate::release_note::Adjacency;
use crate::units::{Millis, TeamId};

/// A shape for which there was no place.
#[derive(Clone, Debug)]
struct Shape {
    /// The team, where its own holdings decide.
    team: Option<TeamId>,
    tasks: u32,
    load: Load,
    adjacency: Adjacency,
    end_ms: Millis,
}

/// Shapes that found no place since capacity last came free.
#[derive(Debug, Default)]
pub(super) struct Failed {
    shapes: Vec<Shape>,
}

impl Failed {
    pub(super) fn clear(&mut self) {
        self.shapes.clear();
    }

    /// Whether a shape that is no harder to place failed before.
    fn covers(&self, shape: &Shape) -> bool {
        self.shapes.iter().any(|failed| {
            failed.team == shape.team
                && failed.tasks <= shape.tasks
                && failed.load.fits_in(shape.load)
                && failed.adjacency >= shape.adjacency
                && failed.end_ms <= shape.end_ms
        })
    }
}

/// Which claims of others keep a job off places.
#[derive(Clone, Copy, Debug)]
enum ClaimsCounted {
    /// Those of guarantees only: reserved cells are no obstacle for guaranteed work.
    Reclaims,
    /// All.
    All,
}

impl Scheduler {
    pub(super) fn ask(&self, ordinal: u64) -> Ask {
        let job = &self.jobs[&ordinal];
        Ask {
            tasks: job.record.spec.tasks,
            load: job.task_load(),
            adjacency: job.record.spec.adjacency,
            best_fit: self.options.best_fit,
            free_only: true,
        }
    }

    /// When a job that started now would end.
    pub(super) fn expected_end(&self, ordinal: u64, now: Millis) -> Millis {
        let spec = &self.jobs[&ordinal].record.spec;
        let team = &spec.key.team;
        let expected = self
            .estimates
            .expect(team, &spec.class, spec.declared_run_ms);
        now.saturating_add(expected)
    }

    /// Whether a job may start on a worker at all.
    pub(super) fn accepts(&self, ix: u32, worker: &Worker, ordinal: u64, now: Millis) -> bool {
        accepts(&self.jobs[&ordinal], ix, worker, now)
    }

    /// Whether a job is fit to probe a doubtful worker: small, not urgent, and it may run again.
    fn may_probe(&self, ordinal: u64) -> bool {
        let job = &self.jobs[&ordinal];
        let spec = &job.record.spec;
        spec.tasks == 1 && spec.idempotent && !spec.urgent && job.failed_on.is_empty()
    }

    /// Searches unless a shape no harder has just failed.
    fn search(
        &mut self,
        ordinal: u64,
        memo: Option<TeamId>,
        now: Millis,
        searches: &mut u32,
        claims: ClaimsCounted,
        room: impl Fn(&Worker) -> (Load, Load),
    ) -> Option<Vec<u32>> {
        let ask = self.ask(ordinal);
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let shape = Shape {
            team: memo,
            tasks: ask.tasks,
            load: ask.load,
            adjacency: ask.adjacency,
            end_ms: self.expected_end(ordinal, now),
        };
        let picky = !self.jobs[&ordinal].failed_on.is_empty();
        if self.failed.covers(&shape) && !self.claims.by_job.contains_key(&ordinal) {
            return None;
        }
        *searches += 1;
        let end_ms = shape.end_ms;
        let movable = if self.options.defragment && self.jobs[&ordinal].record.spec.idempotent {
            self.jobs[&ordinal].accelerators().max(1)
        } else {
            u64::MAX
        };
        let load = ask.load;
        let job = &*self.jobs[&ordinal];
        let room = |ix: u32, worker: &Worker| {
            let (free, limit) = room(worker);
            if !load.fits_in(free) || !load.fits_in(limit) || !accepts(job, ix, worker, now) {
                return None;
            }
            let free = match claims {
                ClaimsCounted::All => free.minus(self.claims.on(ix, ordinal, end_ms, movable)),
                ClaimsCounted::Reclaims => free.minus(self.claims.reclaims_on(ix, ordinal)),
            };
            Some(free.min(limit.minus(self.claims.of_team_on(ix, ordinal, &team))))
        };
        let sure = |ix: u32, worker: &Worker| {
            let trusted = !worker.health.is_suspect() && worker.health.is_up();
            if trusted { room(ix, worker) } else { None }
        };
        let probe = |ix: u32, worker: &Worker| {
            if worker.health.accepts_probe(true, now) {
                room(ix, worker)
            } else {
                None
            }
        };
        let probes = self.probe_wanted && self.may_probe(ordinal);
        let found = probes.then(|| find(&self.pool, &ask, probe)).flatten();
        let found = found.or_else(|| find(&self.pool, &ask, sure));
        let again = found.is_none() && self.doubts;
        let found = found.or_else(|| again.then(|| find(&self.pool, &ask, room)).flatten());
        if let Some(places) = found {
            return Some(places);
        }
        if !picky {
            self.failed.shapes.push(shape);
        }
        None
    }

    /// Places a job on free cells of its team's guarantee.
    pub(super) fn try_guaranteed(&mut self, ordinal: u64, now: Millis, searches: &mut u32) -> bool {
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        let load = self.jobs[&ordinal].task_load();
        let racks = self.bindings.racks_of(&team, &self.pool);
        let memo = Some(team.clone());
        let claims = ClaimsCounted::Reclaims;
        let found = self.search(ordinal, memo, now, searches, claims, |worker| {
            if !racks.contains(&worker.rack) {
                return (Load::ZERO, Load::ZERO);
            }
            (worker.free(), worker.bound_room(&team, load))
        });
        let Some(places) = found else {
            return false;
        };
        self.claims.drop_claim(ordinal, &mut self.pool);
        self.place(ordinal, &places, true, now);
        true
    }

    /// Places a job on cells that nobody uses; work that may not run again only where it can stay.
    pub(super) fn try_borrowed(&mut self, ordinal: u64, now: Millis, searches: &mut u32) -> bool {
        let spec = &self.jobs[&ordinal].record.spec;
        let firm = !spec.idempotent;
        let team = spec.key.team.clone();
        let load = self.jobs[&ordinal].task_load();
        let memo = firm.then(|| team.clone());
        let claims = ClaimsCounted::All;
        let found = self.search(ordinal, memo, now, searches, claims, |worker| {
            let free = worker.free();
            (
                free,
                if firm {
                    worker.firm_room(&team, load)
                } else {
                    Load::MAX
                },
            )
        });
        let Some(places) = found else {
            return false;
        };
        self.claims.drop_claim(ordinal, &mut self.pool);
        self.place(ordinal, &places, firm, now);
        true
    }

    /// Makes borrowers leave cells of the team's guarantee.
    pub(super) fn try_reclaim(&mut self, ordinal: u64, now: Millis, searches: &mut u32) -> bool {
        if self.reclaims_running() >= self.options.concurrent_reclaims_max {
            self.dirty = true;
            return false;
        }
        let team = self.jobs[&ordinal].record.spec.key.team.clone();
        if self.options.rebind && self.rebinds_left > 0 {
            self.rebinds_left -= 1;
            self.rebind_cheaply(ordinal, now);
        }
        let mut ask = self.ask(ordinal);
        ask.free_only = false;
        let racks = self.bindings.racks_of(&team, &self.pool);
        *searches += 1;
        let places = find(&self.pool, &ask, |ix, worker| {
            if !racks.contains(&worker.rack) || !self.accepts(ix, worker, ordinal, now) {
                return None;
            }
            let room = worker
                .reclaimable()
                .minus(self.claims.reclaims_on(ix, ordinal));
            let limit = worker.bound_room(&team, ask.load);
            Some(room.min(limit.minus(self.claims.of_team_on(ix, ordinal, &team))))
        });
        let Some(places) = places else {
            return false;
        };
        if !self.clear_places(ordinal, &places, ask.load, &RequeueCause::Reclaimed, now) {
            return false;
        }
        let claim = Claim {
            team,
            places,
            load: ask.load,
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

fn accepts(job: &Job, ix: u32, worker: &Worker, now: Millis) -> bool {
    if job.failed_before_on(ix) || !worker.open || !worker.alive(now) {
        return false;
    }
    let spec = &job.record.spec;
    let single = spec.tasks == 1;
    worker.health.is_up() || (spec.idempotent && worker.health.accepts_probe(single, now))
}
