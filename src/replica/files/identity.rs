use std::io;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{decode_single_frame, encode_frame};
use super::hard_state_slots::{HardStateSlot, write_slots};
use crate::replica::core::HardState;
use crate::units::{FolderId, GroupId, LogIndex, ReplicaId};

/// File that identifies the data folder. Writing it completes the initialization of the folder.
pub(super) const IDENTITY_FILE: &str = "identity";

/// Identifies the owner of a data folder and records what the folder must contain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Identity {
    pub(super) name: ReplicaId,
    pub(super) folder: FolderId,
    pub(super) group: Option<GroupId>,
    /// Whether the replica has stored a state. If so, the folder must contain a snapshot.
    pub(super) has_state: bool,
    /// Whether this folder replaces a damaged one. Such a replica never bootstraps a new group,
    /// because its peers may have lost their state as well.
    pub(super) replaces_damaged_folder: bool,
}

impl Identity {
    /// Creates an identity with a random 64-bit folder id, which differs from those of earlier
    /// folders.
    pub(super) fn generate(name: ReplicaId) -> Self {
        let number: u64 = rand::rng().random();
        let folder = format!("f{number:016x}");
        Self {
            name,
            folder: folder.parse().expect("hexadecimal digits form a valid id"),
            group: None,
            has_state: false,
            replaces_damaged_folder: false,
        }
    }

    /// Writes the first files of a new folder. The identity is written last, as it marks the folder
    /// as initialized.
    pub(super) fn create(&self, folder: &mut Folder) -> io::Result<HardStateSlot> {
        let slot = HardStateSlot {
            folder: self.folder.clone(),
            sequence: 1,
            hard_state: HardState::default(),
            newest_segment: LogIndex::ZERO,
            vote_names_leader: true,
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
