use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StateUpdate;
use crate::release_note::{Digest, InForce, NoteAnswer, ReleaseNote};
use crate::units::{NoteVersion, Revision};

/// How many accepted versions are remembered, so that a resend gets its first answer.
pub const NOTE_VERSIONS_RETAINED: usize = 16_384;
/// How many notes are kept to bring entries forward by deltas.
const DELTA_NOTES_MAX: usize = 512;
/// How many bytes of notes are kept for deltas.
const DELTA_BYTES_MAX: usize = 512 * 1024;

/// Accepted notes: all recent versions by digest, and the last notes themselves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct NoteHistory {
    versions: BTreeMap<NoteVersion, AcceptedVersion>,
    deltas: VecDeque<DeltaNote>,
    delta_bytes: usize,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct AcceptedVersion {
    digest: Digest,
    revision: Revision,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct DeltaNote {
    /// The revision that the note was applied to.
    after: Revision,
    revision: Revision,
    note: Arc<ReleaseNote>,
    bytes: usize,
}

impl NoteHistory {
    /// The answer to a version that is not new; none where the version may be applied.
    pub(super) fn earlier_answer(
        &self,
        version: NoteVersion,
        digest: &Digest,
        current: NoteVersion,
    ) -> Option<NoteAnswer> {
        if let Some(accepted) = self.versions.get(&version) {
            let revision = accepted.revision;
            if accepted.digest == *digest {
                return Some(NoteAnswer::AlreadyAccepted { revision });
            }
            let digest = accepted.digest.clone();
            return Some(NoteAnswer::VersionTaken { digest, revision });
        }
        let is_stale = version != NoteVersion::ZERO && version <= current;
        is_stale.then_some(NoteAnswer::Stale { current })
    }

    pub(super) fn record(
        &mut self,
        note: Arc<ReleaseNote>,
        digest: Digest,
        after: Revision,
        revision: Revision,
    ) {
        let accepted = AcceptedVersion { digest, revision };
        self.versions.insert(note.version, accepted);
        while self.versions.len() > NOTE_VERSIONS_RETAINED {
            self.versions.pop_first();
        }
        let bytes = encoded_len(&note);
        self.delta_bytes = self.delta_bytes.saturating_add(bytes);
        self.deltas.push_back(DeltaNote {
            after,
            revision,
            note,
            bytes,
        });
        while self.deltas.len() > DELTA_NOTES_MAX || self.delta_bytes > DELTA_BYTES_MAX {
            let Some(dropped) = self.deltas.pop_front() else {
                break;
            };
            self.delta_bytes = self.delta_bytes.saturating_sub(dropped.bytes);
        }
    }

    /// How an entry at `known` moves to the state in force.
    ///
    /// A delta is given only where every note since then is kept and together they are smaller than
    /// the state, as far as their number tells; a revision that this state never had gets the whole.
    pub(super) fn update_since(&self, known: Revision, in_force: &Arc<InForce>) -> StateUpdate {
        if known == in_force.revision {
            return StateUpdate::Current;
        }
        let first = self.deltas.iter().position(|delta| delta.after == known);
        let Some(first) = first else {
            return StateUpdate::Full(Arc::clone(in_force));
        };
        let notes = self.deltas.iter().skip(first);
        let notes = notes.map(|delta| (delta.revision, Arc::clone(&delta.note)));
        StateUpdate::Delta {
            notes: notes.collect(),
        }
    }
}

fn encoded_len(note: &ReleaseNote) -> usize {
    postcard::to_allocvec(note).map_or(DELTA_BYTES_MAX, |bytes| bytes.len())
}
