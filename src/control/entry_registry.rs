use std::collections::BTreeMap;

use super::{EntryStatus, ExchangeRequest, GRANT_MS};
use crate::units::{EntryId, Incarnation, Millis, Revision, Sequence, ZoneId};

/// One incarnation of an entry's process.
pub(super) type EntryInstance = (EntryId, Incarnation);

#[derive(Clone, Debug)]
struct EntryState {
    zone: ZoneId,
    /// The latest revision that the entry reported as applied.
    revision: Revision,
    sequence: Sequence,
    /// The last exchange that was answered with a grant.
    last_answered: Sequence,
    last_contact_ms: Millis,
    granted_until_ms: Millis,
}

/// The leader's view of the entries and their grants. It does no I/O and takes the time as an
/// argument.
#[derive(Clone, Debug)]
pub(super) struct EntryRegistry {
    elected_ms: Millis,
    entries: BTreeMap<EntryInstance, EntryState>,
}

impl EntryRegistry {
    pub(super) const fn new(elected_ms: Millis) -> Self {
        Self {
            elected_ms,
            entries: BTreeMap::new(),
        }
    }

    /// Records the contents of an exchange. Returns false if the exchange is a duplicate, is late,
    /// or comes from a process that a newer incarnation has replaced.
    pub(super) fn observe(&mut self, request: &ExchangeRequest, now: Millis) -> bool {
        if self.is_replaced(request) {
            return false;
        }
        let instance = (request.entry.clone(), request.incarnation);
        let record = self.entries.entry(instance).or_insert_with(|| EntryState {
            zone: request.zone.clone(),
            revision: request.revision,
            sequence: Sequence::ZERO,
            last_answered: Sequence::ZERO,
            last_contact_ms: now,
            granted_until_ms: Millis::ZERO,
        });
        if request.sequence <= record.sequence {
            return false;
        }
        record.sequence = request.sequence;
        record.revision = record.revision.max(request.revision);
        record.last_contact_ms = now;
        if request.leaving {
            record.granted_until_ms = Millis::ZERO;
        }
        true
    }

    /// Whether an exchange may be held open: only if it directly follows an answered one. A gap in
    /// the sequence means that an answer or a connection was lost; holding such an exchange could
    /// let the entry's grant expire.
    pub(super) fn may_hold(&self, request: &ExchangeRequest) -> bool {
        let instance = (request.entry.clone(), request.incarnation);
        self.entries.get(&instance).is_some_and(|record| {
            record.last_answered != Sequence::ZERO
                && request.sequence == record.last_answered.next()
        })
    }

    /// Records a grant given in the answer to an exchange that was received at `received_ms`.
    pub(super) fn grant(&mut self, request: &ExchangeRequest, received_ms: Millis) {
        let instance = (request.entry.clone(), request.incarnation);
        if let Some(record) = self.entries.get_mut(&instance) {
            record.last_answered = record.last_answered.max(request.sequence);
            let until_ms = received_ms.saturating_add(GRANT_MS.with_clock_margin());
            record.granted_until_ms = record.granted_until_ms.max(until_ms);
        }
    }

    /// Returns the lowest revision that an entry with an unexpired grant has applied.
    ///
    /// Grants issued by the previous leader are unknown, so the result is zero until they must have
    /// expired.
    pub(super) fn in_force_everywhere(&self, in_force: Revision, now: Millis) -> Revision {
        if now < self.elected_ms.saturating_add(GRANT_MS.with_clock_margin()) {
            return Revision::ZERO;
        }
        let live = self
            .entries
            .values()
            .filter(|record| now < record.granted_until_ms);
        live.fold(in_force, |lowest, record| lowest.min(record.revision))
    }

    /// Removes and returns the entries that hold no unexpired grant and were silent for the length
    /// of one.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<EntryInstance> {
        let silent_ms = GRANT_MS.with_clock_margin();
        let is_over = |record: &EntryState| {
            now >= record.granted_until_ms && now.since(record.last_contact_ms) >= silent_ms
        };
        let expired: Vec<EntryInstance> = self
            .entries
            .iter()
            .filter(|(_, record)| is_over(record))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &expired {
            self.entries.remove(instance);
        }
        expired
    }

    pub(super) fn statuses(&self, now: Millis) -> Vec<EntryStatus> {
        let status = |(instance, record): (&EntryInstance, &EntryState)| EntryStatus {
            entry: instance.0.clone(),
            zone: record.zone.clone(),
            revision: record.revision,
            grant_ms: (now < record.granted_until_ms).then(|| record.granted_until_ms.since(now)),
        };
        self.entries.iter().map(status).collect()
    }

    fn is_replaced(&self, request: &ExchangeRequest) -> bool {
        let newer = request.incarnation.next();
        newer != request.incarnation
            && self
                .entries
                .range((request.entry.clone(), newer)..)
                .next()
                .is_some_and(|((entry, _), _)| *entry == request.entry)
    }
}
