use std::io;
use std::sync::mpsc as std_mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::sync::mpsc;
use tracing::{info, warn};

use super::core::StorageUpdate;
use super::files::{Store, is_disk_full};

/// How long to wait before retrying while the disk is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of storage updates that share one sync.
const MAX_BATCH_UPDATES: usize = 256;

/// Events reported by the writer thread.
#[derive(Debug)]
pub(super) enum DiskEvent {
    /// All storage updates up to this sequence number are on disk.
    Persisted(u64),
    /// The disk has become full (`true`) or has free space again (`false`).
    Full(bool),
    /// The disk failed. The replica stops because it cannot know what was written.
    Failed(io::Error),
}

/// The thread that writes the files, so that a slow disk does not delay messages.
#[derive(Debug)]
pub(super) struct Writer {
    updates: Option<std_mpsc::Sender<StorageUpdate>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    pub(super) fn start(
        store: Store,
        max_batch_updates: usize,
        events: mpsc::UnboundedSender<DiskEvent>,
    ) -> io::Result<Self> {
        let (updates, received) = std_mpsc::channel();
        let writer = WriterThread {
            store,
            events,
            is_full: false,
            max_batch_updates: max_batch_updates.clamp(1, MAX_BATCH_UPDATES),
        };
        let thread = thread::Builder::new()
            .name("replica-disk".to_owned())
            .spawn(move || writer.run(&received))?;
        Ok(Self {
            updates: Some(updates),
            thread: Some(thread),
        })
    }

    pub(super) fn write(&self, update: StorageUpdate) {
        if let Some(updates) = &self.updates {
            // The thread ends only after a disk failure, which it has already reported.
            drop(updates.send(update));
        }
    }

    /// Waits until all updates are written.
    pub(super) async fn finish(mut self) {
        self.updates = None;
        if let Some(thread) = self.thread.take() {
            drop(tokio::task::spawn_blocking(move || thread.join()).await);
        }
    }
}

struct WriterThread {
    store: Store,
    events: mpsc::UnboundedSender<DiskEvent>,
    is_full: bool,
    max_batch_updates: usize,
}

impl WriterThread {
    fn run(mut self, updates: &std_mpsc::Receiver<StorageUpdate>) {
        if let Err(error) = self.process_updates(updates) {
            warn!(event = "disk_failed", %error);
            drop(self.events.send(DiskEvent::Failed(error)));
        }
    }

    fn process_updates(&mut self, updates: &std_mpsc::Receiver<StorageUpdate>) -> io::Result<()> {
        self.ensure_reserve()?;
        loop {
            let first = if self.is_full {
                match updates.recv_timeout(RETRY_INTERVAL) {
                    Ok(update) => Some(update),
                    Err(std_mpsc::RecvTimeoutError::Timeout) => None,
                    Err(std_mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
                }
            } else {
                match updates.recv() {
                    Ok(update) => Some(update),
                    Err(std_mpsc::RecvError) => return Ok(()),
                }
            };
            if let Some(first) = first {
                let more = updates.try_iter().take(self.max_batch_updates - 1);
                let batch: Vec<_> = std::iter::once(first).chain(more).collect();
                self.write_batch(&batch)?;
            }
            if self.is_full {
                self.ensure_reserve()?;
            }
        }
    }

    fn write_batch(&mut self, batch: &[StorageUpdate]) -> io::Result<()> {
        for update in batch {
            self.retry_while_full(|store| store.apply(update))?;
        }
        self.retry_while_full(Store::sync)?;
        if let Some(last) = batch.last() {
            drop(self.events.send(DiskEvent::Persisted(last.sequence)));
        }
        Ok(())
    }

    /// Repeats an operation until the disk has enough space for it.
    fn retry_while_full(
        &mut self,
        mut operation: impl FnMut(&mut Store) -> io::Result<()>,
    ) -> io::Result<()> {
        loop {
            match operation(&mut self.store) {
                Err(error) if is_disk_full(&error) && !self.events.is_closed() => {
                    let was_full = self.is_full;
                    self.report_full(true);
                    self.store.release_reserve()?;
                    if was_full {
                        thread::sleep(RETRY_INTERVAL);
                    }
                }
                done => return done,
            }
        }
    }

    fn ensure_reserve(&mut self) -> io::Result<()> {
        let has_reserve = self.store.ensure_reserve()?;
        self.report_full(!has_reserve);
        Ok(())
    }

    fn report_full(&mut self, full: bool) {
        if self.is_full != full {
            info!(event = "disk_space", full);
            self.is_full = full;
            drop(self.events.send(DiskEvent::Full(full)));
        }
    }
}
