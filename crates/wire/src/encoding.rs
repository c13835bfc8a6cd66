//! Conversion between Cap'n Proto messages and encoded bytes, with limits on size and on what a reader may traverse.

use bytes::Bytes;
use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{self, OwnedSegments};

use crate::error::{DecodeError, EncodeError};

/// Maximum size of an encoded message or proposal, in bytes. It leaves room for the complete configuration of 1,300
/// upstreams with its files.
pub const MAX_ENCODED_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size of an encoded control state, in bytes. It leaves room for 256 revisions of such a configuration and
/// for the ledger.
pub const MAX_CONTROL_BYTES: usize = 512 * 1024 * 1024;

const WORD_BYTES: usize = 8;

/// Maximum nesting depth of pointers. The schema needs fewer than 10 levels.
const NESTING_LIMIT: i32 = 16;

/// Number of words that a reader may traverse in addition to the size of the input, since the number of words that the
/// reader counts can exceed that size.
const TRAVERSAL_SLACK_WORDS: usize = 1024;

/// Returns the encoded bytes of a message, or an error if there are more than `limit_bytes`.
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

/// Returns a reader of an encoded message of at most `limit_bytes` bytes. The size of `data` limits how much the reader
/// may traverse.
pub fn from_bytes(data: &[u8], limit_bytes: usize) -> Result<Reader<OwnedSegments>, DecodeError> {
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
