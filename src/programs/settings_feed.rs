use std::path::{Path, PathBuf};
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Duration, MissedTickBehavior, interval};
use tracing::{error, info};

use super::Result;
use crate::settings;

/// Interval at which a settings file is read, since it may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The settings of a running daemon and their changes.
///
/// Only the addresses of the control group's replicas take effect while a daemon runs. All other
/// fields do at the next start.
#[derive(Clone, Debug)]
pub struct SettingsFeed<S>(watch::Receiver<Arc<S>>);

impl<S> From<S> for SettingsFeed<S> {
    /// Creates a feed of settings that do not change.
    fn from(settings: S) -> Self {
        Self(watch::Sender::new(Arc::new(settings)).subscribe())
    }
}

impl<S> SettingsFeed<S> {
    /// Returns the settings as last read.
    #[must_use]
    pub fn current(&self) -> Arc<S> {
        Arc::clone(&self.0.borrow())
    }

    /// Waits for the next change. Returns `None` if no more changes can come.
    pub async fn changed(&mut self) -> Option<Arc<S>> {
        self.0.changed().await.ok()?;
        Some(Arc::clone(&self.0.borrow_and_update()))
    }
}

impl<S: Eq + Send + Sync + 'static> SettingsFeed<S> {
    /// Follows a settings file: it is read on every SIGHUP and at intervals. Invalid settings are
    /// logged and change nothing.
    ///
    /// # Errors
    /// Returns an error if the signal handler cannot be installed.
    pub fn follow_file(
        settings: S,
        load: fn(&Path) -> settings::Result<S>,
        path: PathBuf,
    ) -> Result<Self> {
        let mut hangups = signal(SignalKind::hangup()).map_err(|cause| cause.to_string())?;
        let (sender, receiver) = watch::channel(Arc::new(settings));
        tokio::spawn(async move {
            let mut checks = interval(FILE_CHECK_INTERVAL);
            checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut last_error = None;
            loop {
                let signalled = tokio::select! {
                    Some(()) = hangups.recv() => true,
                    _ = checks.tick() => false,
                };
                match load(&path) {
                    Ok(settings) => {
                        last_error = None;
                        if publish(&sender, settings) || signalled {
                            let outcome = "addresses of replicas in force, others at next start";
                            info!(event = "settings_changed", outcome);
                        }
                    }
                    Err(cause) => {
                        let cause = cause.to_string();
                        if signalled || last_error.as_ref() != Some(&cause) {
                            let path = path.display();
                            error!(event = "settings_refused", %path, cause);
                        }
                        last_error = Some(cause);
                    }
                }
            }
        });
        Ok(Self(receiver))
    }
}

fn publish<S: Eq>(sender: &watch::Sender<Arc<S>>, settings: S) -> bool {
    sender.send_if_modified(|current| {
        let differs = **current != settings;
        if differs {
            *current = Arc::new(settings);
        }
        differs
    })
}
