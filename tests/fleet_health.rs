//! Quarantine of workers: failing workers are taken out of use, failing jobs end as failed, and
//! neither keeps other jobs from succeeding.

#[path = "support/gang_driver.rs"]
mod gang_driver;

use assert_matches::assert_matches;
use gang_driver::{Driver, ONE_LEASE_MS, add_team, in_force, job};
use marjoramknot::fleet::{HealthState, WorkerHealth};
use marjoramknot::release_note::{Adjacency, ClusterConfig};
use marjoramknot::scheduler::{JobKey, JobOutcome, NotRunReason};
use marjoramknot::units::{MemoryMb, Millis};
use rstest::rstest;

fn fleet() -> ClusterConfig {
    let mut state = in_force(&[("Nitra", 2)], 5);
    add_team(&mut state, "ponds", &[(1, 8, Adjacency::Rack)]);
    add_team(&mut state, "guests", &[]);
    state
}

fn count_in_state(driver: &Driver, state: &str) -> usize {
    let workers = driver.scheduler.workers();
    workers
        .iter()
        .filter(|worker| worker.state == state)
        .count()
}

fn fail_all(driver: &mut Driver, count: usize) {
    for slot in driver.slots.iter_mut().take(count) {
        slot.worker.spec.faults.fails_all = true;
    }
}

/// Counts the task starts on the first `count` workers.
fn starts_on(driver: &Driver, count: usize) -> usize {
    let first = driver.slots.iter().take(count);
    first.map(|slot| slot.worker.history.len()).sum()
}

#[rstest]
#[case::one(1, 0)]
#[case::three(3, 0)]
#[case::with_broken_jobs(3, 12)]
fn broken_workers_are_quarantined(#[case] broken: usize, #[case] broken_jobs: u32) {
    for seed in 0..5 {
        let mut driver = Driver::ready(fleet(), seed);
        fail_all(&mut driver, broken);
        let mut good = Vec::new();
        let mut bad = Vec::new();
        for at in 0..120_u32 {
            let tasks = 1 + at % 3;
            good.push(driver.submit(job("guests", &format!("g{at}"), tasks, 2, 3_000)));
            if at < broken_jobs {
                let mut spec = job("guests", &format!("b{at}"), 1, 2, 3_000);
                spec.payload = "fail".into();
                bad.push(driver.submit(spec));
            }
            driver.run_for(500);
        }
        let ended = driver.run_until(240_000, |d| good.iter().all(|key| d.succeeded(key)));
        let stuck = good.iter().find(|key| !driver.succeeded(key));
        assert!(
            ended,
            "seed {seed}: {}",
            driver.job_log(stuck.expect("a job has not succeeded"))
        );
        let failed = |key: &&JobKey| matches!(driver.outcome(key), Some(JobOutcome::Failed { .. }));
        assert_eq!(bad.iter().filter(failed).count(), bad.len());
        // A failing worker may fail eight concurrent starts before its quarantine, and one probe
        // after each quarantine.
        let starts = starts_on(&driver, broken);
        assert!(
            starts <= broken * 16,
            "seed {seed}: {starts} starts on broken workers"
        );
        assert_eq!(
            count_in_state(&driver, "up"),
            driver.slots.len() - broken,
            "seed {seed}"
        );
    }
}

#[test]
fn broken_jobs_leave_workers_up() {
    let mut driver = Driver::ready(fleet(), 1);
    let bad: Vec<JobKey> = (0..20)
        .map(|at| {
            let mut spec = job("guests", &format!("b{at}"), 1, 4, 3_000);
            spec.payload = "fail".into();
            driver.submit(spec)
        })
        .collect();
    let all_up = |d: &Driver| count_in_state(d, "up") + count_in_state(d, "probing") >= 8;
    assert!(driver.run_until(60_000, |d| bad.iter().all(|key| d.outcome(key).is_some())));
    assert!(all_up(&driver));
    for key in &bad {
        assert_matches!(driver.outcome(key), Some(JobOutcome::Failed { cause }) if cause == "broken");
    }
    let good = driver.submit(job("guests", "good", 10, 8, 1_000));
    assert!(
        driver.run_until(90_000, |d| d.succeeded(&good)),
        "{}",
        driver.job_log(&good)
    );
}

