//! The planning pass: places pending tasks and reclaims resources for those that do not fit.

use std::collections::BTreeMap;

use tracing::info;

use super::Planner;
use super::candidates::{Candidates, PlacementRequest};
use super::gang_room::{GangRoom, KeptRoom};
use super::guarantee::{GuaranteeCoverage, is_urgent};
use super::pending::{DeadlineStatus, PendingStep, pending_steps};
use super::team_quota::TeamQuotas;
use crate::units::{Millis, WallMs};
use crate::workload::{Job, Placement, Step, StepKey, StepState, Transition, Workload};

/// How long a task waits for a worker near its data before it runs elsewhere, in percent of the run
/// time that it would lose there.
const DATA_LOCALITY_WAIT_PERCENT: u64 = 50;
/// The same for a gang that prefers one rack. It waits longer, because a slow gang occupies all of
/// its workers for longer.
const RACK_LOCALITY_WAIT_PERCENT: u64 = 300;
/// How long a job waits for a better location while the fleet is not busy.
const IDLE_FLEET_WAIT_MS: Millis = Millis(2_000);
/// The maximum number of non-urgent gangs for which one pass reclaims resources.
const GANG_RECLAIMS_MAX: usize = 4;
/// The maximum number of searches for resources to reclaim in one pass, which visit all runs. The
/// steps after these get their turn in the next passes.
const RECLAIM_SEARCHES_MAX: usize = 6;
/// The maximum number of tasks placed in one pass, which bounds its duration.
const PLACEMENTS_MAX: usize = 2_000;

impl Planner {
    /// Returns the occurrences of scheduled jobs that are due.
    #[must_use]
    pub fn due_occurrences(&self, state: &Workload, wall: WallMs) -> Vec<Transition> {
        let mut due = Vec::new();
        for (number, job) in state.open_jobs() {
            let is_due = job.occurrences_due < job.spec.occurrences()
                && job.due_ms(job.occurrences_due).0
                    <= wall.0.saturating_add(self.options.early_ms.get());
            if job.spec.schedule.is_some() && is_due {
                due.push(Transition::Due {
                    job: number,
                    occurrence: job.occurrences_due,
                });
            }
        }
        due
    }

    /// Runs a planning pass. The placements take effect once they are committed.
    pub fn plan(&mut self, state: &Workload, now: Millis, wall: WallMs) -> Vec<Transition> {
        self.dirty = false;
        self.guarantees = GuaranteeCoverage::of(state);
        self.expire_reservations(state, now);
        self.reclaim_retries
            .retain(|_step, retry_ms| now < *retry_ms);
        self.stopping.retain(|run| {
            let task = state.task(run.task);
            task.is_some_and(|task| task.run == run.run && task.placement.is_some())
        });
        self.stop_incomplete_gangs(state, now);
        self.stop_inherited_gangs(state, now, wall);
        self.stop_stalled(state, now, wall);
        self.stop_on_departing_workers(state, now);
        self.classify_speeds(now);
        self.forget_interference_of_lost_workers();
        let mut candidates = self.candidates(state, now);
        self.reserve_urgent_racks(state, &mut candidates, now);
        let mut held = self.hold_reservations(state, &mut candidates);
        let mut quotas = TeamQuotas::default();
        let mut gang_room = GangRoom::default();
        let mut transitions = Vec::new();
        let mut placed = 0;
        let mut gang_reclaims = 0;
        let mut searches = 0;
        for step in pending_steps(state, &self.run_times, wall) {
            candidates.release(&held.remove(&step.key).unwrap_or_default());
            let allowed = allowed_tasks(&step, state, &mut quotas);
            if allowed == 0 {
                continue;
            }
            let (Some(job), Some((spec, tasks))) = (state.job(step.key.job), state.step(step.key))
            else {
                continue;
            };
            let kept_room = gang_room.kept_from(&step, spec, state, &candidates);
            let room = (&mut candidates, kept_room, allowed);
            let newly_placed = self.place_step(&step, state, room, (now, wall), &mut transitions);
            placed += newly_placed;
            if placed >= PLACEMENTS_MAX {
                self.dirty = true;
                break;
            }
            quotas.take(job, spec, newly_placed, state);
            gang_room.take(&step, spec, newly_placed);
            let is_blocked = newly_placed < allowed as usize;
            if is_blocked && spec.gang && step.deadline_status == DeadlineStatus::OnTime {
                let count = spec.tasks;
                let request =
                    self.placement_request(step.key, (job, spec, tasks), count, &candidates, wall);
                gang_room.keep_for(&step, &request, &mut candidates);
            }
            let is_gang = spec.gang
                && step.deadline_status != DeadlineStatus::Expired
                && gang_reclaims < GANG_RECLAIMS_MAX;
            let may_search = searches < RECLAIM_SEARCHES_MAX || self.guarantees.covers(job);
            if is_blocked && (step.priority == 0 || is_gang) && may_search {
                gang_reclaims += usize::from(step.priority > 0);
                searches +=
                    usize::from(self.reclaim((&step, allowed), state, &mut candidates, now, wall));
            }
        }
        transitions
    }

