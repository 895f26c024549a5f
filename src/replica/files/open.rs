use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Result;
use super::folder::Folder;
use super::frame::decode_single_frame;
use super::hard_state_slots::{HardStateSlot, SLOT_FILES, read_slots};
use super::identity::{IDENTITY_FILE, Identity};
use super::log_files::{LoadedLog, LogFiles};
use super::store::{RESERVE_FILE, SNAPSHOT_FILE, Store};
use crate::replica::core::RecoveredState;
use crate::replica::{Entry, Snapshot};
use crate::units::{FolderId, GroupId, LogIndex, ReplicaId};

/// How the names of files begin that a retired folder left behind for the operator.
const RETIRED_PREFIX: &str = "retired-";

/// A snapshot with the folder that it was written in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SnapshotFile {
    pub(super) folder: FolderId,
    pub(super) snapshot: Arc<Snapshot>,
}

/// An opened data folder.
#[derive(Debug)]
pub struct OpenedStore {
    /// The way to write.
    pub store: Store,
    /// The folder's id: a new one where the folder was blank or damaged.
    pub folder: FolderId,
    /// What the core starts from.
    pub recovered: RecoveredState,
    /// Why an earlier folder was retired just now.
    pub retirement_cause: Option<&'static str>,
}

/// What reading the folder gave.
enum FolderState {
    Blank,
    Intact(Box<IntactFolder>),
    Damaged {
        cause: &'static str,
        group: Option<GroupId>,
    },
}

struct IntactFolder {
    identity: Identity,
    slot: HardStateSlot,
    snapshot: Option<Arc<Snapshot>>,
    log: LogFiles,
    entries: Vec<Arc<Entry>>,
}

/// What a new folder begins with.
#[derive(Default)]
struct NewFolderOptions {
    group: Option<GroupId>,
    replaces_damaged_folder: bool,
}

/// Opens a folder and checks all of it.
///
/// # Errors
/// Those of the operating system; damage is no error but leads to a new folder id.
pub fn open_store(mut folder: Folder, name: &ReplicaId, segment_bytes: u64) -> Result<OpenedStore> {
    let state = inspect(&mut folder, name, segment_bytes)?;
    let (intact, retirement_cause) = match state {
        FolderState::Intact(intact) => (*intact, None),
        FolderState::Blank => (
            create_folder(
                &mut folder,
                name,
                NewFolderOptions::default(),
                segment_bytes,
            )?,
            None,
        ),
        FolderState::Damaged { cause, group } => {
            let options = NewFolderOptions {
                group,
                replaces_damaged_folder: true,
            };
            (
                create_folder(&mut folder, name, options, segment_bytes)?,
                Some(cause),
            )
        }
    };
    let recovered = RecoveredState {
        group: intact.identity.group.clone(),
        hard_state: intact.slot.hard_state.clone(),
        snapshot: intact.snapshot,
        entries: intact.entries,
        replaces_damaged_folder: intact.identity.replaces_damaged_folder,
    };
    let id = intact.identity.folder.clone();
    Ok(OpenedStore {
        store: Store::new(folder, intact.identity, intact.slot, intact.log),
        folder: id,
        recovered,
        retirement_cause,
    })
}

/// Starts a new folder; the files of a damaged one are set aside under other names.
fn create_folder(
    folder: &mut Folder,
    name: &ReplicaId,
    options: NewFolderOptions,
    segment_bytes: u64,
) -> Result<IntactFolder> {
    let names = folder.list()?;
    let (old, present): (Vec<_>, Vec<_>) = names
        .into_iter()
        .partition(|file| file.starts_with(RETIRED_PREFIX));
    let mut kept = Vec::new();
    for file in present {
        // The identity goes first: without it no other file is ever taken for this replica's.
        if options.replaces_damaged_folder && file != RESERVE_FILE {
            let retired = format!("{RETIRED_PREFIX}{file}");
            folder.rename(&file, &retired)?;
            kept.push(retired);
        } else {
            folder.remove(&file)?;
        }
        folder.sync_folder()?;
    }
    let mut identity = Identity::generate(name.clone());
    identity.replaces_damaged_folder = options.replaces_damaged_folder;
    identity.group = options.group;
    let slot = identity.create(folder)?;
    // Only the files that were retired last are kept for the operator.
    for file in old.iter().filter(|file| !kept.contains(file)) {
        folder.remove(file)?;
    }
    Ok(IntactFolder {
        identity,
        slot,
        snapshot: None,
        log: LogFiles::new(segment_bytes),
        entries: Vec::new(),
    })
}

