use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The resources that a task needs or that a worker provides.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{cpu_millicores}m/{memory_mb}MB/{accelerators}acc")]
pub struct Resources {
    /// Processor time in millicores.
    pub cpu_millicores: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub accelerators: u64,
}

/// The most of each kind that may be in use at a time; `None` where there is no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceLimits {
    /// Processor time in millicores.
    pub cpu_millicores: Option<u64>,
    /// Memory in megabytes.
    pub memory_mb: Option<u64>,
    /// The number of accelerators.
    pub accelerators: Option<u64>,
}

impl ResourceLimits {
    /// Whether `used` exceeds the limit of no kind.
    #[must_use]
    pub fn allow(self, used: Resources) -> bool {
        used.fits_in(self.remaining(Resources::ZERO))
    }

    /// What may still be used of each kind; the largest number where there is no limit.
    #[must_use]
    pub fn remaining(self, used: Resources) -> Resources {
        let remaining =
            |limit: Option<u64>, used| limit.map_or(u64::MAX, |limit| limit.saturating_sub(used));
        Resources {
            cpu_millicores: remaining(self.cpu_millicores, used.cpu_millicores),
            memory_mb: remaining(self.memory_mb, used.memory_mb),
            accelerators: remaining(self.accelerators, used.accelerators),
        }
    }
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self {
        cpu_millicores: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Adds each kind, saturating at the numeric bounds.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each kind, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the smaller value of each kind.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.min(other.cpu_millicores),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the larger value of each kind.
    #[must_use]
    pub fn max_each(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The share of `capacity` that these resources take of the kind of which they take most, in
    /// percent, rounded down.
    #[must_use]
    pub fn percent_of(self, capacity: Self) -> u64 {
        let percent = |used: u64, of: u64| used.saturating_mul(100).checked_div(of).unwrap_or(0);
        percent(self.cpu_millicores, capacity.cpu_millicores)
            .max(percent(self.memory_mb, capacity.memory_mb))
            .max(percent(self.accelerators, capacity.accelerators))
    }

    /// Returns this part of each kind, in percent.
    #[must_use]
    pub const fn percent(self, percent: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(percent) / 100,
            memory_mb: self.memory_mb.saturating_mul(percent) / 100,
            accelerators: self.accelerators.saturating_mul(percent) / 100,
        }
    }

    /// Multiplies each kind by `count`, saturating at the numeric bounds.
    #[must_use]
    pub const fn saturating_mul(self, count: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Whether each kind fits into `capacity`.
    #[must_use]
    pub const fn fits_in(self, capacity: Self) -> bool {
        self.cpu_millicores <= capacity.cpu_millicores
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// How many times these resources fit into `capacity`, up to `most`.
    #[must_use]
    pub fn max_count_in(self, capacity: Self, most: u64) -> u64 {
        let count = |need: u64, have: u64| have.checked_div(need).unwrap_or(most);
        count(self.cpu_millicores, capacity.cpu_millicores)
            .min(count(self.memory_mb, capacity.memory_mb))
            .min(count(self.accelerators, capacity.accelerators))
            .min(most)
    }

    /// The weight of lost work on these resources, in millicores.
    #[must_use]
    pub const fn weight(self) -> u64 {
        /// The price of an accelerator relative to processor time, as operators account for it.
        const ACCELERATOR_MILLICORES: u64 = 8_000;
        let accelerators = self.accelerators.saturating_mul(ACCELERATOR_MILLICORES);
        self.cpu_millicores.saturating_add(accelerators)
    }
}
