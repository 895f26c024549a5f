use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Add, AddAssign, From, Into};
use serde::{Deserialize, Serialize};

/// Milliseconds: a duration, or a point in time on the monotonic clock of one process.
///
/// Points in time of different processes must not be compared; see docs/GLOSSARY.md.
#[derive(
    Add,
    AddAssign,
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A duration of zero, or the start of a clock.
    pub const ZERO: Self = Self(0);
    /// Later than any point in time that a clock reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the number of milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the sum, or [`Millis::MAX`] on overflow.
    #[must_use]
    pub const fn saturating_add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the duration plus 10 %, rounded up.
    ///
    /// The margin allows for two clocks that run at different rates.
    #[must_use]
    pub const fn with_clock_margin(self) -> Self {
        Self(self.0.saturating_add(self.0.div_ceil(10)))
    }

    /// Converts to a standard [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("ms").unwrap_or(text).parse().map(Self)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, as a leader stamps it into commands.
///
/// It only limits how long records are kept. No lease or grant depends on it, as wall clocks may
/// jump.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct WallMs(pub u64);

impl WallMs {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for WallMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
