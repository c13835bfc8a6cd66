//! Compression of the published document, which replicas and entries pass on to each other.
//!
//! A document of 2,000 routes has half a megabyte. An entry with a link of 10 Mbit/s would take half a second for each
//! version, and the requests of its callers would wait meanwhile.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest document that an operator may publish, in bytes.
pub const DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Compresses a document.
///
/// # Errors
/// Passes on what the library reports; writing to memory does not fail otherwise.
pub fn pack(document: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    Ok(encoder.finish()?.into())
}

/// Restores a document.
///
/// # Errors
/// Fails if the bytes are damaged or stand for more than [`DOCUMENT_BYTES`].
pub fn unpack(packed: &[u8]) -> io::Result<Bytes> {
    let mut document = Vec::new();
    let limit = DOCUMENT_BYTES as u64 + 1;
    DeflateDecoder::new(packed)
        .take(limit)
        .read_to_end(&mut document)?;
    match document.len() > DOCUMENT_BYTES {
        true => Err(io::Error::other("the document is too large")),
        false => Ok(document.into()),
    }
}
