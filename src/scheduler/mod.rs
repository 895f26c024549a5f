//! Gang decisions: a pure core of the form `(state, event, now) -> actions`.
//!
//! The core keeps jobs, workers and cells, and decides what is placed, reclaimed and stopped.
//! The leader's loop commits what [`Action::Commit`] asks for and feeds the result back as
//! [`Event::Committed`]; only then do orders for workers follow. See docs/DESIGN.md.

mod event;
mod job;

pub use event::{Action, Event, Explanation, TeamStatus, WorkerStatus};
pub use job::{
    EndCause, JobKey, JobOutcome, JobPhase, JobRecord, JobSpec, JobTransition, Member,
    NotRunReason, SubmitAnswer,
};
