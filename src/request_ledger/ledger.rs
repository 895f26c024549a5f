use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::limits::{
    CLOCK_SKEW_MAX_MS, DEDUP_WINDOW_MS, LEDGER_BYTES_MAX, RECORD_OVERHEAD_BYTES, RECORDS_MAX,
    RESPONSE_BYTES_MAX, TEAM_SHARE_DIVISOR,
};
use super::{
    BeginAnswer, BeginRequest, ContentDigest, FinishAnswer, FinishRequest, RecordState, RequestKey,
};
use crate::units::{EndpointId, EntryId, Incarnation, Millis, Sequence, TeamId, WallMs};

/// Identifies an attempt by the entry's incarnation and its sequence number there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct AttemptId {
    entry: EntryId,
    incarnation: Incarnation,
    sequence: Sequence,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Record {
    content: ContentDigest,
    made_ms: WallMs,
    attempt: AttemptId,
    endpoint: EndpointId,
    endpoint_incarnation: Incarnation,
    state: RecordState,
    /// Whether the state became unknown because the deadline passed without a report from the
    /// entry. Such a record still accepts a late report that nothing was sent.
    timed_out: bool,
    /// When [`Ledger::expire`] next acts on the record: it sets an attempt in progress to unknown
    /// and removes any other record.
    due_ms: WallMs,
}

/// What all records, or the records of one team, use.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Usage {
    records: u32,
    in_progress: u32,
    bytes: u64,
}

/// The records of non-idempotent requests; a deterministic part of the replicated state.
///
/// A request runs at most once because its record outlives every resend that is still accepted:
/// an id is refused as too old from [`DEDUP_WINDOW_MS`] after it was made, and its record is kept
/// until then.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    clock_ms: WallMs,
    records: BTreeMap<RequestKey, Record>,
    due_queue: BTreeSet<(WallMs, RequestKey)>,
    usage: Usage,
    team_usage: BTreeMap<TeamId, Usage>,
}

impl Ledger {
    /// Records that an attempt begins, or answers why the request must not be sent.
    pub fn begin(&mut self, request: &BeginRequest, now: WallMs) -> BeginAnswer {
        self.expire(now);
        let Some(made_ms) = request.made_ms else {
            return BeginAnswer::TooOld;
        };
        if let Some(record) = self.records.get(&request.key)
            && let Some(answer) = record.begin_answer(request, made_ms)
        {
            return answer;
        }
        if self.clock_ms.since(made_ms) >= DEDUP_WINDOW_MS {
            return BeginAnswer::TooOld;
        }
        if made_ms.since(self.clock_ms) > CLOCK_SKEW_MAX_MS {
            return BeginAnswer::MadeInFuture;
        }
        self.remove(&request.key);
        if !self.has_room_for(&request.key.team) {
            return BeginAnswer::Full;
        }
        let record = Record::new(request, made_ms, self.clock_ms);
        self.insert(request.key.clone(), record);
        BeginAnswer::Begun
    }

    /// Records how an attempt ended. The first response recorded for an attempt is never replaced.
    pub fn finish(&mut self, request: &FinishRequest, now: WallMs) -> FinishAnswer {
        self.expire(now);
        let Some(record) = self.records.get(&request.key) else {
            return FinishAnswer::NoSuchAttempt;
        };
        if record.attempt != AttemptId::from_finish(request) {
            return FinishAnswer::NoSuchAttempt;
        }
        if record.state == request.state {
            return FinishAnswer::Recorded;
        }
        if !record.can_change_to(&request.state) {
            return FinishAnswer::NotRecorded(record.state.clone());
        }
        let fits = self.response_fits(&record.state, &request.state);
        let state = if fits {
            request.state.clone()
        } else {
            RecordState::Unknown
        };
        self.set_state(&request.key, state.clone(), false);
        if fits {
            FinishAnswer::Recorded
        } else {
            FinishAnswer::NotRecorded(state)
        }
    }

    /// Sets attempts whose deadline has passed to unknown and removes records older than the
    /// deduplication window.
    ///
    /// The ledger's clock never goes back, even if `now` does.
    pub fn expire(&mut self, now: WallMs) {
        self.clock_ms = self.clock_ms.max(now);
        while let Some((due_ms, key)) = self.due_queue.first().cloned() {
            if due_ms > self.clock_ms {
                return;
            }
            let begun = self
                .records
                .get(&key)
                .is_some_and(|record| record.state == RecordState::Begun);
            if begun {
                self.set_state(&key, RecordState::Unknown, true);
            } else {
                self.remove(&key);
            }
        }
    }

    /// The number of records kept.
    #[must_use]
    pub const fn record_count(&self) -> u32 {
        self.usage.records
    }

    /// The bytes that count against [`LEDGER_BYTES_MAX`], including those reserved for responses.
    #[must_use]
    pub const fn reserved_bytes(&self) -> u64 {
        self.usage.reserved_bytes()
    }

    fn has_room_for(&self, team: &TeamId) -> bool {
        let team_usage = self.team_usage.get(team).copied().unwrap_or_default();
        let divisor = u64::from(TEAM_SHARE_DIVISOR);
        self.usage.has_room(RECORDS_MAX, LEDGER_BYTES_MAX)
            && team_usage.has_room(RECORDS_MAX / TEAM_SHARE_DIVISOR, LEDGER_BYTES_MAX / divisor)
    }

