use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{MaintenanceNumber, StepName};
use crate::units::{Millis, Term, VmId, WorkerId};

/// Most workers that the policy service is asked about in one call.
pub const PERMIT_WORKERS_MAX: usize = 100;

/// A call that the leader makes to a system outside the group; the answer comes back as an event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutsideCall {
    /// Asks the policy service which of these workers may run a step.
    AskPermits {
        /// The step.
        step: StepName,
        /// The workers, at most [`PERMIT_WORKERS_MAX`].
        workers: Vec<WorkerId>,
    },
    /// Asks the platform for one page of its VMs.
    ListVms {
        /// The page; none for the first one.
        page: Option<SmolStr>,
    },
    /// Tells the platform to begin a VM's maintenance; all that runs there ends at once.
    BeginMaintenance {
        /// The VM.
        vm: VmId,
        /// The maintenance.
        maintenance: MaintenanceNumber,
        /// The leader's term: the platform obeys only the highest that it has seen for the VM.
        term: Term,
    },
}

/// What came of such a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutsideAnswer {
    /// The workers that may run the step, each with its permit; the others may not.
    Permits {
        /// Worker and permit.
        granted: Vec<(WorkerId, SmolStr)>,
        /// How long the permits count.
        valid_ms: Millis,
    },
    /// One page of VMs.
    Vms {
        /// The VMs.
        vms: Vec<Vm>,
        /// The next page, if there is one.
        next: Option<SmolStr>,
    },
    /// The VM's maintenance has begun, now or before.
    MaintenanceBegun,
    /// The VM's maintenance has not begun.
    MaintenanceRefused(MaintenanceRefusal),
    /// The service takes no more calls now.
    Busy,
    /// It gave no answer, or one that cannot be read; the call may have been carried out.
    Failed {
        /// Why.
        cause: SmolStr,
    },
}

/// Why the platform did not begin a VM's maintenance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MaintenanceRefusal {
    /// Another leader has used a higher term.
    Superseded,
    /// The VM is not up, or it leaves.
    Occupied,
    /// The VM is not part of that maintenance.
    NotPlanned,
    /// There is no such VM.
    NoSuchVm,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The VM.
    pub id: VmId,
    /// Whether it is up, and not moving, in maintenance or down.
    pub is_up: bool,
    /// The worker that is its present life.
    pub worker: Option<WorkerId>,
}
