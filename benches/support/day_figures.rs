//! Figures computed from one replayed day.

use std::collections::{BTreeMap, BTreeSet};

use marjoramknot::scheduler::JobKey;
use marjoramknot::units::Millis;

use super::gang_driver::Driver;
use super::seeded_day::HOUR_MS;

pub type Figures = BTreeMap<String, f64>;

/// Computes completion times, waiting times, goodput and lost work of all jobs that were not
/// cancelled.
///
/// Goodput is the accelerator time (in ms) of preserved work in the two hours from `out_ms`, when a
/// zone is taken out; `allowed` is the most that capacity and demand permitted in that time.
/// Waiting times run from submission to the first start, lost work is in accelerator-seconds.
pub fn figures(
    driver: &Driver,
    cancelled: &BTreeSet<JobKey>,
    out_ms: u64,
    allowed: f64,
) -> Figures {
    let (mut figures, mut spans) = (Figures::new(), BTreeMap::<&str, Vec<f64>>::new());
    for job in driver
        .records
        .values()
        .filter(|job| !cancelled.contains(&job.spec.key))
    {
        let since = |ends: &BTreeMap<_, Millis>| {
            let end = ends.get(&job.spec.key).copied().unwrap_or(driver.now);
            end.since(driver.submitted_ms[&job.spec.key]).0 as f64 / 1_000.0
        };
        for class in ["all", job.spec.key.team.as_str(), job.spec.class.as_str()] {
            spans
                .entry(class)
                .or_default()
                .push(since(&driver.ended_ms));
        }
        let wait = if job.spec.class.as_str() == "large" {
            "large_wait"
        } else {
            "small_wait"
        };
        spans
            .entry(wait)
            .or_default()
            .push(since(&driver.started_ms));
        let failed = u32::from(!driver.succeeded(&job.spec.key));
        *figures.entry("not_succeeded".into()).or_default() += f64::from(failed);
    }
    for (class, mut values) in spans {
        values.sort_by(f64::total_cmp);
        figures.insert(
            format!("{class}_mean_s"),
            values.iter().sum::<f64>() / values.len() as f64,
        );
        for percent in [50, 95, 99] {
            figures.insert(
                format!("{class}_p{percent}_s"),
                values[(values.len() - 1) * percent / 100],
            );
        }
    }
    let (mut good, mut lost) = (0.0, 0.0);
    for ran in driver.slots.iter().flat_map(|slot| &slot.worker.history) {
        let size = f64::from(driver.records[&ran.task.job].spec.accelerators.0);
        let (from, to) = (ran.from_ms.0, ran.to_ms.unwrap_or(driver.now).0);
        let inside = to
            .min(out_ms + 2 * HOUR_MS)
            .saturating_sub(from.max(out_ms));
        let kept = if ran.kept || cancelled.contains(&ran.task.job) {
            1.0
        } else {
            0.0
        };
        good += kept * inside as f64 * size;
        lost += (1.0 - kept) * (to - from) as f64 * size / 1_000.0;
    }
    figures.insert("goodput".into(), good);
    figures.insert("goodput_of_allowed".into(), good / allowed);
    figures.insert("lost_accelerator_s".into(), lost);
    figures
}
