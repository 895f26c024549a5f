use std::fmt::Write as _;
use std::time::Instant;

use marjoramknot::release_note::{ClusterConfig, ReleaseNote};
use marjoramknot::units::Revision;

use super::state;

/// Measures the validation time of release notes: one that declares the whole configuration at the
/// target size, a small change to it, a changed guarantee, and guarantees that cannot be satisfied.
pub(super) fn measure_validation() {
    let target_size_note = state::target_size_note();
    measure_and_print(
        "note_check_first_us",
        &ClusterConfig::default(),
        &target_size_note,
    );
    let mut in_force = ClusterConfig::default();
    in_force.apply(&target_size_note, Revision(1));
    measure_and_print("note_check_small_us", &in_force, &state::change_note(2));
    let guarantee = "version = 2\n[[changed.guarantees]]\nteam = \"team-7\"\n\
                     cells = [{ count = 4, accelerators = 2, adjacency = \"rack\" }]\n";
    measure_and_print("note_check_guarantee_us", &in_force, &parse(guarantee));
    measure_and_print("note_check_unbound_us", &in_force, &unsatisfiable_note());
}

/// Returns a note whose guarantees cannot be satisfied: two groups of cells for each of 300 teams,
/// of which each takes most of a rack, on 576 racks.
fn unsatisfiable_note() -> ReleaseNote {
    let mut text = String::from("version = 2\n");
    for team in 0..300 {
        let _ = write!(
            text,
            "[[changed.guarantees]]\nteam = \"team-{team}\"\ncells = [\n\
             {{ count = 5, accelerators = 2, adjacency = \"rack\" }},\n\
             {{ count = 5, accelerators = 2, adjacency = \"rack\" }}]\n"
        );
    }
    parse(&text)
}

fn parse(text: &str) -> ReleaseNote {
    ReleaseNote::parse(text).expect("the note is well formed")
}

fn measure_and_print(key: &str, in_force: &ClusterConfig, note: &ReleaseNote) {
    let started = Instant::now();
    let faults = in_force.validate(note);
    let elapsed_us = started.elapsed().as_micros();
    println!("{key}={elapsed_us}");
    println!("{}_faults={}", key.trim_end_matches("_us"), faults.len());
}
