//! Who leaves for whom: urgent work that finds no room though its team is inside its guarantee, and
//! gangs that find none while small tasks that save their progress fill every gap.
//!
//! Each member of a gang goes where the least work is lost, in the rack where that is the least in
//! all. The room that it waits for is held from others meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use tracing::info;

use super::Planner;
use super::candidates::{Candidates, PlacementRequest};
use super::guarantee::is_urgent;
use super::pending::PendingStep;
use super::reservation::Reservation;
use crate::units::{Millis, WallMs};
use crate::workload::{Job, Resources, RunKey, Step, StepKey, StepState, TaskKey, Workload};

/// How long a reclaim waits for the room, beyond the time of a stop, before others must leave too.
const RECLAIM_SLACK_MS: Millis = Millis(600);

/// The part of the time to an urgent start after which such a job claims what is second best; a stop and
/// two reports follow.
const CLAIM_DIVISOR: u64 = 2;

/// How many times as much the loss of urgent work weighs.
const URGENT_LOSS_FACTOR: u64 = 10;

/// Runs that leave together: a gang, or one task.
#[derive(Clone, Debug)]
struct Victim {
    members: Vec<RunKey>,
    /// The work that is lost with them, in thousandths of core-seconds.
    lost: u64,
}

/// What may be taken from others.
#[derive(Debug, Default)]
struct Victims {
    all: Vec<Victim>,
    /// For each candidate: the victims that hold room there, with how much.
    by_candidate: Vec<Vec<(usize, Resources)>>,
}

/// A plan to make room.
#[derive(Clone, Debug, Default)]
struct ReclaimPlan {
    victims: BTreeSet<usize>,
    candidates: Vec<usize>,
    lost: u64,
}

impl Planner {
    /// Makes others leave for a step that has found no room for long enough, and keeps what it waits
    /// for from those that come after it.
    pub(super) fn reclaim(
        &mut self,
        waiting: &PendingStep,
        state: &Workload,
        candidates: &mut Candidates,
        now: Millis,
        wall: WallMs,
    ) {
        let (Some(job), Some((step, tasks))) =
            (state.job(waiting.key.job), state.step(waiting.key))
        else {
            return;
        };
        if let Some(reservation) = self.reservations.get(&waiting.key) {
            candidates.hold_on_workers(&reservation.places, step.allocation());
            return;
        }
        let request =
            self.placement_request(waiting.key, (job, step, tasks), tasks.pending_tasks(), wall);
        let waited = wall.since(job.due_ms(waiting.key.occurrence));
        let is_covered = self.guarantees.covers(job);
        let claims_all = is_covered && waited.get() >= self.claim_delay_ms();
        let victims = self.victims(state, candidates, now, |other, of| {
            if is_urgent(job) {
                other.policy.priority > 0 || (claims_all && !self.guarantees.covers(other))
            } else {
                // A stop costs work that saves its progress next to nothing.
                other.policy.priority > waiting.priority && of.checkpoints && !of.gang
            }
        });
        let own = self.work_at_stake(job, step, request.tasks);
        let spread_cost = own.saturating_mul(self.options.far_factor.saturating_sub(1));
        let Some(plan) = cheapest_plan(&request, candidates, &victims, spread_cost) else {
            return;
        };
        let at_any_cost = is_covered && waited.get() >= self.claim_delay_ms() / 2;
        if !at_any_cost && plan.lost > own {
            return;
        }
        for at in &plan.candidates {
            candidates.hold(*at, step.allocation());
        }
        let until_ms = now
            .saturating_add(self.options.stop_ms)
            .saturating_add(self.options.report_after_ms)
            .saturating_add(RECLAIM_SLACK_MS);
        let places = plan.candidates.iter();
        let places = places
            .map(|at| candidates.all[*at].worker.clone())
            .collect();
        self.reservations
            .insert(waiting.key, Reservation { until_ms, places });
        let leaving = plan.victims.iter().map(|at| &victims.all[*at]);
        let leaving: Vec<RunKey> = leaving.flat_map(|victim| victim.members.clone()).collect();
        info!(event = "reclaim", job = %job.id, step = waiting.key.step, tasks = request.tasks,
            leaving = leaving.len(), lost_core_ms = plan.lost, waited_ms = waited.get());
        self.stopping.extend(leaving);
        self.dirty = true;
    }

