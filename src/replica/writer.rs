use std::io;
use std::sync::mpsc as std_mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};

use super::core::StorageUpdate;
use super::files::{Store, is_full};

/// How often a full disk is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Most steps that share one sync.
const MAX_BATCH_STEPS: usize = 256;

/// What the writer's thread tells.
#[derive(Debug)]
pub(super) enum DiskEvent {
    /// All steps up to this number are on the disk.
    Persisted(u64),
    /// The disk became full, or has space again.
    Full(bool),
    /// The disk failed; the replica stops, as it can't know what was written.
    Failed(io::Error),
}

/// The thread that writes the files, so that a slow disk never holds up messages.
#[derive(Debug)]
pub(super) struct Writer {
    steps: Option<std_mpsc::Sender<StorageUpdate>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    pub(super) fn start(
        store: Store,
        batch_steps: usize,
        events: mpsc::UnboundedSender<DiskEvent>,
    ) -> io::Result<Self> {
        let (steps, received) = std_mpsc::channel();
        let run = WriterRun {
            store,
            events,
            is_full: false,
            batch_steps: batch_steps.clamp(1, MAX_BATCH_STEPS),
        };
        let thread = thread::Builder::new()
            .name("replica-disk".to_owned())
            .spawn(move || run.run(&received))?;
        Ok(Self {
            steps: Some(steps),
            thread: Some(thread),
        })
    }

    pub(super) fn write(&self, save: StorageUpdate) {
        if let Some(steps) = &self.steps {
            // The thread ends only after a failure of the disk, which it has told.
            drop(steps.send(save));
        }
    }

    /// Waits until all steps are written.
    pub(super) async fn finish(mut self) {
        self.steps = None;
        if let Some(thread) = self.thread.take() {
            drop(tokio::task::spawn_blocking(move || thread.join()).await);
        }
    }
}

struct WriterRun {
    store: Store,
    events: mpsc::UnboundedSender<DiskEvent>,
    is_full: bool,
    batch_steps: usize,
}

impl WriterRun {
    fn run(mut self, steps: &std_mpsc::Receiver<StorageUpdate>) {
        if let Err(error) = self.serve(steps) {
            warn!(event = "disk_failed", %error);
            drop(self.events.send(DiskEvent::Failed(error)));
        }
    }

    fn serve(&mut self, steps: &std_mpsc::Receiver<StorageUpdate>) -> io::Result<()> {
        self.check_reserve()?;
        loop {
            let first = if self.is_full {
                match steps.recv_timeout(RETRY_INTERVAL) {
                    Ok(save) => Some(save),
                    Err(std_mpsc::RecvTimeoutError::Timeout) => None,
                    Err(std_mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
                }
            } else {
                match steps.recv() {
                    Ok(save) => Some(save),
                    Err(std_mpsc::RecvError) => return Ok(()),
                }
            };
            if let Some(first) = first {
                let more = steps.try_iter().take(self.batch_steps - 1);
                let batch: Vec<_> = std::iter::once(first).chain(more).collect();
                self.write_batch(&batch)?;
            }
            if self.is_full {
                self.check_reserve()?;
            }
        }
    }

    fn write_batch(&mut self, batch: &[StorageUpdate]) -> io::Result<()> {
        for save in batch {
            self.with_space(|store| store.apply(save))?;
        }
        self.with_space(Store::sync)?;
        if let Some(last) = batch.last() {
            drop(self.events.send(DiskEvent::Persisted(last.sequence)));
        }
        Ok(())
    }

    /// Repeats a step until the disk has space for it.
    fn with_space(&mut self, mut step: impl FnMut(&mut Store) -> io::Result<()>) -> io::Result<()> {
        loop {
            match step(&mut self.store) {
                Err(error) if is_full(&error) && !self.events.is_closed() => {
                    let was_full = self.is_full;
                    self.tell_full(true);
                    self.store.free_reserve()?;
                    if was_full {
                        thread::sleep(RETRY_INTERVAL);
                    }
                }
                done => return done,
            }
        }
    }

    fn check_reserve(&mut self) -> io::Result<()> {
        let has_reserve = self.store.fill_reserve()?;
        self.tell_full(!has_reserve);
        Ok(())
    }

    fn tell_full(&mut self, full: bool) {
        if self.is_full != full {
            info!(event = "disk_space", full);
            self.is_full = full;
            drop(self.events.send(DiskEvent::Full(full)));
        }
    }
}
