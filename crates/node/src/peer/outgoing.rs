//! Connections to other instances.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use capnp_rpc::rpc_twoparty_capnp::Side as RpcSide;
use capnp_rpc::{RpcSystem, twoparty};
use conf::{Map, Name};
use fleet::PeerMessage;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use wire::peer_capnp::{peer, session};

use super::proof::{Handshake, Secret, Side, nonce};
use super::reader_options;

/// Messages that wait for one peer. Beyond that the oldest are dropped: all messages may be lost,
/// and newer ones say more.
const QUEUE_MESSAGES: usize = 1_024;
/// Bytes that wait for one peer. Beyond that the oldest messages are dropped.
const QUEUE_BYTES: usize = 32 * 1024 * 1024;
/// Messages to one peer that are sent and not yet answered.
const WINDOW_MESSAGES: usize = 64;
/// Time allowed for a connection with its proofs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time allowed for the answer to a message. A peer that takes longer is connected to anew.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest pause after failures. It bounds how long a peer that came back is not reached.
const BACKOFF_MAX: Duration = Duration::from_millis(300);
/// Time without messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections to all peers, one for each id and address. Must be used in a `LocalSet`.
#[derive(Debug)]
pub struct Peers {
    id: Name,
    secret: Secret,
    links: Map<(Name, Name), Link>,
}

#[derive(Debug)]
struct Link {
    outbox: Rc<Outbox>,
    task: JoinHandle<()>,
}

/// Messages that wait for one peer.
#[derive(Debug, Default)]
struct Outbox {
    waiting: RefCell<Waiting>,
    added: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    messages: VecDeque<Bytes>,
    bytes: usize,
}

impl Peers {
    /// Creates the connections of instance `id`. None is opened yet.
    pub fn new(id: Name, secret: Secret) -> Self {
        Self {
            id,
            secret,
            links: Map::default(),
        }
    }

    /// Queues a message. It may be lost.
    pub fn send(&mut self, to: Name, address: Name, message: &PeerMessage) {
        let data = match wire::encode_message(message) {
            Ok(data) => data,
            Err(error) => {
                spdlog::error!("peer: a message to {to} is dropped: {error}");
                return;
            }
        };
        self.links.retain(|_, link| !link.task.is_finished());
        let (id, secret) = (&self.id, &self.secret);
        let link = self
            .links
            .entry((to.clone(), address.clone()))
            .or_insert_with(|| {
                let outbox = Rc::<Outbox>::default();
                let link = run(id.clone(), secret.clone(), to, address, outbox.clone());
                let task = tokio::task::spawn_local(link);
                Link { outbox, task }
            });
        link.outbox.push(data);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Outbox {
    fn push(&self, data: Bytes) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.bytes += data.len();
        waiting.messages.push_back(data);
        while waiting.messages.len() > QUEUE_MESSAGES || waiting.bytes > QUEUE_BYTES {
            waiting.drop_oldest();
        }
        self.added.notify_one();
    }

    /// Waits for the oldest message.
    async fn pop(&self) -> Bytes {
        loop {
            if let Some(data) = self.waiting.borrow_mut().pop() {
                return data;
            }
            self.added.notified().await;
        }
    }

    async fn is_filled(&self) {
        while self.waiting.borrow().messages.is_empty() {
            self.added.notified().await;
        }
    }
}

impl Waiting {
    fn pop(&mut self) -> Option<Bytes> {
        let data = self.messages.pop_front()?;
        self.bytes -= data.len();
        Some(data)
    }

