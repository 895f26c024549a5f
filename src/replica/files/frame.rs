use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes before each framed value: its length, the sum of the length and the sum of the value.
///
/// The length has a sum of its own, so that a damaged one is not taken for an unfinished write.
pub(super) const HEADER_BYTES: usize = 12;
/// Disks write whole sectors: where a write was cut short, zeros begin at a sector.
const SECTOR_BYTES: usize = 512;
/// Fewer zeros than this at the end of a file are no sign of an unfinished write.
const MIN_UNWRITTEN_BYTES: usize = 64;
/// Longest framed value that is read, in bytes.
const MAX_FRAME_BYTES: usize = 512 * 1024 * 1024;

/// Appends a value with its length and checksum.
pub(super) fn append_frame<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    // A snapshot is large, so that it is encoded in place and not copied.
    postcard::to_io(value, &mut *buffer).expect("values of the replica's files always encode");
    let (header, body) = buffer[start..].split_at_mut(HEADER_BYTES);
    let length = u32::try_from(body.len()).expect("a framed value is shorter than 4 GiB");
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..8].copy_from_slice(&length_checksum(length).to_le_bytes());
    header[8..].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
}

/// A value as a frame of its own.
pub(super) fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buffer = Vec::new();
    append_frame(&mut buffer, value);
    buffer
}

/// The sum of a length; zeros are no valid length with its sum.
fn length_checksum(length: u32) -> u32 {
    !crc32fast::hash(&length.to_le_bytes())
}

/// What stands at a place of a file.
#[derive(Debug)]
pub(super) enum DecodedFrame<T> {
    /// A value, and where the next frame begins.
    Value(T, usize),
    /// The end of the content.
    End,
    /// A frame that was begun but not finished: the file is too short for it, or holds only zeros
    /// from some place of the frame on.
    Torn,
    /// Bytes that no unfinished write leaves behind.
    Damaged,
}

/// Reads the frame at `start`.
pub(super) fn decode_frame<T: DeserializeOwned>(content: &[u8], start: usize) -> DecodedFrame<T> {
    let rest = content.get(start..).unwrap_or_default();
    if rest.is_empty() {
        return DecodedFrame::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return DecodedFrame::Torn;
    };
    let word = |at: usize| {
        let bytes: [u8; 4] = header[at..at + 4]
            .try_into()
            .expect("four bytes are four bytes");
        u32::from_le_bytes(bytes)
    };
    if word(4) != length_checksum(word(0)) {
        return torn_or_damaged(content, start);
    }
    let length = usize::try_from(word(0)).unwrap_or(usize::MAX);
    let Some(body) = body.get(..length) else {
        return DecodedFrame::Torn;
    };
    if crc32fast::hash(body) != word(8) || length > MAX_FRAME_BYTES {
        return torn_or_damaged(content, start);
    }
    let next = start + HEADER_BYTES + length;
    postcard::from_bytes(body).map_or(DecodedFrame::Damaged, |v| DecodedFrame::Value(v, next))
}

/// Tells a write of which the last sectors never reached the disk from changed bytes.
fn torn_or_damaged<T>(content: &[u8], start: usize) -> DecodedFrame<T> {
    let zeros = content.iter().rev().take_while(|byte| **byte == 0).count();
    let zeros_from = content.len() - zeros;
    let unwritten_from = if zeros_from <= start {
        start
    } else {
        zeros_from.next_multiple_of(SECTOR_BYTES)
    };
    if content.len().saturating_sub(unwritten_from)
        >= MIN_UNWRITTEN_BYTES.min(content.len() - start)
    {
        DecodedFrame::Torn
    } else {
        DecodedFrame::Damaged
    }
}

/// Reads a file that is a single frame.
pub(super) fn decode_single_frame<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    match decode_frame(content, 0) {
        DecodedFrame::Value(value, _) => Some(value),
        DecodedFrame::End | DecodedFrame::Torn | DecodedFrame::Damaged => None,
    }
}
