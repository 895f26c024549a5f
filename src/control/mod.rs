//! The control group's replicated state and the service that entries call.

mod api;
mod command;
mod exchange;

pub use api::{
    ControlApi, ControlApiClient, ControlError, GroupStatus, JobFilter, JobView, ReplicaStatus,
    Result, Status,
};
pub use command::{Command, CommandBody, Reply};
pub use exchange::{
    EndpointCapacity, EndpointShare, EndpointUse, EntryStatus, ExchangeAnswer, ExchangeRequest,
    Grant, ReportAnswer, ReportBatch, StateUpdate,
};

use crate::units::Millis;

/// How long an entry may start new work after it sent the exchange that got the grant.
pub const GRANT_MS: Millis = Millis(3_000);
/// How long the leader holds an exchange open when nothing changes.
pub const EXCHANGE_HOLD_MS: Millis = Millis(1_000);
