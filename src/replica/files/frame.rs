use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of the frame header in bytes: the length of the value, the checksum of the length and the
/// checksum of the value, each as a little-endian `u32`.
///
/// The length has its own checksum, so that a damaged length is not mistaken for a torn write.
pub(super) const HEADER_BYTES: usize = 12;
/// Sector size in bytes. Disks write whole sectors, so that the zeros left by a torn write start at
/// a multiple of it.
const SECTOR_BYTES: usize = 512;
/// Minimum number of zero bytes at the end of a file that are taken as a sign of a torn write.
const MIN_UNWRITTEN_BYTES: usize = 64;
/// Maximum length of a framed value in bytes. Longer ones are rejected when read.
const MAX_FRAME_BYTES: usize = 512 * 1024 * 1024;

/// Appends a frame: the header followed by the encoded value.
pub(super) fn append_frame<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    // The value is encoded in place, because copying a snapshot would be expensive.
    postcard::to_io(value, &mut *buffer).expect("encoding into memory does not fail");
    let (header, body) = buffer[start..].split_at_mut(HEADER_BYTES);
    let length = u32::try_from(body.len()).expect("a framed value is shorter than 4 GiB");
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..8].copy_from_slice(&length_checksum(length).to_le_bytes());
    header[8..].copy_from_slice(&crc32fast::hash(body).to_le_bytes());
}

/// Encodes a value as a single frame.
pub(super) fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buffer = Vec::new();
    append_frame(&mut buffer, value);
    buffer
}

/// Checksum of a length. It is inverted, so that a header of zeros, as left by a torn write, is not
/// valid.
fn length_checksum(length: u32) -> u32 {
    !crc32fast::hash(&length.to_le_bytes())
}

/// What was found at an offset in a file.
#[derive(Debug)]
pub(super) enum DecodedFrame<T> {
    /// A valid frame: its value and the offset of the next frame.
    Value(T, usize),
    /// The offset is the end of the file.
    End,
    /// A torn write: the file ends within the frame, or contains only zeros from some point of the
    /// frame on.
    Torn,
    /// Corrupted data that a torn write cannot explain.
    Damaged,
}

/// Decodes the frame at offset `start`.
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
            .expect("the slice has four bytes");
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

/// Distinguishes a write whose last sectors never reached the disk from corrupted data.
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

/// Decodes a file that starts with a single frame. Returns `None` if that frame is invalid.
pub(super) fn decode_single_frame<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    match decode_frame(content, 0) {
        DecodedFrame::Value(value, _) => Some(value),
        DecodedFrame::End | DecodedFrame::Torn | DecodedFrame::Damaged => None,
    }
}
