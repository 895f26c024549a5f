//! A replica of the control group: consensus, its files, membership and repair.
//!
//! [`Handle`] is all that the rest of the program sees; the core behind it is pure.

mod handle;

pub use handle::{
    Applied, ApplyHook, Handle, Leadership, MachineHooks, Proposal, ProposeError, RestoreHook,
    Result, SnapshotHook,
};
