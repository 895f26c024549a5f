use std::net::SocketAddr;

use tokio::time::{Duration, MissedTickBehavior, interval};
use tokio_util::task::AbortOnDropHandle;
use tracing::debug;

use super::settings_feed::SettingsFeed;
use crate::control::Client;
use crate::kernel::{Service, StopFn};
use crate::units::Millis;

/// Interval at which an entry asks for the replicas of the control group. It is shorter than the
/// time between two planned replacements of replicas.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Deadline of a question for the replicas of the control group.
const MEMBERS_DEADLINE_MS: Millis = Millis(1_000);

/// Service that keeps an entry's client in touch with a control group whose replicas change.
///
/// The replicas named by the settings may all be replaced while the entry runs, so the client learns
/// the present ones from the leader, and new addresses from changed settings.
#[must_use]
pub fn group_view_service<S: Send + Sync + 'static>(
    client: Client,
    settings: SettingsFeed<S>,
    addresses: fn(&S) -> Vec<SocketAddr>,
) -> Service {
    Service::new("group_view", &[], move |_registry| async move {
        let follow = follow_settings(client.clone(), settings, addresses);
        let tasks = [
            AbortOnDropHandle::new(tokio::spawn(follow)),
            AbortOnDropHandle::new(tokio::spawn(refresh_members(client))),
        ];
        let stop: StopFn = Box::new(move || {
            drop(tasks);
            Box::pin(async {})
        });
        Ok(stop)
    })
}

/// Passes the addresses of replicas in changed settings on to a client, until no more changes come.
pub async fn follow_settings<S>(
    client: Client,
    mut settings: SettingsFeed<S>,
    addresses: fn(&S) -> Vec<SocketAddr>,
) {
    while let Some(changed) = settings.changed().await {
        client.set_configured(addresses(&changed));
    }
}

async fn refresh_members(client: Client) {
    let client = client.with_deadline(MEMBERS_DEADLINE_MS);
    let mut ticks = interval(MEMBERS_REFRESH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(cause) = client.refresh_members().await {
            debug!(event = "control_members_unknown", %cause);
        }
    }
}
