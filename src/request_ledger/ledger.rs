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

/// One attempt: an entry's run and the number that it gave the attempt.
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
    /// Whether the state is unknown only because the deadline passed without a word of the entry.
    timed_out: bool,
    /// When the record must be looked at again.
    due_ms: WallMs,
}

/// What all records, or those of one team, take up.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Load {
    records: u32,
    begun: u32,
    bytes: u64,
}

/// The records of non-idempotent requests: a pure part of the replicated state.
///
/// An id runs at most once because a record outlives every resend that is still accepted: an id is
/// refused as too old from [`DEDUP_WINDOW_MS`] after it was made, and its record is kept until
/// then.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    clock_ms: WallMs,
    records: BTreeMap<RequestKey, Record>,
    due: BTreeSet<(WallMs, RequestKey)>,
    load: Load,
    team_loads: BTreeMap<TeamId, Load>,
}

impl Ledger {
    /// Records that an attempt begins, or says why it must not be sent.
    pub fn begin(&mut self, request: &BeginRequest, now: WallMs) -> BeginAnswer {
        self.expire(now);
        let Some(made_ms) = request.made_ms else {
            return BeginAnswer::TooOld;
        };
        if let Some(record) = self.records.get(&request.key)
            && let Some(answer) = record.answer(request, made_ms)
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
        if !self.has_room(&request.key.team) {
            return BeginAnswer::Full;
        }
        let record = Record::begun(request, made_ms, self.clock_ms);
        self.insert(request.key.clone(), record);
        BeginAnswer::Begun
    }

