//! Measures the time from the loss of the leader until the group commits again.

use std::time::Instant;

use crate::Figure;
use crate::group::{Group, Settings, runtime, team_note};

const KILLS: u64 = 10;

pub fn measure() -> Vec<Figure> {
    let mut times_ms = runtime().block_on(measure_failovers());
    times_ms.sort_unstable_by(f64::total_cmp);
    vec![
        Figure::new("failover_median_ms", times_ms[times_ms.len() / 2]),
        // The maximum over all kills.
        Figure::new("failover_ms", times_ms[times_ms.len() - 1]),
    ]
}

async fn measure_failovers() -> Vec<f64> {
    let mut group = Group::start(Settings::DEFAULT).await;
    let mut times_ms = Vec::new();
    group.propose(&team_note(0)).await;
    for kill in 1..=KILLS {
        let leader = group.leader().await;
        let killed = Instant::now();
        group.kill(leader).await;
        group.propose(&team_note(kill)).await;
        times_ms.push(killed.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        group.restart(leader).await;
        // Gives the restarted replica time to become a full follower before the next kill.
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    }
    times_ms
}
