use std::fmt::Write as _;

use marjoramknot::control::{Command, CommandBody, StateMachine};
use marjoramknot::release_note::ReleaseNote;
use marjoramknot::units::{LogIndex, WallMs};

const ZONES: usize = 24;
const RACKS: usize = 24;
const TEAMS: usize = 300;
const SERVICES: usize = 100;

/// Returns a note that declares a configuration of the target size: 24 zones of 24 racks of 8
/// workers, 300 teams with guarantees and 100 services.
pub(super) fn target_size_note() -> ReleaseNote {
    let mut text = String::from("version = 1\n");
    for zone in 0..ZONES {
        let _ = write!(text, "[[added.zones]]\nname = \"zone-{zone}\"\nracks = [");
        for rack in 0..RACKS {
            let _ = write!(
                text,
                "{{ name = \"rack-{rack}\", workers = 8, accelerators = 2, cores = 64, memory_mb = 262144 }},"
            );
        }
        text.push_str("]\n");
    }
    for team in 0..TEAMS {
        let _ = write!(
            text,
            "[[added.teams]]\nname = \"team-{team}\"\n[[added.guarantees]]\nteam = \"team-{team}\"\n\
             cells = [{{ count = 8, accelerators = 2, adjacency = \"rack\" }}]\n"
        );
    }
    for service in 0..SERVICES {
        let _ = write!(
            text,
            "[[added.services]]\nname = \"service-{service}\"\n[[added.endpoints]]\n\
             name = \"rule-{service}\"\nprefix = \"s{service}-\"\nservice = \"service-{service}\"\n\
             slots_max = 8\nconnections_max = 64\n"
        );
    }
    ReleaseNote::parse(&text).expect("the note is well formed")
}

/// Returns a note that changes one number: a team's job limit for even versions, a service's
/// maximum deadline for odd ones.
pub(super) fn change_note(version: u64) -> ReleaseNote {
    let value = 1 + version % 1_000;
    let text = if version.is_multiple_of(2) {
        let team = version % 300;
        format!(
            "version = {version}\n[[changed.teams]]\nname = \"team-{team}\"\nqueued_jobs_max = {value}\n"
        )
    } else {
        let service = version % 100;
        format!(
            "version = {version}\n[[changed.services]]\nname = \"service-{service}\"\ndeadline_max_ms = {value}\n"
        )
    };
    ReleaseNote::parse(&text).expect("the note is well formed")
}

pub(super) fn apply_note(state_machine: &mut StateMachine, index: u64, note: ReleaseNote) {
    let digest = note.digest();
    let note = Box::new(note);
    let command = Command {
        wall_ms: WallMs(index),
        body: CommandBody::ApplyNote { note, digest },
    };
    state_machine.apply(LogIndex(index), &command);
}
