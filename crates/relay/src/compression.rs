//! Compression of the published document, which replicas and entries send to each other.
//!
//! A document of 2,000 routes has a size of half a megabyte. Without compression, each version would occupy an entry's
//! link of 10 Mbit/s for half a second, and the requests of the entry's callers would wait meanwhile.

use std::io;

use bytes::Bytes;
pub use wire::compression::compress;

/// Maximum size of a published document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Decompresses a document.
///
/// # Errors
/// Fails if the bytes are damaged or the document is larger than [`MAX_DOCUMENT_BYTES`].
pub fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    wire::compression::decompress(compressed, MAX_DOCUMENT_BYTES)
}
