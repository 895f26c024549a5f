use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use http::StatusCode;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::{Result, TelemetryError};
use crate::units::{ClassName, Millis, ServiceName, TeamId};
use crate::workload::RunEnd;

/// Upper bounds of the histogram buckets, in seconds, from 1 ms (requests) to one day (jobs).
const BUCKETS_S: [f64; 19] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
    1_800.0, 7_200.0, 86_400.0,
];

/// Maximum number of classes per team with a label of their own.
const CLASSES_MAX: usize = 16;
/// Label shared by all further classes of a team.
const OTHER_CLASS: &str = "other";

/// Handle for the metrics of this process.
#[derive(Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Installs the metrics recorder of this process.
///
/// # Errors
/// Returns [`TelemetryError::AlreadyStarted`] if this process already has a recorder.
pub fn init_metrics() -> Result<Metrics> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_installed| {
        TelemetryError::AlreadyStarted {
            what: "the metrics recorder",
        }
    })?;
    Ok(Metrics { handle })
}

/// Records the duration of a team's request to a service, from its arrival to its last byte.
pub fn record_request(team: &TeamId, service: &ServiceName, took: Millis) {
    histogram!("request_seconds", "team" => team.to_string(), "class" => service.to_string())
        .record(took.duration());
}

/// Records how long a team's job was queued before it started.
pub fn record_queue_wait(team: &TeamId, class: &ClassName, waited: Millis) {
    let class = class_label(team, class);
    histogram!("job_queue_wait_seconds", "team" => team.to_string(), "class" => class)
        .record(waited.duration());
}

/// Records the duration of a team's job from its submission to its end.
pub fn record_job_completion(
    team: &TeamId,
    class: &ClassName,
    outcome: &'static str,
    took: Millis,
) {
    let class = class_label(team, class);
    histogram!(
        "job_completion_seconds",
        "team" => team.to_string(), "class" => class, "outcome" => outcome
    )
    .record(took.duration());
}

/// Records the work of an ended run since its last checkpoint, in core-milliseconds.
pub fn record_lost_work(end: RunEnd, core_ms: u64) {
    histogram!("lost_work_core_seconds", "end" => end.to_string())
        .record(Millis(core_ms).duration());
}

/// Counts a run that a worker lists although it is not placed on its present life.
pub fn record_unplaced_run() {
    counter!("unplaced_runs_listed").increment(1);
}

/// Counts a run that a worker has started by an order to its former life.
pub fn record_former_run_started() {
    counter!("former_runs_started").increment(1);
}

/// Records status and duration of a response that a listener sent.
pub fn record_response(listener: &'static str, status: StatusCode, took: Millis) {
    let class = match status.as_u16() {
        200..=299 => "2xx",
        400..=499 => "4xx",
        500..=599 => "5xx",
        _ => "other",
    };
    histogram!("listener_answer_seconds", "listener" => listener, "status" => class)
        .record(took.duration());
}

/// Records the number of open connections of a listener.
pub fn record_connections(listener: &'static str, connections: usize) {
    let connections = u32::try_from(connections).unwrap_or(u32::MAX);
    gauge!("listener_connections", "listener" => listener).set(connections);
}

/// Records for how long no control replica has answered this process as the leader.
pub fn record_control_outage(lost: Millis) {
    gauge!("control_outage_seconds").set(lost.duration());
}

/// Returns the metric label of a class.
///
/// Callers choose the classes, so a team's number of labels is limited: classes beyond
/// [`CLASSES_MAX`] share a label.
fn class_label(team: &TeamId, class: &ClassName) -> String {
    static SEEN: Mutex<BTreeMap<TeamId, BTreeSet<ClassName>>> = Mutex::new(BTreeMap::new());
    let mut seen = SEEN.lock().unwrap_or_else(PoisonError::into_inner);
    let classes = seen.entry(team.clone()).or_default();
    if classes.len() < CLASSES_MAX {
        classes.insert(class.clone());
    }
    let known = classes.contains(class);
    if known {
        class.to_string()
    } else {
        OTHER_CLASS.to_owned()
    }
}
