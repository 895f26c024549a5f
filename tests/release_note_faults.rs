//! An invalid release note is refused with all its faults and their paths; a valid one is applied
//! as a whole.

#[path = "support/notes.rs"]
mod notes;

use std::fmt::Write as _;

use marjoramknot::release_note::{ClusterConfig, NOTE_MAX_BYTES, NoteFault, ReleaseNote};
use marjoramknot::units::Revision;
use notes::{INITIAL_NOTE, initial_state, note};
use proptest::prelude::*;
use rstest::rstest;

fn lines(faults: &[NoteFault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn parse_faults() {
    let text = r#"
version = "one"
surprise = 1
[[added.teams]]
name = "a b"
attempts_max = -1
colour = "red"
[[added.teams]]
queued_jobs_max = "many"
[[added.zones]]
name = "senec"
state = "gone"
racks = [
  { name = "r1", workers = 3, accelerators = 8, cores = 32, memory_mb = 65536, height = 42 },
  { workers = 99999999999, cores = 32, memory_mb = 65536 },
]
[[changed.guarantees]]
team = "x"
cells = [{ count = 1, accelerators = 1, adjacency = "planet" }, 7]
[changed]
things = []
[withdrawn]
teams = ["ok", "not ok", ""]
zones = 5
"#;
    let faults = ReleaseNote::parse(text).expect_err("the note has faults");
    insta::assert_snapshot!(lines(&faults));
}

#[test]
fn validation_faults() {
    let text = r#"
version = 2
[[added.teams]]
name = "ponds"
[[added.teams]]
name = "new"
attempts_max = 0
[[added.teams]]
name = "new"
request_weight = 4000000000
[[changed.teams]]
name = "ghost"
[[added.guarantees]]
team = "nobody"
cells = [{ count = 4294967295, accelerators = 8, adjacency = "worker" }, { count = 0, accelerators = 3 }]
[[added.guarantees]]
team = "new"
cells = []
[[added.zones]]
name = "trnava"
racks = [
  { name = "r1", workers = 4294967295, accelerators = 3, cores = 0, memory_mb = 18446744073709551615 },
  { name = "r1", workers = 1, accelerators = 8, cores = 1, memory_mb = 1 },
]
[[changed.services]]
name = "booking"
deadline_max_ms = 0
[[added.endpoints]]
name = "more"
prefix = "booking-"
service = "maps"
zones = ["mars", "mars"]
slots_max = 0
connections_max = 1
[withdrawn]
teams = ["regatta"]
zones = ["senec"]
services = ["booking", "radio"]
endpoints = ["booking-7", "swap-1"]
"#;
    let text = text.replace("18446744073709551615", "9223372036854775807");
    let state = initial_state();
    let faults = state.validate(&note(&text));
    insta::assert_snapshot!(lines(&faults));
}

#[rstest]
#[case(
    "[[changed.guarantees]]\nteam = \"ponds\"\ncells = [{ count = 4, accelerators = 8, adjacency = \"rack\" }]",
    "changed.guarantees[0].cells[0]"
)]
#[case(
    "[[changed.guarantees]]\nteam = \"ponds\"\ncells = [{ count = 6, accelerators = 8 }]",
    "changed.guarantees[0].cells[0]"
)]
#[case(
    "[[changed.zones]]\nname = \"senec\"\nracks = []",
    "in_force.guarantees"
)]
#[case(
    "[[changed.guarantees]]\nteam = \"ponds\"\ncells = [{ count = 100000, accelerators = 8, adjacency = \"any\" }]",
    "changed.guarantees[0].cells[0]"
)]
fn guarantee_does_not_fit(#[case] change: &str, #[case] path: &str) {
    let change = note(&format!("version = 2\n{change}"));
    let faults = initial_state().validate(&change);
    assert!(!faults.is_empty());
    assert!(faults[0].path.starts_with(path), "{}", lines(&faults));
}

#[rstest]
// Both racks are needed completely, so the small cells must go to the zone of small workers.
#[case(
    "[[changed.guarantees]]\nteam = \"ponds\"\ncells = [{ count = 2, accelerators = 8, adjacency = \"rack\" }, { count = 3, accelerators = 8, adjacency = \"rack\" }]"
)]
// Three and five single-accelerator cells share one worker of eight accelerators.
#[case(
    "[[changed.guarantees]]\nteam = \"ponds\"\ncells = [{ count = 3, accelerators = 1, adjacency = \"worker\" }, { count = 5, accelerators = 1, adjacency = \"worker\" }, { count = 4, accelerators = 8, adjacency = \"zone\" }]"
)]
// A zone that is out puts its guarantees at risk; it does not make them invalid.
#[case(
    "[[changed.zones]]\nname = \"nitra\"\nstate = \"out\"\nracks = [{ name = \"r1\", workers = 2, accelerators = 4, cores = 32, memory_mb = 65536 }]"
)]
fn note_fits(#[case] change: &str) {
    let change = note(&format!("version = 2\n{change}"));
    let faults = initial_state().validate(&change);
    assert_eq!(lines(&faults), "");
}

#[test]
fn size_limit() {
    let long = format!("version = 1\n# {}", "x".repeat(NOTE_MAX_BYTES));
    let faults = ReleaseNote::parse(&long).expect_err("the note is too long");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].fault.contains("at most 1048576"));
}

