use std::io;
use std::sync::Arc;

use super::folder::Folder;
use super::frame::append_frame;
use super::segment::{DecodedSegment, Segment, decode_segment, parse_segment_name};
use crate::replica::Entry;
use crate::units::{FolderId, LogIndex};

/// The segment files of the log.
#[derive(Debug)]
pub(super) struct LogFiles {
    /// Ordered from oldest to newest.
    pub(super) segments: Vec<Segment>,
    /// Encoded log entries that are not yet written.
    unsynced_bytes: Vec<u8>,
    /// End offset of each entry in `unsynced_bytes`.
    unsynced_entry_ends: Vec<u64>,
    /// Segment size in bytes at which a new segment is started.
    segment_bytes: u64,
}

/// Result of reading the log from disk.
#[derive(Debug)]
pub(super) enum LoadedLog {
    /// All segments are valid, and their entries have consecutive indexes.
    Intact(LogFiles, Vec<Arc<Entry>>),
    /// A segment is damaged or missing. Contains the cause.
    Damaged(&'static str),
}

impl LogFiles {
    pub(super) const fn new(segment_bytes: u64) -> Self {
        Self {
            segments: Vec::new(),
            unsynced_bytes: Vec::new(),
            unsynced_entry_ends: Vec::new(),
            segment_bytes,
        }
    }

    /// Reads all segments. Only the newest one may end with a torn write, which is truncated.
    pub(super) fn load(
        folder: &mut Folder,
        id: &FolderId,
        newest: LogIndex,
        segment_bytes: u64,
    ) -> io::Result<LoadedLog> {
        let names = folder.list()?;
        let firsts: Vec<_> = names
            .iter()
            .filter_map(|name| parse_segment_name(name))
            .collect();
        if newest > LogIndex::ZERO && !firsts.contains(&newest) {
            return Ok(LoadedLog::Damaged("the newest segment is missing"));
        }
        let mut log = Self::new(segment_bytes);
        let mut entries = Vec::new();
        for (position, first) in firsts.iter().enumerate() {
            let is_last = position + 1 == firsts.len();
            match log.load_segment(folder, id, *first, is_last)? {
                Some(found) => entries.extend(found),
                // A crash during the creation of a segment may leave an incomplete file that is
                // newer than the newest recorded segment.
                None if is_last && *first > newest => {
                    folder.remove(&Segment::file_name_for(*first))?;
                    folder.sync_folder()?;
                }
                None => return Ok(LoadedLog::Damaged("a segment is damaged")),
            }
        }
        Ok(LoadedLog::Intact(log, entries))
    }

    fn load_segment(
        &mut self,
        folder: &mut Folder,
        id: &FolderId,
        first: LogIndex,
        is_last: bool,
    ) -> io::Result<Option<Vec<Arc<Entry>>>> {
        let name = Segment::file_name_for(first);
        let content = folder.read(&name)?.unwrap_or_default();
        if self
            .segments
            .last()
            .is_some_and(|s| s.last_index().next() != first)
        {
            return Ok(None);
        }
        let (segment, entries, torn) = match decode_segment(&content, id, first) {
            DecodedSegment::Intact {
                segment,
                entries,
                torn,
            } => (segment, entries, torn),
            DecodedSegment::TornHeader | DecodedSegment::Damaged => return Ok(None),
        };
        if torn && !is_last {
            return Ok(None);
        }
        if torn {
            folder.truncate(&name, segment.synced_length)?;
            folder.sync(&name)?;
        }
        self.segments.push(segment);
        Ok(Some(entries))
    }

    /// Whether a new segment must be created before the next entry is appended.
    pub(super) fn needs_new_segment(&self) -> bool {
        let newest = self.segments.last();
        newest.is_none_or(|s| {
            s.synced_length + self.unsynced_bytes.len() as u64 >= self.segment_bytes
        })
    }

    /// Returns the index after the last appended entry, or `None` if there is no segment.
    pub(super) fn next_index(&self) -> Option<LogIndex> {
        let newest = self.segments.last()?;
        let count = u64::try_from(self.unsynced_entry_ends.len()).unwrap_or(u64::MAX);
        Some(LogIndex(
            newest.last_index().next().get().saturating_add(count),
        ))
    }

    /// Buffers an entry that [`LogFiles::sync`] writes.
    pub(super) fn append(&mut self, entry: &Entry) {
        append_frame(&mut self.unsynced_bytes, entry);
        self.unsynced_entry_ends
            .push(self.unsynced_bytes.len() as u64);
    }

    /// Writes all buffered entries with a single write and a single sync.
    ///
    /// After an error the file is truncated to its synced length, and the call may be repeated.
    pub(super) fn sync(&mut self, folder: &mut Folder) -> io::Result<()> {
        if self.unsynced_bytes.is_empty() {
            return Ok(());
        }
        let segment = self
            .segments
            .last_mut()
            .expect("a segment is created before the first entry is appended");
        let name = segment.file_name();
        let written = folder
            .write(&name, segment.synced_length, &self.unsynced_bytes)
            .and_then(|()| folder.sync(&name));
        if let Err(error) = written {
            folder.truncate(&name, segment.synced_length)?;
            return Err(error);
        }
        let start = segment.synced_length;
        let entry_ends = self.unsynced_entry_ends.drain(..);
        segment.entry_ends.extend(entry_ends.map(|end| start + end));
        segment.synced_length = start + self.unsynced_bytes.len() as u64;
        self.unsynced_bytes.clear();
        Ok(())
    }

    /// Removes all entries from `index` on. The newest segments are removed first, so that a crash
    /// leaves no gap.
    pub(super) fn truncate(&mut self, folder: &mut Folder, index: LogIndex) -> io::Result<()> {
        while let Some(newest) = self.segments.last() {
            if newest.first_index < index || self.segments.len() == 1 {
                break;
            }
            let name = newest.file_name();
            folder.remove(&name)?;
            folder.sync_folder()?;
            self.segments.pop();
        }
        match self.segments.last_mut() {
            Some(newest) => newest.truncate(folder, index),
            None => Ok(()),
        }
    }

    /// Returns the first index of the segment that is the newest after [`LogFiles::truncate`].
    pub(super) fn newest_segment_after_truncate(&self, index: LogIndex) -> LogIndex {
        let kept = self.segments.iter().rev().find(|s| s.first_index < index);
        let oldest = self.segments.first();
        kept.or(oldest).map_or(LogIndex::ZERO, |s| s.first_index)
    }

    /// Removes all segments and discards the buffered entries.
    pub(super) fn reset(&mut self, folder: &mut Folder) -> io::Result<()> {
        self.unsynced_bytes.clear();
        self.unsynced_entry_ends.clear();
        while let Some(newest) = self.segments.pop() {
            folder.remove(&newest.file_name())?;
            folder.sync_folder()?;
        }
        Ok(())
    }

    /// Removes the segments that contain no entry after `index`, oldest first. The newest segment
    /// is kept.
    pub(super) fn compact(&mut self, folder: &mut Folder, index: LogIndex) -> io::Result<()> {
        while self.segments.len() > 1 && self.segments[0].last_index() <= index {
            let oldest = self.segments.remove(0);
            folder.remove(&oldest.file_name())?;
            folder.sync_folder()?;
        }
        Ok(())
    }
}
