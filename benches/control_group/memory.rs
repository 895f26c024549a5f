//! Measures the memory of one replica at the target size: a day's jobs with their running tasks,
//! and the teams, zones and release notes.

use marjoramknot::control::{Command, CommandBody};
use marjoramknot::release_note::Adjacency;
use marjoramknot::scheduler::{JobKey, JobPhase, JobRecord, JobSpec, JobTransition, Member};
use marjoramknot::units::{
    Accelerators, Attempt, Cores, Incarnation, MemoryMb, Millis, TaskIndex, WallMs,
};

use crate::Figure;
use crate::group::{Group, Settings, runtime, team_note, zones_note};

const JOBS: u32 = 7_000;
const RUNNING_TASKS: u32 = 38_000;
const TEAMS: u32 = 300;
const WORKERS: u32 = 4_600;
const NOTES: u64 = 15_000;

pub fn measure() -> Vec<Figure> {
    let before_mb = resident_mb();
    let (after_mb, state_mb) = runtime().block_on(measure_replica());
    vec![
        Figure::new("replica_mb", after_mb),
        Figure::new("replica_empty_process_mb", before_mb),
        Figure::new("replica_encoded_state_mb", state_mb),
    ]
}

async fn measure_replica() -> (f64, f64) {
    let settings = Settings {
        voters: 1,
        ..Settings::DEFAULT
    };
    let group = Group::start(settings).await;
    group.propose(&zones_note()).await;
    group.propose_in_order((0..NOTES).map(team_note)).await;
    group.propose_in_order((0..JOBS).map(submit_command)).await;
    group.propose_in_order((0..JOBS).map(place_command)).await;
    let state_machine = &group.replica_at(0).state_machine;
    let placed = state_machine.read(|m| m.unended_jobs().into_iter().filter(is_placed).count());
    assert_eq!(placed, JOBS as usize, "number of placed jobs");
    let encoded = u32::try_from(state_machine.read(|m| m.snapshot().len())).unwrap_or(u32::MAX);
    (resident_mb(), f64::from(encoded) / 1e6)
}

fn is_placed(job: &JobRecord) -> bool {
    matches!(job.phase, JobPhase::Placed { .. })
}

fn job_key(job: u32) -> JobKey {
    JobKey {
        team: format!("team-{}", job % TEAMS).parse().expect("an id"),
        id: format!("job-{job}").parse().expect("an id"),
    }
}

fn task_count(job: u32) -> u32 {
    RUNNING_TASKS / JOBS + u32::from(job < RUNNING_TASKS % JOBS)
}

fn submit_command(job: u32) -> Command {
    let spec = JobSpec {
        key: job_key(job),
        class: "rescore".parse().expect("an id"),
        tasks: task_count(job),
        accelerators: Accelerators(1),
        cores: Cores(4),
        memory_mb: MemoryMb(8 * 1024),
        adjacency: Adjacency::default(),
        idempotent: true,
        made_ms: None,
        urgent: false,
        declared_run_ms: Millis(3_600_000),
        deadline_ms: None,
        payload: "render --heat 17 --pond senec --course long".into(),
    };
    Command {
        wall_ms: WallMs(NOTES),
        body: CommandBody::SubmitJob(Box::new(spec)),
    }
}

fn place_command(job: u32) -> Command {
    let members = (0..task_count(job)).map(|task| Member {
        index: TaskIndex(task),
        worker: format!("worker-{}", (job * 7 + task) % WORKERS)
            .parse()
            .expect("an id"),
        incarnation: Incarnation(1),
    });
    let transition = JobTransition::Placed {
        job: job_key(job),
        attempt: Attempt(1),
        members: members.collect(),
    };
    Command {
        wall_ms: WallMs(NOTES),
        body: CommandBody::Job(Box::new(transition)),
    }
}

/// Returns the resident memory of this process in MiB.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.map_or(f64::NAN, |kb| kb / 1024.0)
}
