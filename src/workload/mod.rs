//! Job queues, jobs made of dependent steps, and the scheduling of their tasks onto workers.
//!
//! [`Workload`] is the replicated state. [`Planner`] holds what only the leader knows and decides
//! which runs start, stop or are lost. Both are free of I/O and clocks: commands, reports and times
//! go in; state, transitions and orders come out. docs/PLATFORM.md describes how they are
//! connected.

mod declaration;
mod index;
pub mod interference;
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
    ANSWER_VALID_MS, CallerAnswer, QueueOperation, QueueRequest, RateOrder, ReportedEnd,
    ReportedRun, RunReading, StartOrder, WorkAnswer, WorkRequest, WorkerOrders, WorkerReport,
};
pub use planner::{Planner, PlannerOptions, ReportOutcome};
pub use resources::{ResourceLimits, Resources};
pub use run::{
    JobNumber, Placement, RunEnd, RunKey, StepKey, TaskKey, TaskName, Transition, WorkerIncarnation,
};
pub use spec::{JobSpec, PAYLOAD_MAX_BYTES, STEPS_MAX, Schedule, SpecFault, Step, TASKS_MAX};
pub use state::{Workload, WorkloadCommand, WorkloadReply};

/// The result of checking a declaration.
pub type Result<T> = std::result::Result<T, DeclarationFault>;
