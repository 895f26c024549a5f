use std::collections::BTreeMap;

use super::{EntryStatus, ExchangeRequest, GRANT_MS};
use crate::units::{EntryId, Incarnation, Millis, Revision, Sequence, ZoneId};

/// One run of an entry's process.
pub(super) type EntryInstance = (EntryId, Incarnation);

#[derive(Clone, Debug)]
struct EntryState {
    zone: ZoneId,
    /// The revision that it said it has applied.
    revision: Revision,
    sequence: Sequence,
    /// The last exchange that was answered with a grant.
    last_answered: Sequence,
    last_contact_ms: Millis,
    granted_until_ms: Millis,
}

/// What a leader knows of the entries and the grants that it gave them: a pure core.
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

    /// Takes what an exchange says; false where it is a duplicate, late, or of a replaced process.
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

    /// Whether an exchange may be held: only one right behind an answered one. A gap tells that an
    /// answer or a connection was lost, and the entry's grant must not run out while it waits.
    pub(super) fn may_hold(&self, request: &ExchangeRequest) -> bool {
        let instance = (request.entry.clone(), request.incarnation);
        self.entries.get(&instance).is_some_and(|record| {
            record.last_answered != Sequence::ZERO
                && request.sequence == record.last_answered.next()
        })
    }

    /// Gives a grant on an exchange that was received at `received_ms`.
    pub(super) fn grant(&mut self, request: &ExchangeRequest, received_ms: Millis) {
        let instance = (request.entry.clone(), request.incarnation);
        if let Some(record) = self.entries.get_mut(&instance) {
            record.last_answered = record.last_answered.max(request.sequence);
            let until_ms = received_ms.saturating_add(GRANT_MS.with_clock_margin());
            record.granted_until_ms = record.granted_until_ms.max(until_ms);
        }
    }

    /// The lowest revision that an entry with a live grant has applied.
    ///
    /// Grants of the leader before are unknown here, so that nothing is reported until they ended.
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

    /// Forgets runs that were silent for a whole grant and gives them.
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
