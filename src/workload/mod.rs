//! Queues of jobs with steps, and the workers that run their tasks.
//!
//! [`Workload`] is the replicated state; [`Planner`] holds what only the leader knows and decides
//! what starts, stops and is lost. Both are pure: changes, reports and times come in, state,
//! transitions and orders come out. docs/PLATFORM.md tells how they are joined.

mod amount;
mod calls;
mod declaration;
mod index;
mod job;
mod maintenance;
mod outside;
mod planner;
mod run;
mod spec;
mod state;
mod submit;

pub use amount::Amount;
pub use calls::{
    CallerAnswer, CallerCall, CallerRequest, ListedEnd, ListedRun, Start, WorkAnswer, WorkRequest,
    WorkerOrders, WorkerReport,
};
pub use declaration::{
    Declaration, DeclarationFault, PermitTerms, Queue, QueuePath, QueueTerms, Service, Team,
};
pub use job::{Job, Occurrence, Phase, StepState, TaskState};
pub use maintenance::{Maintenance, MaintenanceNumber, VmProgress};
pub use outside::{MaintenanceRefusal, OutsideAnswer, OutsideCall, PERMIT_WORKERS_MAX, Vm};
pub use planner::{Planner, PlannerOptions, Reported};
pub use run::{
    JobNumber, Life, Place, RunEnd, RunKey, StepKey, StepName, TaskKey, TaskName, Transition,
};
pub use spec::{JobSpec, PAYLOAD_MAX_BYTES, STEPS_MAX, Schedule, SpecFault, Step, TASKS_MAX};
pub use state::{Workload, WorkloadCommand, WorkloadReply};

/// Result of checking a declaration.
pub type Result<T> = std::result::Result<T, DeclarationFault>;