    /// How long an urgent job inside its guarantee waits before it claims what is second best: places in
    /// several racks, and room of urgent jobs beyond the guarantees of others.
    pub(super) fn claim_delay_ms(&self) -> u64 {
        self.options.urgent_start_ms.get() / CLAIM_DIVISOR
    }

    /// The work of a step's tasks, in thousandths of core-seconds.
    fn work_at_stake(&self, job: &Job, step: &Step, tasks: u32) -> u64 {
        let run_ms = self.run_times.estimate(job, step).get();
        let weight = step.demand.weight().saturating_mul(u64::from(tasks));
        weight.saturating_mul(run_ms) / 1_000
    }

    /// The runs that may leave.
    fn victims(
        &self,
        state: &Workload,
        candidates: &Candidates,
        now: Millis,
        may_leave: impl Fn(&Job, &Step) -> bool,
    ) -> Victims {
        let mut victims = Victims::default();
        let mut gangs: BTreeMap<(StepKey, u32), usize> = BTreeMap::new();
        for candidate in &candidates.all {
            let mut here = Vec::new();
            for (run, _incarnation) in state.runs_placed_on(&candidate.worker) {
                let job = state.job(run.task.step.job);
                let job = job.filter(|job| !job.phase.is_ended());
                let (Some(job), Some((step, tasks))) = (job, state.step(run.task.step)) else {
                    continue;
                };
                // Lasting tasks serve their own users, who notice each stop.
                if step.long_running || !may_leave(job, step) || self.stopping.contains(&run) {
                    continue;
                }
                let gang = (run.task.step, run.run);
                let known = gangs.get(&gang).copied().filter(|_at| step.gang);
                let at = known.unwrap_or_else(|| {
                    let members = if step.gang {
                        gang_members(run, tasks)
                    } else {
                        vec![run]
                    };
                    let lost = members.iter().map(|run| self.lost_work(*run, state, now));
                    let lost = lost.sum::<u64>();
                    let lost = if is_urgent(job) {
                        lost.saturating_mul(URGENT_LOSS_FACTOR)
                    } else {
                        lost
                    };
                    victims.all.push(Victim { members, lost });
                    victims.all.len() - 1
                });
                if step.gang {
                    gangs.insert(gang, at);
                }
                here.push((at, step.allocation()));
            }
            victims.by_candidate.push(here);
        }
        victims
    }

    /// The work that is lost when a run stops now, in thousandths of core-seconds.
    fn lost_work(&self, run: RunKey, state: &Workload, now: Millis) -> u64 {
        let Some((step, tasks)) = state.step(run.task.step) else {
            return 0;
        };
        let task = tasks.tasks.get(run.task.index as usize);
        let place = task.and_then(|task| task.placement.as_ref());
        let worker = place.and_then(|place| self.workers.get(&place.worker));
        let Some(running) = worker.and_then(|worker| worker.running.get(&run)) else {
            return 0;
        };
        // A stop saves the progress of a task that can.
        let lost_ms = if step.checkpoints {
            Millis::ZERO
        } else {
            now.since(running.first_seen_ms)
        };
        let base = step.demand.weight() / 100;
        base + step.demand.weight().saturating_mul(lost_ms.get()) / 1_000
    }
}

