//! Reclaims resources from running tasks for two kinds of work: urgent jobs that find no free
//! resources, above all within their team's guarantee, and gangs that would never fit while small
//! checkpointing tasks fill every gap.
//!
//! Each task goes to the worker where the least work is lost. A gang that must share a rack uses
//! the rack with the smallest total loss. The reclaimed resources are reserved for the step until
//! it is placed.

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

/// How long a reclaim may take beyond the stop time and a report before further victims are chosen.
const RECLAIM_SLACK_MS: Millis = Millis(600);

/// How long a step for which nothing could be reclaimed waits until that is tried again. The search
/// visits all runs of all workers.
const RECLAIM_RETRY_MS: Millis = Millis(200);

/// An urgent job within its guarantee accepts a second-best placement after the urgent start time
/// divided by this, which leaves time for a stop and two reports.
const CLAIM_DIVISOR: u64 = 2;

/// The factor by which lost urgent work outweighs other lost work.
const URGENT_LOSS_FACTOR: u64 = 10;

/// Runs that are stopped together: all members of a gang, or a single task.
#[derive(Clone, Debug)]
struct Victim {
    members: Vec<RunKey>,
    /// The work since their last checkpoints, by which victims are chosen, in core-milliseconds.
    lost: u64,
    /// The part of `lost` that their next runs must repeat. A gang that checkpoints resumes from
    /// what the first of its stopped members saves, while the others end without saving.
    repeated: u64,
}

/// The runs that may be stopped.
#[derive(Debug, Default)]
struct Victims {
    all: Vec<Victim>,
    /// For each candidate, the victims on it with the resources that each holds there.
    by_candidate: Vec<Vec<(usize, Resources)>>,
}

impl Victims {
    /// The work that stopping these victims makes their next runs repeat.
    fn repeated(&self, victims: &BTreeSet<usize>) -> u64 {
        let repeated = victims.iter().map(|at| self.all[*at].repeated);
        repeated.fold(0, u64::saturating_add)
    }

    /// The same victims, to be chosen by the work that is repeated; `None` if that is the same.
    fn by_repeated_work(&self) -> Option<Self> {
        let differs = |victim: &Victim| victim.lost != victim.repeated;
        self.all.iter().any(differs).then(|| {
            let all = self.all.iter().map(|victim| Victim {
                lost: victim.repeated,
                ..victim.clone()
            });
            Self {
                all: all.collect(),
                by_candidate: self.by_candidate.clone(),
            }
        })
    }
}

/// A set of victims to stop and the candidates on which they free resources.
#[derive(Clone, Debug, Default)]
struct ReclaimPlan {
    victims: BTreeSet<usize>,
    candidates: Vec<usize>,
    lost: u64,
}

