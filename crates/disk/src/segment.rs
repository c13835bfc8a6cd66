//! Framing of the log segments.
//!
//! A segment is a header and records. Each record is a marker, the payload's length, a checksum, the number of bytes of
//! the segment that were synced when the record was written, and the payload. The synced length tells damage from a torn
//! tail: bytes that a later record declares synced cannot have been lost in a crash.

use bytes::{Buf, BufMut, Bytes};

use crate::codec::{Record, get_record};

/// Start of every segment; the last byte is the version of the format.
pub(crate) const HEADER: &[u8; 8] = b"mslog\0\0\x01";

const MARKER: &[u8; 4] = b"\xd7REC";

/// Marker, length, checksum and synced length.
const FRAME_BYTES: usize = 4 + 4 + 4 + 8;

/// What a segment's bytes hold.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) records: Vec<Record>,
    /// Length of the intact part.
    pub(crate) intact_bytes: u64,
    /// Whether bytes after the intact part had been synced.
    pub(crate) is_damaged: bool,
}

/// Appends a framed record to `out`.
pub(crate) fn put_frame(out: &mut Vec<u8>, synced_bytes: u64, payload: &[u8]) {
    out.put_slice(MARKER);
    out.put_u32_le(payload.len() as u32);
    out.put_u32_le(checksum(synced_bytes, payload));
    out.put_u64_le(synced_bytes);
    out.put_slice(payload);
}

/// Reads the records up to the first that is not intact.
pub(crate) fn scan(content: Bytes) -> Scan {
    let mut records = Vec::new();
    let mut offset = 0;
    if content.starts_with(HEADER) {
        offset = HEADER.len();
        while let Some(frame) = read_frame(&content, offset) {
            let Ok(record) = get_record(frame.payload) else {
                break;
            };
            records.push(record);
            offset = frame.end;
        }
    }
    Scan {
        records,
        intact_bytes: offset as u64,
        is_damaged: is_synced_beyond(&content, offset),
    }
}

struct Frame {
    synced_bytes: u64,
    payload: Bytes,
    end: usize,
}

fn read_frame(content: &Bytes, offset: usize) -> Option<Frame> {
    let mut head = content.get(offset..offset + FRAME_BYTES)?;
    if !head.starts_with(MARKER) {
        return None;
    }
    head.advance(MARKER.len());
    let length = head.get_u32_le() as usize;
    let expected = head.get_u32_le();
    let synced_bytes = head.get_u64_le();
    let start = offset + FRAME_BYTES;
    let end = start.checked_add(length)?;
    if end > content.len() {
        return None;
    }
    let payload = content.slice(start..end);
    let is_intact = checksum(synced_bytes, &payload) == expected;
    is_intact.then_some(Frame {
        synced_bytes,
        payload,
        end,
    })
}

/// Returns whether an intact record after `offset` declares bytes beyond `offset` as synced.
fn is_synced_beyond(content: &Bytes, offset: usize) -> bool {
    let starts = offset..content.len().saturating_sub(FRAME_BYTES);
    starts
        .filter(|start| content[*start..].starts_with(MARKER))
        .filter_map(|start| read_frame(content, start))
        .any(|frame| frame.synced_bytes > offset as u64)
}

fn checksum(synced_bytes: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&synced_bytes.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
