use std::io;
use std::sync::Arc;

use super::Result;
use super::folder::Folder;
use super::frame::encode_frame;
use super::hard_state_slots::{HardStateSlot, write_slots};
use super::identity::Identity;
use super::log_files::LogFiles;
use super::open::SnapshotFile;
use super::segment::Segment;
use crate::replica::core::StorageUpdate;
use crate::replica::{Entry, Snapshot};
use crate::units::LogIndex;

/// File that contains the latest snapshot.
pub(super) const SNAPSHOT_FILE: &str = "snapshot";
/// File that reserves disk space for entries that were accepted before the disk became full.
pub(super) const RESERVE_FILE: &str = "reserve";
/// Size of the reserve in bytes.
const RESERVE_BYTES: u64 = 2 * 1024 * 1024;

/// Persists the storage updates of the core in a data folder.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    identity: Identity,
    slot: HardStateSlot,
    log: LogFiles,
    has_reserve: bool,
}

impl Store {
    pub(super) const fn new(
        folder: Folder,
        identity: Identity,
        slot: HardStateSlot,
        log: LogFiles,
    ) -> Self {
        Self {
            folder,
            identity,
            slot,
            log,
            has_reserve: false,
        }
    }

    /// Applies an update. Log entries become durable with [`Store::sync`], everything else before
    /// this function returns.
    ///
    /// An update that failed because the disk is full may be applied again.
    ///
    /// # Errors
    /// Those of the operating system.
    pub fn apply(&mut self, update: &StorageUpdate) -> Result<()> {
        if update.snapshot.is_some() || update.truncate_from.is_some() || update.reset_log {
            self.sync()?;
        }
        let snapshot_written = match &update.snapshot {
            Some(snapshot) => self.write_snapshot(snapshot, update.reset_log)?,
            None => true,
        };
        if update.reset_log {
            self.reset_log()?;
        }
        if update.group.is_some() || (update.snapshot.is_some() && !self.identity.has_state) {
            self.write_identity(update)?;
        }
        if let Some(index) = update.truncate_from {
            self.truncate_log(index)?;
        }
        if let Some(hard_state) = &update.hard_state
            && *hard_state != self.slot.hard_state
        {
            let mut slot = self.slot.clone();
            slot.hard_state = hard_state.clone();
            slot.vote_names_leader = true;
            self.write_slot(slot)?;
        }
        for entry in &update.entries {
            self.append(entry)?;
        }
        match update.compact_to {
            Some(index) if snapshot_written => self.log.compact(&mut self.folder, index),
            _ => Ok(()),
        }
    }

    /// Makes all appended log entries durable.
    ///
    /// # Errors
    /// Those of the operating system. If the disk is full, the call may be repeated.
    pub fn sync(&mut self) -> Result<()> {
        self.log.sync(&mut self.folder)
    }

    fn append(&mut self, entry: &Arc<Entry>) -> Result<()> {
        if self.log.next_index().is_some_and(|next| entry.index < next) {
            // The update is applied again after a full disk, and this entry was already appended.
            return Ok(());
        }
        if self.log.needs_new_segment() {
            self.sync()?;
            let id = &self.identity.folder;
            let segment = Segment::create(&mut self.folder, id, entry.index)?;
            let mut slot = self.slot.clone();
            slot.newest_segment = entry.index;
            self.write_slot(slot)?;
            self.log.segments.push(segment);
        }
        self.log.append(entry);
        Ok(())
    }

    fn write_slot(&mut self, mut slot: HardStateSlot) -> Result<()> {
        slot.sequence = self.slot.sequence + 1;
        write_slots(&mut self.folder, &slot)?;
        self.slot = slot;
        Ok(())
    }

    /// Writes a snapshot. Returns `false` if the disk is full but the snapshot is not required,
    /// because the previous snapshot and the log still contain the state.
    fn write_snapshot(&mut self, snapshot: &Arc<Snapshot>, is_required: bool) -> Result<bool> {
        let content = encode_frame(&SnapshotFile {
            folder: self.identity.folder.clone(),
            snapshot: Arc::clone(snapshot),
        });
        match self.folder.replace(SNAPSHOT_FILE, &content) {
            Ok(()) => Ok(true),
            Err(error) if is_disk_full(&error) && !is_required && self.identity.has_state => {
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    fn write_identity(&mut self, update: &StorageUpdate) -> Result<()> {
        let mut identity = self.identity.clone();
        if update.group.is_some() {
            identity.group.clone_from(&update.group);
        }
        identity.has_state |= update.snapshot.is_some();
        identity.write(&mut self.folder)?;
        self.identity = identity;
        Ok(())
    }

    fn reset_log(&mut self) -> Result<()> {
        let mut slot = self.slot.clone();
        slot.newest_segment = LogIndex::ZERO;
        self.write_slot(slot)?;
        self.log.reset(&mut self.folder)
    }

    fn truncate_log(&mut self, index: LogIndex) -> Result<()> {
        let newest_segment = self.log.newest_segment_after_truncate(index);
        if newest_segment != self.slot.newest_segment {
            let mut slot = self.slot.clone();
            slot.newest_segment = newest_segment;
            self.write_slot(slot)?;
        }
        self.log.truncate(&mut self.folder, index)
    }

    /// Removes the reserve, so that entries that were already accepted can be written.
    ///
    /// # Errors
    /// Those of the operating system.
    pub fn release_reserve(&mut self) -> Result<()> {
        self.has_reserve = false;
        self.folder.remove(RESERVE_FILE)?;
        self.folder.sync_folder()
    }

    fn write_reserve(&mut self) -> Result<()> {
        const CHUNK_BYTES: u64 = 64 * 1024;
        let zeros = vec![0; 64 * 1024];
        for chunk in 0..RESERVE_BYTES / CHUNK_BYTES {
            self.folder
                .write(RESERVE_FILE, chunk * CHUNK_BYTES, &zeros)?;
        }
        Ok(())
    }

    /// Creates the reserve if it does not exist. Returns `false` if the disk has no space for it.
    ///
    /// # Errors
    /// Those of the operating system, except for a full disk.
    pub fn ensure_reserve(&mut self) -> Result<bool> {
        if self.has_reserve {
            return Ok(true);
        }
        let written = self
            .write_reserve()
            .and_then(|()| self.folder.sync(RESERVE_FILE));
        match written {
            Ok(()) => self.has_reserve = true,
            Err(error) if is_disk_full(&error) => self.release_reserve()?,
            Err(error) => return Err(error),
        }
        Ok(self.has_reserve)
    }
}

/// Whether an error reports a full disk or an exceeded quota.
#[must_use]
pub fn is_disk_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}
