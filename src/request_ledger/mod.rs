//! Durable records of non-idempotent requests and their answers.
//!
//! `begin` is committed before the first byte goes to an endpoint and the answer before it is
//! relayed, so that a resend at any entry gets the same answer; see docs/DESIGN.md.

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
