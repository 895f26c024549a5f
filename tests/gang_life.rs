//! Gangs run as a whole or not at all, at every stage of their life and under every fault.

#[path = "support/gang_driver.rs"]
mod gang_driver;

use gang_driver::{Driver, ONE_LEASE_MS, add_team, in_force, job};
use marjoramknot::release_note::{Adjacency, ClusterConfig};
use marjoramknot::scheduler::Event;
use marjoramknot::units::OrdersVersion;
use rstest::rstest;

fn small_fleet() -> ClusterConfig {
    let mut state = in_force(&[("Senec", 1), ("Trnava", 1)], 4);
    add_team(&mut state, "ponds", &[(2, 8, Adjacency::Rack)]);
    add_team(&mut state, "guests", &[]);
    state
}

/// A gang runs to its end without faults, and all its resources are released.
#[test]
fn whole_run() {
    let mut driver = Driver::ready(small_fleet(), 1);
    let key = driver.submit(job("ponds", "render", 4, 8, 2_000));
    assert!(driver.run_until(10_000, |d| d.succeeded(&key)));
    driver.run_for(3_000);
    driver.check_history(ONE_LEASE_MS);
    assert!(
        driver
            .scheduler
            .workers()
            .iter()
            .all(|w| w.accelerators_used.0 == 0)
    );
}

/// Guards against orders that change before a placement is committed. Such a change releases the
/// held poll, which is then missing when the order to prepare is due.
#[test]
fn two_order_changes() {
    let (mut polls, mut took_ms) = (0, 0);
    for seed in 0..20 {
        let mut driver = Driver::ready(small_fleet(), seed);
        driver.run_for(50 * seed);
        let versions = |driver: &Driver| -> Vec<(u64, u64)> {
            let workers = driver.slots.iter().map(|slot| &slot.worker);
            workers
                .map(|worker| (worker.version.get(), worker.sequence.get()))
                .collect()
        };
        let before = versions(&driver);
        let submitted_ms = driver.now.0;
        let mut spec = job("ponds", "render", 4, 8, 60_000);
        spec.urgent = true;
        driver.submit(spec);
        let running = |d: &Driver| {
            let ran = d.slots.iter().filter(|s| !s.worker.history.is_empty());
            ran.count() == 4
        };
        assert!(driver.run_until(10_000, running));
        took_ms += driver.now.0 - submitted_ms;
        for ((slot, before), after) in driver.slots.iter().zip(before).zip(versions(&driver)) {
            let orders = if slot.worker.history.is_empty() { 0 } else { 2 };
            assert_eq!(
                after.0 - before.0,
                orders,
                "one order to prepare and one to run"
            );
            polls += if orders > 0 { after.1 - before.1 } else { 0 };
        }
    }
    println!("polls_of_80_workers={} start_ms={}", polls, took_ms / 20);
}

/// A fault injected at one moment of a run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LostWorker,
    PartitionedWorker,
    RestartedWorker,
    LostMessages,
    DuplicatedMessages,
    DelayedMessages,
    LeaderChange,
    ControlPause,
    FailedCommits,
}

impl Fault {
    fn inject(self, driver: &mut Driver, at: usize) {
        match self {
            Self::LostWorker => driver.kill(at),
            Self::PartitionedWorker => driver.slots[at].partitioned = true,
            Self::RestartedWorker => {
                let now = driver.now;
                driver.restart_worker(at, now);
            }
            Self::LostMessages => driver.network.lost_permille = 500,
            Self::DuplicatedMessages => driver.network.duplicated_permille = 500,
            Self::DelayedMessages => driver.network.delay_max_ms = 2_500,
            Self::LeaderChange => driver.elect(),
            Self::ControlPause => {
                driver
                    .slots
                    .iter_mut()
                    .for_each(|slot| slot.partitioned = true);
                driver.run_for(9_000);
                driver.elect();
            }
            Self::FailedCommits => driver.commit_fail_permille = 500,
        }
    }

    fn clear_all(driver: &mut Driver) {
        driver
            .slots
            .iter_mut()
            .for_each(|slot| slot.partitioned = false);
        driver.network.lost_permille = 0;
        driver.network.duplicated_permille = 0;
        driver.network.delay_max_ms = 100;
        driver.commit_fail_permille = 0;
    }
}