    fn drop_oldest(&mut self) {
        if self.pop().is_some() {
            metrics::counter!("mustardstack_peer_dropped_total").increment(1);
        }
    }
}

/// Keeps a connection to one peer, and ends when there has been nothing to send for a while.
async fn run(id: Name, secret: Secret, to: Name, address: Name, outbox: Rc<Outbox>) {
    let mut pause = BACKOFF_MIN;
    let mut is_logged = false;
    while timeout(IDLE_TIMEOUT, outbox.is_filled()).await.is_ok() {
        match timeout(CONNECT_TIMEOUT, connect(&id, &secret, &to, &address)).await {
            Ok(Ok(connection)) => {
                spdlog::info!("peer: connected to {to} at {address}");
                (pause, is_logged) = (BACKOFF_MIN, false);
                if let Err(error) = forward(&connection.session, &outbox).await {
                    spdlog::warn!("peer: lost the connection to {to} at {address}: {error}");
                }
            }
            failed => {
                if !is_logged {
                    let reason = failure(failed);
                    spdlog::warn!("peer: cannot connect to {to} at {address}: {reason}");
                    is_logged = true;
                }
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(BACKOFF_MAX);
    }
}

fn failure(
    result: Result<Result<Connection, capnp::Error>, tokio::time::error::Elapsed>,
) -> String {
    match result {
        Ok(Err(error)) => error.to_string(),
        _ => "no answer in time".to_owned(),
    }
}

/// A connection that has proved the secret both ways. Dropping it closes it.
struct Connection {
    session: session::Client,
    rpc: JoinHandle<Result<(), capnp::Error>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc.abort();
    }
}

async fn connect(
    id: &Name,
    secret: &Secret,
    to: &Name,
    address: &Name,
) -> Result<Connection, capnp::Error> {
    let stream = TcpStream::connect(address.as_str()).await?;
    // Without it the kernel may hold back votes and appends; a failure costs latency only.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        RpcSide::Client,
        reader_options(),
    );
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let peer: peer::Client = rpc.bootstrap(RpcSide::Server);
    let rpc = AbortOnDrop(Some(tokio::task::spawn_local(rpc)));
    let session = prove(&peer, id, secret, to).await?;
    Ok(Connection {
        session,
        rpc: rpc.release(),
    })
}

/// Closes a connection whose proofs fail or take too long.
struct AbortOnDrop(Option<JoinHandle<Result<(), capnp::Error>>>);

impl AbortOnDrop {
    fn release(mut self) -> JoinHandle<Result<(), capnp::Error>> {
        self.0.take().expect("the task is released once")
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

async fn prove(
    peer: &peer::Client,
    id: &Name,
    secret: &Secret,
    to: &Name,
) -> Result<session::Client, capnp::Error> {
    let connecting_nonce = nonce().map_err(|error| capnp::Error::failed(error.to_string()))?;
    let mut request = peer.challenge_request();
    request.get().set_id(id.as_str());
    request.get().set_nonce(&connecting_nonce);
    let response = request.send().promise.await?;
    let challenge = response.get()?;
    let accepting_id = challenge.get_id()?.to_str()?;
    if accepting_id != to.as_str() {
        let text = format!("{accepting_id} answers instead of {to}");
        return Err(capnp::Error::failed(text));
    }
    let handshake = Handshake {
        connecting_id: id,
        accepting_id,
        connecting_nonce: &connecting_nonce,
        accepting_nonce: challenge.get_nonce()?,
    };
    if !secret.verify(Side::Accepting, &handshake, challenge.get_proof()?) {
        let text = "the peer does not hold the secret".to_owned();
        return Err(capnp::Error::failed(text));
    }
    let mut request = peer.hello_request();
    request.get().set_id(id.as_str());
    request.get().set_nonce(handshake.accepting_nonce);
    request
        .get()
        .set_proof(&secret.prove(Side::Connecting, &handshake));
    let response = request.send().promise.await?;
    response.get()?.get_session()
}

/// Sends messages in order until the connection fails or there has been nothing to send for a while.
async fn forward(session: &session::Client, outbox: &Outbox) -> Result<(), capnp::Error> {
    let mut unanswered = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(answer) = unanswered.next() => answer?,
            data = timeout(IDLE_TIMEOUT, outbox.pop()), if unanswered.len() < WINDOW_MESSAGES => {
                let Ok(data) = data else {
                    return Ok(());
                };
                metrics::counter!("mustardstack_peer_sent_bytes_total").increment(data.len() as u64);
                unanswered.push(send(session, &data));
            }
        }
    }
}

fn send(
    session: &session::Client,
    data: &[u8],
) -> impl Future<Output = Result<(), capnp::Error>> + use<> {
    let mut request = session.send_request();
    request.get().set_data(data);
    // The call is queued here, so that calls leave in the order of the messages.
    let answer = request.send().promise;
    async move {
        match timeout(SEND_TIMEOUT, answer).await {
            Ok(answer) => answer.map(drop),
            Err(_) => Err(capnp::Error::overloaded("no answer in time".to_owned())),
        }
    }
}
