//! Compression of large values that instances send to each other.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Compresses a value.
///
/// # Errors
/// Returns the error of the compression library; a write to memory does not fail.
pub fn compress(value: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses a value.
///
/// # Errors
/// Fails if the bytes are damaged or the value is larger than `limit_bytes`.
pub fn decompress(compressed: &[u8], limit_bytes: usize) -> io::Result<Bytes> {
    let mut value = Vec::new();
    DeflateDecoder::new(compressed)
        .take(limit_bytes as u64 + 1)
        .read_to_end(&mut value)?;
    match value.len() > limit_bytes {
        true => Err(io::Error::other("the decompressed value is too large")),
        false => Ok(value.into()),
    }
}
