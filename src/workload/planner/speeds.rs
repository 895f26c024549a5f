//! Learns how fast each worker runs tasks, and whether the workers of a service differ so much that
//! placement should consider it.
//!
//! Load pattern: a quarter of the workers take twice as long as the others. A gang is as slow as its
//! slowest member, so a few slow workers make most urgent gangs late, while short tasks that could
//! be on time anywhere occupy the fast ones.
//!
//! A single task is compared with the others of its step, and where there are few, with earlier
//! tasks of its queue and image. These references are corrected for the speeds of the workers that
//! ran them; otherwise slow workers would look normal as soon as they run all tasks of a queue.
//! Gangs give no samples, as each runs at the speed of its slowest member.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use tracing::info;

use super::Planner;
use super::log_scale::Log2;
use super::speed_references::{SAMPLE_MAX, STEP_TASKS_MAX, StepSample};
use super::worker::RunProgress;
use crate::units::{Millis, ServiceName, WorkerId};
use crate::workload::{RunKey, Step, StepKey, StepState, Workload};

/// A run gives a sample once it has gained this many percent. By then, reports every 200 ms measure
/// a run of 2 s to within a quarter.
const SAMPLE_PERCENT: u32 = 40;
/// The shortest time that is measured; below it the interval between reports dominates.
const SAMPLE_MIN_MS: Millis = Millis(400);
/// A run that was first seen further along than this may have been started long before.
const FIRST_PERCENT_MAX: u32 = 30;
/// The weight of a sample that is compared with other tasks of its step.
const STEP_SAMPLE_WEIGHT: i64 = 64;
/// Steps with fewer tasks are compared with their queue. The jobs of a queue differ more in run time
/// than the tasks of one step.
const STEP_TASKS_MIN: u32 = 4;
/// The weight of the assumption that a worker has normal speed.
const PRIOR_WEIGHT: i64 = 64;
/// The maximum weight of earlier samples, so that a change of speed shows after some sixteen runs.
const WEIGHT_MAX: i64 = 1_024;
/// A worker's speed is known from this weight on: two samples of steps.
const KNOWN_WEIGHT: i64 = 128;
/// The weight of a worker's samples halves each time that none came for this long.
const SAMPLE_HALF_LIFE_MS: Millis = Millis(60_000);
/// The fewest workers of known speed of which a tenth says something.
const KNOWN_WORKERS_MIN: usize = 10;
/// How often the spread of speeds is computed.
const SPREAD_INTERVAL_MS: Millis = Millis(1_000);
/// How often the spread of speeds is logged.
const LOG_INTERVAL_MS: Millis = Millis(10_000);

/// The speed of a worker relative to the workers that ran comparable tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerSpeed {
    /// The mean of the samples; larger than that of other workers if this one is faster.
    mean: Log2,
    weight: i64,
    sampled_ms: Millis,
    class: SpeedClass,
}

/// Whether a worker is one of the fast or of the slow ones of its service. On services whose
/// workers have similar speeds, all are fast.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SpeedClass {
    #[default]
    Fast,
    Slow,
}

/// The speeds of a service's workers.
#[derive(Clone, Copy, Debug)]
struct Spread {
    workers: usize,
    /// The speed that all but the slowest tenth reach.
    slow: Log2,
    /// The speed that the fastest tenth exceeds.
    fast: Log2,
}

impl WorkerSpeed {
    /// The weight of the samples, which ages.
    fn weight_at(&self, now: Millis) -> i64 {
        let halvings = now.since(self.sampled_ms).get() / SAMPLE_HALF_LIFE_MS.get();
        self.weight >> halvings.min(62)
    }

    /// Adds a sample, which is relative to normal speed.
    fn add(&mut self, (sample, normal): (Log2, Log2), weight: i64, now: Millis) {
        let earlier = self.weight_at(now);
        let deviation = sample.clamp_to(SAMPLE_MAX).0 + normal.0 - self.mean.0;
        self.mean.0 += deviation * weight / (earlier + weight);
        self.weight = (earlier + weight).min(WEIGHT_MAX);
        self.sampled_ms = now;
    }

    /// The estimated speed, closer to normal the fewer samples there are.
    fn estimate(&self, normal: Log2, now: Millis) -> Log2 {
        let weight = self.weight_at(now);
        let deviation = self.mean - normal;
        Log2(deviation.0 * weight / (weight + PRIOR_WEIGHT))
    }

    pub(super) const fn class(&self) -> SpeedClass {
        self.class
    }

    /// The speed and its standard error, if one sample is this far from others on average.
    fn measured(&self, normal: Log2, noise: Log2, now: Millis) -> (Log2, Log2) {
        let samples_sqrt = (self.weight_at(now) / STEP_SAMPLE_WEIGHT).max(1).isqrt();
        (self.mean - normal, Log2(noise.0 / samples_sqrt))
    }

    fn is_known(&self, now: Millis) -> bool {
        self.weight_at(now) >= KNOWN_WEIGHT
    }
}

