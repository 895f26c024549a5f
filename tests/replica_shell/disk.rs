//! A data folder in memory that loses what was not synced, can be damaged and can be full.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use marjoramknot::replica::files::{FileOp, FileOutput, Folder};

/// What becomes of a write that was not synced when the process is killed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unsynced {
    /// Nothing of it is on the disk.
    Lost,
    /// All of it is on the disk.
    Kept,
    /// The first half of its bytes is on the disk.
    Half,
    /// Its length is on the disk, but only zeros in place of the bytes.
    Zeros,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Names as processes see them.
    names: BTreeMap<String, usize>,
    /// Names as they are on the disk.
    synced_names: BTreeMap<String, usize>,
    /// Contents as processes see them, and as they are on the disk.
    files: Vec<(Vec<u8>, Vec<u8>)>,
    steps: usize,
    stop_at: Option<usize>,
    free_bytes: Option<usize>,
    syncs: usize,
}

/// The disk; it outlives the folders that are opened on it.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    state: Arc<Mutex<State>>,
}

impl FakeDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test thread panics")
    }

    /// Opens the folder.
    pub fn folder(&self) -> Folder {
        let disk = self.clone();
        Folder::new(Box::new(move |op| disk.state().perform(op)))
    }

    /// Fails every step from this one on, as if the process was killed before it.
    pub fn stop_at(&self, step: Option<usize>) {
        let mut state = self.state();
        state.steps = 0;
        state.stop_at = step;
    }

    /// Whether a step has failed because of [`FakeDisk::stop_at`].
    pub fn has_stopped(&self) -> bool {
        let state = self.state();
        state.stop_at.is_some_and(|stop| state.steps > stop)
    }

    /// Lets only so many more bytes be written; none for no limit.
    pub fn limit(&self, free_bytes: Option<usize>) {
        self.state().free_bytes = free_bytes;
    }

    /// How often a file was synced.
    pub fn syncs(&self) -> usize {
        self.state().syncs
    }

    /// Drops what was not synced, as a crash does.
    pub fn crash(&self, unsynced: Unsynced) {
        let mut state = self.state();
        if unsynced != Unsynced::Kept {
            state.names = state.synced_names.clone();
        }
        for (seen, synced) in &mut state.files {
            *seen = match unsynced {
                Unsynced::Kept => seen.clone(),
                Unsynced::Lost => synced.clone(),
                Unsynced::Half => half(seen, synced),
                Unsynced::Zeros => zeros(seen, synced),
            };
            synced.clone_from(seen);
        }
        state.synced_names = state.names.clone();
        state.stop_at = None;
    }

    /// The names of all files.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Changes the content of a file behind the replica's back.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let place = state.names[name];
        let (seen, synced) = &mut state.files[place];
        change(seen);
        synced.clone_from(seen);
    }

    /// Removes a file behind the replica's back.
    pub fn remove(&self, name: &str) {
        let mut state = self.state();
        state.names.remove(name);
        state.synced_names.remove(name);
    }

    /// A copy of the whole disk.
    pub fn copy(&self) -> Self {
        let state = self.state().clone();
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

/// What both contents have in common, and half of what differs from there on.
fn half(seen: &[u8], synced: &[u8]) -> Vec<u8> {
    let same = seen.iter().zip(synced).take_while(|(a, b)| a == b).count();
    let mut content = synced.to_vec();
    if seen.len() < synced.len() {
        return content;
    }
    let end = same + (seen.len() - same) / 2;
    content.truncate(end);
    let from = content.len().min(same);
    content.truncate(from);
    content.extend_from_slice(&seen[from..end]);
    if content.len() < synced.len() {
        content.extend_from_slice(&synced[content.len()..]);
    }
    content
}

fn zeros(seen: &[u8], synced: &[u8]) -> Vec<u8> {
    let mut content = synced.to_vec();
    content.resize(seen.len().max(synced.len()), 0);
    content
}

impl State {
    fn perform(&mut self, op: FileOp<'_>) -> io::Result<FileOutput> {
        if !matches!(op, FileOp::List | FileOp::Read(_)) {
            self.steps += 1;
            if self.stop_at.is_some_and(|stop| self.steps > stop) {
                return Err(io::Error::other("the process was killed"));
            }
        }
        match op {
            FileOp::List => {
                let names = self.names.keys().cloned().collect();
                return Ok(FileOutput::Names(names));
            }
            FileOp::Read(name) => {
                let place = self.place(name)?;
                return Ok(FileOutput::Content(self.files[place].0.clone()));
            }
            FileOp::Write { name, offset, data } => self.write(name, offset, data)?,
            FileOp::Truncate { name, length } => {
                let place = self.place(name)?;
                let length = usize::try_from(length).expect("the length fits");
                let content = &mut self.files[place].0;
                let freed = content.len().saturating_sub(length);
                content.resize(length, 0);
                self.free(freed);
            }
            FileOp::Sync(name) => {
                self.syncs += 1;
                let place = self.place(name)?;
                let (seen, synced) = &mut self.files[place];
                synced.clone_from(seen);
            }
            FileOp::Rename { from, to } => {
                let place = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
                self.names.insert(to.to_owned(), place);
            }
            FileOp::Remove(name) => {
                let place = self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
                self.free(self.files[place].0.len());
            }
            FileOp::SyncFolder => self.synced_names = self.names.clone(),
        }
        Ok(FileOutput::Done)
    }

    fn place(&self, name: &str) -> io::Result<usize> {
        let place = self.names.get(name).copied();
        place.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn free(&mut self, bytes: usize) {
        if let Some(free_bytes) = &mut self.free_bytes {
            *free_bytes += bytes;
        }
    }

    /// Writes as much as there is space for.
    fn write(&mut self, name: &str, offset: u64, data: &[u8]) -> io::Result<()> {
        let known = self.names.get(name).copied();
        let place = known.unwrap_or(self.files.len());
        if known.is_none() {
            self.files.push((Vec::new(), Vec::new()));
            self.names.insert(name.to_owned(), place);
        }
        let content = &mut self.files[place].0;
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
