//! Learns from workers' reports which images slow down which, and paces best-effort tasks.
//!
//! A run is compared with itself on the same worker before and after exactly one image arrived
//! beside it or left, so that a slow worker, a slow link or a slow task is not taken for
//! interference; docs/design/interference.md gives the reasons. The load that it is made for: long
//! serving tasks beside which batch and best-effort tasks come and go, several times a minute on
//! each worker.
//!
//! Free of I/O and clocks, and all arithmetic is in integers, because the order of placement
//! depends on it.

mod epoch;
mod learner;
mod pace;
mod pair;

pub use epoch::{ObservedRun, RunRole};
pub use learner::{Change, Interference, PairChange};
pub use pace::{FULL_PERCENT, Pace, PaceCause, PaceStart, PaceTiming};
