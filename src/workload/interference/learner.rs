use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;

use super::epoch::{ImageCounts, ObservedRun, RunRole, RunTrace};
use super::pair::PairStatistics;
use crate::units::{Millis, WorkerId};

/// The most pairs of images that are observed, about 1 MB. One more replaces the pair with the
/// fewest samples that is not found.
const PAIRS_MAX: usize = 4_096;
/// Old evidence is looked through this often.
const AGING_INTERVAL_MS: Millis = Millis(10_000);

/// Whether a pair was found or forgotten.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The pair holds with enough confidence.
    Found,
    /// The pair no longer holds, or its evidence is too old.
    Forgotten,
}

/// A pair of images that was found or forgotten.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PairChange {
    /// What changed.
    pub change: Change,
    /// The image that is slowed down.
    pub image: SmolStr,
    /// The image beside which it is slower.
    pub beside: SmolStr,
    /// How much slower it is, in percent.
    pub slowdown_percent: u64,
    /// The number of samples that count.
    pub samples: u64,
}

/// The runs with an image on a worker.
#[derive(Debug, Default)]
struct WorkerRuns {
    counts: ImageCounts,
    runs: Vec<RunTrace>,
}

/// Which images slow down which, as learned from reports.
#[derive(Debug, Default)]
pub struct Interference {
    /// The runs with an image on each worker, as its last report lists them.
    workers: BTreeMap<WorkerId, WorkerRuns>,
    /// Statistics by the slowed image and the one beside it.
    pairs: BTreeMap<(SmolStr, SmolStr), PairStatistics>,
    /// The found pairs in both directions, with the larger slowdown in percent.
    found: BTreeMap<SmolStr, BTreeMap<SmolStr, u64>>,
    aged_ms: Millis,
}

impl Interference {
    /// Records the runs with an image that a worker reports at `now`, and returns the pairs that
    /// were found or forgotten.
    pub fn observe(
        &mut self,
        worker: &WorkerId,
        runs: &[ObservedRun],
        now: Millis,
    ) -> Vec<PairChange> {
        if runs.is_empty() {
            self.workers.remove(worker);
            return Vec::new();
        }
        let mut earlier = self.workers.remove(worker).unwrap_or_default();
        let counts = count_images(runs);
        if counts != *earlier.counts {
            earlier.counts = Arc::new(counts);
        }
        let counts = earlier.counts;
        let beside_paced = runs.iter().any(|other| other.is_paced);
        let mut traces = Vec::with_capacity(runs.len());
        let mut contrasts = Vec::new();
        for run in runs {
            let known = earlier.runs.iter().position(|trace| trace.run == run.run);
            let mut trace = match known {
                Some(at) => earlier.runs.swap_remove(at),
                None => RunTrace::new(
                    run.run,
                    run.image.clone(),
                    run.role,
                    Arc::clone(&counts),
                    now,
                ),
            };
            if run.role != RunRole::BestEffort
                && let Some(contrast) = trace.observe(run, &counts, beside_paced, now)
            {
                contrasts.push((run.image.clone(), contrast));
            }
            traces.push(trace);
        }
        let worker_runs = WorkerRuns {
            counts,
            runs: traces,
        };
        self.workers.insert(worker.clone(), worker_runs);
        let mut changes = Vec::new();
        for (image, contrast) in contrasts {
            let key = (image, contrast.beside);
            changes.extend(self.make_room_for(&key));
            let pair = self
                .pairs
                .entry(key.clone())
                .or_insert_with(|| PairStatistics::new(now));
            pair.add(worker, contrast.arrived, contrast.worse_per_mille);
            if pair.decide() {
                changes.push(pair_change(&key, pair));
            }
        }
        if now.since(self.aged_ms) >= AGING_INTERVAL_MS {
            self.aged_ms = now;
            self.age(now, &mut changes);
        }
        if !changes.is_empty() {
            self.index_found();
        }
        changes
    }

    /// Removes the workers for which `is_known` does not hold.
    pub fn retain_workers(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _runs| is_known(worker));
    }

    /// How much slower, in percent, one of the two images is beside the other; 0 if no such effect
    /// is known.
    #[must_use]
    pub fn slowdown_percent(&self, image: &SmolStr, other: &SmolStr) -> u64 {
        let beside = self.found.get(image);
        beside
            .and_then(|beside| beside.get(other))
            .copied()
            .unwrap_or(0)
    }

    /// The images that the image slows down or is slowed down by, with the larger slowdown in
    /// percent.
    #[must_use]
    pub fn slowdowns(&self, image: &SmolStr) -> Option<&BTreeMap<SmolStr, u64>> {
        self.found.get(image)
    }

    /// Whether the image slows down another one or is slowed down by it.
    #[must_use]
    pub fn is_in_found_pair(&self, image: &SmolStr) -> bool {
        self.found.contains_key(image)
    }

    /// The number of found pairs.
    #[must_use]
    pub fn found_pairs(&self) -> usize {
        self.pairs.values().filter(|pair| pair.is_found).count()
    }

    /// The number of pairs that are observed, found or not.
    #[must_use]
    pub fn observed_pairs(&self) -> usize {
        self.pairs.len()
    }

    /// The images of the runs that a worker last reported and that are in a found pair.
    pub fn found_images_on(&self, worker: &WorkerId) -> impl Iterator<Item = &SmolStr> {
        let images = self.workers.get(worker).map(|runs| runs.counts.keys());
        let images = images.into_iter().flatten();
        images.filter(|image| self.is_in_found_pair(image))
    }

    /// Removes the pair with the least evidence if there is no room for a further one. Returns the
    /// change if that pair was found.
    fn make_room_for(&mut self, key: &(SmolStr, SmolStr)) -> Option<PairChange> {
        if self.pairs.len() < PAIRS_MAX || self.pairs.contains_key(key) {
            return None;
        }
        let least = self.pairs.iter();
        let least = least.min_by_key(|(_key, pair)| (pair.is_found, pair.samples()));
        let least = least.map(|(key, _pair)| key.clone())?;
        let mut removed = self.pairs.remove(&least)?;
        let was_found = std::mem::take(&mut removed.is_found);
        was_found.then(|| pair_change(&least, &removed))
    }

    fn age(&mut self, now: Millis, changes: &mut Vec<PairChange>) {
        for (key, pair) in &mut self.pairs {
            pair.age(now);
            if pair.is_found && pair.decide() {
                changes.push(pair_change(key, pair));
            }
        }
        self.pairs
            .retain(|_key, pair| pair.is_found || pair.samples() > 0);
    }

    fn index_found(&mut self) {
        self.found.clear();
        for ((image, beside), pair) in self.pairs.iter().filter(|(_key, pair)| pair.is_found) {
            for (one, other) in [(image, beside), (beside, image)] {
                let others = self.found.entry(one.clone()).or_default();
                let slowdown = others.entry(other.clone()).or_default();
                *slowdown = pair.slowdown_percent().max(*slowdown);
            }
        }
    }
}

fn count_images(runs: &[ObservedRun]) -> BTreeMap<SmolStr, u32> {
    let mut counts = BTreeMap::new();
    for run in runs {
        *counts.entry(run.image.clone()).or_default() += 1;
    }
    counts
}

fn pair_change((image, beside): &(SmolStr, SmolStr), pair: &PairStatistics) -> PairChange {
    PairChange {
        change: if pair.is_found {
            Change::Found
        } else {
            Change::Forgotten
        },
        image: image.clone(),
        beside: beside.clone(),
        slowdown_percent: pair.slowdown_percent(),
        samples: pair.samples(),
    }
}
