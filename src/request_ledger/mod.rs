//! Durable records of non-idempotent requests and their answers.
//!
//! `begin` is committed before the first byte goes to an endpoint and the answer before it is
//! relayed, so that a resend at any entry gets the same answer; see docs/DESIGN.md.

mod record;

pub use record::{
    BeginAnswer, BeginRequest, ContentDigest, FinishAnswer, FinishRequest, Outcome, RecordState,
    RequestKey, StoredAnswer,
};
