use derive_more::{Add, AddAssign, Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, FromStr, Hash,
            Into, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The smallest value.
            pub const ZERO: Self = Self(0);

            /// Returns the inner number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next value, saturating at the maximum.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Returns the difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}

number!(
    /// A term of the control group, which has at most one leader.
    Term(u64)
);
number!(
    /// An index in the replicated log; the first entry has index 1.
    LogIndex(u64)
);
number!(
    /// A revision of the state in force: the log index of the command that produced it.
    Revision(u64)
);
number!(
    /// Version number that an operator gives to a release note.
    NoteVersion(u64)
);
number!(
    /// Number of an attempt to run a job; the first is 1.
    Attempt(u32)
);
number!(
    /// Index of a task in its gang, starting at 0.
    TaskIndex(u32)
);
number!(
    /// Identifies one run of a process; larger after each restart.
    Incarnation(u64)
);
number!(
    /// Sequence number of a report within one incarnation.
    Sequence(u64)
);
number!(
    /// Version of the orders for one worker.
    OrdersVersion(u64)
);
number!(
    /// Number of accelerators.
    Accelerators(u32)
);
number!(
    /// Number of CPU cores.
    Cores(u32)
);
number!(
    /// Number of request slots or connections of an endpoint.
    Slots(u32)
);
number!(
    /// Amount of memory in megabytes.
    MemoryMb(u64)
);
number!(
    /// Size in bytes.
    Bytes(u64)
);
