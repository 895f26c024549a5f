//! Recovery of a replica's files after a crash at each file operation and after damage to each
//! file.

use std::sync::Arc;

use marjoramknot::replica::core::{HardState, RecoveredState, StorageUpdate};
use marjoramknot::replica::files::{OpenedStore, open_store};
use marjoramknot::replica::{Entry, Membership, Node, Payload, Snapshot, SnapshotMeta};
use marjoramknot::units::{LogIndex, ReplicaId, Term};
use rstest::rstest;

use crate::disk::{FakeDisk, UnsyncedWrites};

/// Segment size in bytes. It is small, so that a few entries span several segments.
pub const SEGMENT_BYTES: u64 = 200;

pub fn replica_name() -> ReplicaId {
    "a".parse().expect("the name is an id")
}

pub fn open(disk: &FakeDisk) -> OpenedStore {
    open_store(disk.folder(), &replica_name(), SEGMENT_BYTES).expect("the fake disk works")
}

pub fn entry(index: u64, term: u64) -> Arc<Entry> {
    let mut command = format!("command {index} of term {term}").into_bytes();
    // Zeros at the end of an entry must not be mistaken for a torn write.
    command.resize(60, 0);
    Arc::new(Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(command),
    })
}

pub fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    let node = Node {
        name: replica_name(),
        folder: "any".parse().expect("the folder is an id"),
    };
    let members = Membership { voters: vec![node] };
    Arc::new(Snapshot {
        meta: SnapshotMeta {
            index: LogIndex(index),
            term: Term(term),
            members,
        },
        data: vec![7; 100],
    })
}

fn initial_update() -> StorageUpdate {
    StorageUpdate {
        group: "group".parse().ok(),
        snapshot: Some(snapshot(0, 0)),
        ..StorageUpdate::default()
    }
}

pub fn append_entries(from: u64, to: u64, term: u64) -> StorageUpdate {
    StorageUpdate {
        entries: (from..=to).map(|index| entry(index, term)).collect(),
        ..StorageUpdate::default()
    }
}

fn vote_update(term: u64, vote: &str) -> StorageUpdate {
    let node = Node {
        name: replica_name(),
        folder: vote.parse().expect("the folder is an id"),
    };
    StorageUpdate {
        hard_state: Some(HardState {
            term: Term(term),
            vote: Some(node),
        }),
        ..StorageUpdate::default()
    }
}

/// Updates that cover every kind of storage operation.
fn update_sequence() -> Vec<StorageUpdate> {
    let mut cut = append_entries(6, 8, 2);
    cut.truncate_from = Some(LogIndex(6));
    let taken = StorageUpdate {
        snapshot: Some(snapshot(7, 2)),
        compact_to: Some(LogIndex(5)),
        ..StorageUpdate::default()
    };
    let installed = StorageUpdate {
        snapshot: Some(snapshot(30, 3)),
        reset_log: true,
        ..StorageUpdate::default()
    };
    vec![
        initial_update(),
        vote_update(1, "one"),
        append_entries(1, 3, 1),
        append_entries(4, 10, 1),
        vote_update(2, "two"),
        cut,
        taken,
        append_entries(9, 11, 2),
        installed,
        append_entries(31, 33, 3),
    ]
}

/// Applies an update to the expected state of the disk.
fn apply_to_model(state: &mut RecoveredState, update: &StorageUpdate) {
    if let Some(snapshot) = &update.snapshot {
        state.snapshot = Some(Arc::clone(snapshot));
    }
    if update.reset_log {
        state.entries.clear();
    }
    if let Some(group) = &update.group {
        state.group = Some(group.clone());
    }
    if let Some(index) = update.truncate_from {
        state.entries.retain(|e| e.index < index);
    }
    if let Some(hard_state) = &update.hard_state {
        state.hard_state = hard_state.clone();
    }
    state.entries.extend(update.entries.iter().cloned());
}

/// Whether the recovered state equals `state`. Entries that the snapshot includes may be missing.
fn contains_state(found: &RecoveredState, state: &RecoveredState) -> bool {
    let base = found.snapshot.as_ref().map(|s| s.meta.index);
    let mut needed = state.entries.iter().filter(|e| Some(e.index) > base);
    found.group == state.group
        && found.hard_state == state.hard_state
        && found.snapshot == state.snapshot
        && needed.all(|e| found.entries.contains(e))
}

/// Applies the updates until one fails. Returns the expected states before and after the failed
/// update, which are equal if none failed.
fn apply_until_failure(
    disk: &FakeDisk,
    opened: &mut OpenedStore,
) -> (RecoveredState, RecoveredState) {
    let mut before = RecoveredState::default();
    for update in update_sequence() {
        let mut after = before.clone();
        apply_to_model(&mut after, &update);
        let done = opened
            .store
            .apply(&update)
            .and_then(|()| opened.store.sync());
        if done.is_err() {
            assert!(disk.has_failed());
            return (before, after);
        }
        before = after;
    }
    (before.clone(), before)
}