    /// Places as many tasks of a step as fit and returns their number.
    fn place_step(
        &mut self,
        pending: &PendingStep,
        state: &Workload,
        (candidates, kept_room, allowed): (&mut Candidates, KeptRoom, u32),
        (now, wall): (Millis, WallMs),
        transitions: &mut Vec<Transition>,
    ) -> usize {
        let key = pending.key;
        let (Some(job), Some((step, tasks))) = (state.job(key.job), state.step(key)) else {
            return 0;
        };
        let count = if step.gang { step.tasks } else { 1 };
        let mut request = self.placement_request(key, (job, step, tasks), count, candidates, wall);
        let placed = if step.gang {
            let run = tasks.next_run_number(step, 0);
            let placed = place_gang(key, run, &request, candidates, transitions);
            if placed > 0 {
                self.starting_gangs.insert((key, run), now);
            }
            placed
        } else {
            request.kept_room = kept_room;
            place_tasks(
                (key, tasks),
                allowed as usize,
                &mut request,
                candidates,
                transitions,
            )
        };
        if placed > 0 {
            info!(event = "tasks_placed", job = %job.id, occurrence = key.occurrence, step = key.step,
                tasks = placed, gang = step.gang, waited_ms = wall.since(job.due_ms(key.occurrence)).get(),
                priority = pending.priority);
        }
        placed
    }

    /// Builds the request to place `count` tasks of a step now.
    pub(super) fn placement_request<'a>(
        &self,
        key: StepKey,
        (job, step, tasks): (&'a Job, &'a Step, &StepState),
        count: u32,
        candidates: &Candidates,
        wall: WallMs,
    ) -> PlacementRequest<'a> {
        let mut request = PlacementRequest {
            step,
            service: &job.policy.service,
            tasks: count,
            tasks_per_worker: BTreeMap::new(),
            avoided: self.avoided.for_step(key),
            any_location: self.accepts_any_location(job, step, key, wall),
            is_urgent: is_urgent(job),
            kept_room: KeptRoom::default(),
            slowdowns: self.pacing.slowdowns(step.image.as_ref()),
        };
        request.count_tasks_per_worker(tasks);
        // A worker on which the step stalled is better than none.
        if !request.avoided.is_empty() && !candidates.is_busy() && !candidates.has_room(&request) {
            request.avoided.clear();
        }
        let waited = wall.since(job.due_ms(key.occurrence));
        let is_idle_beside_room = !candidates.is_busy() && waited >= IDLE_FLEET_WAIT_MS;
        request.any_location |= is_idle_beside_room || !candidates.can_hold_near_data(&request);
        request
    }

    /// Whether a step has waited so long for a worker near its data, or for one rack, that it may
    /// run anywhere.
    fn accepts_any_location(&self, job: &Job, step: &Step, key: StepKey, wall: WallMs) -> bool {
        let run = self.run_times.estimate(job, step).get();
        let lost = run.saturating_mul(self.options.far_factor.saturating_sub(1));
        let wait_limit = if step.gang && step.same_rack {
            lost.saturating_mul(RACK_LOCALITY_WAIT_PERCENT) / 100
        } else if step.data_rack.is_some() {
            lost.saturating_mul(DATA_LOCALITY_WAIT_PERCENT) / 100
        } else {
            return true;
        };
        let waited = wall.since(job.due_ms(key.occurrence)).get();
        let claims = self.guarantees.covers(job) && waited >= self.claim_delay_ms();
        claims || waited >= wait_limit
    }
}