fn inspect(folder: &mut Folder, name: &ReplicaId, segment_bytes: u64) -> Result<FolderState> {
    let names = folder.list()?;
    let Some(content) = folder.read(IDENTITY_FILE)? else {
        return Ok(inspect_without_identity(&names));
    };
    let Some(identity) = Identity::decode(&content) else {
        return Ok(damaged("the identity is damaged", None));
    };
    if identity.name != *name {
        return Ok(damaged("the folder is another replica's", None));
    }
    let group = identity.group.clone();
    let Some(slot) = read_slots(folder, &identity.folder)? else {
        return Ok(damaged("the term and vote are lost", group));
    };
    inspect_state(folder, identity, slot, segment_bytes)
}

fn damaged(cause: &'static str, group: Option<GroupId>) -> FolderState {
    FolderState::Damaged { cause, group }
}

/// A folder without an identity is blank only where nothing but a first start was under way.
fn inspect_without_identity(names: &[String]) -> FolderState {
    let identity_tmp = format!("{IDENTITY_FILE}.tmp");
    let of_first_start =
        |name: &str| SLOT_FILES.contains(&name) || name == identity_tmp || name == RESERVE_FILE;
    let retired = names.iter().any(|n| n.starts_with(RETIRED_PREFIX));
    let mut others = names.iter().filter(|n| !n.starts_with(RETIRED_PREFIX));
    if !retired && others.all(|name| of_first_start(name)) {
        return FolderState::Blank;
    }
    damaged("the identity is missing", None)
}

fn inspect_state(
    folder: &mut Folder,
    identity: Identity,
    slot: HardStateSlot,
    segment_bytes: u64,
) -> Result<FolderState> {
    let group = identity.group.clone();
    let snapshot = match folder.read(SNAPSHOT_FILE)? {
        Some(content) => read_snapshot(&content, &identity.folder),
        None if identity.has_state => return Ok(damaged("the snapshot is missing", group)),
        None => None,
    };
    if identity.has_state && snapshot.is_none() {
        return Ok(damaged("the snapshot is damaged", group));
    }
    // Before the identity says so, no state was ever acknowledged.
    let snapshot = snapshot.filter(|_| identity.has_state);
    let newest = slot.newest_segment;
    let (log, entries) = match LogFiles::load(folder, &identity.folder, newest, segment_bytes)? {
        LoadedLog::Intact(log, entries) => (log, entries),
        LoadedLog::Damaged(cause) => return Ok(damaged(cause, group)),
    };
    let mut intact = IntactFolder {
        identity,
        slot,
        snapshot,
        log,
        entries,
    };
    match LogContinuity::of(intact.snapshot.as_deref(), &intact.entries) {
        LogContinuity::Continuous => {}
        LogContinuity::Stale => {
            intact.slot.newest_segment = LogIndex::ZERO;
            intact.slot.sequence += 1;
            super::hard_state_slots::write_slots(folder, &intact.slot)?;
            intact.log.reset(folder)?;
            intact.entries.clear();
        }
        LogContinuity::Gap => return Ok(damaged("the log begins after the snapshot", group)),
    }
    Ok(FolderState::Intact(Box::new(intact)))
}

fn read_snapshot(content: &[u8], id: &FolderId) -> Option<Arc<Snapshot>> {
    let file = decode_single_frame::<SnapshotFile>(content)?;
    (file.folder == *id).then_some(file.snapshot)
}

/// How the log stands to the snapshot.
enum LogContinuity {
    Continuous,
    /// The snapshot replaced the log, and the crash came before the log was removed.
    Stale,
    Gap,
}

impl LogContinuity {
    fn of(snapshot: Option<&Snapshot>, entries: &[Arc<Entry>]) -> Self {
        let Some(first) = entries.first() else {
            return Self::Continuous;
        };
        let Some(meta) = snapshot.map(|s| &s.meta) else {
            return Self::Stale;
        };
        if first.index == meta.index.next() {
            return Self::Continuous;
        }
        if first.index > meta.index {
            return Self::Gap;
        }
        let same = |e: &Arc<Entry>| e.index == meta.index && e.term == meta.term;
        if entries.iter().any(same) {
            Self::Continuous
        } else {
            Self::Stale
        }
    }
}
