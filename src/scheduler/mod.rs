//! Gang decisions: a pure core of the form `(state, event, now) -> actions`.
//!
//! The core keeps jobs, workers and cells, and decides what is placed, reclaimed and stopped.
//! The leader's loop commits what [`Action::Commit`] asks for and feeds the result back as
//! [`Event::Committed`]; only then do orders for workers follow. See docs/DESIGN.md.

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

/// Result of admitting a job.
pub type Result<T> = std::result::Result<T, NotRunReason>;
