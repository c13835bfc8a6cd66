//! Errors of encoding and decoding.

use thiserror::Error;

/// Reason why a value cannot be encoded.
#[derive(Debug, Error)]
pub enum EncodeError {
    /// The encoded value is larger than receivers accept.
    #[error("encoded value of {bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    TooLarge { bytes: usize, limit_bytes: usize },
    /// A part of the value cannot be compressed.
    #[error("cannot compress: {0}")]
    Compression(#[from] std::io::Error),
}

/// Reason why bytes cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The input is larger than the limit.
    #[error("input of {bytes} bytes exceeds the limit of {limit_bytes} bytes")]
    TooLarge { bytes: usize, limit_bytes: usize },
    /// The input is not a valid encoding.
    #[error("malformed encoding: {0}")]
    Malformed(#[from] capnp::Error),
    /// The input has a variant that this version does not know.
    #[error("encoding has a variant that this version does not know: {0}")]
    UnknownVariant(#[from] capnp::NotInSchema),
    /// A text field is not UTF-8.
    #[error("text field is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A SHA-256 digest does not have 32 bytes.
    #[error("SHA-256 digest has {bytes} bytes instead of 32")]
    DigestLength { bytes: usize },
    /// A part of the input cannot be decompressed.
    #[error("cannot decompress: {0}")]
    Compression(#[from] std::io::Error),
}

/// Error of encoding or decoding.
#[derive(Debug, Error)]
pub enum Error {
    /// Encoding failed.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// Decoding failed.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}
