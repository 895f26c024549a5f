use crate::units::{Millis, WorkerId};

/// The unit of the weight of samples: one new sample.
const WEIGHT_ONE: i64 = 1_000;
/// The most samples of a direction that count, so that a change of behavior shows after about as
/// many.
const SAMPLES_MAX: i64 = 32;
/// The least samples of each direction from which a pair is found.
const SAMPLES_MIN: i64 = 6;
/// A pair is forgotten when fewer samples than this are left of either direction.
const SAMPLES_KEPT_MIN: i64 = 2;
/// The number of samples of each direction over which the recent mean is taken. A changed image
/// is noticed by it after about as many samples.
const RECENT_SAMPLES: i64 = 12;
/// A pair starts anew when its recent mean is less than its mean divided by this, and certainly so.
const CHANGED_DIVISOR: i64 = 3;
/// The least number of workers that the samples must come from, as one worker or link may itself
/// become slow and recover.
const WORKERS_MIN: u32 = 3;
/// All weights are halved in this time, because pairs that are kept apart give no new samples and
/// old ones would count forever. A pair gives a few samples in a minute on a fleet of 40 workers.
const HALF_LIFE_MS: Millis = Millis(900_000);
/// The standard deviation of a sample is taken to be at least this, in per mille: a few samples
/// may agree by chance.
const DEVIATION_MIN_PER_MILLE: i64 = 80;
/// The number of standard errors by which a found slowdown exceeds [`FOUND_PER_MILLE`]. With
/// thousands of pairs, fewer would find some by chance; the least slowdown is a margin besides.
const STANDARD_ERRORS: i64 = 3;
/// The least slowdown that is of interest, as a symmetric difference in per mille: about 10%.
const FOUND_PER_MILLE: i64 = 95;
/// A found pair whose mean less one standard error falls below this is forgotten: about 5%.
const FORGOTTEN_PER_MILLE: i64 = 50;

/// Decaying sums of the samples of one direction. Weights are in thousandths of a sample.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    weight: i64,
    sum: i64,
    sum_of_squares: i64,
    /// The exponentially weighted mean of the last samples, in thousandths of a per mille.
    recent: i64,
}

/// What is known of how much one image slows down another.
#[derive(Clone, Debug, Default)]
pub(super) struct PairStatistics {
    arrivals: Samples,
    departures: Samples,
    /// A bit for the hash of each worker that gave a sample.
    workers: u64,
    aged_ms: Millis,
    pub(super) is_found: bool,
}

impl Samples {
    fn add(&mut self, per_mille: i64) {
        let sample = per_mille * WEIGHT_ONE;
        if self.weight == 0 {
            self.recent = sample;
        }
        self.recent += (sample - self.recent) / RECENT_SAMPLES;
        let most = (SAMPLES_MAX - 1) * WEIGHT_ONE;
        if self.weight > most {
            self.scale(most, self.weight);
        }
        self.weight += WEIGHT_ONE;
        self.sum += per_mille * WEIGHT_ONE;
        self.sum_of_squares += per_mille * per_mille * WEIGHT_ONE;
    }

    const fn scale(&mut self, by: i64, of: i64) {
        self.sum = self.sum * by / of;
        self.sum_of_squares = self.sum_of_squares / of * by;
        self.weight = self.weight * by / of;
    }

    const fn halve(&mut self) {
        self.scale(1, 2);
    }

    const fn has(&self, samples: i64) -> bool {
        self.weight >= samples * WEIGHT_ONE
    }

    fn mean(&self) -> i64 {
        self.sum.checked_div(self.weight).unwrap_or(0)
    }

    fn variance(&self) -> i64 {
        let mean = self.mean();
        let squares = self.sum_of_squares.checked_div(self.weight).unwrap_or(0);
        let least = DEVIATION_MIN_PER_MILLE * DEVIATION_MIN_PER_MILLE;
        (squares - mean * mean).max(least)
    }

    fn variance_of_mean(&self) -> i64 {
        let variance = self.variance() * WEIGHT_ONE;
        variance.checked_div(self.weight).unwrap_or(i64::MAX / 4)
    }
}

impl PairStatistics {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            aged_ms: now,
            ..Self::default()
        }
    }

    pub(super) fn add(&mut self, worker: &WorkerId, arrived: bool, per_mille: i64) {
        let samples = if arrived {
            &mut self.arrivals
        } else {
            &mut self.departures
        };
        samples.add(per_mille);
        self.workers |= 1 << (hash(worker) % u64::from(u64::BITS));
    }

    pub(super) fn age(&mut self, now: Millis) {
        while now.since(self.aged_ms) >= HALF_LIFE_MS {
            self.aged_ms = self.aged_ms.saturating_add(HALF_LIFE_MS);
            self.arrivals.halve();
            self.departures.halve();
        }
    }

    /// Decides whether the pair holds now and returns whether that has changed.
    pub(super) fn decide(&mut self) -> bool {
        if self.is_found && self.has_changed() {
            *self = Self {
                is_found: true,
                ..Self::new(self.aged_ms)
            };
        }
        let mean = self.mean_per_mille();
        let holds = if self.is_found {
            self.has_each(SAMPLES_KEPT_MIN) && mean - self.standard_error() >= FORGOTTEN_PER_MILLE
        } else {
            self.has_each(SAMPLES_MIN)
                && self.workers.count_ones() >= WORKERS_MIN
                && mean - STANDARD_ERRORS * self.standard_error() >= FOUND_PER_MILLE
        };
        std::mem::replace(&mut self.is_found, holds) != holds
    }

    /// The mean slowdown in percent: how many times as slow the image is beside the other, less 1.
    pub(super) fn slowdown_percent(&self) -> u64 {
        let mean = self.mean_per_mille().clamp(0, 1_800);
        u64::try_from((2_000 + mean) * 100 / (2_000 - mean) - 100).unwrap_or(0)
    }

    /// The number of samples that count.
    pub(super) fn samples(&self) -> u64 {
        let weight = self.arrivals.weight + self.departures.weight;
        u64::try_from(weight / WEIGHT_ONE).unwrap_or(0)
    }

    const fn has_each(&self, samples: i64) -> bool {
        self.arrivals.has(samples) && self.departures.has(samples)
    }

    fn mean_per_mille(&self) -> i64 {
        i64::midpoint(self.arrivals.mean(), self.departures.mean())
    }

    /// Whether the recent samples show a much smaller slowdown than the earlier ones.
    fn has_changed(&self) -> bool {
        let mean = self.mean_per_mille();
        let recent = i64::midpoint(self.arrivals.recent, self.departures.recent) / WEIGHT_ONE;
        let variance = self.arrivals.variance() + self.departures.variance();
        // An exponentially weighted mean has the variance of twice its samples less one.
        let deviation = (variance / 4 / (2 * RECENT_SAMPLES - 1)).isqrt();
        recent < mean / CHANGED_DIVISOR && mean - recent > STANDARD_ERRORS * deviation
    }

    fn standard_error(&self) -> i64 {
        let arrivals = self.arrivals.variance_of_mean();
        let variance = arrivals.saturating_add(self.departures.variance_of_mean()) / 4;
        variance.isqrt()
    }
}

/// The FNV-1a hash of a worker's id, the same on all machines.
fn hash(worker: &WorkerId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = worker.as_str().bytes();
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    // The low bits of this hash vary little between ids that differ in one digit.
    hash ^ (hash >> 32)
}