impl Planner {
    /// Stops other runs for a step that does not fit, and reserves the resources that they release.
    /// Returns whether it searched for runs to stop.
    pub(super) fn reclaim(
        &mut self,
        (pending, allowed): (&PendingStep, u32),
        state: &Workload,
        candidates: &mut Candidates,
        now: Millis,
        wall: WallMs,
    ) -> bool {
        let (Some(job), Some((step, tasks))) =
            (state.job(pending.key.job), state.step(pending.key))
        else {
            return false;
        };
        if let Some(reservation) = self.reservations.get(&pending.key) {
            candidates.hold_on_workers(&reservation.workers, step.allocation());
            return false;
        }
        if self.reclaim_retries.contains_key(&pending.key) {
            return false;
        }
        let request =
            self.placement_request(pending.key, (job, step, tasks), allowed, candidates, wall);
        let waited = wall.since(job.due_ms(pending.key.occurrence));
        let is_covered = self.guarantees.covers(job);
        let claims_all = is_covered && waited.get() >= self.claim_delay_ms();
        let victims = self.victims(state, candidates, now, |other, other_step| {
            if is_urgent(job) {
                other.policy.priority > 0 || (claims_all && !self.guarantees.covers(other))
            } else {
                // Stopping work that checkpoints loses next to nothing.
                other.policy.priority > pending.priority
                    && other_step.checkpoints
                    && !other_step.gang
            }
        });
        let own_work = self.work_at_stake(job, step, request.tasks);
        let spread_cost = own_work.saturating_mul(self.options.far_factor.saturating_sub(1));
        let at_any_cost = is_covered && waited.get() >= self.claim_delay_ms() / 2;
        let is_worth =
            |plan: &ReclaimPlan| at_any_cost || victims.repeated(&plan.victims) <= own_work;
        let plan = cheapest_plan(&request, candidates, &victims, spread_cost);
        // Unsaved work must not keep a job waiting if no run has to repeat it. Whether there is a
        // plan at all doesn't depend on the work that is lost.
        let plan = plan.and_then(|plan| {
            if is_worth(&plan) {
                return Some(plan);
            }
            let victims = victims.by_repeated_work()?;
            cheapest_plan(&request, candidates, &victims, spread_cost).filter(is_worth)
        });
        let Some(plan) = plan else {
            let retry_ms = now.saturating_add(RECLAIM_RETRY_MS);
            self.reclaim_retries.insert(pending.key, retry_ms);
            return true;
        };
        for at in &plan.candidates {
            candidates.hold(*at, step.allocation());
        }
        let until_ms = now
            .saturating_add(self.options.stop_ms)
            .saturating_add(self.options.report_after_ms)
            .saturating_add(RECLAIM_SLACK_MS);
        let workers = plan.candidates.iter();
        let workers = workers
            .map(|at| candidates.all[*at].worker.clone())
            .collect();
        self.reservations
            .insert(pending.key, Reservation { until_ms, workers });
        let chosen = plan.victims.iter().map(|at| &victims.all[*at]);
        let runs: Vec<RunKey> = chosen.flat_map(|victim| victim.members.clone()).collect();
        info!(event = "reclaim", job = %job.id, step = pending.key.step, tasks = request.tasks,
            leaving = runs.len(), lost_core_ms = plan.lost, waited_ms = waited.get());
        self.stopping.extend(runs);
        self.dirty = true;
        true
    }

    /// How long an urgent job within its guarantee waits before it accepts a second-best placement:
    /// several racks, or resources of urgent jobs that exceed their own team's guarantee.
    pub(super) fn claim_delay_ms(&self) -> u64 {
        self.options.urgent_start_ms.get() / CLAIM_DIVISOR
    }

    /// The expected work of a step's tasks, in core-milliseconds.
    fn work_at_stake(&self, job: &Job, step: &Step, tasks: u32) -> u64 {
        let run_ms = self.run_times.estimate(job, step).get();
        let weight = step.demand.weight().saturating_mul(u64::from(tasks));
        weight.saturating_mul(run_ms) / 1_000
    }

    /// Collects the runs that may be stopped.
    fn victims(
        &self,
        state: &Workload,
        candidates: &Candidates,
        now: Millis,
        may_stop: impl Fn(&Job, &Step) -> bool,
    ) -> Victims {
        let mut victims = Victims::default();
        let mut gangs: BTreeMap<(StepKey, u32), usize> = BTreeMap::new();
        for candidate in &candidates.all {
            let mut on_candidate = Vec::new();
            for (run, _incarnation) in state.runs_placed_on(&candidate.worker) {
                let job = state.job(run.task.step.job);
                let job = job.filter(|job| !job.phase.is_ended());
                let (Some(job), Some((step, tasks))) = (job, state.step(run.task.step)) else {
                    continue;
                };
                // Long-running tasks serve users, who notice every interruption.
                if step.long_running || !may_stop(job, step) || self.stopping.contains(&run) {
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
                    let factor = if is_urgent(job) {
                        URGENT_LOSS_FACTOR
                    } else {
                        1
                    };
                    let mut victim = Victim {
                        members,
                        lost: 0,
                        repeated: 0,
                    };
                    for run in &victim.members {
                        let (lost, repeated) = self.lost_work(*run, state, now);
                        let lost = lost.saturating_mul(factor);
                        victim.lost = victim.lost.saturating_add(lost);
                        let repeated = repeated.saturating_mul(factor);
                        victim.repeated = victim.repeated.saturating_add(repeated);
                    }
                    victims.all.push(victim);
                    victims.all.len() - 1
                });
                if step.gang {
                    gangs.insert(gang, at);
                }
                on_candidate.push((at, step.allocation()));
            }
            victims.by_candidate.push(on_candidate);
        }
        victims
    }

    /// The work of a run since its last checkpoint, and the part of it that its next run must
    /// repeat if it is stopped now, in core-milliseconds.
    fn lost_work(&self, run: RunKey, state: &Workload, now: Millis) -> (u64, u64) {
        let (Some(job), Some((step, tasks))) =
            (state.job(run.task.step.job), state.step(run.task.step))
        else {
            return (0, 0);
        };
        let task = tasks.tasks.get(run.task.index as usize);
        let place = task.and_then(|task| task.placement.as_ref());
        let worker = place.and_then(|place| self.workers.get(&place.worker));
        let Some(running) = worker.and_then(|worker| worker.running.get(&run)) else {
            return (0, 0);
        };
        let expected_ms = self.run_times.estimate(job, step);
        let unsaved_ms = running.unsaved_ms(step, expected_ms, now);
        let (lost_ms, repeated_ms) = match (step.checkpoints, step.gang) {
            (false, _) => (unsaved_ms, unsaved_ms),
            (true, true) => (unsaved_ms, Millis::ZERO),
            // A single task that checkpoints saves its progress when it is stopped.
            (true, false) => (Millis::ZERO, Millis::ZERO),
        };
        let weight = step.demand.weight();
        let work = |ms: Millis| weight / 100 + weight.saturating_mul(ms.get()) / 1_000;
        (work(lost_ms), work(repeated_ms))
    }
}

