//! The control group's replicated state and the service that entries call.

mod api;
mod command;
mod exchange;
mod hooks;
mod job_table;
mod machine;
mod note_history;

pub use api::{
    ControlApi, ControlApiClient, ControlError, GroupStatus, JobFilter, JobView, ReplicaStatus,
    Result, Status,
};
pub use command::{Command, CommandBody, Reply};
pub use exchange::{
    EndpointCapacity, EndpointShare, EndpointUse, EntryStatus, ExchangeAnswer, ExchangeRequest,
    Grant, ReportAnswer, ReportBatch, StateUpdate,
};
pub use hooks::SharedMachine;
pub use job_table::{ENDED_KEPT, ENDED_KEPT_MS, UNENDED_MAX};
pub use machine::Machine;
pub use note_history::VERSIONS_KEPT;

use crate::units::Millis;

/// How long an entry may start new work after it sent the exchange that got the grant.
pub const GRANT_MS: Millis = Millis(3_000);
/// How long the leader holds an exchange open when nothing changes.
pub const EXCHANGE_HOLD_MS: Millis = Millis(1_000);
