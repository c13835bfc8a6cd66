//! One attempt to run a request on an upstream.
//!
//! Every attempt has its own connection. The upstream may close a pooled connection while a request is written to it,
//! and then it is unknown whether the request ran.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use conf::Name;
use http::StatusCode;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at};

use crate::clock::Clock;
use crate::gated::{DeadlineStream, SentFlag};
use crate::prefill::PrefillStage;

/// Largest number of events of an attempt that are buffered for the exchange. While the buffer is full, the upstream's
/// connection is not read.
const EVENT_BUFFER_CAPACITY: usize = 16;

/// Largest answer that is fetched, in bytes. The KV cache of a prompt stays at its engine, and its export names only the
/// chunks.
const MAX_FETCHED_BYTES: usize = 1024 * 1024;

/// Statuses of answers that end an exchange.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Time limit for connecting to an upstream. A host that is gone sends no answer, and another upstream can run the
/// request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An event of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The status and headers of the answer were read.
    Head(Box<ResponseParts>),
    /// Bytes of the answer's body were read.
    Data(Bytes),
    /// The complete answer was read.
    Finished,
    /// The attempt failed before any byte of the request was sent, so the upstream cannot have run it.
    NotSent,
    /// The connection failed, or the answer deadline passed, after bytes were sent.
    Broken,
}

/// Address and deadlines of a request.
#[derive(Clone, Debug)]
pub struct Target {
    /// IP address and port.
    pub address: Name,
    /// Latest time at which the request's first byte may be written, in milliseconds on the instance's clock.
    pub send_deadline_ms: u64,
    /// Time at which an unfinished answer is abandoned, in milliseconds on the instance's clock.
    pub answer_deadline_ms: u64,
}

/// A running attempt. Dropping it closes its connection.
#[derive(Debug)]
pub struct Attempt {
    events: mpsc::Receiver<AttemptEvent>,
    task: JoinHandle<()>,
}

impl Attempt {
    /// Starts an attempt.
    pub fn start(
        clock: Clock,
        target: Target,
        prefill: Option<PrefillStage>,
        head: RequestParts,
        body: Bytes,
    ) -> Self {
        let (sender, events) = mpsc::channel(EVENT_BUFFER_CAPACITY);
        let task = tokio::spawn(run(clock, target, prefill, head, body, sender));
        Self { events, task }
    }

    /// Waits for the next event. `Finished`, `NotSent` and `Broken` are the last event of an attempt.
    pub async fn next_event(&mut self) -> AttemptEvent {
        self.events.recv().await.unwrap_or(AttemptEvent::Broken)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    clock: Clock,
    target: Target,
    prefill: Option<PrefillStage>,
    head: RequestParts,
    body: Bytes,
    sender: mpsc::Sender<AttemptEvent>,
) {
    let sent = SentFlag::default();
    let round_trip = async {
        let body = match prefill {
            Some(stage) => stage.run(clock, &target, body).await,
            None => body,
        };
        send_and_receive(clock, &target, head, body, &sent, &sender).await
    };
    let end = match timeout_at(clock.instant(target.answer_deadline_ms), round_trip).await {
        Ok(Ok(())) => AttemptEvent::Finished,
        _ if sent.is_set() => AttemptEvent::Broken,
        _ => AttemptEvent::NotSent,
    };
    let _ = sender.send(end).await;
}

/// The connection failed. Whether the request may have run is known from the [`SentFlag`] alone.
struct ConnectionFailed;

async fn send_and_receive(
    clock: Clock,
    target: &Target,
    head: RequestParts,
    body: Bytes,
    sent: &SentFlag,
    sender: &mpsc::Sender<AttemptEvent>,
) -> Result<(), ConnectionFailed> {
    let stream = connect(clock, target).await?;
    let stream = DeadlineStream::new(stream, clock, target.send_deadline_ms, sent.clone());
    let (mut requests, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectionFailed)?;
    let answer = async {
        let request = http::Request::from_parts(head, Full::new(body));
        let response = requests
            .send_request(request)
            .await
            .map_err(|_| ConnectionFailed)?;
        forward(response, sender).await
    };
    tokio::pin!(connection);
    tokio::pin!(answer);
    tokio::select! {
        result = &mut answer => return result,
        _ = &mut connection => {}
    }
    // The connection has ended, but the bytes that were read from it before must still be forwarded.
    answer.await
}

/// Sends a request and reads the complete answer. Returns `None` if the connection failed or the answer is larger than
/// [`MAX_FETCHED_BYTES`].
pub async fn fetch(
    clock: Clock,
    target: &Target,
    head: RequestParts,
    body: Bytes,
) -> Option<(StatusCode, BytesMut)> {
    let (sender, mut events) = mpsc::channel(EVENT_BUFFER_CAPACITY);
    let reading = async move {
        let sent = SentFlag::default();
        send_and_receive(clock, target, head, body, &sent, &sender).await
    };
    let collecting = async move {
        let mut status = None;
        let mut data = BytesMut::new();
        while let Some(event) = events.recv().await {
            match event {
                AttemptEvent::Head(head) => status = Some(head.status),
                AttemptEvent::Data(bytes) => data.extend_from_slice(&bytes),
                AttemptEvent::Finished | AttemptEvent::NotSent | AttemptEvent::Broken => {}
            }
            if data.len() > MAX_FETCHED_BYTES {
                // The receiver is dropped, which ends the reading and closes the connection.
                break;
            }
        }
        (status, data)
    };
    let (result, (status, data)) = tokio::join!(reading, collecting);
    result.ok()?;
    Some((status?, data))
}

async fn connect(clock: Clock, target: &Target) -> Result<TcpStream, ConnectionFailed> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address.as_str()));
    let stream = timeout_at(clock.instant(target.send_deadline_ms), connecting)
        .await
        .map_err(|_| ConnectionFailed)?
        .map_err(|_| ConnectionFailed)?
        .map_err(|_| ConnectionFailed)?;
    // Without TCP_NODELAY the kernel may delay small writes. A failure to set it only adds latency.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

async fn forward(
    response: http::Response<Incoming>,
    sender: &mpsc::Sender<AttemptEvent>,
) -> Result<(), ConnectionFailed> {
    let (head, mut body) = response.into_parts();
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Err(ConnectionFailed);
    }
    send(sender, AttemptEvent::Head(Box::new(head))).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ConnectionFailed)?;
        if let Ok(data) = frame.into_data() {
            send(sender, AttemptEvent::Data(data)).await?;
        }
    }
    Ok(())
}

async fn send(
    sender: &mpsc::Sender<AttemptEvent>,
    event: AttemptEvent,
) -> Result<(), ConnectionFailed> {
    sender.send(event).await.map_err(|_| ConnectionFailed)
}
