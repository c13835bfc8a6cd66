//! Encoded values as byte strings, with bounds on what is read.

use bytes::Bytes;
use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

use crate::error::{DecodeError, EncodeError};

/// Largest encoded message or proposal. Leaves room for a whole configuration of 1,300 upstreams with its files.
pub const MAX_ENCODED_BYTES: usize = 16 * 1024 * 1024;

/// Largest encoded control state: 256 revisions of such a configuration, and the ledger.
pub const MAX_CONTROL_BYTES: usize = 512 * 1024 * 1024;

const WORD_BYTES: usize = 8;

/// Deepest nesting of pointers. The schema needs fewer than 10 levels.
const NESTING_LIMIT: i32 = 16;

/// Words that may be read beyond the input's own size, for the counting rules of the reader.
const TRAVERSAL_SLACK_WORDS: usize = 1024;

/// Returns the bytes of a finished message of at most `limit_bytes`.
pub fn to_bytes(
    message: &Builder<HeapAllocator>,
    limit_bytes: usize,
) -> Result<Bytes, EncodeError> {
    let bytes = serialize::compute_serialized_size_in_words(message) * WORD_BYTES;
    if bytes > limit_bytes {
        return Err(EncodeError::TooLarge { bytes, limit_bytes });
    }
    Ok(Bytes::from(serialize::write_message_to_words(message)))
}

/// Opens an encoded message of at most `limit_bytes`. What is read from it is bounded by the size of `data`.
pub fn open(data: &[u8], limit_bytes: usize) -> Result<Reader<OwnedSegments>, DecodeError> {
    if data.len() > limit_bytes {
        return Err(DecodeError::TooLarge {
            bytes: data.len(),
            limit_bytes,
        });
    }
    let mut options = ReaderOptions::new();
    options
        .nesting_limit(NESTING_LIMIT)
        .traversal_limit_in_words(Some(data.len() / WORD_BYTES + TRAVERSAL_SLACK_WORDS));
    Ok(serialize::read_message(data, options)?)
}
