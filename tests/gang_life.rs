//! Gangs run whole or not at all, through every step of their life.

#[path = "support/gang_driver.rs"]
mod gang_driver;

use gang_driver::{Driver, ONE_LEASE_MS, add_team, in_force, job};
use marjoramknot::release_note::{Adjacency, InForce};

fn small_fleet() -> InForce {
    let mut state = in_force(&[("Senec", 1), ("Trnava", 1)], 4);
    add_team(&mut state, "ponds", &[(2, 8, Adjacency::Rack)]);
    add_team(&mut state, "guests", &[]);
    state
}

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
