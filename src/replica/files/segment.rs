use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::folder::Folder;
use super::frame::{Framed, frame, read_frame};
use crate::replica::Entry;
use crate::units::{FolderId, LogIndex};

/// How the names of segment files begin; the first position follows.
const PREFIX: &str = "log-";

/// What stands at the head of each segment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Head {
    folder: FolderId,
    first: LogIndex,
}

/// A segment file and where its records end.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    pub(super) first: LogIndex,
    /// Bytes that are known to be synced.
    pub(super) length: u64,
    /// Bytes of its head.
    head_bytes: u64,
    /// Where each record ends, so that the log can be cut after it.
    pub(super) ends: Vec<u64>,
}

impl Segment {
    /// The name of its file.
    pub(super) fn name(&self) -> String {
        Self::name_of(self.first)
    }

    /// The name of the segment that begins at `first`.
    pub(super) fn name_of(first: LogIndex) -> String {
        format!("{PREFIX}{:020}", first.get())
    }

    /// The last position, one less than the first where it is empty.
    pub(super) fn last(&self) -> LogIndex {
        let count = u64::try_from(self.ends.len()).unwrap_or(u64::MAX);
        LogIndex(self.first.get().saturating_add(count).saturating_sub(1))
    }

    /// Makes a new segment, durable with its name.
    pub(super) fn create(folder: &mut Folder, id: &FolderId, first: LogIndex) -> io::Result<Self> {
        let head = frame(&Head {
            folder: id.clone(),
            first,
        });
        let name = Self::name_of(first);
        folder.remove(&name)?;
        folder.write(&name, 0, &head)?;
        folder.sync(&name)?;
        folder.sync_folder()?;
        Ok(Self {
            first,
            length: head.len() as u64,
            head_bytes: head.len() as u64,
            ends: Vec::new(),
        })
    }

    /// Cuts the segment so that it ends before `index`.
    pub(super) fn cut(&mut self, folder: &mut Folder, index: LogIndex) -> io::Result<()> {
        let keep = index.saturating_sub(self.first).get();
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        if keep >= self.ends.len() {
            return Ok(());
        }
        let last = keep.checked_sub(1);
        let length = last.map_or(self.head_bytes, |last| self.ends[last]);
        folder.cut(&self.name(), length)?;
        folder.sync(&self.name())?;
        self.ends.truncate(keep);
        self.length = length;
        Ok(())
    }
}

/// The first position that a file name tells, none where the file is no segment.
pub(super) fn segment_first(name: &str) -> Option<LogIndex> {
    let digits = name.strip_prefix(PREFIX)?;
    digits.parse().ok().map(LogIndex)
}

/// What a segment file was found to hold.
#[derive(Debug)]
pub(super) enum Loaded {
    /// Whole records up to the end, or up to an unfinished write that was never acknowledged.
    Good {
        /// The segment without what was unfinished.
        segment: Segment,
        /// Its records.
        entries: Vec<Arc<Entry>>,
        /// Whether the file ends in an unfinished write.
        torn: bool,
    },
    /// Not even its head is whole.
    Headless,
    /// Damaged, or of another folder.
    Damaged,
}

/// Reads one segment file.
pub(super) fn load(content: &[u8], id: &FolderId, first: LogIndex) -> Loaded {
    let (head, mut at) = match read_frame::<Head>(content, 0) {
        Framed::Value(head, next) => (head, next),
        Framed::End | Framed::Torn => return Loaded::Headless,
        Framed::Damaged => return Loaded::Damaged,
    };
    if head.folder != *id || head.first != first {
        return Loaded::Damaged;
    }
    let head_bytes = at as u64;
    let mut entries: Vec<Arc<Entry>> = Vec::new();
    let mut ends = Vec::new();
    let mut expected = first;
    let torn = loop {
        match read_frame::<Entry>(content, at) {
            Framed::Value(entry, next) if entry.index == expected => {
                entries.push(Arc::new(entry));
                ends.push(next as u64);
                at = next;
                expected = expected.next();
            }
            Framed::End => break false,
            Framed::Torn => break true,
            Framed::Value(..) | Framed::Damaged => return Loaded::Damaged,
        }
    };
    let segment = Segment {
        first,
        length: at as u64,
        head_bytes,
        ends,
    };
    Loaded::Good {
        segment,
        entries,
        torn,
    }
}