/// Finds the plan that loses the least work. A gang that prefers one rack gets a plan within a
/// rack; it is spread only when the step accepts any rack and that loses less even with
/// `spread_cost` added for the longer run. Resources are reclaimed only where the step would be
/// placed.
fn cheapest_plan(
    request: &PlacementRequest<'_>,
    candidates: &Candidates,
    victims: &Victims,
    spread_cost: u64,
) -> Option<ReclaimPlan> {
    let all: Vec<usize> = (0..candidates.all.len())
        .filter(|at| request.is_open(&candidates.all[*at], candidates))
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
    let spread = if takes_any {
        plan_among(&all, request, candidates, victims)
    } else {
        None
    };
    match (in_rack, spread) {
        (Some(rack), Some(spread)) if rack.lost <= spread.lost.saturating_add(spread_cost) => {
            Some(rack)
        }
        (in_rack, spread) => spread.or(in_rack),
    }
}

/// Adds placements one by one, each where it loses the least additional work. A gang needs all of
/// its placements.
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
            let remaining_accelerators = free.saturating_sub(needed).accelerators;
            Some((lost, remaining_accelerators, *at, more))
        });
        let best = options.min_by_key(|(lost, remaining_accelerators, at, _more)| {
            (*lost, *remaining_accelerators, *at)
        });
        let Some((lost, _remaining, at, more)) = best else {
            break;
        };
        plan.lost = plan.lost.saturating_add(lost);
        plan.victims.extend(more);
        plan.candidates.push(at);
        *taken.entry(at).or_default() += 1;
    }
    let is_complete = plan.candidates.len() == request.tasks as usize;
    let is_enough = is_complete || (!request.step.gang && !plan.candidates.is_empty());
    is_enough.then_some(plan)
}

/// Returns the cheapest further victims that free `needed` on a candidate, the work that they lose,
/// and the resources that are free afterwards.
fn additional_victims(
    at: usize,
    needed: Resources,
    candidates: &Candidates,
    victims: &Victims,
    chosen: &BTreeSet<usize>,
) -> Option<(Vec<usize>, u64, Resources)> {
    let mut free = candidates.all[at]
        .free
        .saturating_add(candidates.all[at].releasing);
    let mut holding: Vec<(usize, Resources)> = Vec::new();
    for (victim, resources) in &victims.by_candidate[at] {
        if chosen.contains(victim) {
            free = free.saturating_add(*resources);
        } else {
            holding.push((*victim, *resources));
        }
    }
    holding.sort_by_key(|(victim, _resources)| victims.all[*victim].lost);
    let mut more = Vec::new();
    let mut lost = 0;
    for (victim, resources) in holding {
        if needed.fits_in(free) {
            break;
        }
        free = free.saturating_add(resources);
        if !more.contains(&victim) {
            lost = victims.all[victim].lost.saturating_add(lost);
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
