use crate::fleet::{Usage, WorkerCapacity};
use crate::units::{Cores, MemoryMb};

/// An amount of a worker's resources; all arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Resources {
    /// Number of accelerators.
    pub(super) accelerators: u32,
    /// Number of processor cores.
    pub(super) cores: u32,
    /// Memory in megabytes.
    pub(super) memory_mb: u64,
}

impl Resources {
    pub(super) const ZERO: Self = Self {
        accelerators: 0,
        cores: 0,
        memory_mb: 0,
    };

    /// More than any worker has.
    pub(super) const MAX: Self = Self {
        accelerators: u32::MAX,
        cores: u32::MAX,
        memory_mb: u64::MAX,
    };

    pub(super) const fn from_capacity(capacity: &WorkerCapacity) -> Self {
        Self {
            accelerators: capacity.accelerators.0,
            cores: capacity.cores.0,
            memory_mb: capacity.memory_mb.0,
        }
    }

    /// Usage measured by a worker; cores are rounded down to whole cores.
    pub(super) fn from_usage(usage: &Usage) -> Self {
        Self {
            accelerators: usage.accelerators.0,
            cores: u32::try_from(usage.cores_milli / 1_000).unwrap_or(u32::MAX),
            memory_mb: usage.memory_mb.0,
        }
    }

    pub(super) const fn saturating_add(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    pub(super) const fn saturating_sub(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    pub(super) fn min(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    pub(super) fn max(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    pub(super) const fn fits_in(self, room: Self) -> bool {
        self.accelerators <= room.accelerators
            && self.cores <= room.cores
            && self.memory_mb <= room.memory_mb
    }

    /// How many times these resources fit into `room`, limited to 512, the largest gang.
    pub(super) fn max_copies_in(self, room: Self) -> u32 {
        let by_accelerators = room.accelerators.checked_div(self.accelerators);
        let by_cores = room.cores.checked_div(self.cores);
        let by_memory = room.memory_mb.checked_div(self.memory_mb);
        let by_memory = by_memory.map(|times| u32::try_from(times).unwrap_or(u32::MAX));
        [by_accelerators, by_cores, by_memory]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(TASKS_MAX)
            .min(TASKS_MAX)
    }

    /// The share of this capacity that belongs to `accelerators` of its accelerators.
    pub(super) fn proportional_share(self, accelerators: u32) -> Self {
        if self.accelerators == 0 {
            return Self::ZERO;
        }
        let taken = accelerators.min(self.accelerators);
        let cores = u64::from(self.cores) * u64::from(taken) / u64::from(self.accelerators);
        let memory = u128::from(self.memory_mb) * u128::from(taken);
        let memory = memory / u128::from(self.accelerators);
        Self {
            accelerators: taken,
            cores: u32::try_from(cores).unwrap_or(u32::MAX),
            memory_mb: u64::try_from(memory).unwrap_or(u64::MAX),
        }
    }

    pub(super) const fn cores_and_memory(self) -> (Cores, MemoryMb) {
        (Cores(self.cores), MemoryMb(self.memory_mb))
    }
}

/// Number of tasks in the largest gang.
pub(super) const TASKS_MAX: u32 = 512;
