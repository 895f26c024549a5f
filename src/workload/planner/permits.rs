//! Queues whose steps may run only on workers that a policy service names: few workers are asked about, one
//! call at a time, and its answers are kept while they count.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use tracing::{info, warn};

use super::Planner;
use super::place::{Ask, Slots};
use crate::units::{Millis, WorkerId};
use crate::workload::{Life, OutsideAnswer, OutsideCall, PERMIT_WORKERS_MAX, StepKey, Workload};

/// How many workers are asked about for each task that waits: some may not run the step.
const ASKED_PER_TASK: usize = 2;
/// The fewest workers that are asked about in one call.
const ASKED_MIN: usize = 8;
/// What is kept of a permit's time for the commit, the order and the way.
const PLACE_MARGIN_MS: Millis = Millis(700);
/// What is kept of it for the way alone.
const ORDER_MARGIN_MS: Millis = Millis(150);
/// The pause after the service was busy or gave no answer.
const PAUSE_MS: Millis = Millis(500);

/// What the policy service said of one life of a worker.
#[derive(Clone, Debug)]
enum Said {
    /// It may run the step until then.
    Granted { permit: SmolStr, until_ms: Millis },
    /// It may not; that does not change.
    Denied,
}

/// The answers of the policy service, and the call on its way.
#[derive(Debug, Default)]
pub(super) struct Permits {
    of_step: BTreeMap<StepKey, BTreeMap<(WorkerId, Life), Said>>,
    /// Steps for which workers are to be asked about, in the order of the queue.
    wanted: Vec<(StepKey, Vec<(WorkerId, Life)>)>,
    asked: Option<(StepKey, Vec<(WorkerId, Life)>)>,
    paused_until_ms: Millis,
}

impl Permits {
    /// The workers that may run a step for as long as a start takes.
    pub(super) fn granted(&self, step: StepKey, now: Millis) -> BTreeSet<WorkerId> {
        let said = self.of_step.get(&step).into_iter().flatten();
        let granted = said.filter(|(_worker, said)| match said {
            Said::Granted { until_ms, .. } => now.saturating_add(PLACE_MARGIN_MS) < *until_ms,
            Said::Denied => false,
        });
        granted
            .map(|((worker, _life), _said)| worker.clone())
            .collect()
    }

    /// The permit with which a start goes out now.
    pub(super) fn permit(
        &self,
        step: StepKey,
        (worker, life): (&WorkerId, Life),
        now: Millis,
    ) -> Option<SmolStr> {
        match self.of_step.get(&step)?.get(&(worker.clone(), life))? {
            Said::Granted { permit, until_ms } => {
                (now.saturating_add(ORDER_MARGIN_MS) < *until_ms).then(|| permit.clone())
            }
            Said::Denied => None,
        }
    }

    fn is_denied(&self, step: StepKey, worker: &WorkerId, life: Life) -> bool {
        let said = self.of_step.get(&step);
        let said = said.and_then(|said| said.get(&(worker.clone(), life)));
        matches!(said, Some(Said::Denied))
    }

    /// Forgets what was said of steps that are over, and what was wanted in the last look.
    pub(super) fn begin_look(&mut self, state: &Workload) {
        self.of_step
            .retain(|step, _said| state.step(*step).is_some());
        self.wanted.clear();
    }

    /// Notes that a step waits for more workers that may run it: those with room are asked about, the
    /// fullest racks of them first, so that a gang finds its places together.
    pub(super) fn want(&mut self, step: StepKey, ask: &Ask<'_>, tasks: u32, slots: &Slots) {
        let granted = ask.permitted.clone().unwrap_or_default();
        let open = Ask {
            permitted: None,
            avoided: ask.avoided.clone(),
            held: ask.held.clone(),
            ..*ask
        };
        let unknown = slots.all.iter().filter(|slot| {
            open.count_on(slot, slot.free) > 0
                && !granted.contains(&slot.worker)
                && !self.is_denied(step, &slot.worker, slot.life)
        });
        let mut racks: BTreeMap<Option<SmolStr>, Vec<_>> = BTreeMap::new();
        for slot in unknown {
            let candidates = racks.entry(slot.rack.clone()).or_default();
            candidates.push((slot.worker.clone(), slot.life));
        }
        let mut racks: Vec<_> = racks.into_values().collect();
        racks.sort_by_key(|candidates| std::cmp::Reverse(candidates.len()));
        let most = (tasks as usize * ASKED_PER_TASK).clamp(ASKED_MIN, PERMIT_WORKERS_MAX);
        let candidates: Vec<_> = racks.into_iter().flatten().take(most).collect();
        if !candidates.is_empty() {
            self.wanted.push((step, candidates));
        }
    }
}

impl Planner {
    /// The next call to the policy service; one is on its way at a time, as it handles them in turn.
    pub(super) fn permit_call(&mut self, state: &Workload, now: Millis) -> Option<OutsideCall> {
        if self.permits.asked.is_some() || now < self.permits.paused_until_ms {
            return None;
        }
        let wanted = std::mem::take(&mut self.permits.wanted);
        let (key, candidates) = wanted.into_iter().next()?;
        let step = state.step_name_of(key)?;
        let workers = candidates.iter().map(|(worker, _life)| worker.clone());
        let call = OutsideCall::AskPermits {
            step,
            workers: workers.collect(),
        };
        self.permits.asked = Some((key, candidates));
        Some(call)
    }

    /// Takes the policy service's answer to the call on its way.
    pub(super) fn take_permits(&mut self, answer: OutsideAnswer, now: Millis) {
        let Some((step, asked)) = self.permits.asked.take() else {
            return;
        };
        match answer {
            OutsideAnswer::Permits { granted, valid_ms } => {
                info!(event = "permits_answered", step = %step, asked = asked.len(),
                    granted = granted.len(), valid_ms = valid_ms.get());
                let granted: BTreeMap<WorkerId, SmolStr> = granted.into_iter().collect();
                let until_ms = now.saturating_add(valid_ms);
                let said = self.permits.of_step.entry(step).or_default();
                for (worker, life) in asked {
                    let permit = granted.get(&worker).cloned();
                    let answer =
                        permit.map_or(Said::Denied, |permit| Said::Granted { permit, until_ms });
                    said.insert((worker, life), answer);
                }
            }
            other => {
                warn!(event = "policy_service_failed", step = %step, cause = ?other);
                self.permits.paused_until_ms = now.saturating_add(PAUSE_MS);
            }
        }
    }
}