/// The plan that loses the least work: in one rack where the tasks want that, any_location once they take
/// any rack and that loses less, with `spread_cost` for the longer run. Room is made only where the step
/// would be placed.
fn cheapest_plan(
    request: &PlacementRequest<'_>,
    candidates: &Candidates,
    victims: &Victims,
    spread_cost: u64,
) -> Option<ReclaimPlan> {
    let all: Vec<usize> = (0..candidates.all.len())
        .filter(|at| request.any_location || request.is_near_data(&candidates.all[*at]))
        .collect();
    if !(request.step.gang && request.step.same_rack) {
        return plan_among(&all, request, candidates, victims);
    }
    let mut racks: BTreeMap<Option<SmolStr>, Vec<usize>> = BTreeMap::new();
    for at in all.iter().copied() {
        racks
            .entry(candidates.all[at].rack.clone())
            .or_default()
            .push(at);
    }
    let plans = racks.values().filter_map(|rack| {
        let plan = plan_among(rack, request, candidates, victims)?;
        (plan.candidates.len() == request.tasks as usize).then_some(plan)
    });
    let in_rack = plans.min_by_key(|plan| plan.lost);
    let takes_any = request.any_location || !candidates.fits_some_rack(request);
    let spread = plan_among(&all, request, candidates, victims).filter(|_plan| takes_any);
    match (in_rack, spread) {
        (Some(rack), Some(spread)) if rack.lost <= spread.lost.saturating_add(spread_cost) => {
            Some(rack)
        }
        (in_rack, spread) => spread.or(in_rack),
    }
}

/// Adds place after place where the least more is lost; a gang needs all of its places.
fn plan_among(
    among: &[usize],
    request: &PlacementRequest<'_>,
    candidates: &Candidates,
    victims: &Victims,
) -> Option<ReclaimPlan> {
    let demand = request.step.allocation();
    let mut plan = ReclaimPlan::default();
    let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
    for _task in 0..request.tasks {
        let options = among.iter().filter_map(|at| {
            let candidate = &candidates.all[*at];
            let count = taken.get(at).copied().unwrap_or(0) + 1;
            if request.fitting_tasks(candidate, candidate.capacity) < count {
                return None;
            }
            let needed = demand.saturating_mul(u64::from(count));
            let (more, lost, free) =
                additional_victims(*at, needed, candidates, victims, &plan.victims)?;
            let left = free.saturating_sub(needed).accelerators;
            Some((lost, left, *at, more))
        });
        let best = options.min_by_key(|(lost, left, at, _more)| (*lost, *left, *at));
        let Some((lost, _left, at, more)) = best else {
            break;
        };
        plan.lost += lost;
        plan.victims.extend(more);
        plan.candidates.push(at);
        *taken.entry(at).or_default() += 1;
    }
    let is_whole = plan.candidates.len() == request.tasks as usize;
    let is_enough = is_whole || (!request.step.gang && !plan.candidates.is_empty());
    is_enough.then_some(plan)
}

/// The cheapest further victims that free `needed` on a candidate, what is lost, and what is free then.
fn additional_victims(
    at: usize,
    needed: Resources,
    candidates: &Candidates,
    victims: &Victims,
    leaving: &BTreeSet<usize>,
) -> Option<(Vec<usize>, u64, Resources)> {
    let mut free = candidates.all[at]
        .free
        .saturating_add(candidates.all[at].releasing);
    let mut holding: Vec<(usize, Resources)> = Vec::new();
    for (victim, room) in &victims.by_candidate[at] {
        if leaving.contains(victim) {
            free = free.saturating_add(*room);
        } else {
            holding.push((*victim, *room));
        }
    }
    holding.sort_by_key(|(victim, _room)| victims.all[*victim].lost);
    let mut more = Vec::new();
    let mut lost = 0;
    for (victim, room) in holding {
        if needed.fits_in(free) {
            break;
        }
        free = free.saturating_add(room);
        if !more.contains(&victim) {
            lost += victims.all[victim].lost;
            more.push(victim);
        }
    }
    needed.fits_in(free).then_some((more, lost, free))
}

fn gang_members(run: RunKey, tasks: &StepState) -> Vec<RunKey> {
    let step = run.task.step;
    let placed = tasks.tasks.iter().zip(0_u32..);
    let placed = placed.filter(|(task, _index)| task.placement.is_some() && task.run == run.run);
    let key = |index| RunKey {
        task: TaskKey { step, index },
        run: run.run,
    };
    placed.map(|(_task, index)| key(index)).collect()
}
