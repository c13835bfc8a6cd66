//! Errors of encoding and decoding.

use thiserror::Error;

/// Why a value cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// The encoded value would be larger than receivers accept.
    #[error("encoded value of {bytes} bytes exceeds the limit of {limit_bytes}")]
    TooLarge { bytes: usize, limit_bytes: usize },
}

/// Why bytes cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The input is larger than accepted.
    #[error("input of {bytes} bytes exceeds the limit of {limit_bytes}")]
    TooLarge { bytes: usize, limit_bytes: usize },
    /// The input is not a valid encoding, or has a variant that this version does not know.
    #[error("malformed encoding: {0}")]
    Malformed(#[from] capnp::Error),
    /// A variant that this version does not know.
    #[error("unknown variant: {0}")]
    UnknownVariant(#[from] capnp::NotInSchema),
    /// A field is not UTF-8.
    #[error("text is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A digest has a wrong length.
    #[error("digest of {bytes} bytes, expected 32")]
    DigestLength { bytes: usize },
}

/// Either kind of error.
#[derive(Debug, Error)]
pub enum Error {
    /// Encoding failed.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// Decoding failed.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}
