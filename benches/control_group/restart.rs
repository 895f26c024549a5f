//! Measures the restart time of a replica after many changes, with and without snapshots.

use std::time::Instant;

use crate::Figure;
use crate::group::{Group, Settings, runtime, sleep_1ms, team_note};

const CHANGES: u64 = 10_000;

pub fn measure() -> Vec<Figure> {
    let runtime = runtime();
    let without_snapshots = Settings {
        snapshot_entries: u64::MAX,
        ..Settings::DEFAULT
    };
    let with_ms = runtime.block_on(measure_restart_ms(Settings::DEFAULT));
    let without_ms = runtime.block_on(measure_restart_ms(without_snapshots));
    vec![
        Figure::new("restart_ms", with_ms),
        Figure::new("restart_without_snapshots_ms", without_ms),
    ]
}

/// Returns the milliseconds from the restart of a killed follower until it has applied all
/// committed changes.
async fn measure_restart_ms(settings: Settings) -> f64 {
    let mut group = Group::start(settings).await;
    group.propose_in_order((0..CHANGES).map(team_note)).await;
    let leader = group.leader().await;
    let follower = (leader + 1) % settings.voters;
    let last_applied = group
        .replica_at(leader)
        .state_machine
        .read(marjoramknot::control::StateMachine::applied);
    let caught_up = |group: &Group| {
        let state_machine = &group.replica_at(follower).state_machine;
        state_machine.read(|m| m.applied() >= last_applied)
    };
    while !caught_up(&group) {
        sleep_1ms().await;
    }
    group.kill(follower).await;
    // Gives the writer thread time to finish its last write and release the folder.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let started = Instant::now();
    group.restart(follower).await;
    while !caught_up(&group) {
        sleep_1ms().await;
    }
    started.elapsed().as_secs_f64() * 1e3
}
