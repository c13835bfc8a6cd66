//! Error responses to callers whose requests are refused.

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use reducer::Refusal;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

/// Whether an upstream has run a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// No upstream has run the request, and the caller may send it again.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

/// A refusal in the form that is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusalResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable, machine-readable code.
    pub code: &'static str,
    /// Explanation for people, as a sentence.
    pub message: String,
    /// Whether an upstream has run the request.
    pub run: RunStatus,
    /// Time after which the caller may send the request again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Retry delay for refusals for which the reducer computes no delay, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

impl RefusalResponse {
    /// Creates a refusal of a request that has not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: RunStatus::NotRun,
            retry_after_ms: None,
        }
    }

    fn may_have_run(status: StatusCode, code: &'static str, message: &str) -> Self {
        Self {
            run: RunStatus::Unknown,
            ..Self::not_run(status, code, message)
        }
    }

    fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Returns the JSON body.
    pub fn body(&self) -> Bytes {
        let body = RefusalBody {
            error: ErrorBody {
                message: &self.message,
                kind: error_type(self.status),
                code: self.code,
            },
            run: self.run,
        };
        Bytes::from(serde_json::to_vec(&body).expect("strings are serializable"))
    }

    /// Returns the HTTP response, with the JSON body and the `Retry-After` header in whole seconds.
    pub fn response(&self) -> Response {
        let mut response = Response::new(Body::from(self.body()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: ErrorBody<'a>,
    run: RunStatus,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::NOT_FOUND => "not_found_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

impl From<&Refusal> for RefusalResponse {
    fn from(refusal: &Refusal) -> Self {
        use StatusCode as S;
        match refusal {
            Refusal::UnknownModel => {
                Self::not_run(S::NOT_FOUND, "unknown_model", "The model is not served.")
            }
            Refusal::RankNotAllowed => Self::not_run(
                S::FORBIDDEN,
                "rank_not_allowed",
                "The key may not use this rank.",
            ),
            Refusal::OverLimit { retry_after_ms } => Self::not_run(
                S::TOO_MANY_REQUESTS,
                "over_limit",
                "The key is over its request rate.",
            )
            .retry_after(*retry_after_ms),
            Refusal::NoCapacity { retry_after_ms } => Self::not_run(
                S::SERVICE_UNAVAILABLE,
                "no_capacity",
                "There is no capacity now.",
            )
            .retry_after(*retry_after_ms),
            Refusal::Quarantined { retry_after_ms } => Self::not_run(
                S::SERVICE_UNAVAILABLE,
                "quarantined",
                "Engines crash under a part of the prompt, which is not sent now.",
            )
            .retry_after(*retry_after_ms),
            Refusal::TooLate { retry_after_ms } => Self::not_run(
                S::SERVICE_UNAVAILABLE,
                "too_late",
                "The request could not be answered in time.",
            )
            .retry_after(*retry_after_ms),
            Refusal::Stopping => Self::not_run(
                S::SERVICE_UNAVAILABLE,
                "stopping",
                "This instance is stopping.",
            )
            .retry_after(DEFAULT_RETRY_AFTER_MS),
            Refusal::NotReady => Self::not_run(
                S::SERVICE_UNAVAILABLE,
                "not_ready",
                "This instance is not ready yet.",
            )
            .retry_after(DEFAULT_RETRY_AFTER_MS),
            Refusal::LedgerUnavailable { retry_after_ms } => Self::not_run(
                S::SERVICE_UNAVAILABLE,
                "ledger_unavailable",
                "Requests that must run at most once cannot be accepted now.",
            )
            .retry_after(*retry_after_ms),
            Refusal::Running => Self::may_have_run(
                S::CONFLICT,
                "running",
                "Another attempt with this key is running.",
            ),
            Refusal::MayHaveRun => Self::may_have_run(
                S::CONFLICT,
                "may_have_run",
                "The request may have run and is not run again.",
            ),
            Refusal::KeyReused => Self::not_run(
                S::UNPROCESSABLE_ENTITY,
                "key_reused",
                "The idempotency key names a request with another body.",
            ),
            Refusal::UpstreamFailed => Self::may_have_run(
                S::BAD_GATEWAY,
                "upstream_failed",
                "The service failed while it handled the request.",
            ),
            Refusal::TimedOutWaiting => Self::not_run(
                S::GATEWAY_TIMEOUT,
                "timed_out_waiting",
                "The request waited too long and was not sent.",
            ),
            Refusal::TimedOutRunning => Self::may_have_run(
                S::GATEWAY_TIMEOUT,
                "timed_out_running",
                "The service did not answer in time.",
            ),
        }
    }
}
