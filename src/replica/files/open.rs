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

/// Prefix of the names of files of a retired folder, which are kept for the operator.
const RETIRED_PREFIX: &str = "retired-";

/// Content of the snapshot file: the snapshot and the id of its data folder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SnapshotFile {
    pub(super) folder: FolderId,
    pub(super) snapshot: Arc<Snapshot>,
}

/// An opened data folder.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store that writes to the folder.
    pub store: Store,
    /// Id of the folder. It is newly generated if the folder was blank or damaged.
    pub folder: FolderId,
    /// The state with which the core starts.
    pub recovered: RecoveredState,
    /// Why the previous folder was retired by this call, if it was.
    pub retirement_cause: Option<&'static str>,
}

/// State in which a folder was found.
enum FolderState {
    /// The folder was never completely initialized.
    Blank,
    /// All files are valid.
    Intact(Box<IntactFolder>),
    /// A file is damaged or missing, or the folder belongs to another replica.
    Damaged {
        cause: &'static str,
        group: Option<GroupId>,
    },
}

/// The validated content of a folder.
struct IntactFolder {
    identity: Identity,
    slot: HardStateSlot,
    snapshot: Option<Arc<Snapshot>>,
    log: LogFiles,
    entries: Vec<Arc<Entry>>,
}

/// What a new folder takes over from the damaged one that it replaces. By default it takes over
/// nothing.
#[derive(Default)]
struct NewFolderOptions {
    group: Option<GroupId>,
    replaces_damaged_folder: bool,
}

/// Opens a data folder and validates all its files.
///
/// A blank folder is initialized. A damaged one is retired, and a new one with a new id is created.
///
/// # Errors
/// Those of the operating system. Damage is not an error.
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
        vote_names_leader: intact.slot.vote_names_leader,
    };
    let id = intact.identity.folder.clone();
    Ok(OpenedStore {
        store: Store::new(folder, intact.identity, intact.slot, intact.log),
        folder: id,
        recovered,
        retirement_cause,
    })
}

/// Creates a new folder in place of the existing one. The files of a damaged folder are kept under
/// other names, those of a blank one are removed.
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
        // The names are sorted, so that the identity precedes all files that depend on it. After a
        // crash, the remaining files are not accepted without it.
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
    // Only the files of the last retired folder are kept.
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

/// Reads the folder and validates all its files.
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

/// Classifies a folder without an identity. It is blank only if all its files may come from an
/// interrupted first start.
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

/// Reads the snapshot and the log of a folder whose identity and hard state are valid.
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
    // Until the identity records a state, no state was acknowledged and the snapshot is ignored.
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

/// Whether the log continues the snapshot.
enum LogContinuity {
    /// The log follows or overlaps the snapshot.
    Continuous,
    /// The snapshot replaced the log, but a crash prevented the removal of the log.
    Stale,
    /// Entries between the snapshot and the log are missing.
    Gap,
}

impl LogContinuity {
    /// Compares the log entries with the snapshot.
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
