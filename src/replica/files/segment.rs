use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{DecodedFrame, decode_frame, encode_frame};
use crate::replica::Entry;
use crate::units::{FolderId, LogIndex};

/// How the names of segment files begin; the first position follows.
const PREFIX: &str = "log-";

/// What stands at the header of each segment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SegmentHeader {
    folder: FolderId,
    first_index: LogIndex,
}

/// A segment file and where its records end.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    pub(super) first_index: LogIndex,
    /// Bytes that are known to be synced.
    pub(super) synced_length: u64,
    /// Bytes of its header.
    header_bytes: u64,
    /// Where each record ends, so that the log can be cut after it.
    pub(super) entry_ends: Vec<u64>,
}

impl Segment {
    /// The name of its file.
    pub(super) fn file_name(&self) -> String {
        Self::file_name_for(self.first_index)
    }

    /// The name of the segment that begins at `first_index`.
    pub(super) fn file_name_for(first_index: LogIndex) -> String {
        format!("{PREFIX}{:020}", first_index.get())
    }

    /// The last position, one less than the first where it is empty.
    pub(super) fn last_index(&self) -> LogIndex {
        let count = u64::try_from(self.entry_ends.len()).unwrap_or(u64::MAX);
        LogIndex(
            self.first_index
                .get()
                .saturating_add(count)
                .saturating_sub(1),
        )
    }

    /// Makes a new segment, durable with its name.
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

    /// Cuts the segment so that it ends before `index`.
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

/// The first position that a file name tells, none where the file is no segment.
pub(super) fn parse_segment_name(name: &str) -> Option<LogIndex> {
    let digits = name.strip_prefix(PREFIX)?;
    digits.parse().ok().map(LogIndex)
}

/// What a segment file was found to hold.
#[derive(Debug)]
pub(super) enum DecodedSegment {
    /// Whole records up to the end, or up to an unfinished write that was never acknowledged.
    Intact {
        /// The segment without what was unfinished.
        segment: Segment,
        /// Its records.
        entries: Vec<Arc<Entry>>,
        /// Whether the file ends in an unfinished write.
        torn: bool,
    },
    /// Not even its header is whole.
    TornHeader,
    /// Damaged, or of another folder.
    Damaged,
}

/// Reads one segment file.
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
