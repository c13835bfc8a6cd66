//! Writes the response of an exchange to the caller's connection.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

/// Largest number of frames that are buffered between the exchange and the caller's connection. The buffer is full if
/// the caller reads more slowly than the upstream writes.
const FRAME_BUFFER_CAPACITY: usize = 16;

/// Longest time for which a caller may read no bytes. A stalled caller would otherwise occupy a slot of an upstream,
/// and delay a planned stop, without limit.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Writes one response to a caller.
#[derive(Debug)]
pub struct ResponseWriter {
    state: State,
    pending: VecDeque<Bytes>,
}

#[derive(Debug)]
enum State {
    /// The response's head was not sent yet.
    HeadPending(oneshot::Sender<Response>),
    /// The head was sent, and the body follows in frames.
    Streaming(BodyStream),
    /// The response is complete or was aborted.
    Closed,
}

/// The body of a response whose head was sent.
#[derive(Debug)]
struct BodyStream {
    frames: mpsc::Sender<Bytes>,
    /// Set before a complete body ends. If the body ends while this flag is unset, the caller's connection is broken.
    is_complete: Arc<AtomicBool>,
}

/// Result of [`ResponseWriter::drive`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All pending frames were passed to the caller's connection.
    Flushed,
    /// The caller has closed its connection, or has read no bytes for the stall timeout.
    CallerGone,
}

impl ResponseWriter {
    /// Creates a writer and the receiver of its response.
    pub fn new() -> (Self, oneshot::Receiver<Response>) {
        let (sender, receiver) = oneshot::channel();
        let writer = Self {
            state: State::HeadPending(sender),
            pending: VecDeque::new(),
        };
        (writer, receiver)
    }

    /// Returns whether the head has not been sent yet.
    pub fn is_head_pending(&self) -> bool {
        matches!(self.state, State::HeadPending(_))
    }

    /// Returns whether frames are pending because the caller reads slowly.
    pub fn is_blocked(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Sends the head of a response whose body follows in frames.
    pub fn start(&mut self, status: StatusCode, headers: HeaderMap) {
        let (frames, receiver) = mpsc::channel(FRAME_BUFFER_CAPACITY);
        let is_complete = Arc::<AtomicBool>::default();
        let body = Body::from_stream(FrameStream {
            frames: receiver,
            is_complete: is_complete.clone(),
            is_ended: false,
        });
        let stream = State::Streaming(BodyStream {
            frames,
            is_complete,
        });
        if let State::HeadPending(head) = std::mem::replace(&mut self.state, stream) {
            // `drive` detects a caller that has disconnected.
            let _ = head.send(build_response(status, headers, body));
        }
    }

    /// Appends bytes to the body of a response whose head was sent.
    pub fn push(&mut self, data: Bytes) {
        if matches!(self.state, State::Streaming(_)) {
            self.pending.push_back(data);
        }
    }

    /// Sends a complete response.
    pub fn send(&mut self, response: Response) {
        if let State::HeadPending(head) = std::mem::replace(&mut self.state, State::Closed) {
            let _ = head.send(response);
        }
    }

    /// Ends the response without the rest of its body. The caller's connection is broken if the head was sent, so that
    /// the caller does not take the truncated body for a complete one.
    pub fn abort(&mut self) {
        self.state = State::Closed;
        self.pending.clear();
    }

    /// Passes pending frames to the caller's connection, or waits until the caller disconnects if no frames are
    /// pending. The future may be dropped at any point without losing frames.
    pub async fn drive(&mut self) -> WriteOutcome {
        match &mut self.state {
            State::HeadPending(head) => head.closed().await,
            State::Streaming(stream) if self.pending.is_empty() => stream.frames.closed().await,
            State::Streaming(stream) => return flush(stream, &mut self.pending).await,
            State::Closed => std::future::pending().await,
        }
        WriteOutcome::CallerGone
    }

    /// Passes the remaining frames to the caller's connection and ends the body as complete.
    pub async fn finish(mut self) {
        if let State::Streaming(stream) = &self.state
            && flush(stream, &mut self.pending).await == WriteOutcome::Flushed
        {
            stream.is_complete.store(true, Ordering::Release);
        }
    }
}

async fn flush(stream: &BodyStream, pending: &mut VecDeque<Bytes>) -> WriteOutcome {
    while !pending.is_empty() {
        let permit = tokio::time::timeout(STALL_TIMEOUT, stream.frames.reserve());
        let Ok(Ok(permit)) = permit.await else {
            return WriteOutcome::CallerGone;
        };
        if let Some(frame) = pending.pop_front() {
            permit.send(frame);
        }
    }
    WriteOutcome::Flushed
}

/// Builds a response from its parts.
pub fn build_response(status: StatusCode, headers: HeaderMap, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

struct FrameStream {
    frames: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
    is_ended: bool,
}

impl futures::Stream for FrameStream {
    type Item = Result<Frame<Bytes>, BoxError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = std::task::ready!(self.frames.poll_recv(cx));
        if let Some(data) = frame {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let is_truncated = !self.is_complete.load(Ordering::Acquire) && !self.is_ended;
        self.is_ended = true;
        Poll::Ready(is_truncated.then(|| Err("the answer is incomplete".into())))
    }
}
