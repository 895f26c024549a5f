//! Release notes shared by several tests.

#![allow(dead_code, reason = "each test file uses some of these")]

use marjoramknot::release_note::{ClusterConfig, ReleaseNote};
use marjoramknot::units::Revision;

/// Two availability zones with racks of workers, two teams with guarantees, and a service with its
/// endpoint rule.
pub const INITIAL_NOTE: &str = r#"
version = 1
[[added.teams]]
name = "ponds"
[[added.teams]]
name = "regatta"
[[added.guarantees]]
team = "ponds"
cells = [{ count = 3, accelerators = 8, adjacency = "rack" }]
[[added.guarantees]]
team = "regatta"
cells = [{ count = 4, accelerators = 2, adjacency = "worker" }, { count = 2, accelerators = 4 }]
[[added.zones]]
name = "senec"
racks = [
  { name = "r1", workers = 3, accelerators = 8, cores = 32, memory_mb = 65536 },
  { name = "r2", workers = 3, accelerators = 8, cores = 32, memory_mb = 65536 },
]
[[added.zones]]
name = "nitra"
racks = [{ name = "r1", workers = 2, accelerators = 4, cores = 32, memory_mb = 65536 }]
[[added.services]]
name = "booking"
[[added.endpoints]]
name = "runners"
prefix = "booking-"
service = "booking"
zones = ["senec"]
slots_max = 8
connections_max = 64
"#;

/// Parses a note that must be well formed.
pub fn note(text: &str) -> ReleaseNote {
    ReleaseNote::parse(text).expect("the note is well formed")
}

/// Returns the state after applying [`INITIAL_NOTE`].
pub fn initial_state() -> ClusterConfig {
    let mut state = ClusterConfig::default();
    let first = note(INITIAL_NOTE);
    assert_eq!(state.validate(&first), []);
    state.apply(&first, Revision(1));
    state
}

/// Returns a note that only changes the service's maximum deadline.
pub fn deadline_note(version: u64, deadline_ms: u64) -> ReleaseNote {
    note(&format!(
        "version = {version}\n[[changed.services]]\nname = \"booking\"\ndeadline_max_ms = {deadline_ms}\n"
    ))
}

/// Returns a note that sets a zone's state to `in` or `out`.
pub fn zone_note(version: u64, state: &str) -> ReleaseNote {
    note(&format!(
        "version = {version}\n[[changed.zones]]\nname = \"nitra\"\nstate = \"{state}\"\n\
         racks = [{{ name = \"r1\", workers = 2, accelerators = 4, cores = 32, memory_mb = 65536 }}]\n"
    ))
}