/// The number of pending tasks of a step that its team's maximum allows; a gang needs all of them.
fn allowed_tasks(pending: &PendingStep, state: &Workload, quotas: &mut TeamQuotas) -> u32 {
    let (Some(job), Some((step, tasks))) = (state.job(pending.key.job), state.step(pending.key))
    else {
        return 0;
    };
    if step.gang && Planner::may_have_no_attempt_left(state, pending.key) {
        return 0;
    }
    let wanted = tasks.pending_tasks();
    let allowed = quotas.allowed_tasks(job, step, wanted, state);
    if step.gang && allowed < wanted {
        return 0;
    }
    allowed
}

fn place_gang(
    key: StepKey,
    run: u32,
    request: &PlacementRequest<'_>,
    candidates: &mut Candidates,
    transitions: &mut Vec<Transition>,
) -> usize {
    let Some(places) = candidates.find_for_gang(request) else {
        return 0;
    };
    for at in &places {
        candidates.allocate(*at, request.step.allocation());
    }
    let members = places.len();
    let places = places.into_iter().zip(0_u32..);
    transitions.push(Transition::Placed {
        step: key,
        run,
        places: places
            .map(|(at, index)| (index, placement_at(candidates, at)))
            .collect(),
    });
    members
}

fn place_tasks(
    (key, tasks): (StepKey, &StepState),
    allowed: usize,
    request: &mut PlacementRequest<'_>,
    candidates: &mut Candidates,
    transitions: &mut Vec<Transition>,
) -> usize {
    let mut by_run: BTreeMap<u32, Vec<(u32, Placement)>> = BTreeMap::new();
    let pending = tasks
        .tasks
        .iter()
        .zip(0_u32..)
        .filter(|(task, _index)| task.is_pending())
        .take(allowed);
    let mut placed = 0;
    let mut in_order = candidates
        .in_order_for_tasks(request)
        .into_iter()
        .peekable();
    for (_task, index) in pending {
        while in_order
            .next_if(|at| !candidates.takes_task(*at, request))
            .is_some()
        {}
        let Some(at) = in_order.peek().copied() else {
            break;
        };
        request.kept_room.place_on(&candidates.all[at]);
        candidates.allocate(at, request.step.allocation());
        if !request.slowdowns.is_empty() {
            let image = request.step.image.clone();
            candidates.all[at].images.extend(image);
        }
        let placement = placement_at(candidates, at);
        if request.step.per_worker_max.is_some() {
            *request
                .tasks_per_worker
                .entry(placement.worker.clone())
                .or_default() += 1;
        }
        let run = tasks.next_run_number(request.step, index);
        by_run.entry(run).or_default().push((index, placement));
        placed += 1;
    }
    transitions.extend(by_run.into_iter().map(|(run, places)| Transition::Placed {
        step: key,
        run,
        places,
    }));
    placed
}

fn placement_at(candidates: &Candidates, at: usize) -> Placement {
    let candidate = &candidates.all[at];
    Placement {
        worker: candidate.worker.clone(),
        incarnation: candidate.incarnation,
    }
}
