use marjoramknot::replica::core::StorageUpdate;
use marjoramknot::replica::files::is_disk_full;
use marjoramknot::units::LogIndex;

use crate::disk::Unsynced;
use crate::files::{lived, open, records, snapshot};

#[test]
fn full_disk() {
    for free in (0..400).step_by(20) {
        let (disk, mut opened) = lived();
        assert!(opened.store.ensure_reserve().expect("there is space"));
        disk.limit(Some(free));
        let save = records(10, 40, 1);
        let mut tries = 0;
        while let Err(error) = opened.store.apply(&save).and_then(|()| opened.store.sync()) {
            assert!(is_disk_full(&error), "free {free}: {error}");
            tries += 1;
            assert!(tries < 5, "free {free}: the reserve is enough");
            opened.store.release_reserve().expect("the reserve goes");
        }
        assert!(tries > 0, "free {free}");
        disk.limit(Some(0));
        assert!(
            !opened
                .store
                .ensure_reserve()
                .expect("a full disk is no failure")
        );
        disk.limit(None);
        assert!(opened.store.ensure_reserve().expect("there is space again"));
        disk.crash(Unsynced::Lost);
        let again = open(&disk);
        assert_eq!(again.retirement_cause, None, "free {free}");
        assert_eq!(again.recovered.entries.len(), 40, "free {free}");
    }
}

#[test]
fn full_disk_snapshot() {
    let (disk, mut opened) = lived();
    disk.limit(Some(10));
    let save = StorageUpdate {
        snapshot: Some(snapshot(9, 1)),
        compact_to: Some(LogIndex(8)),
        ..StorageUpdate::default()
    };
    opened.store.apply(&save).expect("a snapshot can wait");
    disk.crash(Unsynced::Lost);
    let again = open(&disk);
    assert_eq!(again.folder, opened.folder);
    assert_eq!(
        again.recovered.entries.len(),
        9,
        "the log that the snapshot replaces is kept"
    );
}

#[test]
fn one_sync() {
    let (disk, mut opened) = lived();
    // The segment that is open has space for these.
    let before = disk.syncs();
    for index in 10..12 {
        opened
            .store
            .apply(&records(index, index, 1))
            .expect("the fake disk works");
    }
    opened.store.sync().expect("the fake disk works");
    assert!(
        disk.syncs() - before <= 1 + 3,
        "one sync for the records, three for a new segment"
    );
}
