//! Whole bodies, read into one buffer.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// The reason why a body cannot be used.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge { limit_bytes: usize },
    /// The body broke off or is malformed.
    #[error("the body cannot be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body to its end. Its pieces are copied into one buffer, since a body may consist of many tiny ones.
///
/// # Errors
/// Fails if the body is larger than `limit_bytes` or cannot be read to its end.
pub async fn read_whole(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let stated_bytes = body.size_hint().lower();
    if stated_bytes > limit_bytes as u64 {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if whole.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
