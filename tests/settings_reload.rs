//! Changes of a settings file while a daemon runs.

#[path = "support/control_net.rs"]
mod control_net;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use assert_matches::assert_matches;
use control_net::{FakeReplica, SharedLog};
use marjoramknot::control::{Client, ControlError};
use marjoramknot::programs::{SettingsFeed, follow_settings};
use marjoramknot::settings::EntrySettings;
use marjoramknot::units::Millis;
use marjoramknot::workload::{WorkAnswer, WorkRequest};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::{Duration, timeout};

/// Limit for a change of the file to take effect.
const RELOAD_MAX: Duration = Duration::from_secs(10);

fn write_settings(path: &Path, control: SocketAddr) {
    let text = format!(
        "name = \"entry-1\"\nzone = \"senec\"\ncontrol = [\"{control}\"]\n\
         callers.listen = \"127.0.0.1:0\"\nfleet.listen = \"127.0.0.1:0\"\n\
         operators.listen = \"127.0.0.1:0\"\n"
    );
    fs::write(path, text).expect("the file can be written");
}

fn follow(control: SocketAddr) -> (TempDir, PathBuf, SettingsFeed<EntrySettings>) {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let path = folder.path().join("entry.toml");
    write_settings(&path, control);
    let settings = EntrySettings::load(&path).expect("the settings are valid");
    let feed = SettingsFeed::follow_file(settings, EntrySettings::load, path.clone());
    (folder, path, feed.expect("the signal can be handled"))
}

/// Returns an address at which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// Guards against an entry that keeps only the replicas that its settings named at its start: the
/// file changes without a signal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changed_replicas_are_used() {
    let log = SharedLog::default();
    let replica = FakeReplica::start(&log).await;
    replica.become_leader(&log, 1);
    let (_folder, path, feed) = follow(closed_address().await);
    let client = Client::new(feed.current().control.clone());
    let addresses = |settings: &EntrySettings| settings.control.clone();
    tokio::spawn(follow_settings(client.clone(), feed, addresses));
    let client = client.with_deadline(Millis(500));
    let before = client.work(WorkRequest::CheckLeader).await;
    assert_matches!(before, Err(ControlError::Unreachable));

    write_settings(&path, replica.address);
    let found = timeout(RELOAD_MAX, async {
        loop {
            if let Ok(answer) = client.work(WorkRequest::CheckLeader).await {
                return answer;
            }
        }
    });
    assert_matches!(found.await, Ok(WorkAnswer::Done));
}

/// A file that is invalid for a while leaves the settings in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_file_changes_nothing() {
    let (first, second) = (closed_address().await, closed_address().await);
    let (_folder, path, mut feed) = follow(first);
    fs::write(&path, "control = [").expect("the file can be written");
    let changed = timeout(Duration::from_secs(5), feed.changed()).await;
    assert!(changed.is_err(), "an invalid file is not in force");
    write_settings(&path, second);
    let changed = timeout(RELOAD_MAX, feed.changed()).await;
    let settings = assert_matches!(changed, Ok(Some(settings)) => settings);
    assert_eq!(settings.control, [second]);
    assert!(Arc::ptr_eq(&settings, &feed.current()));
}