    /// Records how an attempt ended; the first answer that an attempt got stands.
    pub fn finish(&mut self, request: &FinishRequest, now: WallMs) -> FinishAnswer {
        self.expire(now);
        let Some(record) = self.records.get(&request.key) else {
            return FinishAnswer::NoSuchAttempt;
        };
        if record.attempt != AttemptId::of_finish(request) {
            return FinishAnswer::NoSuchAttempt;
        }
        if record.state == request.state {
            return FinishAnswer::Recorded;
        }
        if !record.may_become(&request.state) {
            return FinishAnswer::NotRecorded(record.state.clone());
        }
        let fits = self.fits(&record.state, &request.state);
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

    /// Turns attempts whose deadline passed to unknown, and forgets ids that are too old to run.
    pub fn expire(&mut self, now: WallMs) {
        self.clock_ms = self.clock_ms.max(now);
        while let Some((due_ms, key)) = self.due.first().cloned() {
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

    /// Number of records kept.
    #[must_use]
    pub const fn record_count(&self) -> u32 {
        self.load.records
    }

    /// Bytes that count against [`LEDGER_BYTES_MAX`].
    #[must_use]
    pub const fn reserved_bytes(&self) -> u64 {
        self.load.reserved()
    }

    fn has_room(&self, team: &TeamId) -> bool {
        let team_load = self.team_loads.get(team).copied().unwrap_or_default();
        let part = u64::from(TEAM_SHARE_DIVISOR);
        self.load.has_room(RECORDS_MAX, LEDGER_BYTES_MAX)
            && team_load.has_room(RECORDS_MAX / TEAM_SHARE_DIVISOR, LEDGER_BYTES_MAX / part)
    }

    /// A begun attempt has room reserved for its answer; a late one needs room that is free.
    fn fits(&self, before: &RecordState, state: &RecordState) -> bool {
        let bytes = answer_bytes(state);
        let reserved = matches!(before, RecordState::Begun);
        bytes <= RESPONSE_BYTES_MAX
            && (reserved || self.load.reserved() + bytes <= LEDGER_BYTES_MAX)
    }

    fn set_state(&mut self, key: &RequestKey, state: RecordState, timed_out: bool) {
        if let Some(mut record) = self.remove(key) {
            record.state = state;
            record.timed_out = timed_out;
            record.due_ms = after(record.made_ms, DEDUP_WINDOW_MS);
            self.insert(key.clone(), record);
        }
    }

    fn insert(&mut self, key: RequestKey, record: Record) {
        let team_load = self.team_loads.entry(key.team.clone()).or_default();
        team_load.add(&record);
        self.load.add(&record);
        self.due.insert((record.due_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &RequestKey) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.due.remove(&(record.due_ms, key.clone()));
        self.load.subtract(&record);
        if let Some(team_load) = self.team_loads.get_mut(&key.team) {
            team_load.subtract(&record);
            if team_load.records == 0 {
                self.team_loads.remove(&key.team);
            }
        }
        Some(record)
    }
}

impl AttemptId {
    fn of_begin(request: &BeginRequest) -> Self {
        Self {
            entry: request.entry.clone(),
            incarnation: request.entry_incarnation,
            sequence: request.sequence,
        }
    }

    fn of_finish(request: &FinishRequest) -> Self {
        Self {
            entry: request.entry.clone(),
            incarnation: request.entry_incarnation,
            sequence: request.sequence,
        }
    }

    /// Whether a begin of `self` is a delayed call of an attempt no newer than `last`.
    fn is_behind(&self, last: &Self) -> bool {
        self.entry == last.entry
            && self.incarnation == last.incarnation
            && self.sequence <= last.sequence
    }
}

impl Record {
    fn begun(request: &BeginRequest, made_ms: WallMs, now: WallMs) -> Self {
        let attempt_ms = request.deadline_ms.min(DEDUP_WINDOW_MS).with_clock_margin();
        Self {
            content: request.content,
            made_ms,
            attempt: AttemptId::of_begin(request),
            endpoint: request.endpoint.clone(),
            endpoint_incarnation: request.endpoint_incarnation,
            state: RecordState::Begun,
            timed_out: false,
            due_ms: after(now, attempt_ms),
        }
    }

    /// What a begin for this id is told; none where a new attempt may begin.
    fn answer(&self, request: &BeginRequest, made_ms: WallMs) -> Option<BeginAnswer> {
        if self.content != request.content || self.made_ms != made_ms {
            return Some(BeginAnswer::ContentMismatch);
        }
        let attempt = AttemptId::of_begin(request);
        match &self.state {
            RecordState::Begun if attempt == self.attempt => Some(BeginAnswer::Begun),
            RecordState::Begun => Some(BeginAnswer::InProgress),
            RecordState::NotSent => attempt
                .is_behind(&self.attempt)
                .then_some(BeginAnswer::InProgress),
            RecordState::Answered(answer) => Some(BeginAnswer::Answered(answer.clone())),
            RecordState::Unknown => Some(BeginAnswer::Unknown),
        }
    }

    const fn may_become(&self, state: &RecordState) -> bool {
        match (&self.state, state) {
            (RecordState::Begun, _) | (RecordState::Unknown, RecordState::Answered(_)) => true,
            (RecordState::Unknown, RecordState::NotSent) => self.timed_out,
            _ => false,
        }
    }
}

impl Load {
    fn add(&mut self, record: &Record) {
        self.records += 1;
        self.bytes += RECORD_OVERHEAD_BYTES + answer_bytes(&record.state);
        if matches!(record.state, RecordState::Begun) {
            self.begun += 1;
        }
    }

    fn subtract(&mut self, record: &Record) {
        self.records -= 1;
        self.bytes -= RECORD_OVERHEAD_BYTES + answer_bytes(&record.state);
        if matches!(record.state, RecordState::Begun) {
            self.begun -= 1;
        }
    }

    /// The bytes kept, with room for the answer of every attempt in progress.
    const fn reserved(&self) -> u64 {
        self.bytes + self.begun as u64 * RESPONSE_BYTES_MAX
    }

    const fn has_room(&self, records_max: u32, bytes_max: u64) -> bool {
        let next = self.reserved() + RECORD_OVERHEAD_BYTES + RESPONSE_BYTES_MAX;
        self.records < records_max && next <= bytes_max
    }
}

fn answer_bytes(state: &RecordState) -> u64 {
    match state {
        RecordState::Answered(answer) => (answer.body.len() + answer.content_type.len()) as u64,
        _ => 0,
    }
}

const fn after(point: WallMs, span: Millis) -> WallMs {
    WallMs(point.0.saturating_add(span.0))
}
