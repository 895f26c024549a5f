use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{NoteVersion, Revision};

/// The SHA-256 digest of a note's canonical form, in hexadecimal.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Digest(pub SmolStr);

/// One fault of an invalid note.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{path}: {fault}")]
pub struct NoteFault {
    /// The path of the fault in the note, for example `added.teams[2].name`.
    pub path: SmolStr,
    /// What is wrong and what is allowed.
    pub fault: SmolStr,
}

/// The answer to an operator's release note.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoteAnswer {
    /// The note was committed.
    Accepted {
        /// The revision that the note made.
        revision: Revision,
    },
    /// The same note was accepted before; the answer to a resend.
    AlreadyAccepted {
        /// The revision that the note made when it was accepted.
        revision: Revision,
    },
    /// A different note with this version was accepted before.
    VersionTaken {
        /// The digest of the note that was accepted.
        digest: Digest,
        /// The revision that the accepted note made.
        revision: Revision,
    },
    /// The version is lower than the one in force, and its content is no longer in the history.
    Stale {
        /// The version in force.
        current: NoteVersion,
    },
    /// The note has faults and was not applied.
    Invalid {
        /// Every fault found.
        faults: Vec<NoteFault>,
    },
}
