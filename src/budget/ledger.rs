use std::collections::BTreeMap;

use crate::units::Millis;

/// Minimum time without progress after which a holder may be closed for another. A client on a link
/// of 1 Mbit/s sends 16 KiB in 131 ms.
const STALLED_MIN_MS: Millis = Millis(250);
/// Minimum time without progress after which the holder of a response may be closed for another.
/// Progress is what the send buffer accepts, and Linux asks for more once a third of it is free. The
/// buffer may grow to 4 MiB (`tcp_wmem`), a third of which takes 7.5 s at 1.5 Mbit/s.
pub(crate) const RESPONSE_STALLED_MIN_MS: Millis = Millis(8_000);
/// Maximum size of a holder that may use the part of a budget that is set aside for small ones.
const SMALL_MAX_BYTES: usize = 16 * 1_024;
/// Divisor of a budget that yields the part that is set aside for small holders, a quarter.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Number of a holder, unique in its budget.
pub type HolderId = u64;

/// Size of a budget and of the part of it that only small holders use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Bytes that all holders may have together.
    pub total_bytes: usize,
    /// Bytes that only holders of up to 16 KiB may have.
    pub small_reserve_bytes: usize,
}

impl BudgetLimits {
    /// Returns limits that set aside a quarter for small holders.
    #[must_use]
    pub const fn with_small_reserve(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            small_reserve_bytes: total_bytes / SMALL_SHARE_DIVISOR,
        }
    }

    /// Returns limits without a part for small holders.
    #[must_use]
    pub const fn without_small_reserve(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            small_reserve_bytes: 0,
        }
    }

    const fn large_bytes(&self) -> usize {
        self.total_bytes.saturating_sub(self.small_reserve_bytes)
    }
}

/// Direction in which the bytes of a holder are transferred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// A body or frame is received.
    Receiving,
    /// A response is sent.
    Sending,
}

impl Direction {
    const fn stalled_min_ms(self) -> Millis {
        match self {
            Self::Receiving => STALLED_MIN_MS,
            Self::Sending => RESPONSE_STALLED_MIN_MS,
        }
    }
}

/// Answer to a request for bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The bytes are reserved.
    Granted,
    /// The holder itself is being closed in favour of another.
    Closed,
    /// The budget is exhausted.
    Exhausted {
        /// The holder to close, unless none has stalled or those being closed free enough.
        close: Option<HolderId>,
        /// When the next holder counts as stalled, unless none can.
        next_stall_ms: Option<Millis>,
    },
}

/// The budget is exhausted, and no holder is to be closed.
const EXHAUSTED: Decision = Decision::Exhausted {
    close: None,
    next_stall_ms: None,
};

/// Bytes by which the used ones grow, and those of them that count as large.
#[derive(Clone, Copy, Debug)]
struct Growth {
    bytes: usize,
    large_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct HeldBytes {
    bytes: usize,
    progress_ms: Millis,
    direction: Direction,
    phase: Phase,
}

impl HeldBytes {
    /// Returns the time at which the holder counts as stalled.
    const fn stalls_ms(&self) -> Millis {
        self.progress_ms
            .saturating_add(self.direction.stalled_min_ms())
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The client can make progress, so the holder may be closed once it has stalled.
    Active,
    /// The holder waits for more bytes and cannot make progress meanwhile.
    Waiting,
    /// The holder is being closed and will release its bytes.
    Closing,
    /// All has been read.
    Complete,
}

/// Accounts for the bytes of a budget, and decides which holder is closed when it is exhausted.
#[derive(Debug)]
pub struct BudgetLedger {
    limits: BudgetLimits,
    holders: BTreeMap<HolderId, HeldBytes>,
    used_bytes: usize,
    large_used_bytes: usize,
}

impl BudgetLedger {
    /// Creates a ledger without holders.
    #[must_use]
    pub const fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            used_bytes: 0,
            large_used_bytes: 0,
        }
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Raises the reservation of a holder that receives to `bytes`. A smaller value leaves it
    /// unchanged.
    pub fn reserve(&mut self, id: HolderId, bytes: usize, now: Millis) -> Decision {
        self.reserve_for(Direction::Receiving, id, bytes, now)
    }