/// A borrower runs and the owner of a guarantee reclaims its cells; the fault is injected `moment`
/// milliseconds later.
fn run_with_fault(fault: Fault, moment: u64, idempotent: bool) {
    let seed = moment + 1_000;
    let mut driver = Driver::ready(small_fleet(), seed);
    driver.network.delay_max_ms = 100;
    driver.commit_delay_ms = 100;
    let borrower = driver.submit(job("guests", "borrower", 4, 8, 5_000));
    let mut spec = job("ponds", "once", 2, 8, 2_000);
    spec.idempotent = idempotent;
    let once = driver.submit(spec);
    driver.run_for(1_500);
    let owner = driver.submit(job("ponds", "owner", 2, 8, 2_000));
    driver.run_for(moment);
    let at = driver.runners(&once).first().copied().unwrap_or(0);
    fault.inject(&mut driver, at);
    driver.run_for(9_000);
    Fault::clear_all(&mut driver);
    let context = format!("{fault:?} at {moment}, idempotent {idempotent}");
    let ended = driver.run_until(120_000, |d| d.ended_ms.len() == 3);
    assert!(
        ended,
        "{context}: {:?}",
        driver
            .records
            .values()
            .map(|r| (&r.spec.key, &r.phase))
            .collect::<Vec<_>>()
    );
    driver.run_for(15_000);
    assert!(
        driver.succeeded(&borrower),
        "{context}: {:?}",
        driver.outcome(&borrower)
    );
    assert!(
        driver.succeeded(&owner),
        "{context}: {:?}",
        driver.outcome(&owner)
    );
    assert!(
        !idempotent || driver.succeeded(&once),
        "{context}: {:?}",
        driver.outcome(&once)
    );
    driver.check_history(ONE_LEASE_MS);
    let used = |w: &marjoramknot::scheduler::WorkerStatus| w.accelerators_used.0;
    assert_eq!(
        driver.scheduler.workers().iter().map(used).sum::<u32>(),
        0,
        "{context}"
    );
}

#[rstest]
fn gangs_under_faults(
    #[values(
        Fault::LostWorker,
        Fault::PartitionedWorker,
        Fault::RestartedWorker,
        Fault::LostMessages,
        Fault::DuplicatedMessages,
        Fault::DelayedMessages,
        Fault::LeaderChange,
        Fault::ControlPause,
        Fault::FailedCommits
    )]
    fault: Fault,
    #[values(true, false)] idempotent: bool,
) {
    for moment in (0..4_000).step_by(150) {
        run_with_fault(fault, moment, idempotent);
    }
}

/// When one task of a gang is lost, the others end within one lease, at any phase of the polls.
#[rstest]
fn lost_task_stops_gang(#[values(true, false)] dead: bool) {
    for phase in (0..1_200).step_by(100) {
        let mut driver = Driver::ready(small_fleet(), phase);
        let key = driver.submit(job("guests", "long", 4, 8, 30_000));
        driver.run_for(2_000 + phase);
        let at = driver.runners(&key)[0];
        if dead {
            driver.kill(at);
        } else {
            driver.slots[at].partitioned = true;
        }
        driver.run_for(8_000);
        driver.check_history(ONE_LEASE_MS);
        assert!(
            driver.run_until(60_000, |d| d.succeeded(&key)),
            "{}",
            driver.job_log(&key)
        );
        driver.check_history(ONE_LEASE_MS);
    }
}

/// If one worker refuses its task, no task of the gang starts.
#[test]
fn refused_task_starts_nothing() {
    let mut driver = Driver::ready(small_fleet(), 9);
    driver.network.delay_max_ms = 400;
    for at in [1, 5] {
        driver.slots[at].worker.spec.faults.refuses = true;
    }
    let mut spec = job("guests", "once", 4, 8, 5_000);
    spec.idempotent = false;
    spec.adjacency = Adjacency::Rack;
    let key = driver.submit(spec);
    driver.run_for(60_000);
    assert!(!driver.has_run(&key), "{}", driver.job_log(&key));
    assert!(
        !driver.started_ms.contains_key(&key),
        "{}",
        driver.job_log(&key)
    );
}

/// Guards against resources that are released too early: a report counts as the acknowledgement of
/// a stop only if its worker has received the order to stop.
#[test]
fn stale_report_frees_nothing() {
    let mut driver = Driver::ready(small_fleet(), 10);
    let key = driver.submit(job("guests", "long", 1, 8, 60_000));
    driver.run_for(2_000);
    let at = driver.runners(&key)[0];
    driver.slots[at].partitioned = true;
    driver.cancel(&key);
    driver.run_for(500);
    let used = |d: &Driver| {
        let workers = d.scheduler.workers();
        workers
            .iter()
            .map(|worker| worker.accelerators_used.0)
            .sum::<u32>()
    };
    let mut poll = driver.slots[at].worker.poll(driver.now);
    poll.tasks.clear();
    driver.handle_event(Event::Polled { poll: poll.clone() });
    assert_eq!(
        used(&driver),
        8,
        "a report older than the stop order must not release anything"
    );
    poll.sequence = poll.sequence.next();
    poll.orders_version = OrdersVersion(poll.orders_version.0 + 1_000);
    driver.handle_event(Event::Polled { poll });
    assert_eq!(used(&driver), 0);
}
