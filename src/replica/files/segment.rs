use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{DecodedFrame, decode_frame, encode_frame};
use crate::replica::Entry;
use crate::units::{FolderId, LogIndex};

/// Prefix of the names of segment files. The first index follows as 20 decimal digits.
const PREFIX: &str = "log-";

/// Header at the start of each segment file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SegmentHeader {
    folder: FolderId,
    first_index: LogIndex,
}

/// A segment file of the log.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    pub(super) first_index: LogIndex,
    /// Length in bytes up to which the file is known to be synced.
    pub(super) synced_length: u64,
    /// Length of the header in bytes, including its frame.
    header_bytes: u64,
    /// End offset of each log entry, needed to truncate the segment after it.
    pub(super) entry_ends: Vec<u64>,
}

impl Segment {
    pub(super) fn file_name(&self) -> String {
        Self::file_name_for(self.first_index)
    }

    /// Returns the file name of the segment that starts at `first_index`.
    pub(super) fn file_name_for(first_index: LogIndex) -> String {
        format!("{PREFIX}{:020}", first_index.get())
    }

    /// Returns the index of the last entry. If the segment is empty, this is one less than the first
    /// index.
    pub(super) fn last_index(&self) -> LogIndex {
        let count = u64::try_from(self.entry_ends.len()).unwrap_or(u64::MAX);
        LogIndex(
            self.first_index
                .get()
                .saturating_add(count)
                .saturating_sub(1),
        )
    }

    /// Creates a segment file and makes both the file and its name durable.
    pub(super) fn create(
        folder: &mut Folder,
        id: &FolderId,
        first_index: LogIndex,
    ) -> io::Result<Self> {
        let header = encode_frame(&SegmentHeader {
            folder: id.clone(),
            first_index,
        });
        let name = Self::file_name_for(first_index);
        folder.remove(&name)?;
        folder.write(&name, 0, &header)?;
        folder.sync(&name)?;
        folder.sync_folder()?;
        Ok(Self {
            first_index,
            synced_length: header.len() as u64,
            header_bytes: header.len() as u64,
            entry_ends: Vec::new(),
        })
    }

    /// Removes the entries from `index` on and syncs the file.
    pub(super) fn truncate(&mut self, folder: &mut Folder, index: LogIndex) -> io::Result<()> {
        let keep = index.saturating_sub(self.first_index).get();
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        if keep >= self.entry_ends.len() {
            return Ok(());
        }
        let last = keep.checked_sub(1);
        let length = last.map_or(self.header_bytes, |last| self.entry_ends[last]);
        folder.truncate(&self.file_name(), length)?;
        folder.sync(&self.file_name())?;
        self.entry_ends.truncate(keep);
        self.synced_length = length;
        Ok(())
    }
}

/// Returns the first index contained in a file name, or `None` if the file is not a segment.
pub(super) fn parse_segment_name(name: &str) -> Option<LogIndex> {
    let digits = name.strip_prefix(PREFIX)?;
    digits.parse().ok().map(LogIndex)
}

/// Result of decoding a segment file.
#[derive(Debug)]
pub(super) enum DecodedSegment {
    /// Valid entries up to the end, or up to a torn write that was never acknowledged.
    Intact {
        /// The segment without the torn write.
        segment: Segment,
        /// The entries of the segment.
        entries: Vec<Arc<Entry>>,
        /// Whether the file ends with a torn write.
        torn: bool,
    },
    /// The header is missing or torn.
    TornHeader,
    /// The file is damaged, or belongs to another folder or another first index.
    Damaged,
}

/// Decodes the content of a segment file and verifies that it belongs to the folder.
pub(super) fn decode_segment(
    content: &[u8],
    id: &FolderId,
    first_index: LogIndex,
) -> DecodedSegment {
    let (header, mut offset) = match decode_frame::<SegmentHeader>(content, 0) {
        DecodedFrame::Value(header, next) => (header, next),
        DecodedFrame::End | DecodedFrame::Torn => return DecodedSegment::TornHeader,
        DecodedFrame::Damaged => return DecodedSegment::Damaged,
    };
    if header.folder != *id || header.first_index != first_index {
        return DecodedSegment::Damaged;
    }
    let header_bytes = offset as u64;
    let mut entries: Vec<Arc<Entry>> = Vec::new();
    let mut entry_ends = Vec::new();
    let mut expected = first_index;
    let torn = loop {
        match decode_frame::<Entry>(content, offset) {
            DecodedFrame::Value(entry, next) if entry.index == expected => {
                entries.push(Arc::new(entry));
                entry_ends.push(next as u64);
                offset = next;
                expected = expected.next();
            }
            DecodedFrame::End => break false,
            DecodedFrame::Torn => break true,
            DecodedFrame::Value(..) | DecodedFrame::Damaged => return DecodedSegment::Damaged,
        }
    };
    let segment = Segment {
        first_index,
        synced_length: offset as u64,
        header_bytes,
        entry_ends,
    };
    DecodedSegment::Intact {
        segment,
        entries,
        torn,
    }
}
