use crate::scheduler::JobSpec;
use crate::units::Millis;

/// Maximum number of tasks per gang.
const TASKS_MAX: u32 = 512;
/// Allowed numbers of accelerators per task: the cell sizes of one worker.
const ACCELERATORS: [u32; 5] = [0, 1, 2, 4, 8];
/// Maximum number of cores per task.
const CORES_MAX: u32 = 16_384;
/// Maximum memory per task in megabytes.
const MEMORY_MAX_MB: u64 = 64 * 1_024 * 1_024;
/// Maximum declared run time or deadline: 90 days.
const DURATION_MAX_MS: Millis = Millis(90 * 24 * 3_600 * 1_000);
/// Maximum payload size in bytes.
const PAYLOAD_MAX_BYTES: usize = 16 * 1_024;

/// Returns all faults of a submission that deserialization does not detect.
#[must_use]
pub fn validate_job(spec: &JobSpec) -> Vec<String> {
    let mut faults = Vec::new();
    let mut within = |field: &str, value: u64, low: u64, high: u64| {
        if !(low..=high).contains(&value) {
            faults.push(format!("{field} is {value}; {low} to {high} is allowed"));
        }
    };
    within("tasks", spec.tasks.into(), 1, TASKS_MAX.into());
    within("cores", spec.cores.get().into(), 0, CORES_MAX.into());
    within("memory_mb", spec.memory_mb.get(), 0, MEMORY_MAX_MB);
    let max_ms = DURATION_MAX_MS.get();
    within("declared_run_ms", spec.declared_run_ms.get(), 0, max_ms);
    if let Some(deadline_ms) = spec.deadline_ms {
        within("deadline_ms", deadline_ms.get(), 1, max_ms);
    }
    if !ACCELERATORS.contains(&spec.accelerators.get()) {
        let accelerators = spec.accelerators;
        faults.push(format!(
            "accelerators is {accelerators}; 0, 1, 2, 4 or 8 is allowed"
        ));
    }
    if !spec.idempotent && spec.made_ms.is_none() {
        faults.push("made_ms is missing; a job that is not idempotent needs it".to_owned());
    }
    if spec.payload.len() > PAYLOAD_MAX_BYTES {
        let bytes = spec.payload.len();
        faults.push(format!(
            "payload has {bytes} bytes; at most {PAYLOAD_MAX_BYTES} are allowed"
        ));
    }
    faults
}
