//! Jobs that can never run are refused at once, and the refusal names the nearest shape that fits.

#[path = "support/gang_driver.rs"]
mod gang_driver;

use assert_matches::assert_matches;
use gang_driver::{add_team, in_force, job};
use marjoramknot::release_note::{Adjacency, ClusterConfig, ZoneState};
use marjoramknot::scheduler::{JobSpec, NotRunReason, admit};
use marjoramknot::units::{Accelerators, Cores, MemoryMb, Millis};
use rstest::rstest;

fn state() -> ClusterConfig {
    let mut state = in_force(&[("Milano", 2), ("Torino", 1)], 6);
    add_team(&mut state, "ledger", &[]);
    state
}

fn spec(tasks: u32, accelerators: u32, adjacency: Adjacency) -> JobSpec {
    let mut spec = job("ledger", "j", tasks, accelerators, 1_000);
    spec.adjacency = adjacency;
    spec
}

#[rstest]
#[case(spec(8, 1, Adjacency::Worker))]
#[case(spec(6, 8, Adjacency::Rack))]
#[case(spec(12, 8, Adjacency::Zone))]
#[case(spec(18, 8, Adjacency::Any))]
#[case(spec(512, 0, Adjacency::Any))]
fn fitting_shapes(#[case] spec: JobSpec) {
    let mut state = state();
    assert_eq!(admit(&spec, &state, 0), Ok(()));
    // A zone that was taken out may come back, so the job is accepted and waits.
    let zone = state.zones.get_mut("Milano").expect("declared");
    zone.state = ZoneState::Out;
    assert_eq!(admit(&spec, &state, 0), Ok(()));
}

#[rstest]
#[case(
    spec(9, 1, Adjacency::Worker),
    "8 tasks of this size in one worker, or all 9 in one rack"
)]
#[case(
    spec(7, 8, Adjacency::Rack),
    "6 tasks of this size in one rack, or all 7 in one zone"
)]
#[case(
    spec(13, 8, Adjacency::Zone),
    "12 tasks of this size in one zone, or all 13 in one fleet"
)]
#[case(spec(19, 8, Adjacency::Any), "18 tasks of this size in one fleet")]
#[case(spec(513, 1, Adjacency::Any), "1 to 512 tasks")]
#[case(spec(0, 1, Adjacency::Any), "1 to 512 tasks")]
#[case(spec(1, 3, Adjacency::Any), "0, 1, 2, 4 or 8 accelerators a task")]
fn unfit_shapes(#[case] spec: JobSpec, #[case] nearest: &str) {
    let refused = admit(&spec, &state(), 0);
    assert_matches!(refused, Err(NotRunReason::NeverFits { nearest: told }) if told == nearest);
}

#[rstest]
#[case::cores(|s: &mut JobSpec| s.cores = Cores(33), "tasks of 1 accelerators, 32 cores and 1024 MB")]
#[case::huge(|s: &mut JobSpec| s.cores = Cores(u32::MAX), "tasks of 1 accelerators, 32 cores and 1024 MB")]
#[case::memory(|s: &mut JobSpec| s.memory_mb = MemoryMb(u64::MAX), "tasks of 32768 MB, the team's limit")]
#[case::nothing(|s: &mut JobSpec| { s.cores = Cores(0); s.accelerators = Accelerators(0); }, "at least one core or accelerator a task")]
#[case::long(|s: &mut JobSpec| s.declared_run_ms = Millis::MAX, "times up to 31622400000ms")]
#[case::payload(|s: &mut JobSpec| s.payload = "x".repeat(16_385).into(), "a payload of 16384 bytes")]
fn invalid_numbers(#[case] change: fn(&mut JobSpec), #[case] nearest: &str) {
    let mut spec = spec(1, 1, Adjacency::Any);
    change(&mut spec);
    let refused = admit(&spec, &state(), 0);
    assert_matches!(refused, Err(NotRunReason::NeverFits { nearest: told }) if told == nearest);
}

#[test]
fn team_limits() {
    let spec = spec(1, 1, Adjacency::Any);
    assert_eq!(admit(&spec, &state(), 10_000), Err(NotRunReason::QueueFull));
    assert_eq!(admit(&spec, &state(), 9_999), Ok(()));
    let nobody = job("nobody", "j", 1, 1, 1_000);
    assert_eq!(admit(&nobody, &state(), 0), Err(NotRunReason::NoSuchTeam));
    assert_matches!(
        admit(&spec, &ClusterConfig::default(), 0),
        Err(NotRunReason::NoSuchTeam)
    );
}
