//! Behavior of the store on a full disk, and the number of syncs.

use marjoramknot::replica::core::StorageUpdate;
use marjoramknot::replica::files::is_disk_full;
use marjoramknot::units::LogIndex;

use crate::disk::UnsyncedWrites;
use crate::files::{append_entries, open, populated_disk, snapshot};

#[test]
fn reserve_suffices_on_full_disk() {
    for free in (0..400).step_by(20) {
        let (disk, mut opened) = populated_disk();
        assert!(opened.store.ensure_reserve().expect("there is space"));
        disk.limit_space(Some(free));
        let update = append_entries(10, 40, 1);
        let mut attempts = 0;
        while let Err(error) = opened
            .store
            .apply(&update)
            .and_then(|()| opened.store.sync())
        {
            assert!(is_disk_full(&error), "free {free}: {error}");
            attempts += 1;
            assert!(attempts < 5, "free {free}: the reserve is insufficient");
            opened
                .store
                .release_reserve()
                .expect("the reserve can be removed");
        }
        assert!(attempts > 0, "free {free}");
        disk.limit_space(Some(0));
        assert!(
            !opened
                .store
                .ensure_reserve()
                .expect("a full disk is no error")
        );
        disk.limit_space(None);
        assert!(opened.store.ensure_reserve().expect("there is space again"));
        disk.crash(UnsyncedWrites::Lost);
        let again = open(&disk);
        assert_eq!(again.retirement_cause, None, "free {free}");
        assert_eq!(again.recovered.entries.len(), 40, "free {free}");
    }
}

#[test]
fn snapshot_is_skipped_on_full_disk() {
    let (disk, mut opened) = populated_disk();
    disk.limit_space(Some(10));
    let update = StorageUpdate {
        snapshot: Some(snapshot(9, 1)),
        compact_to: Some(LogIndex(8)),
        ..StorageUpdate::default()
    };
    opened
        .store
        .apply(&update)
        .expect("an optional snapshot is skipped");
    disk.crash(UnsyncedWrites::Lost);
    let again = open(&disk);
    assert_eq!(again.folder, opened.folder);
    assert_eq!(
        again.recovered.entries.len(),
        9,
        "the log is kept because the snapshot was not written"
    );
}

#[test]
fn entries_share_a_sync() {
    let (disk, mut opened) = populated_disk();
    // These entries need at most one new segment.
    let before = disk.sync_count();
    for index in 10..12 {
        opened
            .store
            .apply(&append_entries(index, index, 1))
            .expect("the fake disk works");
    }
    opened.store.sync().expect("the fake disk works");
    assert!(
        disk.sync_count() - before <= 1 + 3,
        "one sync for the entries, three for a new segment"
    );
}
