//! The gang scheduler: a pure state machine of the form `(state, event, now) -> actions`.
//!
//! It tracks jobs, workers and guaranteed cells, and decides what to place, reclaim and stop. The
//! leader's loop commits each [`Action::Commit`] and feeds the result back as [`Event::Committed`];
//! orders for workers are issued only after that. See docs/DESIGN.md.

mod admit;
mod attempt;
mod binding;
mod commit;
mod core;
mod estimate;
mod event;
mod gang;
mod invariant;
mod job;
mod lifecycle;
mod options;
mod orders;
mod packing_binding;
mod pass;
mod placement;
mod pool;
mod queue;
mod rebinding;
mod reclaim;
mod report;
mod reserve;
mod resources;
mod search;
mod status;
mod worker;

pub use admit::admit;
pub use core::Scheduler;
pub use event::{Action, Event, Explanation, TeamStatus, WorkerStatus};
pub use job::{
    JobKey, JobOutcome, JobPhase, JobRecord, JobSpec, JobTransition, Member, NotRunReason,
    RequeueCause, SubmitAnswer,
};
pub use options::SchedulerOptions;

/// The result of job admission.
pub type Result<T> = std::result::Result<T, NotRunReason>;
