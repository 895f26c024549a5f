//! Measures the restart time of a replica after many changes, with and without snapshots.

use std::time::Instant;

use crate::Figure;
use crate::group::{Group, Settings, note, pause, runtime};

const CHANGES: u64 = 10_000;

pub fn measure() -> Vec<Figure> {
    let runtime = runtime();
    let without = Settings {
        snapshot_records: u64::MAX,
        ..Settings::DEFAULT
    };
    let with_ms = runtime.block_on(run(Settings::DEFAULT));
    let without_ms = runtime.block_on(run(without));
    vec![
        Figure::new("restart_ms", with_ms),
        Figure::new("restart_without_snapshots_ms", without_ms),
    ]
}

/// Returns the milliseconds from the restart of a killed follower until it has applied all
/// committed changes.
async fn run(settings: Settings) -> f64 {
    let mut group = Group::start(settings).await;
    group.propose_in_order((0..CHANGES).map(note)).await;
    let leader = group.leader().await;
    let follower = (leader + 1) % settings.voters;
    let changes = group
        .replica_at(leader)
        .machine
        .read(marjoramknot::control::StateMachine::applied);
    let caught_up = |group: &Group| {
        let machine = &group.replica_at(follower).machine;
        machine.read(|m| m.applied() >= changes)
    };
    while !caught_up(&group) {
        pause().await;
    }
    group.kill(follower).await;
    // Gives the writer thread time to finish its last write and release the folder.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let from = Instant::now();
    group.revive(follower).await;
    while !caught_up(&group) {
        pause().await;
    }
    from.elapsed().as_secs_f64() * 1e3
}
