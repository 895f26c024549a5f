//! Measures the time from the loss of the leader until the group commits again.

use std::time::Instant;

use crate::Figure;
use crate::group::{Group, Settings, note, runtime};

const KILLS: u64 = 10;

pub fn measure() -> Vec<Figure> {
    let mut times = runtime().block_on(run());
    times.sort_unstable_by(f64::total_cmp);
    vec![
        Figure::new("failover_median_ms", times[times.len() / 2]),
        // The maximum over all kills.
        Figure::new("failover_ms", times[times.len() - 1]),
    ]
}

async fn run() -> Vec<f64> {
    let mut group = Group::start(Settings::DEFAULT).await;
    let mut times = Vec::new();
    group.propose(&note(0)).await;
    for kill in 1..=KILLS {
        let leader = group.leader().await;
        let from = Instant::now();
        group.kill(leader).await;
        group.propose(&note(kill)).await;
        times.push(from.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        group.revive(leader).await;
        // Gives the restarted replica time to become a full follower before the next kill.
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    }
    times
}
