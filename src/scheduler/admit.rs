use std::fmt::Write as _;

use smol_str::SmolStr;

use super::resources::{Resources, TASKS_MAX};
use super::{JobSpec, NotRunReason, Result};
use crate::release_note::{Adjacency, ClusterConfig, RackSpec};
use crate::units::Millis;

/// The maximum size of a job's payload.
const PAYLOAD_MAX_BYTES: usize = 16 * 1024;
/// The maximum declared run time and deadline: 366 days.
const SPAN_MAX_MS: Millis = Millis(366 * 24 * 3_600_000);

/// Decides from the configuration in force whether a job may be accepted.
///
/// All declared zones count, including those taken out, since they may come back. The decision is
/// deterministic, so that all replicas which apply the submission agree.
///
/// # Errors
/// Returns why the job will never run: its team is unknown, its team's queue is full, a number is
/// out of range, or no declared rack or zone could ever hold its shape. In the last two cases the
/// nearest acceptable value or shape is named.
pub fn admit(spec: &JobSpec, in_force: &ClusterConfig, waiting_in_team: u32) -> Result<()> {
    let Some(team) = in_force.teams.get(&spec.key.team) else {
        return Err(NotRunReason::NoSuchTeam);
    };
    check_numbers(spec)?;
    if spec.memory_mb > team.task_memory_max_mb {
        let limit = team.task_memory_max_mb;
        return Err(never_fits(format!("tasks of {limit} MB, the team's limit")));
    }
    check_shape(spec, in_force)?;
    if waiting_in_team >= team.queued_jobs_max {
        return Err(NotRunReason::QueueFull);
    }
    Ok(())
}

fn never_fits(nearest: impl Into<SmolStr>) -> NotRunReason {
    NotRunReason::NeverFits {
        nearest: nearest.into(),
    }
}

fn check_numbers(spec: &JobSpec) -> Result<()> {
    if spec.tasks == 0 || spec.tasks > TASKS_MAX {
        return Err(never_fits(format!("1 to {TASKS_MAX} tasks")));
    }
    if !matches!(spec.accelerators.0, 0 | 1 | 2 | 4 | 8) {
        return Err(never_fits("0, 1, 2, 4 or 8 accelerators a task"));
    }
    if spec.cores.0 == 0 && spec.accelerators.0 == 0 {
        return Err(never_fits("at least one core or accelerator a task"));
    }
    if spec.payload.len() > PAYLOAD_MAX_BYTES {
        return Err(never_fits(format!(
            "a payload of {PAYLOAD_MAX_BYTES} bytes"
        )));
    }
    let deadline = spec.deadline_ms.unwrap_or(Millis::ZERO);
    if spec.declared_run_ms > SPAN_MAX_MS || deadline > SPAN_MAX_MS {
        return Err(never_fits(format!("times up to {SPAN_MAX_MS}")));
    }
    Ok(())
}

/// Resources of one task as submitted.
fn task_resources(spec: &JobSpec) -> Resources {
    Resources {
        accelerators: spec.accelerators.0,
        cores: spec.cores.0,
        memory_mb: spec.memory_mb.0,
    }
}

fn tasks_in_worker(task: Resources, rack: &RackSpec) -> u32 {
    if rack.workers == 0 {
        return 0;
    }
    task.max_copies_in(Resources {
        accelerators: rack.accelerators.0,
        cores: rack.cores.0,
        memory_mb: rack.memory_mb.0,
    })
}

fn tasks_in_rack(task: Resources, rack: &RackSpec) -> u32 {
    tasks_in_worker(task, rack).saturating_mul(rack.workers)
}

/// The most tasks that fit into one worker, one rack, one zone or the whole fleet.
fn tasks_together(task: Resources, adjacency: Adjacency, in_force: &ClusterConfig) -> u32 {
    let racks = in_force.zones.values().flat_map(|zone| &zone.racks);
    match adjacency {
        Adjacency::Worker => racks.map(|rack| tasks_in_worker(task, rack)).max(),
        Adjacency::Rack => racks.map(|rack| tasks_in_rack(task, rack)).max(),
        Adjacency::Zone => in_force
            .zones
            .values()
            .map(|zone| zone.racks.iter().map(|rack| tasks_in_rack(task, rack)))
            .map(|tasks| tasks.fold(0, u32::saturating_add))
            .max(),
        Adjacency::Any => Some(
            racks
                .map(|rack| tasks_in_rack(task, rack))
                .fold(0, u32::saturating_add),
        ),
    }
    .unwrap_or(0)
}

fn check_shape(spec: &JobSpec, in_force: &ClusterConfig) -> Result<()> {
    let task = task_resources(spec);
    let together = tasks_together(task, spec.adjacency, in_force);
    if together >= spec.tasks {
        return Ok(());
    }
    if together > 0 {
        return Err(never_fits(nearest_gang(spec, in_force, together)));
    }
    Err(never_fits(nearest_task(task, in_force)))
}

/// Describes how many tasks fit the requested adjacency, and the tightest adjacency that holds all.
fn nearest_gang(spec: &JobSpec, in_force: &ClusterConfig, together: u32) -> String {
    let asked = place_name(spec.adjacency);
    let mut text = format!("{together} tasks of this size in one {asked}");
    let looser = [Adjacency::Rack, Adjacency::Zone, Adjacency::Any];
    let fitting = looser
        .into_iter()
        .filter(|adjacency| *adjacency > spec.adjacency)
        .find(|adjacency| tasks_together(task_resources(spec), *adjacency, in_force) >= spec.tasks);
    if let Some(adjacency) = fitting {
        let place = place_name(adjacency);
        write!(text, ", or all {} in one {place}", spec.tasks).expect("a string takes any text");
    }
    text
}

const fn place_name(adjacency: Adjacency) -> &'static str {
    match adjacency {
        Adjacency::Worker => "worker",
        Adjacency::Rack => "rack",
        Adjacency::Zone => "zone",
        Adjacency::Any => "fleet",
    }
}

/// Describes the largest task for the declared worker that falls least short of the requested one.
fn nearest_task(task: Resources, in_force: &ClusterConfig) -> String {
    let racks = in_force.zones.values().flat_map(|zone| &zone.racks);
    let workers = racks.filter(|rack| rack.workers > 0).map(|rack| Resources {
        accelerators: rack.accelerators.0,
        cores: rack.cores.0,
        memory_mb: rack.memory_mb.0,
    });
    match workers.min_by_key(|worker| task.saturating_sub(*worker)) {
        Some(worker) => {
            let fitting = task.min(worker);
            let (cores, memory) = fitting.cores_and_memory();
            let accelerators = fitting.accelerators;
            format!("tasks of {accelerators} accelerators, {cores} cores and {memory} MB")
        }
        None => "no rack is declared".to_owned(),
    }
}
