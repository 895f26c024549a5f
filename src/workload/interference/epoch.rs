use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smol_str::SmolStr;

use crate::units::Millis;
use crate::workload::{RunKey, RunReading};

/// The shortest epoch that is compared. A reading covers half a second, so this has at least one
/// reading that lies wholly within it.
const EPOCH_MIN_MS: Millis = Millis(1_000);
/// An epoch of this length is compared at once; a shorter one when it ends, because more readings
/// have less noise.
const EPOCH_LONG_MS: Millis = Millis(10_000);
/// How long after a change of the neighbors readings are skipped: they cover the last half second.
const SETTLE_MS: Millis = Millis(600);
/// An epoch begins anew after this time, so that a comparison is with recent performance.
const EPOCH_MAX_MS: Millis = Millis(30_000);
/// The least progress in an epoch from which a speed is computed, in percent of the work; it is
/// reported in whole percents.
const PROGRESS_MIN_PERCENT: u32 = 4;
/// The unit of relative differences.
const PER_MILLE: i64 = 1_000;

/// What a run's performance is judged by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunRole {
    /// The task serves; its reading is a tail latency.
    Serving,
    /// The task works towards its end; its reading is the processor time in use.
    Working,
    /// The task uses idle processor time only. Its speed follows from what is idle, so it is
    /// observed as a neighbor only.
    BestEffort,
}

/// A run as a report shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedRun {
    /// The run.
    pub run: RunKey,
    /// The image that the task runs; a run without one is not observed.
    pub image: SmolStr,
    /// What the run's performance is judged by.
    pub role: RunRole,
    /// The completed share of the work, in percent.
    pub percent: u32,
    /// The reading, if known.
    pub reading: Option<RunReading>,
    /// Whether the run is paced, or may be.
    pub is_paced: bool,
}

/// The number of runs of each image on a worker, shared by the runs that are there.
pub(super) type ImageCounts = Arc<BTreeMap<SmolStr, u32>>;

/// The images beside a run, in order: its own image only if another run has it too.
fn beside<'a>(counts: &'a ImageCounts, image: &'a SmolStr) -> impl Iterator<Item = &'a SmolStr> {
    let others = counts
        .iter()
        .filter(move |(other, count)| *other != image || **count > 1);
    others.map(|(other, _count)| other)
}

/// A change of one image beside a run, with the change of the run's performance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Contrast {
    pub(super) beside: SmolStr,
    pub(super) arrived: bool,
    /// How much worse the run performed with the image beside it than without, as the symmetric
    /// relative difference in per mille, from -2,000 to 2,000.
    pub(super) worse_per_mille: i64,
}

/// A period in which the images beside a run did not change.
#[derive(Clone, Debug)]
struct Epoch {
    counts: ImageCounts,
    began_ms: Millis,
    /// The time and percent of the first and the last report after the neighbors settled.
    first: Option<(Millis, u32)>,
    last: Option<(Millis, u32)>,
    reading_sum: u64,
    readings: u64,
    was_paced: bool,
}

/// The recent history of one run.
#[derive(Clone, Debug)]
pub(super) struct RunTrace {
    pub(super) run: RunKey,
    pub(super) image: SmolStr,
    role: RunRole,
    earlier: Option<Epoch>,
    current: Epoch,
}

impl Epoch {
    const fn new(counts: ImageCounts, now: Millis) -> Self {
        Self {
            counts,
            began_ms: now,
            first: None,
            last: None,
            reading_sum: 0,
            readings: 0,
            was_paced: false,
        }
    }

    fn observe(&mut self, run: &ObservedRun, beside_paced: bool, now: Millis) {
        self.was_paced |= beside_paced;
        if now.since(self.began_ms) < SETTLE_MS {
            return;
        }
        self.first.get_or_insert((now, run.percent));
        self.last = Some((now, run.percent));
        if let Some(reading) = run.reading {
            self.reading_sum += u64::from(reading.0);
            self.readings += 1;
        }
    }

    fn is_usable(&self) -> bool {
        !self.was_paced && self.span_ms() >= EPOCH_MIN_MS
    }

    fn span_ms(&self) -> Millis {
        let last = self.last.map(|(last, _percent)| last);
        last.map_or(Millis::ZERO, |last| last.since(self.began_ms))
    }

