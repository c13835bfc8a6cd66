//! Compression of the published document, which replicas and entries send to each other.
//!
//! A document of 2,000 routes has a size of half a megabyte. Without compression, each version would occupy an entry's
//! link of 10 Mbit/s for half a second, and the requests of the entry's callers would wait meanwhile.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a published document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Compresses a document.
///
/// # Errors
/// Returns the error of the compression library; a write to memory does not fail.
pub fn compress(document: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses a document.
///
/// # Errors
/// Fails if the bytes are damaged or the document is larger than [`MAX_DOCUMENT_BYTES`].
pub fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    let mut document = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    DeflateDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut document)?;
    match document.len() > MAX_DOCUMENT_BYTES {
        true => Err(io::Error::other("the document is too large")),
        false => Ok(document.into()),
    }
}
