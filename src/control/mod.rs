//! The control group's replicated state and the service that entries call.

mod api;
mod ask;
mod client;
mod command;
mod connections;
mod dial;
mod entry_book;
mod exchange;
mod hooks;
mod job_metrics;
mod job_table;
mod lead;
mod lead_changes;
mod lead_loop;
mod machine;
mod note_history;
mod order_book;
mod outside;
mod service;
mod work_batch;
mod work_calls;
mod work_log;
mod work_loop;

pub use api::{
    ControlApi, ControlApiClient, ControlApiRequest, ControlApiResponse, ControlError, GroupStatus,
    JobFilter, JobView, ReplicaStatus, Result, Status,
};
pub use client::Client;
pub use command::{Command, CommandBody, Reply};
pub use dial::{Dial, Dialled, tcp_dial};
pub use exchange::{
    EndpointCapacity, EndpointShare, EndpointUse, EntryStatus, ExchangeAnswer, ExchangeRequest,
    Grant, ReportAnswer, ReportBatch, StateUpdate,
};
pub use hooks::SharedMachine;
pub use job_table::{ENDED_BYTES, ENDED_KEPT, ENDED_KEPT_MS, UNENDED_BYTES, UNENDED_MAX};
pub use lead_changes::RESULTS_MAX_BYTES;
pub use machine::Machine;
pub use note_history::VERSIONS_KEPT;
pub use outside::{OutsideAsk, OutsideReceiver, OutsideSender, outside_link};
pub use service::{ControlOptions, ControlService, JOBS_IN_CALL};
pub use work_batch::WorkHandle;

use crate::units::Millis;

/// How long an entry may start new work after it sent the exchange that got the grant.
pub const GRANT_MS: Millis = Millis(3_000);
/// How long the leader holds an exchange open when nothing changes.
pub const EXCHANGE_HOLD_MS: Millis = Millis(1_000);