#[rstest]
#[case(UnsyncedWrites::Lost)]
#[case(UnsyncedWrites::Kept)]
#[case(UnsyncedWrites::Partial)]
#[case(UnsyncedWrites::Zeros)]
fn crash_at_every_step(#[case] unsynced: UnsyncedWrites) {
    for step in 0.. {
        let disk = FakeDisk::default();
        let mut opened = open(&disk);
        let folder = opened.folder.clone();
        disk.fail_from(Some(step));
        let (before, after) = apply_until_failure(&disk, &mut opened);
        let crashed = disk.has_failed();
        disk.crash(unsynced);
        let opened = open(&disk);
        let found = &opened.recovered;
        assert_eq!(opened.retirement_cause, None, "step {step}");
        assert_eq!(opened.folder, folder, "step {step}");
        assert_recovered(found, &before, &after, step);
        // A torn write that was truncated does not reappear.
        let again = open(&disk);
        assert_eq!(again.recovered.entries, found.entries, "step {step}");
        if !crashed {
            assert!(step > 40, "the updates need many file operations");
            return;
        }
    }
}

/// Checks that all acknowledged changes were recovered, and that everything else that was found
/// belongs to the interrupted update.
fn assert_recovered(
    found: &RecoveredState,
    before: &RecoveredState,
    after: &RecoveredState,
    step: usize,
) {
    let is_one = |get: fn(&RecoveredState) -> Option<LogIndex>| {
        get(found) == get(before) || get(found) == get(after)
    };
    let hard_state = found.hard_state == before.hard_state || found.hard_state == after.hard_state;
    assert!(hard_state, "step {step}: {:?}", found.hard_state);
    let snapshot_index = |r: &RecoveredState| r.snapshot.as_ref().map(|s| s.meta.index);
    assert!(is_one(snapshot_index), "step {step}");
    let base = snapshot_index(found).unwrap_or_default();
    let kept = before.entries.iter().filter(|e| e.index > base);
    for entry in kept {
        let dropped = !after.entries.contains(entry);
        assert!(
            dropped || found.entries.contains(entry),
            "step {step}: lost entry {}",
            entry.index
        );
    }
    for entry in &found.entries {
        let known = before.entries.contains(entry) || after.entries.contains(entry);
        assert!(
            known || entry.index <= base,
            "step {step}: unexpected entry {}",
            entry.index
        );
    }
}

#[rstest]
#[case(UnsyncedWrites::Lost)]
#[case(UnsyncedWrites::Kept)]
#[case(UnsyncedWrites::Partial)]
#[case(UnsyncedWrites::Zeros)]
fn crash_during_first_start(#[case] unsynced: UnsyncedWrites) {
    for step in 0.. {
        let disk = FakeDisk::default();
        disk.fail_from(Some(step));
        let crashed = open_store(disk.folder(), &replica_name(), SEGMENT_BYTES).is_err();
        disk.crash(unsynced);
        let opened = open(&disk);
        assert_eq!(opened.retirement_cause, None, "step {step}");
        assert!(!opened.recovered.replaces_damaged_folder, "step {step}");
        if !crashed {
            assert!(step > 5, "a first start needs several file operations");
            return;
        }
    }
}

#[test]
fn reopen_after_all_updates() {
    let disk = FakeDisk::default();
    let mut opened = open(&disk);
    assert_eq!(opened.recovered.group, None);
    let (state, _) = apply_until_failure(&disk, &mut opened);
    disk.crash(UnsyncedWrites::Lost);
    let again = open(&disk);
    assert_eq!(again.folder, opened.folder);
    assert!(contains_state(&again.recovered, &state));
}

/// Creates a disk with a term and vote, a snapshot and several segments.
pub fn populated_disk() -> (FakeDisk, OpenedStore) {
    let disk = FakeDisk::default();
    let mut opened = open(&disk);
    for update in [
        initial_update(),
        vote_update(1, "one"),
        append_entries(1, 9, 1),
    ] {
        opened.store.apply(&update).expect("the fake disk works");
        opened.store.sync().expect("the fake disk works");
    }
    (disk, opened)
}

