//! Framing of the log segments.
//!
//! A segment consists of a header and records. Each record consists of a marker, the payload's length, a checksum, the
//! number of bytes of the segment that were synced when the record was written, and the payload. The synced length
//! distinguishes damage from a torn write at the end of the segment: a crash cannot lose bytes that a later record
//! declares as synced.

use bytes::{Buf, BufMut, Bytes};

use crate::codec::{Record, get_record};

/// Header of every segment. The last byte is the version of the format.
pub(crate) const SEGMENT_HEADER: &[u8; 8] = b"mslog\0\0\x01";

const RECORD_MARKER: &[u8; 4] = b"\xd7REC";

/// Length of a record's marker, payload length, checksum and synced length, in bytes.
const FRAME_HEADER_BYTES: usize = 4 + 4 + 4 + 8;

/// The intact records of a segment and whether the rest of the segment is damaged.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) records: Vec<Record>,
    /// Length of the intact part at the start of the segment.
    pub(crate) intact_bytes: u64,
    /// Whether the segment has lost bytes that had been synced.
    pub(crate) is_damaged: bool,
}

/// Appends a framed record to `out`.
pub(crate) fn put_frame(out: &mut Vec<u8>, synced_bytes: u64, payload: &[u8]) {
    out.put_slice(RECORD_MARKER);
    out.put_u32_le(payload.len() as u32);
    out.put_u32_le(checksum(synced_bytes, payload));
    out.put_u64_le(synced_bytes);
    out.put_slice(payload);
}

/// Reads the records up to the first one that is not intact.
pub(crate) fn scan(content: Bytes) -> Scan {
    let mut records = Vec::new();
    let mut offset = 0;
    if content.starts_with(SEGMENT_HEADER) {
        offset = SEGMENT_HEADER.len();
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
    let mut header = content.get(offset..offset + FRAME_HEADER_BYTES)?;
    if !header.starts_with(RECORD_MARKER) {
        return None;
    }
    header.advance(RECORD_MARKER.len());
    let length = header.get_u32_le() as usize;
    let expected = header.get_u32_le();
    let synced_bytes = header.get_u64_le();
    let start = offset + FRAME_HEADER_BYTES;
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

/// Returns whether an intact record at or after `offset` declares bytes beyond `offset` as synced.
fn is_synced_beyond(content: &Bytes, offset: usize) -> bool {
    let starts = offset..content.len().saturating_sub(FRAME_HEADER_BYTES);
    starts
        .filter(|start| content[*start..].starts_with(RECORD_MARKER))
        .filter_map(|start| read_frame(content, start))
        .any(|frame| frame.synced_bytes > offset as u64)
}

fn checksum(synced_bytes: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&synced_bytes.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
