//! Durable records of non-idempotent requests and their responses.
//!
//! [`Ledger::begin`] is committed before the first byte is sent to an endpoint, and the response is
//! committed before it is relayed to the caller. A resend through any entry therefore gets the same
//! response instead of a second execution; see docs/DESIGN.md.

mod ledger;
mod limits;
mod record;

pub use ledger::Ledger;
pub use limits::{
    CLOCK_SKEW_MAX_MS, DEDUP_WINDOW_MS, LEDGER_BYTES_MAX, RECORD_OVERHEAD_BYTES, RECORDS_MAX,
    RESPONSE_BYTES_MAX, TEAM_SHARE_DIVISOR,
};
pub use record::{
    BeginAnswer, BeginRequest, ContentDigest, FinishAnswer, FinishRequest, Outcome, RecordState,
    RequestKey, StoredResponse,
};
