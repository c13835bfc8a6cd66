//! One attempt to run a request on an upstream.
//!
//! Every attempt has a connection of its own. A pooled connection may be closed by the upstream
//! while a request is written to it, and then it is unknown whether the request ran.

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
use crate::gated::{GatedStream, SentFlag};
use crate::prefill::PrefillStage;

/// Pieces of an answer that wait for the exchange. Beyond that the upstream's connection is not read.
const WAITING_PIECES: usize = 16;

/// Time for a connection to an upstream. A host that is gone answers nothing, and another upstream can take the request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What happened to an attempt.
#[derive(Debug)]
pub enum Piece {
    /// Status and headers of the answer.
    Head(Box<ResponseParts>),
    /// Bytes of the answer's body.
    Data(Bytes),
    /// The connection carried the whole answer.
    Finished,
    /// Provably no byte was sent.
    NotSent,
    /// The connection broke, or the deadline passed, after bytes were sent.
    Broken,
}

/// Where and when a request is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// IP address and port.
    pub address: Name,
    /// Time after which no first byte is written, on the instance's clock.
    pub send_deadline_ms: u64,
    /// Time after which the answer is given up, on the instance's clock.
    pub answer_deadline_ms: u64,
}

/// A running attempt. Dropping it closes its connection.
#[derive(Debug)]
pub struct Attempt {
    pieces: mpsc::Receiver<Piece>,
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
        let (sender, pieces) = mpsc::channel(WAITING_PIECES);
        let task = tokio::spawn(run(clock, target, prefill, head, body, sender));
        Self { pieces, task }
    }

    /// Waits for the next piece. After `Finished`, `NotSent` or `Broken` there is none.
    pub async fn next(&mut self) -> Piece {
        self.pieces.recv().await.unwrap_or(Piece::Broken)
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
    sender: mpsc::Sender<Piece>,
) {
    let sent = SentFlag::default();
    let exchange = async {
        let body = match prefill {
            Some(stage) => stage.extend(clock, &target, body).await,
            None => body,
        };
        exchange(clock, &target, head, body, &sent, &sender).await
    };
    let end = match timeout_at(clock.instant(target.answer_deadline_ms), exchange).await {
        Ok(Ok(())) => Piece::Finished,
        _ if sent.is_set() => Piece::Broken,
        _ => Piece::NotSent,
    };
    let _ = sender.send(end).await;
}

/// A failure of the connection; what it means follows from the sent flag alone.
struct Failed;

async fn exchange(
    clock: Clock,
    target: &Target,
    head: RequestParts,
    body: Bytes,
    sent: &SentFlag,
    sender: &mpsc::Sender<Piece>,
) -> Result<(), Failed> {
    let stream = connect(clock, target).await?;
    let gated = GatedStream::new(stream, clock, target.send_deadline_ms, sent.clone());
    let (mut requests, connection) = http1::handshake(TokioIo::new(gated))
        .await
        .map_err(|_| Failed)?;
    let answer = async {
        let request = http::Request::from_parts(head, Full::new(body));
        let response = requests.send_request(request).await.map_err(|_| Failed)?;
        forward(response, sender).await
    };
    tokio::pin!(connection);
    tokio::pin!(answer);
    tokio::select! {
        result = &mut answer => return result,
        _ = &mut connection => {}
    }
    // The connection has ended; what it had read before is still to be forwarded.
    answer.await
}

/// Sends a request and reads the whole answer. `None` if the connection failed.
pub async fn read_whole(
    clock: Clock,
    target: &Target,
    head: RequestParts,
    body: Bytes,
) -> Option<(StatusCode, BytesMut)> {
    let (sender, mut pieces) = mpsc::channel(WAITING_PIECES);
    let reading = async move {
        let sent = SentFlag::default();
        exchange(clock, target, head, body, &sent, &sender).await
    };
    let collecting = async move {
        let mut status = None;
        let mut data = BytesMut::new();
        while let Some(piece) = pieces.recv().await {
            match piece {
                Piece::Head(head) => status = Some(head.status),
                Piece::Data(bytes) => data.extend_from_slice(&bytes),
                Piece::Finished | Piece::NotSent | Piece::Broken => {}
            }
        }
        (status, data)
    };
    let (result, (status, data)) = tokio::join!(reading, collecting);
    result.ok()?;
    Some((status?, data))
}

async fn connect(clock: Clock, target: &Target) -> Result<TcpStream, Failed> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address.as_str()));
    let stream = timeout_at(clock.instant(target.send_deadline_ms), connecting)
        .await
        .map_err(|_| Failed)?
        .map_err(|_| Failed)?
        .map_err(|_| Failed)?;
    // Without it the kernel may hold back small writes; a failure costs latency only.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

async fn forward(
    response: http::Response<Incoming>,
    sender: &mpsc::Sender<Piece>,
) -> Result<(), Failed> {
    let (head, mut body) = response.into_parts();
    send(sender, Piece::Head(Box::new(head))).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failed)?;
        if let Ok(data) = frame.into_data() {
            send(sender, Piece::Data(data)).await?;
        }
    }
    Ok(())
}

async fn send(sender: &mpsc::Sender<Piece>, piece: Piece) -> Result<(), Failed> {
    sender.send(piece).await.map_err(|_| Failed)
}
