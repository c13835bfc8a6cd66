//! Whole bodies, read into one buffer.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

use crate::memory::BodyMemory;

/// The reason why a body cannot be used.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge { limit_bytes: usize },
    /// The body has no stated length, and other bodies hold the memory that it needs.
    #[error("there is no memory for a body without a stated length")]
    NoMemory,
    /// The body broke off or is malformed.
    #[error("the body cannot be read: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body to its end. Its pieces are copied into one buffer, since a body may consist of many tiny ones. A body with a
/// stated length is not read before there is memory for it.
///
/// # Errors
/// Fails if the body is larger than `limit_bytes`, cannot be read to its end, or has no stated length and no memory is left.
pub async fn read_whole(
    mut body: Incoming,
    limit_bytes: usize,
    memory: &BodyMemory,
) -> Result<Bytes, BodyError> {
    let stated_bytes = body.size_hint().lower();
    if stated_bytes > limit_bytes as u64 {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let mut reservation = memory.reserve(stated_bytes as usize).await;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if whole.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        if !reservation.grow(whole.len() + data.len()) {
            return Err(BodyError::NoMemory);
        }
        whole.extend_from_slice(&data);
    }
    Ok(reservation.hold(whole.freeze()))
}
