//! Queues of jobs with steps, and the workers that run their tasks.
//!
//! [`Workload`] is the replicated state; [`Planner`] holds what only the leader knows and decides
//! what starts, stops and is lost. Both are pure: changes, reports and times come in, state,
//! transitions and orders come out. docs/PLATFORM.md tells how they are joined.

mod declaration;
mod index;
mod job;
mod messages;
mod planner;
mod resources;
mod run;
mod spec;
mod state;
mod submit;

pub use declaration::{
    Declaration, DeclarationFault, Queue, QueuePath, QueuePolicy, Service, Team,
};
pub use job::{Job, Occurrence, Phase, StepState, TaskState};
pub use messages::{
    CallerAnswer, QueueOperation, QueueRequest, ReportedEnd, ReportedRun, StartOrder, WorkAnswer,
    WorkRequest, WorkerOrders, WorkerReport,
};
pub use planner::{Planner, PlannerOptions, ReportOutcome};
pub use resources::Resources;
pub use run::{
    JobNumber, Placement, RunEnd, RunKey, StepKey, TaskKey, TaskName, Transition, WorkerIncarnation,
};
pub use spec::{JobSpec, PAYLOAD_MAX_BYTES, STEPS_MAX, Schedule, SpecFault, Step, TASKS_MAX};
pub use state::{Workload, WorkloadCommand, WorkloadReply};

/// Result of checking a declaration.
pub type Result<T> = std::result::Result<T, DeclarationFault>;
