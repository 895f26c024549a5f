use std::io;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{decode_single_frame, encode_frame};
use super::hard_state_slots::{HardStateSlot, write_slots};
use crate::replica::core::HardState;
use crate::units::{FolderId, GroupId, LogIndex, ReplicaId};

/// The file that says whose folder it is; writing it makes the folder exist.
pub(super) const IDENTITY_FILE: &str = "identity";

/// Whose folder it is, and how far the replica has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Identity {
    pub(super) name: ReplicaId,
    pub(super) folder: FolderId,
    pub(super) group: Option<GroupId>,
    /// Whether it holds a state: from then on a snapshot must be there.
    pub(super) has_state: bool,
    /// Whether an earlier folder of this replica was damaged: then it never forms a new group.
    pub(super) replaces_damaged_folder: bool,
}

impl Identity {
    /// A new identity with a folder id that was never used before.
    pub(super) fn generate(name: ReplicaId) -> Self {
        let number: u64 = rand::rng().random();
        let folder = format!("f{number:016x}");
        Self {
            name,
            folder: folder.parse().expect("hexadecimal digits are an id"),
            group: None,
            has_state: false,
            replaces_damaged_folder: false,
        }
    }

    /// Makes a new folder's first files; the identity comes last.
    pub(super) fn create(&self, folder: &mut Folder) -> io::Result<HardStateSlot> {
        let slot = HardStateSlot {
            folder: self.folder.clone(),
            sequence: 1,
            hard_state: HardState::default(),
            newest_segment: LogIndex::ZERO,
        };
        write_slots(folder, &slot)?;
        self.write(folder)?;
        Ok(slot)
    }

    pub(super) fn write(&self, folder: &mut Folder) -> io::Result<()> {
        folder.replace(IDENTITY_FILE, &encode_frame(self))
    }

    pub(super) fn decode(content: &[u8]) -> Option<Self> {
        decode_single_frame(content)
    }
}
