//! The control plane: the state machine that the control group replicates, and the RPC service that
//! entry processes call on its leader. In this module an "entry" is such a process, unless a
//! comment says "log entry".

mod api;
mod attempts;
mod call_expiry;
mod client;
mod command;
mod connections;
mod dialer;
mod entry_registry;
mod exchange;
mod held_reports;
mod job_metrics;
mod job_table;
mod leader_loop;
mod leader_proposals;
mod leader_request;
mod leader_state;
mod note_history;
mod order_dispatcher;
mod outage;
mod planning_load;
mod service;
mod shared_state_machine;
mod state_machine;
mod workload_batch;
mod workload_calls;
mod workload_log;
mod workload_loop;

pub use api::{
    ControlApi, ControlApiClient, ControlApiRequest, ControlApiResponse, ControlError, GroupStatus,
    JobFilter, JobView, ReplicaStatus, Result, Status,
};
pub use call_expiry::CallExpiry;
pub use client::Client;
pub use command::{Command, CommandBody, Reply};
pub use dialer::{Connection, Dialer, tcp_dialer};
pub use exchange::{
    EndpointCapacity, EndpointShare, EndpointUsage, EntryStatus, ExchangeAnswer, ExchangeRequest,
    Grant, ReportAnswer, ReportBatch, StateUpdate,
};
pub use job_table::{
    ENDED_JOB_BYTES_MAX, ENDED_JOB_RETENTION_MS, ENDED_JOBS_MAX, UNENDED_JOB_BYTES_MAX,
    UNENDED_JOBS_MAX,
};
pub use leader_proposals::RESULTS_MAX_BYTES;
pub use note_history::NOTE_VERSIONS_RETAINED;
pub use outage::{Outage, OutageAction, OutageEvent, retry_after_s};
pub use service::{ControlOptions, ControlService, JOBS_PER_CALL_MAX};
pub use shared_state_machine::SharedStateMachine;
pub use state_machine::StateMachine;
pub use workload_batch::WorkloadHandle;

use crate::units::Millis;

/// How long an entry may start new work under a grant, counted from when the entry sent the
/// exchange that was answered with it.
pub const GRANT_MS: Millis = Millis(3_000);
/// How long the leader holds an exchange open (long poll) while it has no update for the entry.
pub const EXCHANGE_LONG_POLL_MS: Millis = Millis(1_000);
