//! Answers to callers and operators: their bodies, and the refusals that the instance sends itself.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use gateway::{Refusal, RefusalReason};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The error that aborts the body of a stream, so that the caller detects an incomplete answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream of the answer was aborted")]
pub struct StreamAborted;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A complete body; none if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Events as they arrive. The body is complete if the channel closes without an error.
    Events(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => events
                .poll_recv(context)
                .map(|event| event.map(|result| result.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// An answer as hyper expects it from a service. The service never fails.
pub type ServiceResult = Result<Response<AnswerBody>, Infallible>;

/// Returns the answer to a request that ends without an upstream's answer.
pub fn refusal(refusal: Refusal) -> Response<AnswerBody> {
    let status = match refusal.reason {
        RefusalReason::NoConfiguration
        | RefusalReason::Unconfirmed
        | RefusalReason::NoUpstream
        | RefusalReason::TooLate
        | RefusalReason::Quarantined
        | RefusalReason::Limited
        | RefusalReason::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::Failed => StatusCode::BAD_GATEWAY,
        RefusalReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    };
    let run_state = match refusal.reason.is_not_run() {
        true => "not_run",
        false => "unknown",
    };
    let reason = refusal.reason.name();
    let body = format!("{{\"error\":{{\"code\":\"{reason}\"}},\"run\":\"{run_state}\"}}");
    let mut response = json(status, body);
    if refusal.reason.is_not_run() {
        let seconds = refusal.retry_after_ms as f64 / 1_000.0;
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns an answer with a JSON body.
pub fn json(status: StatusCode, body: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns an answer that states why a call is refused.
pub fn error(status: StatusCode, code: &str, message: &str) -> Response<AnswerBody> {
    let body = format!(
        "{{\"error\":{{\"code\":\"{code}\",\"message\":{message:?}}},\"run\":\"not_run\"}}"
    );
    json(status, body)
}
