//! Detects gangs with a missing member: a worker went silent between placement and start order, or
//! it is silent after the other members have ended.

use std::collections::{BTreeMap, BTreeSet};

use tracing::{info, warn};

use super::Planner;
use super::reliability::WorkerFault;
use super::reports::{LEASE_SLACK_MS, LossCause};
use super::worker::{RunProgress, Worker, on_slow_clock, stop_end};
use crate::units::{Millis, WallMs, WorkerId};
use crate::workload::{Placement, RunEnd, RunKey, StepKey, TaskKey, Transition, Workload};

/// The planner stops an incomplete gang after this percentage of the time that its workers would
/// wait for missing members.
const MEMBER_WAIT_PERCENT: u64 = 35;
/// The same at most, in a fleet so large that two reports of a worker are further apart.
const MEMBER_WAIT_MAX_PERCENT: u64 = 75;
/// The number of report intervals without a report after which a worker counts as silent: two
/// missed reports and a slow answer.
const SILENT_INTERVALS: u64 = 4;

/// Whether any member of a gang's run still has a placement.
fn has_placed_member((step, run): (StepKey, u32), state: &Workload) -> bool {
    state.step(step).is_some_and(|(_step, tasks)| {
        let mut members = tasks.tasks.iter();
        members.any(|task| task.run == run && task.placement.is_some())
    })
}

/// Whether a run is the latest of a gang that has not succeeded. A late failure may still be
/// reported when none of its members has a placement any more.
fn is_latest_of_open_gang((step, run): (StepKey, u32), state: &Workload) -> bool {
    state.step(step).is_some_and(|(_step, tasks)| {
        let mut members = tasks.tasks.iter();
        members.any(|task| task.run == run && !task.done)
    })
}

/// Tracks which gang runs have worked, and which have begun to end.
#[derive(Debug, Default)]
pub(super) struct GangPresence {
    /// Gangs of which a member made progress. Members work only together, so all of them ran.
    working: BTreeSet<(StepKey, u32)>,
    /// By when the first member is known to have ended without success, or never to start.
    ended_ms: BTreeMap<(StepKey, u32), Millis>,
    /// Gangs that an earlier leader may have been starting, with the time at which the first member
    /// was reported to this leader.
    inherited: BTreeMap<(StepKey, u32), Millis>,
}

impl GangPresence {
    /// Records that a worker lists a member that an earlier leader placed.
    pub(super) fn inherited_member_running(&mut self, run: RunKey, now: Millis) {
        let gang = (run.task.step, run.run);
        self.inherited.entry(gang).or_insert(now);
    }

    /// Records that the percentage of a member has risen since it was first seen.
    ///
    /// That all members were reported as running proves nothing: the first may have ended on its
    /// silent worker before the last one started.
    pub(super) fn member_progressed(&mut self, run: RunKey) {
        self.working.insert((run.task.step, run.run));
    }

    /// Whether all members of a gang's run were certainly running at the same time.
    pub(super) fn has_worked(&self, gang: &(StepKey, u32)) -> bool {
        self.working.contains(gang)
    }

    /// Records that a member of a gang has ended, or will never start, by `by_ms`. A gang that was
    /// not complete by then never becomes complete in this run.
    ///
    /// The success of one member is that of the whole gang. It is not yet committed, so it must not
    /// count against members that are silent meanwhile.
    pub(super) fn member_ended(&mut self, run: RunKey, end: RunEnd, by_ms: Millis) {
        let gang = (run.task.step, run.run);
        if end != RunEnd::Done {
            self.ended_ms.entry(gang).or_insert(by_ms);
        }
    }

    fn forget_ended(&mut self, state: &Workload) {
        self.working.retain(|gang| has_placed_member(*gang, state));
        self.ended_ms
            .retain(|gang, _by_ms| has_placed_member(*gang, state));
    }
}