/// The time that a run takes as a whole, by the percent that it has gained.
fn whole_run_ms(seen: &RunProgress) -> Option<Millis> {
    let gained = u64::from(gained_percent(seen));
    let watched_ms = seen.last_progress_ms.since(seen.first_seen_ms);
    let is_measured = gained > 0 && gained <= 100 && watched_ms >= SAMPLE_MIN_MS;
    is_measured.then(|| Millis(watched_ms.get().saturating_mul(100) / gained))
}

const fn gained_percent(seen: &RunProgress) -> u32 {
    seen.percent.saturating_sub(seen.first_percent)
}

/// Whether the time of a run shows the speed of its worker: it is a single task, ran near its data and
/// from the beginning.
fn shows_speed(step: &Step, tasks: &StepState, run: RunKey, rack: Option<&SmolStr>) -> bool {
    // A gang runs at the speed of its slowest member.
    let is_single = !step.gang && !step.long_running;
    let is_near = step.data_rack.is_none() || step.data_rack.as_ref() == rack;
    let is_whole = tasks.checkpoint_for(step, run.task.index).is_empty();
    is_single && is_near && is_whole && !step.best_effort_cpu
}

impl Planner {
    /// Learns from the runs that a worker's last report lists. `earlier` are those of the report
    /// before it.
    pub(super) fn observe_speed(
        &mut self,
        id: &WorkerId,
        earlier: &BTreeMap<RunKey, RunProgress>,
        state: &Workload,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get(id).filter(|_| self.considers_speeds()) else {
            return;
        };
        let has_passed = |seen: &RunProgress| gained_percent(seen) >= SAMPLE_PERCENT;
        let passed: Vec<(RunKey, Millis)> = worker
            .running
            .iter()
            .filter(|(run, seen)| {
                let before = earlier.get(*run);
                has_passed(seen) && before.is_some_and(|before| !has_passed(before))
            })
            .filter(|(_run, seen)| seen.first_percent <= FIRST_PERCENT_MAX)
            .filter_map(|(run, seen)| Some((*run, whole_run_ms(seen)?)))
            .collect();
        for (run, took) in passed {
            self.add_speed_sample(id, run, took, state, now);
        }
    }

    /// Learns from a run that succeeded before a report showed enough progress.
    pub(super) fn observe_speed_at_end(
        &mut self,
        id: &WorkerId,
        (run, seen): (RunKey, &RunProgress),
        state: &Workload,
        now: Millis,
    ) {
        let took = now.since(seen.first_seen_ms);
        let is_sampled = gained_percent(seen) >= SAMPLE_PERCENT;
        if self.considers_speeds()
            && !is_sampled
            && !seen.is_inherited
            && seen.first_percent <= FIRST_PERCENT_MAX
            && took >= SAMPLE_MIN_MS
        {
            self.add_speed_sample(id, run, took, state, now);
        }
    }

    const fn considers_speeds(&self) -> bool {
        self.options.uneven_speed_percent > 0
    }

    fn add_speed_sample(
        &mut self,
        id: &WorkerId,
        run: RunKey,
        took: Millis,
        state: &Workload,
        now: Millis,
    ) {
        let key = run.task.step;
        let (Some(worker), Some(job), Some((step, tasks))) =
            (self.workers.get(id), state.job(key.job), state.step(key))
        else {
            return;
        };
        if !shows_speed(step, tasks, run, worker.rack.as_ref()) {
            return;
        }
        let took = Log2::of(took.get());
        if step.tasks >= STEP_TASKS_MIN {
            let sample = StepSample {
                index: run.task.index,
                worker: id.clone(),
                incarnation: worker.incarnation,
                took,
            };
            if run.task.index < STEP_TASKS_MAX {
                self.add_step_sample(key, step, sample, now);
            }
            return;
        }
        let normal = self.speeds.normal(&worker.service);
        let kind = (job.queue.clone(), step.image.clone());
        let work = took + worker.speed.mean - normal;
        let sample = self.speeds.compare_with_kind(kind, took, work, now);
        let sample = sample.filter(|(_speed, weight)| *weight > 0);
        if let (Some((speed, weight)), Some(worker)) = (sample, self.workers.get_mut(id)) {
            worker.speed.add((speed, normal), weight, now);
        }
    }