#[test]
fn repaired_worker_returns() {
    let mut driver = Driver::ready(fleet(), 2);
    fail_all(&mut driver, 1);
    for at in 0..40 {
        driver.submit(job("guests", &format!("j{at}"), 1, 4, 2_000));
        driver.run_for(300);
    }
    assert_eq!(count_in_state(&driver, "quarantined"), 1);
    driver.slots[0].worker.spec.faults.fails_all = false;
    for at in 0..200 {
        driver.submit(job("guests", &format!("k{at}"), 1, 4, 2_000));
        driver.run_for(500);
    }
    assert_eq!(count_in_state(&driver, "up"), driver.slots.len());
    driver.check_history(ONE_LEASE_MS);
}

#[test]
fn refused_by_all_workers() {
    let mut driver = Driver::ready(fleet(), 3);
    for slot in &mut driver.slots {
        slot.worker.spec.faults.refuses = true;
    }
    let key = driver.submit(job("guests", "refused", 2, 8, 1_000));
    assert!(driver.run_until(60_000, |d| d.outcome(&key).is_some()));
    assert_matches!(
        driver.outcome(&key),
        Some(JobOutcome::NotRun {
            reason: NotRunReason::AttemptsExhausted { .. }
        })
    );
    driver.check_history(ONE_LEASE_MS);
}

#[rstest]
#[case::grows(3_000, true)]
#[case::beyond_the_limit(40_000, false)]
fn over_memory(#[case] needs_memory_mb: u64, #[case] succeeds: bool) {
    let mut driver = Driver::ready(fleet(), 4);
    for slot in &mut driver.slots {
        slot.worker.spec.faults.needs_memory_mb = needs_memory_mb;
    }
    let key = driver.submit(job("guests", "hungry", 2, 2, 1_000));
    assert!(driver.run_until(60_000, |d| d.outcome(&key).is_some()));
    assert_eq!(driver.succeeded(&key), succeeds, "{}", driver.job_log(&key));
    let asked = driver.records[&key].memory_mb;
    assert!(asked <= MemoryMb(32_768));
    assert_eq!(
        count_in_state(&driver, "up"),
        driver.slots.len(),
        "exceeding the memory limit must not count against the worker"
    );
}

#[test]
fn quarantine_doubles() {
    let mut health = WorkerHealth::new();
    let mut now = Millis(0);
    let mut spans = Vec::new();
    for job in 0..3 {
        health.record_failure(job, now);
    }
    for probe in 10..14 {
        let remaining = health
            .quarantine_remaining(now)
            .expect("the worker is quarantined");
        spans.push(remaining.0);
        now = now.saturating_add(remaining);
        health.tick(now);
        assert!(health.accepts_probe(true, now));
        assert!(!health.accepts_probe(false, now));
        health.begin_probe(probe);
        assert!(!health.accepts_probe(true, now));
        health.record_failure(probe, now);
    }
    assert_eq!(spans, [30_000, 60_000, 120_000, 240_000]);
}

#[rstest]
#[case::same_job(&[1, 1, 1, 1], true)]
#[case::two_jobs(&[1, 2, 1, 2], true)]
#[case::three_jobs(&[1, 2, 3], false)]
fn failure_threshold(#[case] jobs: &[u64], #[case] up: bool) {
    let mut health = WorkerHealth::new();
    for job in jobs {
        health.record_failure(*job, Millis(5));
    }
    assert_eq!(health.is_up(), up);
    health.withdraw_failure(jobs[0], Millis(6));
    assert_eq!(health.state, HealthState::Up);
}

/// Accelerators that a worker reports in use beyond its orders must not be assigned until that
/// usage ends.
#[test]
fn usage_beyond_orders() {
    let mut driver = Driver::ready(fleet(), 6);
    for slot in driver.slots.iter_mut().skip(1) {
        slot.worker.spec.faults.external_accelerators = 6;
    }
    driver.run_for(3_000);
    let wide = driver.submit(job("guests", "wide", 1, 8, 1_000));
    assert!(driver.run_until(5_000, |d| d.succeeded(&wide)));
    assert_eq!(driver.slots[0].worker.history.len(), 1);
    let two = driver.submit(job("guests", "two", 2, 8, 1_000));
    driver.run_for(10_000);
    assert!(!driver.started_ms.contains_key(&two));
    driver.slots[1].worker.spec.faults.external_accelerators = 0;
    assert!(driver.run_until(10_000, |d| d.succeeded(&two)));
}
