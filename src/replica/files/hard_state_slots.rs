use std::io;

use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{DecodedFrame, append_frame, decode_frame, encode_frame};
use crate::replica::core::HardState;
use crate::units::{FolderId, LogIndex};

/// The two files that store the hard state (term and vote).
pub(super) const SLOT_FILES: [&str; 2] = ["vote-0", "vote-1"];
/// Size of each file in bytes. It is fixed, so that rewriting a file needs no space on a full disk.
const SLOT_BYTES: usize = 1024;

/// Content of one file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct HardStateSlot {
    pub(super) folder: FolderId,
    /// Increased by one on each write.
    pub(super) sequence: u64,
    pub(super) hard_state: HardState,
    /// First index of the newest log segment, which must exist. Zero if no segment is required.
    pub(super) newest_segment: LogIndex,
    /// Whether the vote names the leader that was followed. It has a frame of its own, which earlier
    /// versions neither write nor read.
    #[serde(skip)]
    pub(super) vote_names_leader: bool,
}

/// Content of the second frame of a file.
#[derive(Debug, Default, Deserialize, Serialize)]
struct SlotExtension {
    vote_names_leader: bool,
}

/// Writes and syncs both files, one after the other.
///
/// After a crash at any point one of them is intact and at least as new as the last acknowledged
/// write, so that one damaged file loses nothing.
pub(super) fn write_slots(folder: &mut Folder, slot: &HardStateSlot) -> io::Result<()> {
    let mut content = encode_frame(slot);
    append_frame(
        &mut content,
        &SlotExtension {
            vote_names_leader: slot.vote_names_leader,
        },
    );
    content.resize(SLOT_BYTES, 0);
    for name in SLOT_FILES {
        folder.write(name, 0, &content)?;
        folder.sync(name)?;
    }
    Ok(())
}

/// Returns the newest intact slot of this folder, or `None` if both are damaged or missing.
pub(super) fn read_slots(folder: &mut Folder, id: &FolderId) -> io::Result<Option<HardStateSlot>> {
    let mut newest: Option<HardStateSlot> = None;
    for name in SLOT_FILES {
        let content = folder.read(name)?.unwrap_or_default();
        let slot = decode_slot(&content).filter(|slot| slot.folder == *id);
        let newer = |s: &HardStateSlot| newest.as_ref().is_none_or(|n| n.sequence < s.sequence);
        if let Some(slot) = slot.filter(newer) {
            newest = Some(slot);
        }
    }
    Ok(newest)
}

fn decode_slot(content: &[u8]) -> Option<HardStateSlot> {
    let DecodedFrame::Value(slot, end) = decode_frame::<HardStateSlot>(content, 0) else {
        return None;
    };
    let extension = match decode_frame::<SlotExtension>(content, end) {
        DecodedFrame::Value(extension, _end) => extension,
        DecodedFrame::End | DecodedFrame::Torn | DecodedFrame::Damaged => SlotExtension::default(),
    };
    Some(HardStateSlot {
        vote_names_leader: extension.vote_names_leader,
        ..slot
    })
}
