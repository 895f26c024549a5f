//! Measures the cost of a job in the log and in the replicated state.

use std::hint::black_box;
use std::time::Instant;

use marjoramknot::control::{Command, CommandBody, StateMachine};
use marjoramknot::release_note::{NoteDefinitions, ReleaseNote, TeamSpec};
use marjoramknot::scheduler::{JobOutcome, JobTransition, Member};
use marjoramknot::units::{
    Attempt, Incarnation, LogIndex, MemoryMb, NoteVersion, TaskIndex, WallMs,
};

use crate::fleet::{self, FleetSize};
use crate::messages::id;

/// Cost of a number of jobs in the log and in the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct JobCost {
    /// Size of all commands in the log, from submission to end.
    pub log_bytes: f64,
    /// Time to encode, decode and apply all commands, in microseconds.
    pub apply_us: f64,
    /// Size of a snapshot while the jobs run, in bytes.
    pub snapshot_bytes: f64,
}

/// Submits, places, starts and ends `jobs` jobs of 32 tasks in the replicated state.
pub fn measure(jobs: u32) -> JobCost {
    let mut state_machine = StateMachine::default();
    let mut index = 0;
    let mut log_bytes = 0_usize;
    let start = Instant::now();
    let mut apply = |state_machine: &mut StateMachine, body: CommandBody| {
        index += 1;
        let command = Command {
            wall_ms: WallMs(index),
            body,
        };
        let bytes = postcard::to_allocvec(&command).expect("a command encodes");
        log_bytes += bytes.len();
        let command: Command = postcard::from_bytes(&bytes).expect("a command decodes");
        black_box(state_machine.apply(LogIndex(index), &command));
    };
    apply(&mut state_machine, declaration_command(1));
    let size = FleetSize {
        running: jobs,
        waiting: 0,
        ..FleetSize::eighths(8)
    };
    let records = fleet::records(size);
    for record in &records {
        apply(
            &mut state_machine,
            CommandBody::SubmitJob(Box::new(record.spec.clone())),
        );
        let job = record.spec.key.clone();
        let attempt = Attempt(1);
        let placed = JobTransition::Placed {
            job: job.clone(),
            attempt,
            members: members(record.spec.tasks),
        };
        apply(&mut state_machine, CommandBody::Job(Box::new(placed)));
        apply(
            &mut state_machine,
            CommandBody::Job(Box::new(JobTransition::Started { job, attempt })),
        );
    }
    let snapshot_bytes = state_machine.snapshot().len();
    for record in &records {
        let results =
            vec!["ok".into(); usize::try_from(record.spec.tasks).expect("a small number")];
        let outcome = JobOutcome::Succeeded { results };
        let ended = JobTransition::Ended {
            job: record.spec.key.clone(),
            outcome,
        };
        apply(&mut state_machine, CommandBody::Job(Box::new(ended)));
    }
    JobCost {
        log_bytes: to_f64(log_bytes),
        apply_us: start.elapsed().as_secs_f64() * 1e6,
        snapshot_bytes: to_f64(snapshot_bytes),
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("under 4 GB"))
}

fn members(tasks: u32) -> Vec<Member> {
    let member = |index| Member {
        index: TaskIndex(index),
        worker: id("worker", index),
        incarnation: Incarnation(1_764_829_800_000),
    };
    (0..tasks).map(member).collect()
}

/// Returns a command that declares the zones and teams of the target size.
fn declaration_command(version: u64) -> CommandBody {
    let state = fleet::in_force(FleetSize::eighths(8));
    let release_note = ReleaseNote {
        version: NoteVersion(version),
        added: NoteDefinitions {
            teams: state.teams.into_values().collect(),
            zones: state.zones.into_values().collect(),
            ..NoteDefinitions::default()
        },
        ..ReleaseNote::default()
    };
    let digest = release_note.digest();
    CommandBody::ApplyNote {
        note: Box::new(release_note),
        digest,
    }
}

/// Returns the size in bytes of a note that changes one team, as encoded in the log and in the
/// exchange with each entry.
pub fn small_note_bytes() -> f64 {
    let team = TeamSpec {
        name: id("team", 7),
        attempts_max: 4,
        queued_jobs_max: 10_000,
        task_memory_max_mb: MemoryMb(65_536),
        request_weight: 2,
    };
    let release_note = ReleaseNote {
        version: NoteVersion(17),
        changed: NoteDefinitions {
            teams: vec![team],
            ..NoteDefinitions::default()
        },
        ..ReleaseNote::default()
    };
    to_f64(
        postcard::to_allocvec(&release_note)
            .expect("a note encodes")
            .len(),
    )
}
