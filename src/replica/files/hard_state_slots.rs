use std::io;

use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{decode_single_frame, encode_frame};
use crate::replica::core::HardState;
use crate::units::{FolderId, LogIndex};

/// The two files of the term and vote.
pub(super) const SLOT_FILES: [&str; 2] = ["vote-0", "vote-1"];
/// Every slot is written at this length, so that it never needs new space on a full disk.
const SLOT_BYTES: usize = 1024;

/// The content of one slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct HardStateSlot {
    pub(super) folder: FolderId,
    pub(super) sequence: u64,
    pub(super) hard_state: HardState,
    /// The first position of the newest segment, which must be there; zero where none must.
    pub(super) newest_segment: LogIndex,
}

/// Writes both slots, one after the other, each synced.
///
/// At any crash one of them is whole and at least as new as the last that was acknowledged, so one
/// damaged slot loses nothing.
pub(super) fn write_slots(folder: &mut Folder, slot: &HardStateSlot) -> io::Result<()> {
    let mut content = encode_frame(slot);
    content.resize(SLOT_BYTES, 0);
    for name in SLOT_FILES {
        folder.write(name, 0, &content)?;
        folder.sync(name)?;
    }
    Ok(())
}

/// The newer whole slot of this folder; none where both are damaged or missing.
pub(super) fn read_slots(folder: &mut Folder, id: &FolderId) -> io::Result<Option<HardStateSlot>> {
    let mut newest: Option<HardStateSlot> = None;
    for name in SLOT_FILES {
        let content = folder.read(name)?.unwrap_or_default();
        let slot = decode_single_frame::<HardStateSlot>(&content).filter(|slot| slot.folder == *id);
        let newer = |s: &HardStateSlot| newest.as_ref().is_none_or(|n| n.sequence < s.sequence);
        if let Some(slot) = slot.filter(newer) {
            newest = Some(slot);
        }
    }
    Ok(newest)
}