#[test]
fn digest_ignores_order_and_defaults() {
    let reordered = r#"
# The same note in another order, with a default written out.
version = 3
[[added.teams]]
name = "b"
attempts_max = 4
[[added.teams]]
name = "a"
"#;
    let plain = "version = 3\nadded.teams = [{ name = \"a\" }, { name = \"b\" }]";
    assert_eq!(note(reordered).digest(), note(plain).digest());
    assert_ne!(
        note(plain).digest(),
        note(&plain.replace("\"b\"", "\"c\"")).digest()
    );
}

#[test]
fn withdrawn_endpoint_is_refused() {
    let mut state = initial_state();
    let endpoint = "booking-7".parse().expect("a valid id");
    let out = note("version = 2\nwithdrawn.endpoints = [\"booking-7\"]");
    assert_eq!(state.validate(&out), []);
    state.apply(&out, Revision(2));
    assert!(state.rule_for(&endpoint).is_none());
    let again = note("version = 3\nwithdrawn.endpoints = [\"booking-7\"]");
    assert_eq!(
        lines(&state.validate(&again)),
        "withdrawn.endpoints[0]: booking-7 is already withdrawn"
    );
    let back = note(
        "version = 3\nadded.endpoints = [{ name = \"seven\", prefix = \"booking-7\", service = \"booking\", slots_max = 1, connections_max = 1 }]",
    );
    assert_eq!(lines(&state.validate(&back)), "");
    state.apply(&back, Revision(3));
    let rule = state.rule_for(&endpoint).expect("the rule accepts it");
    assert_eq!(rule.name.as_str(), "seven");
}

#[test]
fn note_applies_as_a_whole() {
    let mut state = ClusterConfig::default();
    state.apply(&note(INITIAL_NOTE), Revision(9));
    assert_eq!(state.revision, Revision(9));
    assert_eq!(state.zones.len(), 2);
    let mixed = note(
        "version = 2\nwithdrawn.guarantees = [\"regatta\"]\nwithdrawn.teams = [\"regatta\"]\nadded.teams = [{ name = \"swap\" }]",
    );
    assert_eq!(state.validate(&mixed), []);
    state.apply(&mixed, Revision(10));
    let teams: Vec<_> = state.teams.keys().map(ToString::to_string).collect();
    assert_eq!(teams, ["ponds", "swap"]);
    assert_eq!(state.guarantees.len(), 1);
}

/// Racks of one zone as (workers, accelerators) and groups as (count, accelerators, adjacency).
type PackingCase = (Vec<(u32, u32)>, Vec<(u32, u32, &'static str)>);

fn small_packing_cases() -> impl Strategy<Value = PackingCase> {
    let size = prop_oneof![Just(1_u32), Just(2), Just(4), Just(8)];
    let racks = prop::collection::vec((1..3_u32, size.clone()), 1..4);
    let adjacency = prop_oneof![Just("worker"), Just("rack"), Just("zone"), Just("any")];
    let groups = prop::collection::vec((1..4_u32, size, adjacency), 1..5);
    (racks, groups)
}

fn packing_note((racks, groups): &PackingCase) -> ReleaseNote {
    let mut text = "version = 1\n[[added.zones]]\nname = \"z\"\nracks = [".to_owned();
    for (index, (workers, size)) in racks.iter().enumerate() {
        let _ = write!(
            text,
            "{{ name = \"r{index}\", workers = {workers}, accelerators = {size}, cores = 1, memory_mb = 1 }},"
        );
    }
    text += "]\n[[added.teams]]\nname = \"t\"\n[[added.guarantees]]\nteam = \"t\"\ncells = [";
    for (count, size, adjacency) in groups {
        let _ = write!(
            text,
            "{{ count = {count}, accelerators = {size}, adjacency = \"{adjacency}\" }},"
        );
    }
    note(&(text + "]"))
}

/// Whether the groups fit, found by trying every worker for every cell.
fn exhaustive_fit(racks: &mut [Vec<u32>], groups: &[(u32, u32, &'static str)]) -> bool {
    let Some(((count, size, adjacency), rest)) = groups.split_first() else {
        return true;
    };
    place_group(racks, (*count, *size, adjacency), None, rest)
}

fn place_group(
    racks: &mut [Vec<u32>],
    group: (u32, u32, &str),
    last: Option<(usize, usize)>,
    rest: &[(u32, u32, &'static str)],
) -> bool {
    let (count, size, adjacency) = group;
    if count == 0 {
        return exhaustive_fit(racks, rest);
    }
    for rack in 0..racks.len() {
        for worker in 0..racks[rack].len() {
            let allowed = last.is_none_or(|(last_rack, last_worker)| match adjacency {
                "worker" => rack == last_rack && worker == last_worker,
                "rack" => rack == last_rack && worker >= last_worker,
                _ => (rack, worker) >= (last_rack, last_worker),
            });
            if !allowed || racks[rack][worker] < size {
                continue;
            }
            racks[rack][worker] -= size;
            let fits = place_group(
                racks,
                (count - 1, size, adjacency),
                Some((rack, worker)),
                rest,
            );
            racks[rack][worker] += size;
            if fits {
                return true;
            }
        }
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// In clusters small enough for an exhaustive search, a note is accepted exactly if a packing
    /// exists.
    #[test]
    fn packing_matches_exhaustive_search(case in small_packing_cases()) {
        let faults = ClusterConfig::default().validate(&packing_note(&case));
        let (racks, groups) = &case;
        let mut free: Vec<Vec<u32>> = racks
            .iter()
            .map(|(workers, size)| vec![*size; *workers as usize])
            .collect();
        prop_assert_eq!(faults.is_empty(), exhaustive_fit(&mut free, groups));
    }

    #[test]
    fn parse_never_panics(text in "\\PC{0,200}") {
        drop(ReleaseNote::parse(&text));
    }
}