    /// Adds the run time of one of a step's single tasks. All of them are compared with their mean
    /// once nearly all are known.
    fn add_step_sample(&mut self, key: StepKey, step: &Step, sample: StepSample, now: Millis) {
        let samples = self.speeds.step(key);
        samples.add(sample);
        if samples.mean.is_none() && !samples.is_complete(step) {
            return;
        }
        let known_mean = samples.mean;
        let waiting = std::mem::take(&mut samples.waiting);
        let present: Vec<(StepSample, WorkerSpeed, Log2)> = waiting
            .into_iter()
            .filter_map(|sample| {
                let worker = self.workers.get(&sample.worker)?;
                let normal = self.speeds.normal(&worker.service);
                let is_same = worker.incarnation == sample.incarnation;
                is_same.then_some((sample, worker.speed, normal))
            })
            .collect();
        let count = i64::try_from(present.len()).unwrap_or(1).max(1);
        let works = present
            .iter()
            .map(|(sample, speed, normal)| sample.took + speed.mean - *normal);
        let mean =
            known_mean.unwrap_or_else(|| Log2(works.map(|work| work.0).sum::<i64>() / count));
        self.speeds.step(key).mean = Some(mean);
        for (sample, _speed, normal) in present {
            if let Some(worker) = self.workers.get_mut(&sample.worker) {
                let speed = (mean - sample.took, normal);
                if worker.speed.is_known(now) {
                    let distance = mean - sample.took + normal - worker.speed.mean;
                    self.speeds.add_noise(distance.clamp_to(SAMPLE_MAX));
                }
                worker.speed.add(speed, STEP_SAMPLE_WEIGHT, now);
            }
        }
    }

    /// Classifies the workers of services with uneven speeds. The classes of other services stay
    /// [`SpeedClass::Fast`].
    pub(super) fn classify_speeds(&mut self, now: Millis) {
        let is_due = |last: Option<Millis>, interval| {
            last.is_none_or(|last| now >= last.saturating_add(interval))
        };
        if !self.considers_speeds() || !is_due(self.speeds.spread_ms, SPREAD_INTERVAL_MS) {
            return;
        }
        self.speeds.spread_ms = Some(now);
        let logs = is_due(self.speeds.logged_ms, LOG_INTERVAL_MS);
        let known = self.workers.values();
        let known = known.filter(|worker| worker.speed.is_known(now));
        let mut by_service: BTreeMap<&ServiceName, Vec<&WorkerSpeed>> = BTreeMap::new();
        for worker in known {
            let speeds = by_service.entry(&worker.service).or_default();
            speeds.push(&worker.speed);
        }
        let mut limits: BTreeMap<ServiceName, Log2> = BTreeMap::new();
        for (service, known) in by_service {
            let normal = median(known.iter().map(|speed| speed.mean).collect());
            self.speeds.normal.insert(service.clone(), normal);
            let noise = self.speeds.noise();
            let speeds = known.iter();
            let speeds = speeds.map(|speed| speed.measured(normal, noise, now));
            let Some(spread) = Spread::of(speeds.collect()) else {
                continue;
            };
            if logs {
                self.speeds.logged_ms = Some(now);
                spread.log(service);
            }
            if spread.ratio_percent() >= self.options.uneven_speed_percent {
                limits.insert(service.clone(), spread.middle());
            }
        }
        for (id, worker) in &mut self.workers {
            let normal = self.speeds.normal(&worker.service);
            let speed = worker.speed.estimate(normal, now);
            let limit = limits.get(&worker.service);
            let class = if limit.is_some_and(|limit| speed < *limit) {
                SpeedClass::Slow
            } else {
                SpeedClass::Fast
            };
            if class != worker.speed.class {
                worker.speed.class = class;
                info!(event = "worker_speed", worker = %id, class = ?class,
                    speed_percent = speed.scale(100));
            }
        }
    }

    /// The speed of a worker in percent of that of a normal one, as learned from its runs; `None`
    /// while it is not known.
    #[must_use]
    pub fn worker_speed_percent(&self, id: &WorkerId, now: Millis) -> Option<u64> {
        let worker = self.workers.get(id)?;
        let normal = self.speeds.normal(&worker.service);
        let speed = worker.speed.estimate(normal, now);
        worker.speed.is_known(now).then(|| speed.scale(100))
    }
}

fn median(mut values: Vec<Log2>) -> Log2 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

impl Spread {
    /// Takes each speed with its standard error. Errors of measurement must not make an even fleet
    /// look uneven, so a fast worker counts as slower, and a slow one as faster, by that error.
    fn of(speeds: Vec<(Log2, Log2)>) -> Option<Self> {
        let workers = speeds.len();
        if workers < KNOWN_WORKERS_MIN {
            return None;
        }
        let (mut low, mut high): (Vec<Log2>, Vec<Log2>) = speeds
            .into_iter()
            .map(|(speed, error)| (speed - error, speed + error))
            .unzip();
        low.sort_unstable();
        high.sort_unstable();
        let tenth = workers / 10;
        Some(Self {
            workers,
            slow: high[tenth],
            fast: low[workers - 1 - tenth],
        })
    }

    fn ratio_percent(self) -> u64 {
        (self.fast - self.slow).scale(100)
    }

    const fn middle(self) -> Log2 {
        Log2(i64::midpoint(self.slow.0, self.fast.0))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a metric, and a ratio of speeds is small"
    )]
    fn log(self, service: &ServiceName) {
        info!(event = "worker_speeds", service = %service, workers = self.workers,
            slow_percent = self.slow.scale(100), fast_percent = self.fast.scale(100));
        let ratio = self.ratio_percent() as f64 / 100.0;
        metrics::gauge!("worker_speed_ratio", "service" => service.to_string()).set(ratio);
    }
}