    /// Progress in thousandths of a percent per second; `None` if there was too little.
    fn speed(&self) -> Option<i64> {
        let ((from, before), (until, after)) = (self.first?, self.last?);
        let gained = after.checked_sub(before)?;
        if gained < PROGRESS_MIN_PERCENT || until <= from {
            return None;
        }
        i64::try_from(u64::from(gained) * 1_000_000 / until.since(from).get()).ok()
    }

    fn mean_reading(&self) -> Option<i64> {
        let mean = self.reading_sum.checked_mul(1_000)? / self.readings.max(1);
        (self.readings > 0).then_some(i64::try_from(mean).ok()?)
    }
}

impl RunTrace {
    pub(super) const fn new(
        run: RunKey,
        image: SmolStr,
        role: RunRole,
        counts: ImageCounts,
        now: Millis,
    ) -> Self {
        Self {
            run,
            image,
            role,
            earlier: None,
            current: Epoch::new(counts, now),
        }
    }

    /// Records a report. Returns a contrast when the epoch after a change ends or is long; each
    /// change gives at most one contrast.
    pub(super) fn observe(
        &mut self,
        run: &ObservedRun,
        counts: &ImageCounts,
        beside_paced: bool,
        now: Millis,
    ) -> Option<Contrast> {
        let mut contrast = None;
        let is_same = Arc::ptr_eq(counts, &self.current.counts)
            || beside(counts, &self.image).eq(beside(&self.current.counts, &self.image));
        if !is_same {
            contrast = self.take_contrast();
            let began = Epoch::new(Arc::clone(counts), now);
            let ended = std::mem::replace(&mut self.current, began);
            self.earlier = ended.is_usable().then_some(ended);
        } else if now.since(self.current.began_ms) > EPOCH_MAX_MS {
            self.current = Epoch::new(Arc::clone(counts), now);
            self.earlier = None;
        }
        self.current.counts = Arc::clone(counts);
        self.current.observe(run, beside_paced, now);
        if self.current.span_ms() >= EPOCH_LONG_MS {
            contrast = contrast.or_else(|| self.take_contrast());
        }
        contrast
    }

    /// Compares the epoch in progress with the one before it, which is then used up.
    fn take_contrast(&mut self) -> Option<Contrast> {
        let earlier = self.earlier.take()?;
        self.contrast_with(&earlier)
    }

    fn contrast_with(&self, earlier: &Epoch) -> Option<Contrast> {
        if !self.current.is_usable() {
            return None;
        }
        let now: BTreeSet<_> = beside(&self.current.counts, &self.image).collect();
        let before: BTreeSet<_> = beside(&earlier.counts, &self.image).collect();
        let mut changed = now.symmetric_difference(&before);
        let (beside, further) = (*changed.next()?, changed.next());
        if further.is_some() {
            return None;
        }
        let arrived = now.contains(beside);
        let worse_per_mille = self.worse_per_mille(earlier, &self.current)?;
        Some(Contrast {
            beside: beside.clone(),
            arrived,
            worse_per_mille: if arrived {
                worse_per_mille
            } else {
                -worse_per_mille
            },
        })
    }

    /// How much worse the run performed in the later epoch.
    fn worse_per_mille(&self, before: &Epoch, after: &Epoch) -> Option<i64> {
        match self.role {
            RunRole::Serving => symmetric_difference(after.mean_reading()?, before.mean_reading()?),
            RunRole::Working => match (before.speed(), after.speed()) {
                (Some(before), Some(after)) => symmetric_difference(before, after),
                // Long tasks gain a percent in many seconds; the processor time that they get is
                // known sooner. It does not show all interference, so progress is preferred.
                (None, None) if before.span_ms().min(after.span_ms()) >= EPOCH_LONG_MS => {
                    symmetric_difference(before.mean_reading()?, after.mean_reading()?)
                }
                _ => None,
            },
            RunRole::BestEffort => None,
        }
    }
}

/// `2 (a - b) / (a + b)` in per mille; `None` if both are zero.
fn symmetric_difference(a: i64, b: i64) -> Option<i64> {
    let difference = a.checked_sub(b)?.checked_mul(2 * PER_MILLE)?;
    difference.checked_div(a.checked_add(b)?)
}
