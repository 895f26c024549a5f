//! Durable records of non-idempotent requests and their answers.
//!
//! `begin` is committed before the first byte goes to an endpoint and the answer before it is
//! relayed, so that a resend at any entry gets the same answer; see docs/DESIGN.md.

mod ledger;
mod limits;
mod record;

pub use ledger::Ledger;
pub use limits::{
    ANSWER_BYTES_MAX, BYTES_MAX, MADE_AHEAD_MS, RECORD_BYTES, RECORDS_MAX, TEAM_PART, WINDOW_MS,
};
pub use record::{
    BeginAnswer, BeginRequest, ContentDigest, FinishAnswer, FinishRequest, Outcome, RecordState,
    RequestKey, StoredAnswer,
};
