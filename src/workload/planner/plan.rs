//! One look at all that waits: who starts, and for whom others leave.

use std::collections::BTreeMap;

use tracing::info;

use super::Planner;
use super::candidates::{Ask, Slots};
use super::guarantee::Guarantees;
use super::pending::{Outlook, Waiting, waiting};
use crate::units::{Millis, WallMs};
use crate::workload::{Job, Placement, Step, StepKey, StepState, Transition, Workload};

/// How long a task waits for room beside its data before it runs elsewhere, in percent of the time
/// that it would lose there.
const DATA_PATIENCE_PERCENT: u64 = 50;
/// The same for a gang that wants one rack: spread over several, it keeps all its workers for longer.
const GANG_PATIENCE_PERCENT: u64 = 300;
/// Most gangs that are not urgent for which room is made in one look.
const YIELDS_MAX: usize = 4;
/// Most tasks that get a place in one look, so that no look takes long.
const PLACED_MAX: usize = 2_000;

impl Planner {
    /// Occurrences that are due.
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

    /// Gives out free room; the places count once they are committed.
    pub fn plan(&mut self, state: &Workload, now: Millis, wall: WallMs) -> Vec<Transition> {
        self.dirty = false;
        self.guarantees = Guarantees::of(state);
        self.expire_reservations(state, now);
        self.stopping.retain(|run| {
            let task = state.task(run.task);
            task.is_some_and(|task| task.run == run.run && task.placement.is_some())
        });
        self.stop_incomplete_gangs(state, now);
        self.stop_stalled(state, now);
        self.stop_before_leave(now);
        let mut slots = self.slots(state, now);
        let mut kept = self.keep_reserved(state, &mut slots);
        let mut transitions = Vec::new();
        let mut placed = 0;
        let mut yields = 0;
        for step in waiting(state, &self.run_times, wall) {
            slots.give_back(&kept.remove(&step.key).unwrap_or_default());
            let found = self.place_step(&step, state, &mut slots, (now, wall), &mut transitions);
            placed += found;
            if placed >= PLACED_MAX {
                self.dirty = true;
                break;
            }
            let Some((spec, tasks)) = state.step(step.key) else {
                continue;
            };
            let is_blocked = found < tasks.pending_tasks() as usize;
            let is_gang = spec.gang && step.outlook != Outlook::Hopeless && yields < YIELDS_MAX;
            if is_blocked && (step.priority == 0 || is_gang) {
                yields += usize::from(step.priority > 0);
                self.reclaim(&step, state, &mut slots, now, wall);
            }
        }
        transitions
    }

    /// Places what fits of a step; gives the number of tasks placed.
    fn place_step(
        &mut self,
        waiting: &Waiting,
        state: &Workload,
        slots: &mut Slots,
        (now, wall): (Millis, WallMs),
        transitions: &mut Vec<Transition>,
    ) -> usize {
        let key = waiting.key;
        let (Some(job), Some((step, tasks))) = (state.job(key.job), state.step(key)) else {
            return 0;
        };
        let count = if step.gang { step.tasks } else { 1 };
        let mut ask = self.ask(key, (job, step, tasks), count, wall);
        let placed = if step.gang {
            let run = tasks.next_run_number(step, 0);
            let placed = place_gang(key, run, &ask, slots, transitions);
            if placed > 0 {
                self.gathering.insert((key, run), now);
            }
            placed
        } else {
            place_tasks(key, tasks, &mut ask, slots, transitions)
        };
        if placed > 0 {
            info!(event = "tasks_placed", job = %job.id, occurrence = key.occurrence, step = key.step,
                tasks = placed, gang = step.gang, waited_ms = wall.since(job.due_ms(key.occurrence)).get(),
                priority = waiting.priority);
        }
        placed
    }

    /// What `count` tasks of a step ask for now.
    pub(super) fn ask<'a>(
        &self,
        key: StepKey,
        (job, step, tasks): (&'a Job, &'a Step, &StepState),
        count: u32,
        wall: WallMs,
    ) -> Ask<'a> {
        let mut ask = Ask {
            step,
            service: &job.policy.service,
            tasks: count,
            held: BTreeMap::new(),
            avoided: self.avoided.of(key),
            anywhere: self.takes_any_rack(job, step, key, wall),
        };
        ask.count_held(tasks);
        ask
    }

    /// Whether a step has waited for room beside its data, or in one rack, for so long that it runs
    /// elsewhere.
    fn takes_any_rack(&self, job: &Job, step: &Step, key: StepKey, wall: WallMs) -> bool {
        let run = self.run_times.of(job, step).get();
        let lost = run.saturating_mul(self.options.far_factor.saturating_sub(1));
        let patience = if step.gang && step.same_rack {
            lost.saturating_mul(GANG_PATIENCE_PERCENT) / 100
        } else if step.data_rack.is_some() {
            lost.saturating_mul(DATA_PATIENCE_PERCENT) / 100
        } else {
            return true;
        };
        let waited = wall.since(job.due_ms(key.occurrence)).get();
        let claims = self.guarantees.covers(job) && waited >= self.claim_ms();
        claims || waited >= patience
    }
}

fn place_gang(
    key: StepKey,
    run: u32,
    ask: &Ask<'_>,
    slots: &mut Slots,
    transitions: &mut Vec<Transition>,
) -> usize {
    let Some(places) = slots.for_gang(ask) else {
        return 0;
    };
    for at in &places {
        slots.take(*at, ask.step.allocation());
    }
    let members = places.len();
    let places = places.into_iter().zip(0_u32..);
    transitions.push(Transition::Placed {
        step: key,
        run,
        places: places
            .map(|(at, index)| (index, place(slots, at)))
            .collect(),
    });
    members
}

fn place_tasks(
    key: StepKey,
    tasks: &StepState,
    ask: &mut Ask<'_>,
    slots: &mut Slots,
    transitions: &mut Vec<Transition>,
) -> usize {
    let mut by_run: BTreeMap<u32, Vec<(u32, Placement)>> = BTreeMap::new();
    let idle = tasks
        .tasks
        .iter()
        .zip(0_u32..)
        .filter(|(task, _index)| task.is_pending());
    let mut placed = 0;
    for (_task, index) in idle {
        let Some(at) = slots.for_task(ask) else {
            break;
        };
        slots.take(at, ask.step.allocation());
        let place = place(slots, at);
        if ask.step.per_worker_max.is_some() {
            *ask.held.entry(place.worker.clone()).or_default() += 1;
        }
        let run = tasks.next_run_number(ask.step, index);
        by_run.entry(run).or_default().push((index, place));
        placed += 1;
    }
    transitions.extend(by_run.into_iter().map(|(run, places)| Transition::Placed {
        step: key,
        run,
        places,
    }));
    placed
}

fn place(slots: &Slots, at: usize) -> Placement {
    let slot = &slots.all[at];
    Placement {
        worker: slot.worker.clone(),
        incarnation: slot.incarnation,
    }
}
