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

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The next value; stays at the largest one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// The difference, zero where `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}

number!(
    /// A term of the control group's leadership.
    Term(u64)
);
number!(
    /// A position in the replicated log; the first record has index 1.
    LogIndex(u64)
);
number!(
    /// A revision of the state in force: the log index that made it.
    Revision(u64)
);
number!(
    /// An operator's version number of a release note.
    NoteVersion(u64)
);
number!(
    /// An attempt to run a job; the first is 1.
    Attempt(u32)
);
number!(
    /// The index of a task inside its gang, from 0.
    TaskIndex(u32)
);
number!(
    /// A run of a worker's or endpoint's process: larger after each restart.
    Incarnation(u64)
);
number!(
    /// A counter of reports inside one incarnation.
    Sequence(u64)
);
number!(
    /// A version of the orders for one worker.
    OrdersVersion(u64)
);
number!(
    /// A count of accelerators.
    Accelerators(u32)
);
number!(
    /// A count of processor cores.
    Cores(u32)
);
number!(
    /// A count of request slots or connections of an endpoint.
    Slots(u32)
);
number!(
    /// A size of memory in megabytes.
    MemoryMb(u64)
);
number!(
    /// A size in bytes.
    Bytes(u64)
);
