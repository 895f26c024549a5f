use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StateUpdate;
use crate::release_note::{ClusterConfig, Digest, NoteAnswer, ReleaseNote};
use crate::units::{NoteVersion, Revision};

/// The number of accepted note versions that are remembered, so that a resent note is recognized.
pub const NOTE_VERSIONS_RETAINED: usize = 16_384;
/// The maximum number of notes that are retained for delta updates of entries.
const DELTA_NOTES_MAX: usize = 512;
/// The maximum total encoded size of notes that are retained for delta updates, in bytes.
const DELTA_BYTES_MAX: usize = 512 * 1024;

/// Accepted notes: the digests of recent versions, and the latest notes in full.
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
    /// The revision to which the note was applied.
    after: Revision,
    revision: Revision,
    note: Arc<ReleaseNote>,
    bytes: usize,
}

impl NoteHistory {
    /// Returns the answer to a version that is not new; none if the version may be applied.
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

    /// Returns the update that brings an entry at revision `known` to the state in force.
    ///
    /// It is a delta if all notes since `known` are retained. Their number and size are bounded, to
    /// keep a delta smaller than the state. Otherwise, also for a revision that never existed, it
    /// is the complete state.
    pub(super) fn update_since(
        &self,
        known: Revision,
        in_force: &Arc<ClusterConfig>,
    ) -> StateUpdate {
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
