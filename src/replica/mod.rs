//! A replica of the control group: consensus, storage, membership and recovery.
//!
//! The rest of the program uses a replica only through its [`Handle`]. The consensus itself is
//! implemented by [`core`], which performs no I/O.

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
    Applied, ApplyHook, Handle, Leadership, Proposal, ProposeError, RestoreHook, Result,
    SnapshotHook, StateMachineHooks,
};
pub use lease::LeaseClock;
pub use message::{
    AppendOutcome, Entry, Membership, Message, MessageBody, Node, Payload, Snapshot, SnapshotMeta,
};
pub use options::{HostPorts, Peer, ReplicaOptions, StartError};
pub use start::{bind, start, start_with_folder};
