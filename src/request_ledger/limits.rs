use crate::units::Millis;

/// How long after its id was made a request can be sent again and still gets its answer.
///
/// An older id is refused, so a record may be forgotten without its request ever running twice.
pub const DEDUP_WINDOW_MS: Millis = Millis(600_000);
/// How far a caller's clock may be ahead of the leader's.
pub const CLOCK_SKEW_MAX_MS: Millis = Millis(60_000);
/// Most records kept at once, over all teams.
pub const RECORDS_MAX: u32 = 16_384;
/// Most bytes kept at once: records, their answers, and room for the answers still to come.
pub const LEDGER_BYTES_MAX: u64 = 16 * 1024 * 1024;
/// What one record counts without its answer, in bytes.
pub const RECORD_OVERHEAD_BYTES: u64 = 512;
/// Largest body of an answer that is kept, in bytes.
pub const RESPONSE_BYTES_MAX: u64 = 64 * 1024;
/// One team may hold the whole divided by this, so that it cannot shut the others out.
pub const TEAM_SHARE_DIVISOR: u32 = 2;