    /// Whether the response in `state` can be stored.
    ///
    /// An attempt in progress has space reserved for its response. A late response to an attempt
    /// that is already unknown needs free space.
    fn response_fits(&self, before: &RecordState, state: &RecordState) -> bool {
        let bytes = response_bytes(state);
        let reserved = matches!(before, RecordState::Begun);
        bytes <= RESPONSE_BYTES_MAX
            && (reserved || self.usage.reserved_bytes() + bytes <= LEDGER_BYTES_MAX)
    }

    fn set_state(&mut self, key: &RequestKey, state: RecordState, timed_out: bool) {
        if let Some(mut record) = self.remove(key) {
            record.state = state;
            record.timed_out = timed_out;
            record.due_ms = saturating_add(record.made_ms, DEDUP_WINDOW_MS);
            self.insert(key.clone(), record);
        }
    }

    fn insert(&mut self, key: RequestKey, record: Record) {
        let team_usage = self.team_usage.entry(key.team.clone()).or_default();
        team_usage.add(&record);
        self.usage.add(&record);
        self.due_queue.insert((record.due_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &RequestKey) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.due_queue.remove(&(record.due_ms, key.clone()));
        self.usage.subtract(&record);
        if let Some(team_usage) = self.team_usage.get_mut(&key.team) {
            team_usage.subtract(&record);
            if team_usage.records == 0 {
                self.team_usage.remove(&key.team);
            }
        }
        Some(record)
    }
}

impl AttemptId {
    fn from_begin(request: &BeginRequest) -> Self {
        Self {
            entry: request.entry.clone(),
            incarnation: request.entry_incarnation,
            sequence: request.sequence,
        }
    }

    fn from_finish(request: &FinishRequest) -> Self {
        Self {
            entry: request.entry.clone(),
            incarnation: request.entry_incarnation,
            sequence: request.sequence,
        }
    }

    /// Whether `self` was begun by the same entry incarnation as `last` and not after it, so that a
    /// begin of `self` is a delayed or repeated call.
    fn is_not_newer_than(&self, last: &Self) -> bool {
        self.entry == last.entry
            && self.incarnation == last.incarnation
            && self.sequence <= last.sequence
    }
}

impl Record {
    fn new(request: &BeginRequest, made_ms: WallMs, now: WallMs) -> Self {
        let timeout_ms = request.deadline_ms.min(DEDUP_WINDOW_MS).with_clock_margin();
        Self {
            content: request.content,
            made_ms,
            attempt: AttemptId::from_begin(request),
            endpoint: request.endpoint.clone(),
            endpoint_incarnation: request.endpoint_incarnation,
            state: RecordState::Begun,
            timed_out: false,
            due_ms: saturating_add(now, timeout_ms),
        }
    }

    /// The answer to a begin for the recorded id, or `None` if a new attempt may begin.
    fn begin_answer(&self, request: &BeginRequest, made_ms: WallMs) -> Option<BeginAnswer> {
        if self.content != request.content || self.made_ms != made_ms {
            return Some(BeginAnswer::ContentMismatch);
        }
        let attempt = AttemptId::from_begin(request);
        match &self.state {
            RecordState::Begun if attempt == self.attempt => Some(BeginAnswer::Begun),
            RecordState::Begun => Some(BeginAnswer::InProgress),
            RecordState::NotSent => attempt
                .is_not_newer_than(&self.attempt)
                .then_some(BeginAnswer::InProgress),
            RecordState::Answered(answer) => Some(BeginAnswer::Answered(answer.clone())),
            RecordState::Unknown => Some(BeginAnswer::Unknown),
        }
    }

    const fn can_change_to(&self, state: &RecordState) -> bool {
        match (&self.state, state) {
            (RecordState::Begun, _) | (RecordState::Unknown, RecordState::Answered(_)) => true,
            (RecordState::Unknown, RecordState::NotSent) => self.timed_out,
            _ => false,
        }
    }
}

impl Usage {
    fn add(&mut self, record: &Record) {
        self.records += 1;
        self.bytes += RECORD_OVERHEAD_BYTES + response_bytes(&record.state);
        if matches!(record.state, RecordState::Begun) {
            self.in_progress += 1;
        }
    }

    fn subtract(&mut self, record: &Record) {
        self.records -= 1;
        self.bytes -= RECORD_OVERHEAD_BYTES + response_bytes(&record.state);
        if matches!(record.state, RecordState::Begun) {
            self.in_progress -= 1;
        }
    }

    /// The bytes stored, plus the space reserved for the response of every attempt in progress.
    const fn reserved_bytes(&self) -> u64 {
        self.bytes + self.in_progress as u64 * RESPONSE_BYTES_MAX
    }

    const fn has_room(&self, records_max: u32, bytes_max: u64) -> bool {
        let next = self.reserved_bytes() + RECORD_OVERHEAD_BYTES + RESPONSE_BYTES_MAX;
        self.records < records_max && next <= bytes_max
    }
}

fn response_bytes(state: &RecordState) -> u64 {
    match state {
        RecordState::Answered(answer) => (answer.body.len() + answer.content_type.len()) as u64,
        _ => 0,
    }
}

const fn saturating_add(point: WallMs, span: Millis) -> WallMs {
    WallMs(point.0.saturating_add(span.0))
}