impl Planner {
    /// Ends the members on silent workers of gangs of which another member has ended without
    /// success, as soon as these members have certainly ended. The lease need not expire first.
    ///
    /// A member that worked with the others ends when one of them does. If the gang was never
    /// complete, it never will be, and the member ends once it has waited for the others.
    pub(super) fn end_unreachable_members(
        &mut self,
        state: &Workload,
        now: Millis,
    ) -> Vec<Transition> {
        self.presence.forget_ended(state);
        self.checkpoints
            .retain(|gang| is_latest_of_open_gang(gang, state));
        let mut over: Vec<(Placement, RunKey, RunEnd)> = Vec::new();
        for ((step, run), ended_ms) in &self.presence.ended_ms {
            let Some((_step, tasks)) = state.step(*step) else {
                continue;
            };
            let has_worked = self.presence.has_worked(&(*step, *run));
            for (task, index) in tasks.tasks.iter().zip(0_u32..) {
                let place = task.placement.as_ref();
                let Some(place) = place.filter(|_place| task.run == *run && !task.done) else {
                    continue;
                };
                let worker = &place.worker;
                let key = RunKey {
                    task: TaskKey { step: *step, index },
                    run: *run,
                };
                if !self.is_silent(worker, now) {
                    continue;
                }
                let broken_ms = stop_end(*ended_ms, self.options.stop_ms);
                let (until_ms, end) = if has_worked {
                    (Some(broken_ms), RunEnd::Broken)
                } else {
                    let wait_end_ms = self.wait_end(worker, key);
                    (wait_end_ms.map(|ms| ms.max(broken_ms)), RunEnd::Alone)
                };
                if until_ms.is_some_and(|until_ms| now > until_ms) {
                    over.push((place.clone(), key, end));
                }
            }
        }
        let over = over.into_iter();
        over.flat_map(|(place, run, end)| {
            info!(event = "member_presumed_ended", run = %run, worker = %place.worker, why = %end);
            self.record_worker_fault(&place.worker, WorkerFault::BrokeGang, now);
            let why = LossCause::Member;
            let ended = self.end_lost_run(&place.worker, run, end, why, state);
            let place = self.holder_of(run, place);
            let may_count = !self.is_out_of_reach(&place, now);
            let unheard = may_count.then_some(Transition::Unheard { run, place });
            std::iter::once(ended).chain(unheard)
        })
        .collect()
    }

    /// When a member of a gang that is never complete has ended at the latest; `None` if its start
    /// was never ordered.
    fn wait_end(&self, worker: &WorkerId, run: RunKey) -> Option<Millis> {
        let start_ms = match self.workers.get(worker) {
            Some(worker) => worker.latest_start(run, self.elected_ms)?,
            None => Worker::latest_inherited_start(self.elected_ms),
        };
        Some(self.end_of_wait(start_ms))
    }

    /// When a member that started at `start_ms` has ended at the latest if its gang is never
    /// complete.
    fn end_of_wait(&self, start_ms: Millis) -> Millis {
        start_ms
            .saturating_add(on_slow_clock(self.options.gang_wait_ms))
            .saturating_add(self.options.stop_ms)
            .saturating_add(LEASE_SLACK_MS)
    }

    /// Whether a worker has missed several reports.
    fn is_silent(&self, worker: &WorkerId, now: Millis) -> bool {
        let silence = Millis(self.report_interval_ms().get() * SILENT_INTERVALS);
        let worker = self.workers.get(worker);
        worker.is_none_or(|worker| now.since(worker.last_report_ms) > silence)
    }

    /// Stops gangs that have waited too long for a missing member, before the workers' own timeout.
    pub(super) fn stop_incomplete_gangs(&mut self, state: &Workload, now: Millis) {
        let wait_limit = self.incomplete_limit();
        let starting_gangs = std::mem::take(&mut self.starting_gangs);
        for ((step, run), since_ms) in starting_gangs {
            if self.presence.has_worked(&(step, run)) {
                continue;
            }
            let missing = self.missing_members(step, run, state);
            match missing {
                Some(0) | None => {}
                Some(missing) if now.since(since_ms) >= wait_limit => {
                    warn!(event = "gang_incomplete", step = %step, run, missing,
                        waited_ms = now.since(since_ms).get());
                    self.record_silent_members(step, state, now);
                    self.stop_gang(step, run, state);
                }
                Some(_) => {
                    self.starting_gangs.insert((step, run), since_ms);
                }
            }
        }
    }

    /// How long a gang may lack a member.
    fn incomplete_limit(&self) -> Millis {
        let gang_wait_ms = self.options.gang_wait_ms.get();
        let two_reports_ms = self.report_interval_ms().get() * 2;
        let wait_limit = (gang_wait_ms * MEMBER_WAIT_PERCENT / 100).max(two_reports_ms);
        Millis(wait_limit.min(gang_wait_ms * MEMBER_WAIT_MAX_PERCENT / 100))
    }

