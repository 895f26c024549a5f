//! Figures computed from one replayed day.

use std::collections::{BTreeMap, BTreeSet};

use marjoramknot::scheduler::JobKey;
use marjoramknot::units::Millis;

use super::gang_driver::Driver;
use super::seeded_day::HOUR_MS;

pub type Figures = BTreeMap<String, f64>;

/// Computes completion and waiting times of the jobs that were not cancelled, goodput and lost work.
///
/// Goodput is the accelerator time (in ms) of preserved work in the two hours from
/// `outage_start_ms`, when a zone is taken out; `attainable` is the most that capacity and demand
/// permitted in that time. Work of cancelled jobs counts as preserved. Waiting times run from
/// submission to the start, lost work is in accelerator-seconds.
pub fn figures(
    driver: &Driver,
    cancelled: &BTreeSet<JobKey>,
    outage_start_ms: u64,
    attainable: f64,
) -> Figures {
    let (mut figures, mut durations_s) = (Figures::new(), BTreeMap::<&str, Vec<f64>>::new());
    for job in driver
        .records
        .values()
        .filter(|job| !cancelled.contains(&job.spec.key))
    {
        let elapsed_s = |ends: &BTreeMap<_, Millis>| {
            let end_ms = ends.get(&job.spec.key).copied().unwrap_or(driver.now);
            end_ms.since(driver.submitted_ms[&job.spec.key]).0 as f64 / 1_000.0
        };
        for class in ["all", job.spec.key.team.as_str(), job.spec.class.as_str()] {
            durations_s
                .entry(class)
                .or_default()
                .push(elapsed_s(&driver.ended_ms));
        }
        let wait_class = if job.spec.class.as_str() == "large" {
            "large_wait"
        } else {
            "small_wait"
        };
        durations_s
            .entry(wait_class)
            .or_default()
            .push(elapsed_s(&driver.started_ms));
        let failed = u32::from(!driver.succeeded(&job.spec.key));
        *figures.entry("not_succeeded".into()).or_default() += f64::from(failed);
    }
    for (class, mut values) in durations_s {
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
    let (mut goodput, mut lost_s) = (0.0, 0.0);
    for task_run in driver.slots.iter().flat_map(|slot| &slot.worker.history) {
        let size = f64::from(driver.records[&task_run.task.job].spec.accelerators.0);
        let (from, to) = (task_run.from_ms.0, task_run.to_ms.unwrap_or(driver.now).0);
        let inside_ms = to
            .min(outage_start_ms + 2 * HOUR_MS)
            .saturating_sub(from.max(outage_start_ms));
        let preserved = if task_run.kept || cancelled.contains(&task_run.task.job) {
            1.0
        } else {
            0.0
        };
        goodput += preserved * inside_ms as f64 * size;
        lost_s += (1.0 - preserved) * (to - from) as f64 * size / 1_000.0;
    }
    figures.insert("goodput".into(), goodput);
    figures.insert("goodput_of_allowed".into(), goodput / attainable);
    figures.insert("lost_accelerator_s".into(), lost_s);
    figures
}
