//! A replica of the control group: consensus, its files, membership and repair.
//!
//! [`Handle`] is all that the rest of the program sees; the core behind it is pure.

pub mod core;
pub mod files;
mod handle;
mod lease;
mod message;
mod options;
mod peer;
mod runner;
mod start;
mod writer;

pub use handle::{
    Applied, ApplyHook, Handle, Leadership, MachineHooks, Proposal, ProposeError, RestoreHook,
    Result, SnapshotHook,
};
pub use lease::LeaseClock;
pub use message::{
    AppendOutcome, Entry, Membership, Message, MessageBody, Node, Payload, Snapshot, SnapshotMeta,
};
pub use options::{HostPorts, Peer, ReplicaOptions, StartError};
pub use start::{bind, start, start_with_folder};
