//! What tasks take on workers of normal speed, with which the runs on each worker are compared.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::log_scale::Log2;
use crate::units::{Millis, ServiceName, WorkerId};
use crate::workload::{QueuePath, Step, StepKey, WorkerIncarnation};

/// The largest deviation that one sample may show: a factor of 4.
pub(super) const SAMPLE_MAX: Log2 = Log2(512);
/// The number of tasks of a step that give samples. They are chosen by index: those that end first
/// would be the shorter ones.
pub(super) const STEP_TASKS_MAX: u32 = 64;
/// The weight of a comparison with a queue whose run times are within `PRECISE_DEVIATION`.
const KIND_SAMPLE_WEIGHT: i64 = 64;
/// A deviation of about 10%, as the interval between reports causes by itself.
const PRECISE_DEVIATION: Log2 = Log2(36);
/// The deviation that is assumed of a queue of which nothing is known: a factor of 2.
const UNKNOWN_DEVIATION: Log2 = Log2(256);
/// The noise that is assumed before there are samples: half of a doubling.
const UNKNOWN_NOISE: Log2 = Log2(128);
/// The number of samples over which the reference of a queue is averaged.
const REFERENCE_SAMPLES: i64 = 64;
/// The maximum number of references, since callers choose the images.
const REFERENCES_MAX: usize = 512;
/// The maximum number of steps with a reference of their own.
const STEP_REFERENCES_MAX: usize = 2_048;

/// What tasks take on workers of normal speed, and which services have uneven workers.
#[derive(Debug, Default)]
pub(super) struct SpeedReferences {
    by_kind: BTreeMap<(QueuePath, Option<SmolStr>), Reference>,
    by_step: BTreeMap<StepKey, StepSamples>,
    /// The median of the mean speeds of each service's workers, which counts as normal speed.
    pub(super) normal: BTreeMap<ServiceName, Log2>,
    /// How far a sample is on average from the others of its worker.
    noise: Option<Log2>,
    pub(super) spread_ms: Option<Millis>,
    pub(super) logged_ms: Option<Millis>,
}

/// The mean run time of comparable tasks, as on a worker of normal speed.
#[derive(Clone, Copy, Debug, Default)]
struct Reference {
    mean: Log2,
    /// The mean distance of run times from the mean.
    deviation: Log2,
    samples: i64,
    sampled_ms: Millis,
}

/// The run times of a step's tasks. They are compared with each other once nearly all are known, as
/// those that are known early are the shorter ones.
#[derive(Debug, Default)]
pub(super) struct StepSamples {
    pub(super) waiting: Vec<StepSample>,
    /// The mean run time as on a worker of normal speed, once they were compared.
    pub(super) mean: Option<Log2>,
}

/// The run time of one task and the worker that ran it.
#[derive(Clone, Debug)]
pub(super) struct StepSample {
    /// The index of the task.
    pub(super) index: u32,
    pub(super) worker: WorkerId,
    pub(super) incarnation: WorkerIncarnation,
    pub(super) took: Log2,
}

impl Reference {
    /// The weight of a comparison with this reference, which follows its precision: the further
    /// apart run times are, the less one of them says of its worker.
    fn sample_weight(&self) -> i64 {
        let deviation = self.deviation.0.max(PRECISE_DEVIATION.0);
        let of_one = KIND_SAMPLE_WEIGHT * PRECISE_DEVIATION.0 * PRECISE_DEVIATION.0;
        of_one / deviation / deviation
    }

    fn add(&mut self, work: Log2, now: Millis) {
        self.sampled_ms = now;
        if self.samples == 0 {
            *self = Self {
                mean: work,
                deviation: UNKNOWN_DEVIATION,
                samples: 1,
                sampled_ms: now,
            };
            return;
        }
        let distance = (work - self.mean).clamp_to(SAMPLE_MAX);
        self.samples = (self.samples + 1).min(REFERENCE_SAMPLES);
        self.mean.0 += distance.0 / self.samples;
        self.deviation.0 += (distance.0.abs() - self.deviation.0) / self.samples;
    }
}

impl SpeedReferences {
    /// Records how far a sample was from the earlier ones of its worker.
    pub(super) fn add_noise(&mut self, distance: Log2) {
        let noise = self.noise();
        let change = (distance.0.abs() - noise.0) / REFERENCE_SAMPLES;
        self.noise = Some(Log2(noise.0 + change));
    }

    pub(super) fn noise(&self) -> Log2 {
        self.noise.unwrap_or(UNKNOWN_NOISE)
    }

    pub(super) fn normal(&self, service: &ServiceName) -> Log2 {
        self.normal.get(service).copied().unwrap_or_default()
    }

    /// Compares a run time with those of the queue, and records it as it would have been on a worker
    /// of normal speed. Returns the sample with its weight, if there is anything to compare with.
    pub(super) fn compare_with_kind(
        &mut self,
        kind: (QueuePath, Option<SmolStr>),
        took: Log2,
        work: Log2,
        now: Millis,
    ) -> Option<(Log2, i64)> {
        let known = self.by_kind.get(&kind);
        let known = known.map(|kind| (kind.mean - took, kind.sample_weight()));
        self.by_kind.entry(kind).or_default().add(work, now);
        if self.by_kind.len() > REFERENCES_MAX {
            let oldest = self.by_kind.iter().min_by_key(|(_, kept)| kept.sampled_ms);
            let oldest = oldest.map(|(kind, _reference)| kind.clone());
            oldest.and_then(|kind| self.by_kind.remove(&kind));
        }
        known
    }

    pub(super) fn step(&mut self, key: StepKey) -> &mut StepSamples {
        if self.by_step.len() >= STEP_REFERENCES_MAX && !self.by_step.contains_key(&key) {
            self.by_step.pop_first();
        }
        self.by_step.entry(key).or_default()
    }
}

impl StepSamples {
    /// Adds a task's run time unless it is known already.
    pub(super) fn add(&mut self, sample: StepSample) {
        let mut waiting = self.waiting.iter();
        if waiting.all(|other| other.index != sample.index) {
            self.waiting.push(sample);
        }
    }

    /// Whether nearly all tasks that give samples have done so.
    pub(super) const fn is_complete(&self, step: &Step) -> bool {
        let tasks = if step.tasks < STEP_TASKS_MAX {
            step.tasks
        } else {
            STEP_TASKS_MAX
        };
        self.waiting.len() * 8 >= tasks as usize * 7
    }
}
