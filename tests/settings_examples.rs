//! Checks that the example settings and release notes of both deployments are valid and consistent.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use marjoramknot::release_note::{ClusterConfig, ReleaseNote, ZoneState};
use marjoramknot::settings::{ControlSettings, EntrySettings};
use marjoramknot::units::{Revision, ZoneId};
use rstest::rstest;

fn files(folder: &str, prefix: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(folder);
    let listed = fs::read_dir(folder).expect("the examples are in the repository");
    let paths = listed.map(|file| file.expect("the folder can be listed").path());
    let mut paths: Vec<_> = paths
        .filter(|path| {
            let name = path.file_name().and_then(|name| name.to_str());
            name.is_some_and(|name| name.starts_with(prefix))
        })
        .collect();
    paths.sort();
    paths
}

fn entries(folder: &str) -> Vec<EntrySettings> {
    let load = |path: PathBuf| EntrySettings::load(&path).expect("the example is valid");
    files(folder, "entry-").into_iter().map(load).collect()
}

fn replicas(folder: &str) -> Vec<ControlSettings> {
    let load = |path: PathBuf| ControlSettings::load(&path).expect("the example is valid");
    files(folder, "control-").into_iter().map(load).collect()
}

#[rstest]
#[case("boat-union", 6, 3, 4)]
#[case("jukebox-agency", 9, 5, 3)]
fn settings_agree(
    #[case] folder: &str,
    #[case] vms: usize,
    #[case] voters: usize,
    #[case] zones: usize,
) {
    let (entries, replicas) = (entries(folder), replicas(folder));
    assert_eq!((entries.len(), replicas.len()), (vms, voters));
    let names: BTreeSet<_> = entries.iter().map(|entry| &entry.name).collect();
    assert_eq!(names.len(), vms);
    let entry_zones: BTreeSet<_> = entries.iter().map(|entry| &entry.zone).collect();
    assert_eq!(entry_zones.len(), zones);

    let own: Vec<_> = replicas
        .iter()
        .map(ControlSettings::own_addresses)
        .collect();
    for replica in &replicas {
        assert_eq!(replica.replicas.iter().collect::<Vec<_>>(), own);
    }
    let control: Vec<_> = own.iter().map(|own| own.entries).collect();
    for entry in &entries {
        assert_eq!(entry.control, control);
    }

    let mut per_zone: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    for replica in &replicas {
        *per_zone.entry(&replica.zone).or_default() += 1;
    }
    let largest = per_zone.values().max().copied().unwrap_or_default();
    assert!(largest * 2 < voters, "a zone has a majority: {per_zone:?}");
}

#[rstest]
#[case("boat-union")]
#[case("jukebox-agency")]
fn notes_apply(#[case] folder: &str) {
    let mut in_force = ClusterConfig::default();
    for (index, path) in files(folder, "note-").iter().enumerate() {
        let text = fs::read_to_string(path).expect("the example can be read");
        let note = ReleaseNote::parse(&text).expect("the example is a well-formed note");
        assert_eq!(in_force.validate(&note), [], "{}", path.display());
        in_force.apply(&note, Revision(index as u64 + 1));
    }
    assert_eq!(in_force.teams.len(), 4);
    assert_eq!(in_force.guarantees.len(), 4);
    let racks = in_force.zones.values().flat_map(|zone| &zone.racks);
    assert_eq!(racks.map(|rack| rack.workers).sum::<u32>(), 50);
    let in_service = |zone: &ZoneId| in_force.zones[zone].state == ZoneState::In;
    assert!(in_force.zones.keys().all(in_service));
    let zones: BTreeSet<_> = in_force.zones.keys().collect();
    for entry in entries(folder) {
        assert!(
            zones.contains(&entry.zone),
            "{} is not declared",
            entry.zone
        );
    }
}
