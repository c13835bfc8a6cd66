//! The caller's side of an exchange.

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

/// Frames between the exchange and the caller's connection. Beyond that the caller is slower than the upstream.
const WAITING_FRAMES: usize = 16;

/// Time for which a caller may take no bytes. Its exchange would otherwise hold a place at an
/// upstream, and hold up a planned stop, for as long as the caller likes.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The answer to a caller, while it is being written.
#[derive(Debug)]
pub struct Reply {
    state: State,
    pending: VecDeque<Bytes>,
}

#[derive(Debug)]
enum State {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Response>),
    /// The head was sent.
    Streaming(Stream),
    /// The answer is whole, or the caller has gone.
    Closed,
}

/// The body of a started answer.
#[derive(Debug)]
struct Stream {
    frames: mpsc::Sender<Bytes>,
    /// Set before the end of a whole body. Any other end breaks the caller's connection.
    is_whole: Arc<AtomicBool>,
}

/// What [`Reply::drive`] saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// All frames were handed to the caller's connection.
    Drained,
    /// The caller has closed its connection, or takes no bytes any more.
    CallerGone,
}

impl Reply {
    /// Creates the reply and the receiver of its response.
    pub fn new() -> (Self, oneshot::Receiver<Response>) {
        let (sender, receiver) = oneshot::channel();
        let reply = Self {
            state: State::Waiting(sender),
            pending: VecDeque::new(),
        };
        (reply, receiver)
    }

    /// Returns whether the head has not been sent yet.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Returns whether frames wait for a slow caller.
    pub fn is_blocked(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Sends the head of an answer whose body follows in frames.
    pub fn start(&mut self, status: StatusCode, headers: HeaderMap) {
        let (frames, receiver) = mpsc::channel(WAITING_FRAMES);
        let is_whole = Arc::<AtomicBool>::default();
        let body = Body::from_stream(Frames {
            frames: receiver,
            is_whole: is_whole.clone(),
            is_ended: false,
        });
        let stream = State::Streaming(Stream { frames, is_whole });
        if let State::Waiting(head) = std::mem::replace(&mut self.state, stream) {
            // A caller that has gone is found by `drive`.
            let _ = head.send(response(status, headers, body));
        }
    }

    /// Appends bytes to the body of a started answer.
    pub fn push(&mut self, data: Bytes) {
        if matches!(self.state, State::Streaming(_)) {
            self.pending.push_back(data);
        }
    }

    /// Sends a whole answer.
    pub fn send(&mut self, response: Response) {
        if let State::Waiting(head) = std::mem::replace(&mut self.state, State::Closed) {
            let _ = head.send(response);
        }
    }

    /// Ends the answer as it is. A body that was started breaks off, so that it is not taken for a whole one.
    pub fn abort(&mut self) {
        self.state = State::Closed;
        self.pending.clear();
    }

    /// Hands frames to the caller's connection, or waits until the caller has gone. May be dropped at any point.
    pub async fn drive(&mut self) -> Flow {
        match &mut self.state {
            State::Waiting(head) => head.closed().await,
            State::Streaming(stream) if self.pending.is_empty() => stream.frames.closed().await,
            State::Streaming(stream) => return drain(stream, &mut self.pending).await,
            State::Closed => std::future::pending().await,
        }
        Flow::CallerGone
    }

    /// Hands over the frames that are left and ends the body as a whole one.
    pub async fn finish(mut self) {
        if let State::Streaming(stream) = &self.state
            && drain(stream, &mut self.pending).await == Flow::Drained
        {
            stream.is_whole.store(true, Ordering::Release);
        }
    }
}

async fn drain(stream: &Stream, pending: &mut VecDeque<Bytes>) -> Flow {
    while !pending.is_empty() {
        let place = tokio::time::timeout(STALL_TIMEOUT, stream.frames.reserve());
        let Ok(Ok(place)) = place.await else {
            return Flow::CallerGone;
        };
        if let Some(frame) = pending.pop_front() {
            place.send(frame);
        }
    }
    Flow::Drained
}

/// Puts a response together.
pub fn response(status: StatusCode, headers: HeaderMap, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

struct Frames {
    frames: mpsc::Receiver<Bytes>,
    is_whole: Arc<AtomicBool>,
    is_ended: bool,
}

impl futures::Stream for Frames {
    type Item = Result<Frame<Bytes>, BoxError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = std::task::ready!(self.frames.poll_recv(cx));
        if let Some(data) = frame {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let is_cut = !self.is_whole.load(Ordering::Acquire) && !self.is_ended;
        self.is_ended = true;
        Poll::Ready(is_cut.then(|| Err("the answer is not whole".into())))
    }
}
