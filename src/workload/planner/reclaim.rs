//! Who leaves for a team's guarantee: work of priority 0 that finds no room though its team is inside
//! its guarantee.

use std::collections::{BTreeMap, BTreeSet};

use tracing::info;

use super::order::Waiting;
use super::place::{Ask, Slots};
use super::Planner;
use crate::units::{Millis, TeamId};
use crate::workload::{Amount, RunKey, Step, StepKey, Workload};

/// How long a reclaim waits for the room, beyond the time of a stop, before others must leave too.
const RECLAIM_SLACK_MS: Millis = Millis(600);

/// A run that may be made to leave.
#[derive(Clone, Debug)]
struct Victim {
    run: RunKey,
    slot: usize,
    room: Amount,
    /// What is lost, all members of a gang taken together.
    lost: u64,
    /// All members of its gang; itself alone where it is none.
    members: Vec<RunKey>,
}

impl Planner {
    /// Makes others leave where a step inside its team's guarantee finds no room.
    pub(super) fn reclaim(
        &mut self,
        waiting: &Waiting,
        step: &Step,
        state: &Workload,
        slots: &Slots,
        now: Millis,
    ) {
        let Some(job) = state.job(waiting.key.job) else {
            return;
        };
        let inside = job.team.as_ref().is_some_and(|team| is_inside(state, team));
        if self.reclaims.contains_key(&waiting.key) || !inside {
            return;
        }
        let tasks = state.step(waiting.key).map_or(0, |(_, tasks)| tasks.waiting());
        let mut ask = Ask {
            step,
            service: &job.terms.service,
            tasks: if step.gang { step.tasks } else { 1 },
            held: BTreeMap::new(),
            anywhere: true,
        };
        if let Some((_step, tasks)) = state.step(waiting.key) {
            ask.count_held(tasks);
        }
        let victims = self.victims(state, slots, now);
        let mut wide = slots.clone();
        for victim in &victims {
            let slot = &mut wide.all[victim.slot];
            slot.free = slot.free.plus(victim.room);
        }
        let Some(places) = places_for(&ask, &mut wide, if step.gang { 1 } else { tasks }) else {
            return;
        };
        let leaving = self.choose(&places, slots, victims, step.room());
        let until = now
            .saturating_add(self.options.stop_ms)
            .saturating_add(self.report_pause())
            .saturating_add(RECLAIM_SLACK_MS);
        self.reclaims.insert(waiting.key, until);
        info!(event = "reclaim", job = %job.id, step = waiting.key.step, tasks, leaving = leaving.len());
        self.stopping.extend(leaving);
        self.dirty = true;
    }

    /// The runs that may leave for guarantees, those that lose the least first.
    fn victims(&self, state: &Workload, slots: &Slots, now: Millis) -> Vec<Victim> {
        let mut victims = Vec::new();
        for (at, slot) in slots.all.iter().enumerate() {
            for (run, _life) in state.placed_on(&slot.worker) {
                let job = state.job(run.task.step.job);
                let may_leave = job.is_some_and(|job| job.terms.priority > 0 && !job.phase.is_ended());
                if !may_leave || self.stopping.contains(&run) {
                    continue;
                }
                let Some((step, tasks)) = state.step(run.task.step) else {
                    continue;
                };
                let members = if step.gang {
                    members(run, tasks)
                } else {
                    vec![run]
                };
                let lost = members.iter().map(|member| self.lost_by(*member, state, now));
                victims.push(Victim {
                    run,
                    slot: at,
                    room: step.room(),
                    lost: lost.sum(),
                    members,
                });
            }
        }
        victims.sort_by_key(|victim| (victim.lost, victim.run));
        victims
    }

    /// The work that is lost when a run stops now, in thousandths of core-seconds.
    fn lost_by(&self, run: RunKey, state: &Workload, now: Millis) -> u64 {
        let Some((step, tasks)) = state.step(run.task.step) else {
            return 0;
        };
        let place = tasks.tasks.get(run.task.index as usize);
        let worker = place.and_then(|task| task.place.as_ref());
        let worker = worker.and_then(|place| self.workers.get(&place.worker));
        let Some(running) = worker.and_then(|worker| worker.running.get(&run)) else {
            return 0;
        };
        // A stop saves the progress of a task that can.
        let lost_ms = if step.checkpoints {
            Millis::ZERO
        } else {
            now.since(running.first_seen_ms)
        };
        step.demand.weight().saturating_mul(lost_ms.get()) / 1_000 + 1
    }

    /// The cheapest of the victims whose leaving makes room for all places.
    fn choose(
        &self,
        places: &[usize],
        slots: &Slots,
        victims: Vec<Victim>,
        demand: Amount,
    ) -> BTreeSet<RunKey> {
        let mut missing: BTreeMap<usize, (Amount, Amount)> = BTreeMap::new();
        for at in places {
            let free = slots.all[*at].free;
            let (wanted, _free) = missing.entry(*at).or_insert((Amount::ZERO, free));
            *wanted = wanted.plus(demand);
        }
        let mut leaving = BTreeSet::new();
        for victim in victims {
            let Some((wanted, free)) = missing.get_mut(&victim.slot) else {
                continue;
            };
            if wanted.fits_in(*free) {
                continue;
            }
            *free = free.plus(victim.room);
            leaving.extend(victim.members);
        }
        leaving
    }

    const fn report_pause(&self) -> Millis {
        self.options.report_after_ms
    }
}

/// Whether all that a team's open jobs of priority 0 need is inside its guarantee.
fn is_inside(state: &Workload, team: &TeamId) -> bool {
    let declaration = state.declaration();
    let guaranteed = declaration.map_or(0, |declaration| declaration.guaranteed(team));
    let jobs = state.open_jobs().filter(|(_number, job)| {
        job.team.as_ref() == Some(team) && job.terms.priority == 0
    });
    let needed = jobs.flat_map(|(_number, job)| job.spec.steps.iter());
    let needed = needed.map(|step| step.demand.accelerators * u64::from(step.tasks));
    needed.fold(0, u64::saturating_add) <= guaranteed
}

fn members(run: RunKey, tasks: &crate::workload::StepState) -> Vec<RunKey> {
    let step: StepKey = run.task.step;
    let placed = tasks.tasks.iter().zip(0_u32..);
    let placed = placed.filter(|(task, _index)| task.place.is_some() && task.run == run.run);
    let key = |index| RunKey {
        task: crate::workload::TaskKey { step, index },
        run: run.run,
    };
    placed.map(|(_task, index)| key(index)).collect()
}

/// Places for a gang, or for as many single tasks as wait; none where nothing fits.
fn places_for(ask: &Ask<'_>, slots: &mut Slots, units: u32) -> Option<Vec<usize>> {
    if ask.step.gang {
        return slots.for_gang(ask);
    }
    let mut places = Vec::new();
    for _unit in 0..units {
        let Some(at) = slots.for_task(ask) else {
            break;
        };
        slots.take(at, ask.step.room());
        places.push(at);
    }
    (!places.is_empty()).then_some(places)
}