/// Checks that the folder is retired: it has a new id and contains no state.
fn assert_retired(disk: &FakeDisk, before: &OpenedStore, what: &str) {
    let opened = open(disk);
    assert!(opened.retirement_cause.is_some(), "{what}");
    assert_ne!(opened.folder, before.folder, "{what}");
    assert!(opened.recovered.replaces_damaged_folder, "{what}");
    assert_eq!(opened.recovered.hard_state, HardState::default(), "{what}");
    assert!(opened.recovered.snapshot.is_none(), "{what}");
    assert!(opened.recovered.entries.is_empty(), "{what}");
    let again = open(disk);
    assert_eq!(again.folder, opened.folder, "{what}");
    assert!(again.recovered.replaces_damaged_folder, "{what}");
}

fn is_slot(file: &str) -> bool {
    file.starts_with("vote-")
}

#[test]
fn flipped_byte_is_detected() {
    let (disk, before) = populated_disk();
    for file in disk.names() {
        let length = {
            let mut length = 0;
            disk.deep_copy()
                .modify(&file, |content| length = content.len());
            length
        };
        for offset in (0..length).step_by(if length > 400 { 17 } else { 1 }) {
            let disk = disk.deep_copy();
            disk.modify(&file, |content| content[offset] ^= 0x20);
            let what = format!("{file} at {offset}");
            if is_slot(&file) {
                // The other slot contains the same term and vote.
                let opened = open(&disk);
                assert_eq!(opened.folder, before.folder, "{what}");
                assert_eq!(opened.recovered.hard_state.term, Term(1), "{what}");
            } else {
                assert_retired(&disk, &before, &what);
            }
        }
    }
}

#[test]
fn missing_file_is_detected() {
    let (disk, before) = populated_disk();
    let segments = disk
        .names()
        .iter()
        .filter(|n| n.starts_with("log-"))
        .count();
    assert!(segments >= 3);
    for file in disk.names() {
        let disk = disk.deep_copy();
        disk.remove(&file);
        if is_slot(&file) {
            assert_eq!(open(&disk).folder, before.folder, "{file}");
        } else {
            assert_retired(&disk, &before, &file);
        }
    }
}

#[test]
fn both_slots_damaged() {
    let (disk, before) = populated_disk();
    for file in ["vote-0", "vote-1"] {
        disk.modify(file, |content| content[20] ^= 1);
    }
    assert_retired(&disk, &before, "both slots");
}

#[test]
fn files_of_another_folder() {
    let (disk, before) = populated_disk();
    let other = open_store(
        disk.deep_copy().folder(),
        &"b".parse().expect("an id"),
        SEGMENT_BYTES,
    );
    let other = other.expect("the fake disk works");
    assert_ne!(other.folder, before.folder);
    assert!(other.retirement_cause.is_some());
    // Replace a single file by that of another folder.
    let (foreign, _) = populated_disk();
    for file in disk.names() {
        let disk = disk.deep_copy();
        let mut content = Vec::new();
        foreign.modify(&file, |c| content.clone_from(c));
        disk.modify(&file, |c| *c = content);
        if is_slot(&file) {
            assert_eq!(open(&disk).folder, before.folder, "{file}");
        } else {
            assert_retired(&disk, &before, &file);
        }
    }
}

#[test]
fn empty_folder_is_blank() {
    let (disk, before) = populated_disk();
    for file in disk.names() {
        disk.remove(&file);
    }
    let opened = open(&disk);
    assert_ne!(opened.folder, before.folder);
    assert_eq!(opened.retirement_cause, None);
    assert_eq!(opened.recovered.group, None);
    assert!(!opened.recovered.replaces_damaged_folder);
}

#[test]
fn crash_during_retirement() {
    for step in 0.. {
        let (disk, before) = populated_disk();
        disk.remove("snapshot");
        disk.fail_from(Some(step));
        let opened = open_store(disk.folder(), &replica_name(), SEGMENT_BYTES);
        let crashed = opened.is_err();
        disk.crash(UnsyncedWrites::Kept);
        let opened = open(&disk);
        assert_ne!(opened.folder, before.folder, "step {step}");
        assert!(opened.recovered.replaces_damaged_folder, "step {step}");
        assert!(opened.recovered.entries.is_empty(), "step {step}");
        if !crashed {
            return;
        }
    }
}

#[test]
fn torn_write_is_truncated() {
    let (disk, before) = populated_disk();
    let newest = disk.names().into_iter().rfind(|n| n.starts_with("log-"));
    let newest = newest.expect("there are segments");
    disk.modify(&newest, |content| content.extend_from_slice(&[0; 700]));
    let opened = open(&disk);
    assert_eq!(opened.folder, before.folder);
    assert_eq!(opened.recovered.entries.len(), 9);
    let mut opened = opened;
    opened
        .store
        .apply(&append_entries(10, 12, 1))
        .expect("the fake disk works");
    opened.store.sync().expect("the fake disk works");
    assert_eq!(open(&disk).recovered.entries.len(), 12);
}