    /// Stops gangs that an earlier leader was starting and that lack a member. A gang that may be
    /// working is left alone, whatever its silent workers do.
    pub(super) fn stop_inherited_gangs(&mut self, state: &Workload, now: Millis, wall: WallMs) {
        let wait_limit = self.incomplete_limit();
        // Members that run for longer than they would wait have found each other.
        let is_waiting = now <= self.end_of_wait(Worker::latest_inherited_start(self.elected_ms));
        let inherited = std::mem::take(&mut self.presence.inherited);
        for ((step, run), since_ms) in inherited {
            let missing = self.missing_members(step, run, state).unwrap_or(0);
            let may_work = self.presence.has_worked(&(step, run))
                || self.has_shown_work(step, run, state)
                || !is_waiting;
            if missing == 0 || may_work {
                continue;
            }
            let waited_ms = now.since(since_ms);
            if waited_ms >= wait_limit && self.is_without_progress((step, run), state, now, wall) {
                warn!(event = "gang_incomplete", step = %step, run, missing,
                    waited_ms = waited_ms.get());
                self.record_silent_members(step, state, now);
                self.stop_gang(step, run, state);
            } else {
                self.presence.inherited.insert((step, run), since_ms);
            }
        }
    }

    /// Whether a member shows a percentage although the gang had no checkpoint to resume from.
    fn has_shown_work(&self, step: StepKey, run: u32, state: &Workload) -> bool {
        let Some((_step, tasks)) = state.step(step) else {
            return false;
        };
        let mut reported = self.reported_members(step, run, state);
        tasks.gang_checkpoint.is_empty() && reported.any(|(_run, seen)| seen.percent > 0)
    }

    /// Whether no reported member has made progress for as long as a working one may show none.
    fn is_without_progress(
        &self,
        (step, run): (StepKey, u32),
        state: &Workload,
        now: Millis,
        wall: WallMs,
    ) -> bool {
        let wait_limit = self.incomplete_limit();
        let mut reported = self.reported_members(step, run, state);
        reported.all(|(run, seen)| {
            let timeout_ms = self.stall_timeout(run, seen, state, now, wall);
            now.since(seen.last_progress_ms) >= wait_limit.max(timeout_ms)
        })
    }

    /// The members of a gang's run that their workers list as running.
    fn reported_members<'a>(
        &'a self,
        step: StepKey,
        run: u32,
        state: &'a Workload,
    ) -> impl Iterator<Item = (RunKey, &'a RunProgress)> {
        let tasks = state.step(step).map(|(_step, tasks)| tasks.tasks.iter());
        let members = tasks.into_iter().flatten().zip(0_u32..);
        members.filter_map(move |(_task, index)| {
            let task = TaskKey { step, index };
            let key = RunKey { task, run };
            Some((key, self.progress(key, state)?))
        })
    }

    /// Counts the members that are not known to run; `None` when the run is no longer current.
    fn missing_members(&self, step: StepKey, run: u32, state: &Workload) -> Option<usize> {
        let (_step, tasks) = state.step(step)?;
        let all_placed = tasks.placed as usize == tasks.tasks.len();
        let members = tasks.tasks.iter().zip(0_u32..);
        let missing = members.filter(|(task, index)| {
            let key = RunKey {
                task: TaskKey {
                    step,
                    index: *index,
                },
                run,
            };
            let worker = task.placement.as_ref().map(|place| &place.worker);
            let worker = worker.and_then(|worker| self.workers.get(worker));
            !worker.is_some_and(|worker| worker.running.contains_key(&key))
        });
        let is_current = tasks.tasks.first().is_some_and(|task| task.run == run);
        (all_placed && is_current).then(|| missing.count())
    }

    /// Stops all members of a gang's run.
    pub(super) fn stop_gang(&mut self, step: StepKey, run: u32, state: &Workload) {
        let Some((_step, tasks)) = state.step(step) else {
            return;
        };
        let indices = 0..u32::try_from(tasks.tasks.len()).unwrap_or_default();
        self.stopping.extend(indices.map(|index| RunKey {
            task: TaskKey { step, index },
            run,
        }));
    }

    /// Records the silent workers of a gang that was incomplete for too long.
    fn record_silent_members(&mut self, step: StepKey, state: &Workload, now: Millis) {
        let Some((_step, tasks)) = state.step(step) else {
            return;
        };
        for place in tasks
            .tasks
            .iter()
            .filter_map(|task| task.placement.as_ref())
        {
            if self.is_silent(&place.worker, now) {
                self.record_worker_fault(&place.worker, WorkerFault::BrokeGang, now);
            }
        }
    }
}
