//! Reads request bodies within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use volo_http::body::Body;

use crate::refusal::RefusalResponse;

/// Reads a complete body of at most `max_bytes` within `timeout_ms`.
///
/// # Errors
/// Returns a refusal if the body is larger than `max_bytes`, does not arrive in time, or cannot be read.
pub async fn read_body(
    body: Body,
    max_bytes: usize,
    timeout_ms: u64,
) -> Result<Bytes, RefusalResponse> {
    let announced_bytes = http_body::Body::size_hint(&body).lower();
    if announced_bytes > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    let read = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(timeout_ms), read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(max_bytes)),
        Ok(Err(_)) => Err(RefusalResponse::not_run(
            StatusCode::BAD_REQUEST,
            "broken_body",
            "The body could not be read.",
        )),
        Err(_) => Err(RefusalResponse::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            "The body did not arrive in time.",
        )),
    }
}

fn too_large(max_bytes: usize) -> RefusalResponse {
    RefusalResponse::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("The body is larger than {max_bytes} bytes."),
    )
}
