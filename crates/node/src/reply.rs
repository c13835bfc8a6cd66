//! The caller's side of an exchange.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

/// Frames between the exchange and the caller's connection. Beyond that the caller is slower than the upstream.
const WAITING_FRAMES: usize = 16;

type BodyFrame = Result<Frame<Bytes>, BoxError>;

/// The answer to a caller, while it is being written.
#[derive(Debug)]
pub struct Reply {
    state: State,
    pending: VecDeque<BodyFrame>,
}

#[derive(Debug)]
enum State {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Response>),
    /// The head was sent.
    Streaming(mpsc::Sender<BodyFrame>),
    /// The answer is whole, or the caller has gone.
    Closed,
}

/// What [`Reply::drive`] saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// All frames were handed to the caller's connection.
    Drained,
    /// The caller has closed its connection.
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
        let (sender, receiver) = mpsc::channel(WAITING_FRAMES);
        let body = Body::from_stream(Frames(receiver));
        if let State::Waiting(head) = std::mem::replace(&mut self.state, State::Streaming(sender)) {
            // A caller that has gone is found by `drive`.
            let _ = head.send(response(status, headers, body));
        }
    }

    /// Appends bytes to the body of a started answer.
    pub fn push(&mut self, data: Bytes) {
        if matches!(self.state, State::Streaming(_)) {
            self.pending.push_back(Ok(Frame::data(data)));
        }
    }

    /// Sends a whole answer.
    pub fn send(&mut self, response: Response) {
        if let State::Waiting(head) = std::mem::replace(&mut self.state, State::Closed) {
            let _ = head.send(response);
        }
    }

    /// Breaks the caller's connection, so that a body that is not whole is seen as such.
    pub fn abort(&mut self) {
        if matches!(self.state, State::Streaming(_)) {
            self.pending
                .push_back(Err("the answer is not whole".into()));
        }
    }

    /// Forgets a caller that has gone.
    pub fn close(&mut self) {
        self.state = State::Closed;
        self.pending.clear();
    }

    /// Hands frames to the caller's connection, or waits until the caller has gone. May be dropped at any point.
    pub async fn drive(&mut self) -> Flow {
        match &mut self.state {
            State::Waiting(head) => head.closed().await,
            State::Streaming(sender) if self.pending.is_empty() => sender.closed().await,
            State::Streaming(sender) => return drain(sender, &mut self.pending).await,
            State::Closed => std::future::pending().await,
        }
        Flow::CallerGone
    }

    /// Hands over the frames that are left and ends the body.
    pub async fn finish(mut self) {
        if let State::Streaming(sender) = &self.state {
            drain(sender, &mut self.pending).await;
        }
    }
}

async fn drain(sender: &mpsc::Sender<BodyFrame>, pending: &mut VecDeque<BodyFrame>) -> Flow {
    while !pending.is_empty() {
        let Ok(permit) = sender.reserve().await else {
            return Flow::CallerGone;
        };
        if let Some(frame) = pending.pop_front() {
            permit.send(frame);
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

struct Frames(mpsc::Receiver<BodyFrame>);

impl Stream for Frames {
    type Item = BodyFrame;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}
