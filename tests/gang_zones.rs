//! Nothing starts in a zone that was taken out; its gangs continue elsewhere, and the zone is used
//! again once it is back.

#[path = "support/gang_driver.rs"]
mod gang_driver;

use gang_driver::{Driver, ONE_LEASE_MS, add_team, in_force, job};
use marjoramknot::release_note::{Adjacency, ClusterConfig, ZoneState};
use marjoramknot::scheduler::{JobKey, JobOutcome};
use rstest::rstest;

fn fleet() -> ClusterConfig {
    let mut state = in_force(&[("Milano", 1), ("Torino", 1), ("Bologna", 1)], 4);
    add_team(&mut state, "ledger", &[(2, 8, Adjacency::Rack)]);
    add_team(&mut state, "swaps", &[]);
    state
}

/// Submits short jobs that keep starts in progress in every zone.
fn submit_short_jobs(driver: &mut Driver, round: u32) {
    for at in 0..6 {
        let team = ["ledger", "swaps"][at % 2];
        driver.submit(job(team, &format!("c{round}-{at}"), 2, 4, 700));
    }
}

/// Takes a zone out while orders to start are in transit.
#[rstest]
fn no_start_in_closed_zone(
    #[values(5, 1_500, 4_000)] delay_max_ms: u64,
    #[values(0, 200)] lost_permille: u32,
    #[values(false, true)] leader_changes: bool,
    #[values("one", "two", "flap")] how: &str,
) {
    for seed in 0..4 {
        let mut driver = Driver::ready(fleet(), seed);
        driver.network.delay_max_ms = delay_max_ms;
        driver.network.lost_permille = lost_permille;
        for round in 0..3 {
            submit_short_jobs(&mut driver, round);
            driver.run_for(900);
        }
        driver.set_zone("Milano", ZoneState::Out);
        if how == "two" {
            driver.set_zone("Torino", ZoneState::Out);
        }
        if leader_changes {
            driver.elect();
        }
        for round in 3..8 {
            submit_short_jobs(&mut driver, round);
            driver.run_for(900);
            if how == "flap" {
                driver.set_zone("Milano", ZoneState::In);
                driver.run_for(200 + seed * 300);
                driver.set_zone("Milano", ZoneState::Out);
            }
        }
        driver.check_history(ONE_LEASE_MS);
        driver.network.delay_max_ms = 5;
        driver.network.lost_permille = 0;
        let count = driver.records.len();
        assert!(driver.run_until(300_000, |d| d.ended_ms.len() == count));
        driver.check_history(ONE_LEASE_MS);
    }
}

/// Guards against orders that arrive long after the zone was taken out: they must no longer start
/// anything.
#[test]
fn delayed_orders_start_nothing() {
    let mut driver = Driver::ready(fleet(), 5);
    driver.network.delay_max_ms = 9_000;
    for round in 0..4 {
        submit_short_jobs(&mut driver, round);
        driver.run_for(400);
    }
    driver.set_zone("Torino", ZoneState::Out);
    driver.run_for(20_000);
    driver.check_history(ONE_LEASE_MS);
}

#[test]
fn gangs_leave_with_checkpoints() {
    let mut driver = Driver::ready(fleet(), 6);
    let keys: Vec<JobKey> = (0..6)
        .map(|at| driver.submit(job("swaps", &format!("long{at}"), 2, 8, 20_000)))
        .collect();
    driver.run_for(4_000);
    let zone_of = |d: &Driver, key: &JobKey| {
        let runner = d.runners(key).first().copied();
        runner.map(|at| d.slots[at].worker.spec.zone.to_string())
    };
    let leaving: Vec<JobKey> = keys
        .iter()
        .filter(|key| zone_of(&driver, key).as_deref() == Some("Milano"))
        .cloned()
        .collect();
    assert!(!leaving.is_empty());
    driver.set_zone("Milano", ZoneState::Out);
    driver.run_for(2_000);
    for key in &leaving {
        assert_eq!(
            driver.records[key].checkpoints.len(),
            2,
            "{}",
            driver.job_log(key)
        );
        assert!(
            driver
                .runners(key)
                .iter()
                .all(|at| { driver.slots[*at].worker.spec.zone.as_str() != "Milano" })
        );
    }
    assert!(driver.run_until(120_000, |d| keys.iter().all(|key| d.succeeded(key))));
    driver.check_history(ONE_LEASE_MS);
}

/// Work that must not run again is left to finish, and is never started elsewhere.
#[test]
fn non_idempotent_work_finishes() {
    let mut driver = Driver::ready(fleet(), 7);
    let keys: Vec<JobKey> = (0..3)
        .map(|at| {
            let mut spec = job("swaps", &format!("once{at}"), 2, 8, 10_000);
            spec.idempotent = false;
            driver.submit(spec)
        })
        .collect();
    driver.run_for(3_000);
    for zone in ["Milano", "Torino", "Bologna"] {
        driver.set_zone(zone, ZoneState::Out);
    }
    driver.run_for(15_000);
    let done = keys.iter().filter(|key| driver.succeeded(key)).count();
    let waiting = keys.iter().filter(|key| !driver.has_run(key)).count();
    assert!(done > 0);
    assert_eq!(done + waiting, keys.len());
    driver.check_history(ONE_LEASE_MS);
}

#[test]
fn zone_comes_back() {
    let mut driver = Driver::ready(fleet(), 8);
    for zone in ["Milano", "Torino"] {
        driver.set_zone(zone, ZoneState::Out);
    }
    let mut spec = job("swaps", "wide", 12, 8, 2_000);
    spec.adjacency = Adjacency::Any;
    let wide = driver.submit(spec);
    driver.run_for(15_000);
    let why = driver.scheduler.explain(&wide).expect("it waits");
    assert_eq!(why.code, "waits_for_zone");
    driver.set_zone("Milano", ZoneState::In);
    driver.set_zone("Torino", ZoneState::In);
    assert!(driver.run_until(5_000, |d| d.is_started(&wide)));
}

/// The outcome of a cancelled job tells correctly whether it ran, whenever the cancel arrives.
#[rstest]
fn cancel_outcome_is_correct(
    #[values(true, false)] idempotent: bool,
    #[values(false, true)] change: bool,
) {
    for moment in (0..2_500).step_by(50) {
        let mut driver = Driver::ready(fleet(), moment);
        driver.commit_delay_ms = 100;
        driver.network.delay_max_ms = 100;
        let mut spec = job("ledger", "gone", 2, 8, 1_000);
        spec.idempotent = idempotent;
        let key = driver.submit(spec.clone());
        driver.run_for(moment);
        driver.cancel(&key);
        if change {
            driver.run_for(150);
            driver.elect();
        }
        assert!(
            driver.run_until(30_000, |d| d.outcome(&key).is_some()),
            "{}",
            driver.job_log(&key)
        );
        let ran = driver.has_run(&key);
        match driver.outcome(&key).expect("it ended") {
            JobOutcome::NotRun { .. } => assert!(!ran, "at {moment}"),
            JobOutcome::Succeeded { .. } => assert!(ran, "at {moment}"),
            JobOutcome::Cancelled | JobOutcome::Unknown { .. } => {
                let started = driver.started_ms.contains_key(&key);
                assert!(started, "at {moment}: {}", driver.job_log(&key));
            }
            JobOutcome::Failed { cause } => panic!("at {moment}: failed with {cause}"),
        }
        driver.run_for(10_000);
        driver.check_history(ONE_LEASE_MS);
    }
}
