//! An in-memory data folder that loses unsynced data on a crash, can be damaged and can be full.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use marjoramknot::replica::files::{FileOp, FileOutput, Folder};

/// What a crash leaves of writes that were not synced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsyncedWrites {
    /// The writes are lost.
    Lost,
    /// The writes are complete.
    Kept,
    /// The first half of the changed bytes is written.
    Partial,
    /// The file has its new length, but the new bytes are zeros.
    Zeros,
}

#[derive(Clone, Debug, Default)]
struct DiskState {
    /// Visible file names and their positions in `files`.
    names: BTreeMap<String, usize>,
    /// File names after a crash.
    synced_names: BTreeMap<String, usize>,
    /// For each file its visible content and its content after a crash.
    files: Vec<(Vec<u8>, Vec<u8>)>,
    /// Number of modifying operations since the last call of [`FakeDisk::fail_from`].
    step_count: usize,
    fail_from_step: Option<usize>,
    free_bytes: Option<usize>,
    sync_count: usize,
}

/// An in-memory disk. Clones share their state, so that the disk outlives the opened folders.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    state: Arc<Mutex<DiskState>>,
}

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().expect("no test thread panics")
    }

    /// Opens a folder on this disk.
    pub fn folder(&self) -> Folder {
        let disk = self.clone();
        Folder::new(Box::new(move |op| disk.state().perform(op)))
    }

    /// Lets the given number of modifying operations succeed and fails all later ones, as if the
    /// process had been killed.
    pub fn fail_from(&self, step: Option<usize>) {
        let mut state = self.state();
        state.step_count = 0;
        state.fail_from_step = step;
    }

    /// Whether an operation has failed because of [`FakeDisk::fail_from`].
    pub fn has_failed(&self) -> bool {
        let state = self.state();
        state
            .fail_from_step
            .is_some_and(|step| state.step_count > step)
    }

    /// Limits the number of bytes by which files may still grow. `None` removes the limit.
    pub fn limit_space(&self, free_bytes: Option<usize>) {
        self.state().free_bytes = free_bytes;
    }

    /// Number of file syncs so far.
    pub fn sync_count(&self) -> usize {
        self.state().sync_count
    }

    /// Simulates a crash, which affects data that was not synced.
    pub fn crash(&self, unsynced: UnsyncedWrites) {
        let mut state = self.state();
        if unsynced != UnsyncedWrites::Kept {
            state.names = state.synced_names.clone();
        }
        for (visible, synced) in &mut state.files {
            *visible = match unsynced {
                UnsyncedWrites::Kept => visible.clone(),
                UnsyncedWrites::Lost => synced.clone(),
                UnsyncedWrites::Partial => partial_content(visible, synced),
                UnsyncedWrites::Zeros => zeroed_content(visible, synced),
            };
            synced.clone_from(visible);
        }
        state.synced_names = state.names.clone();
        state.fail_from_step = None;
    }

    /// Returns the names of all files.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Modifies the content of a file without the replica's knowledge.
    pub fn modify(&self, name: &str, modify: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let file_index = state.names[name];
        let (visible, synced) = &mut state.files[file_index];
        modify(visible);
        synced.clone_from(visible);
    }

    /// Removes a file without the replica's knowledge.
    pub fn remove(&self, name: &str) {
        let mut state = self.state();
        state.names.remove(name);
        state.synced_names.remove(name);
    }

    /// Returns an independent copy of the disk.
    pub fn deep_copy(&self) -> Self {
        let state = self.state().clone();
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

/// Returns the common prefix of both contents, followed by half of the visible bytes after it.
fn partial_content(visible: &[u8], synced: &[u8]) -> Vec<u8> {
    let same = visible
        .iter()
        .zip(synced)
        .take_while(|(a, b)| a == b)
        .count();
    let mut content = synced.to_vec();
    if visible.len() < synced.len() {
        return content;
    }
    let end = same + (visible.len() - same) / 2;
    content.truncate(end);
    let from = content.len().min(same);
    content.truncate(from);
    content.extend_from_slice(&visible[from..end]);
    if content.len() < synced.len() {
        content.extend_from_slice(&synced[content.len()..]);
    }
    content
}

/// Returns the synced content, extended with zeros to the visible length.
fn zeroed_content(visible: &[u8], synced: &[u8]) -> Vec<u8> {
    let mut content = synced.to_vec();
    content.resize(visible.len().max(synced.len()), 0);
    content
}

impl DiskState {
    fn perform(&mut self, op: FileOp<'_>) -> io::Result<FileOutput> {
        if !matches!(op, FileOp::List | FileOp::Read(_)) {
            self.step_count += 1;
            if self
                .fail_from_step
                .is_some_and(|step| self.step_count > step)
            {
                return Err(io::Error::other("the process was killed"));
            }
        }
        match op {
            FileOp::List => {
                let names = self.names.keys().cloned().collect();
                return Ok(FileOutput::Names(names));
            }
            FileOp::Read(name) => {
                let file_index = self.file_index(name)?;
                return Ok(FileOutput::Content(self.files[file_index].0.clone()));
            }
            FileOp::Write { name, offset, data } => self.write(name, offset, data)?,
            FileOp::Truncate { name, length } => {
                let file_index = self.file_index(name)?;
                let length = usize::try_from(length).expect("the length fits");
                let content = &mut self.files[file_index].0;
                let freed = content.len().saturating_sub(length);
                content.resize(length, 0);
                self.release_space(freed);
            }
            FileOp::Sync(name) => {
                self.sync_count += 1;
                let file_index = self.file_index(name)?;
                let (visible, synced) = &mut self.files[file_index];
                synced.clone_from(visible);
            }
            FileOp::Rename { from, to } => {
                let file_index = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
                self.names.insert(to.to_owned(), file_index);
            }
            FileOp::Remove(name) => {
                let file_index = self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
                self.release_space(self.files[file_index].0.len());
            }
            FileOp::SyncFolder => self.synced_names = self.names.clone(),
        }
        Ok(FileOutput::Done)
    }

    fn file_index(&self, name: &str) -> io::Result<usize> {
        let file_index = self.names.get(name).copied();
        file_index.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn release_space(&mut self, bytes: usize) {
        if let Some(free_bytes) = &mut self.free_bytes {
            *free_bytes += bytes;
        }
    }

    /// Writes as many bytes as the free space allows. Fails if that is not all of them.
    fn write(&mut self, name: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        let known = self.names.get(name).copied();
        let file_index = known.unwrap_or(self.files.len());
        if known.is_none() {
            self.files.push((Vec::new(), Vec::new()));
            self.names.insert(name.to_owned(), file_index);
        }
        let content = &mut self.files[file_index].0;
        let start = usize::try_from(offset).expect("the offset fits");
        let grows = (start + data.len()).saturating_sub(content.len());
        let allowed = self.free_bytes.map_or(grows, |free| grows.min(free));
        let end = start + data.len() - (grows - allowed);
        if content.len() < end {
            content.resize(end, 0);
        }
        if end > start {
            content[start..end].copy_from_slice(&data[..end - start]);
        }
        if let Some(free_bytes) = &mut self.free_bytes {
            *free_bytes -= allowed;
        }
        if allowed < grows {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}
