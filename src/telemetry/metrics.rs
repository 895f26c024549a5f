use metrics::histogram;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::{Result, TelemetryError};
use crate::units::{ClassName, Millis, ServiceName, TeamId};

/// Upper bounds of the histograms' buckets in seconds: a request's milliseconds to a job's day.
const BUCKETS_S: [f64; 19] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
    1_800.0, 7_200.0, 86_400.0,
];

/// This process's metrics.
#[derive(Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// All metrics in the Prometheus text format.
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

/// Records this process's metrics from now on.
///
/// # Errors
/// [`TelemetryError::Twice`] where this process records metrics already.
pub fn start_metrics() -> Result<Metrics> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_installed| TelemetryError::Twice {
        what: "the metrics recorder",
    })?;
    Ok(Metrics { handle })
}

/// Records how long a team's request to a service took, from its arrival to its last byte.
pub fn record_request(team: &TeamId, service: &ServiceName, took: Millis) {
    histogram!("request_seconds", "team" => team.to_string(), "class" => service.to_string())
        .record(took.duration());
}

/// Records how long a team's job waited before it started.
pub fn record_queue_wait(team: &TeamId, class: &ClassName, waited: Millis) {
    histogram!("job_queue_wait_seconds", "team" => team.to_string(), "class" => class.to_string())
        .record(waited.duration());
}

/// Records how long a team's job took from submission to its end.
pub fn record_job_completion(team: &TeamId, class: &ClassName, took: Millis) {
    histogram!("job_completion_seconds", "team" => team.to_string(), "class" => class.to_string())
        .record(took.duration());
}
