use crate::units::Millis;

/// How long after its id was made a request can be resent and still gets its stored response.
///
/// An older id is refused, so a record can be dropped without the risk of a second execution.
pub const DEDUP_WINDOW_MS: Millis = Millis(600_000);
/// How far a caller's clock may be ahead of the leader's clock.
pub const CLOCK_SKEW_MAX_MS: Millis = Millis(60_000);
/// Maximum number of records kept at once, over all teams.
pub const RECORDS_MAX: u32 = 16_384;
/// Maximum number of bytes kept at once: records, stored responses, and the space reserved for the
/// responses of attempts in progress.
pub const LEDGER_BYTES_MAX: u64 = 16 * 1024 * 1024;
/// Bytes charged for one record without its response.
pub const RECORD_OVERHEAD_BYTES: u64 = 512;
/// Maximum size of a stored response: body and content type together, in bytes.
pub const RESPONSE_BYTES_MAX: u64 = 64 * 1024;
/// One team may use at most the ledger's limits divided by this number, so that it cannot lock out
/// other teams.
pub const TEAM_SHARE_DIVISOR: u32 = 2;