    /// Raises a holder's reservation to `bytes`. A smaller value leaves it unchanged.
    pub fn reserve_for(
        &mut self,
        direction: Direction,
        id: HolderId,
        bytes: usize,
        now: Millis,
    ) -> Decision {
        if let Some(decision) = self.reserve_free(direction, id, bytes, now) {
            return decision;
        }
        if bytes > self.limits.total_bytes || large_part(bytes) > self.limits.large_bytes() {
            return EXHAUSTED;
        }
        let growth = self.growth(id, bytes);
        if let Some(held) = self.holders.get_mut(&id)
            && held.phase == Phase::Active
        {
            held.phase = Phase::Waiting;
        }
        let closing = self.holders.values();
        let closing = closing.filter(|held| held.phase == Phase::Closing);
        let (closing_bytes, closing_large_bytes) = closing.fold((0, 0), |(all, large), held| {
            (all + held.bytes, large + large_part(held.bytes))
        });
        let fits_later = self.used_bytes + growth.bytes <= self.limits.total_bytes + closing_bytes;
        let large_fits_later = growth.large_bytes == 0
            || self.large_used_bytes + growth.large_bytes
                <= self.limits.large_bytes() + closing_large_bytes;
        if fits_later && large_fits_later {
            return EXHAUSTED;
        }
        self.choose_victim(id, !large_fits_later, now)
    }

    /// Raises a holder's reservation like [`BudgetLedger::reserve_for`] if that needs no other holder to
    /// be closed. Returns `None` if the budget is exhausted.
    pub fn reserve_free(
        &mut self,
        direction: Direction,
        id: HolderId,
        bytes: usize,
        now: Millis,
    ) -> Option<Decision> {
        let held = self.holders.get(&id).copied();
        if held.is_some_and(|held| held.phase == Phase::Closing) {
            return Some(Decision::Closed);
        }
        if held.is_some_and(|held| bytes <= held.bytes) || bytes == 0 {
            return Some(Decision::Granted);
        }
        let growth = self.growth(id, bytes);
        let used_bytes = self.used_bytes + growth.bytes;
        let large_used_bytes = self.large_used_bytes + growth.large_bytes;
        let large_fits = growth.large_bytes == 0 || large_used_bytes <= self.limits.large_bytes();
        if used_bytes > self.limits.total_bytes || !large_fits {
            return None;
        }
        self.used_bytes = used_bytes;
        self.large_used_bytes = large_used_bytes;
        let held = match held {
            None => HeldBytes {
                bytes,
                progress_ms: now,
                direction,
                phase: Phase::Active,
            },
            // The client could not make progress while its holder waited.
            Some(held) if held.phase == Phase::Waiting => HeldBytes {
                bytes,
                progress_ms: now,
                phase: Phase::Active,
                ..held
            },
            Some(held) => HeldBytes { bytes, ..held },
        };
        self.holders.insert(id, held);
        Some(Decision::Granted)
    }

    /// Returns by how much the used bytes grow when a holder's reservation is raised to `bytes`.
    fn growth(&self, id: HolderId, bytes: usize) -> Growth {
        let before = self.holders.get(&id).map_or(0, |held| held.bytes);
        Growth {
            bytes: bytes.saturating_sub(before),
            large_bytes: large_part(bytes).saturating_sub(large_part(before)),
        }
    }

    /// Records that a holder has made progress.
    pub fn record_progress(&mut self, id: HolderId, now: Millis) {
        if let Some(held) = self.holders.get_mut(&id) {
            held.progress_ms = now;
        }
    }

    /// Records that a holder has been read completely. It keeps its bytes and is not closed.
    pub fn complete(&mut self, id: HolderId) {
        if let Some(held) = self.holders.get_mut(&id) {
            held.phase = Phase::Complete;
        }
    }

    /// Releases the bytes of a holder.
    pub fn release(&mut self, id: HolderId) {
        if let Some(held) = self.holders.remove(&id) {
            self.used_bytes -= held.bytes;
            self.large_used_bytes -= large_part(held.bytes);
        }
    }

    /// Chooses the holder that has stalled for the longest time, other than `requester`.
    fn choose_victim(&mut self, requester: HolderId, large_only: bool, now: Millis) -> Decision {
        let candidates = self.holders.iter().filter(|(id, held)| {
            held.phase == Phase::Active
                && **id != requester
                && (!large_only || large_part(held.bytes) > 0)
        });
        let first = candidates.map(|(id, held)| (held.stalls_ms(), *id)).min();
        let Some((stalls_ms, id)) = first else {
            return EXHAUSTED;
        };
        if now < stalls_ms {
            return Decision::Exhausted {
                close: None,
                next_stall_ms: Some(stalls_ms),
            };
        }
        if let Some(held) = self.holders.get_mut(&id) {
            held.phase = Phase::Closing;
        }
        Decision::Exhausted {
            close: Some(id),
            next_stall_ms: None,
        }
    }
}

/// Returns the bytes that count as large, which are all or none of a holder's.
const fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_MAX_BYTES { bytes } else { 0 }
}
