use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::units::{Millis, VmId, WallMs};

/// The operator's number of a maintenance.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    FromStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct MaintenanceNumber(pub u64);

/// VMs of which each is to have its maintenance in time, with few of them down at once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Maintenance {
    /// How far each VM is.
    pub vms: BTreeMap<VmId, VmProgress>,
    /// How long all of it may take.
    pub duration_ms: Millis,
    /// How many VMs may be down at once.
    pub down_max: u32,
    /// When it was asked for.
    pub asked_ms: WallMs,
}

/// How far a VM is in its maintenance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum VmProgress {
    /// It has not begun.
    #[default]
    Waiting,
    /// The platform may have been told to begin.
    Ordered,
    /// It has begun, and the VM may still be down.
    Begun,
    /// The VM is back, or gone for good.
    Done,
}

impl Maintenance {
    /// A maintenance of which nothing has begun.
    #[must_use]
    pub fn new(vms: &BTreeSet<VmId>, duration_ms: Millis, down_max: u32, now: WallMs) -> Self {
        let vms = vms.iter().cloned();
        Self {
            vms: vms.map(|vm| (vm, VmProgress::Waiting)).collect(),
            duration_ms,
            down_max,
            asked_ms: now,
        }
    }

    /// Whether each VM has had its maintenance.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.with(VmProgress::Done).count() == self.vms.len()
    }

    /// How many VMs may be down for it now.
    #[must_use]
    pub fn down(&self) -> usize {
        self.with(VmProgress::Ordered).count() + self.with(VmProgress::Begun).count()
    }

    /// The VMs that are so far.
    pub fn with(&self, progress: VmProgress) -> impl Iterator<Item = &VmId> {
        let vms = self.vms.iter();
        vms.filter(move |(_vm, of)| **of == progress)
            .map(|(vm, _of)| vm)
    }

    /// Moves a VM on; it falls back only where the platform said that nothing has begun.
    pub(super) fn advance(&mut self, vm: &VmId, to: VmProgress) {
        let Some(progress) = self.vms.get_mut(vm) else {
            return;
        };
        let allowed = match (*progress, to) {
            (VmProgress::Ordered, VmProgress::Waiting) => true,
            (VmProgress::Done, _)
            | (_, VmProgress::Waiting)
            | (VmProgress::Begun, VmProgress::Ordered) => false,
            _ => true,
        };
        if allowed {
            *progress = to;
        }
    }
}
