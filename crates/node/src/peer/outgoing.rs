//! Connections to other instances, on which messages are sent.

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
use crate::clock::boottime_ms;

/// Largest number of messages that are queued for one peer. Beyond this number the oldest messages are dropped: the
/// protocols tolerate the loss of any message, and newer messages carry more recent state.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Largest number of bytes that are queued for one peer. Beyond this number the oldest messages are dropped.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// Largest number of messages to one peer that are sent and not yet answered.
const MAX_UNANSWERED_MESSAGES: usize = 64;
/// Time limit for connecting and authenticating.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the answer to a message. After a timeout the connection is closed and opened again.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time in the queue from which on it is added to the ages that a message states, in milliseconds.
const MIN_ADDED_AGE_MS: u64 = 5;
/// Delay before reconnecting after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest delay before reconnecting after consecutive failures. It limits how long messages to a peer that is
/// reachable again are delayed.
const BACKOFF_MAX: Duration = Duration::from_millis(300);
/// Time without messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections to all peers, one per instance id and address. Must be used in a `LocalSet`.
#[derive(Debug)]
pub struct PeerConnections {
    id: Name,
    secret: Secret,
    senders: Map<(Name, Name), PeerSender>,
}

#[derive(Debug)]
struct PeerSender {
    queue: Rc<SendQueue>,
    task: JoinHandle<()>,
}

/// Messages that are queued for one peer.
#[derive(Debug, Default)]
struct SendQueue {
    queued: RefCell<QueuedMessages>,
    message_added: Notify,
}

#[derive(Debug, Default)]
struct QueuedMessages {
    messages: VecDeque<QueuedMessage>,
    bytes: usize,
}

#[derive(Debug)]
struct QueuedMessage {
    data: Bytes,
    /// The message and the time at which it was queued, in milliseconds, if it states ages.
    aged: Option<(PeerMessage, u64)>,
}

impl QueuedMessage {
    /// Returns the encoded message, with the ages that its content has now.
    fn into_data(self) -> Bytes {
        let Some((mut message, queued_ms)) = self.aged else {
            return self.data;
        };
        let waited_ms = boottime_ms().saturating_sub(queued_ms);
        if waited_ms < MIN_ADDED_AGE_MS {
            return self.data;
        }
        message.add_age(waited_ms);
        // The message could be encoded when it was queued.
        wire::encode_message(&message).unwrap_or(self.data)
    }
}

impl PeerConnections {
    /// Creates an empty set of connections for instance `id`. [`Self::send`] opens connections.
    pub fn new(id: Name, secret: Secret) -> Self {
        Self {
            id,
            secret,
            senders: Map::default(),
        }
    }

    /// Queues a message. The message may be lost.
    pub fn send(&mut self, to: Name, address: Name, message: PeerMessage) {
        let data = match wire::encode_message(&message) {
            Ok(data) => data,
            Err(error) => {
                spdlog::error!("peer: dropped a message to {to} that cannot be encoded: {error}");
                return;
            }
        };
        self.senders.retain(|_, sender| !sender.task.is_finished());
        let (id, secret) = (&self.id, &self.secret);
        let sender = self
            .senders
            .entry((to.clone(), address.clone()))
            .or_insert_with(|| {
                let queue = Rc::<SendQueue>::default();
                let sending = run(id.clone(), secret.clone(), to, address, queue.clone());
                let task = tokio::task::spawn_local(sending);
                PeerSender { queue, task }
            });
        let aged = message.has_ages().then(|| (message, boottime_ms()));
        sender.queue.push(QueuedMessage { data, aged });
    }
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SendQueue {
    fn push(&self, message: QueuedMessage) {
        let mut queued = self.queued.borrow_mut();
        queued.bytes += message.data.len();
        queued.messages.push_back(message);
        while queued.messages.len() > MAX_QUEUED_MESSAGES || queued.bytes > MAX_QUEUED_BYTES {
            queued.drop_oldest();
        }
        self.message_added.notify_one();
    }

    /// Waits for a message, and removes and returns the oldest one.
    async fn pop(&self) -> Bytes {
        loop {
            let message = self.queued.borrow_mut().pop();
            if let Some(message) = message {
                return message.into_data();
            }
            self.message_added.notified().await;
        }
    }

    async fn wait_nonempty(&self) {
        while self.queued.borrow().messages.is_empty() {
            self.message_added.notified().await;
        }
    }
}

impl QueuedMessages {
    fn pop(&mut self) -> Option<QueuedMessage> {
        let message = self.messages.pop_front()?;
        self.bytes -= message.data.len();
        Some(message)
    }

    fn drop_oldest(&mut self) {
        if self.pop().is_some() {
            metrics::counter!("mustardstack_peer_dropped_total").increment(1);
        }
    }
}

/// Connects to one peer, and reconnects after failures, until no message is queued for the idle timeout.
async fn run(id: Name, secret: Secret, to: Name, address: Name, queue: Rc<SendQueue>) {
    let mut backoff = BACKOFF_MIN;
    let mut failure_logged = false;
    while timeout(IDLE_TIMEOUT, queue.wait_nonempty()).await.is_ok() {
        match timeout(CONNECT_TIMEOUT, connect(&id, &secret, &to, &address)).await {
            Ok(Ok(connection)) => {
                spdlog::info!("peer: connected to {to} at {address}");
                (backoff, failure_logged) = (BACKOFF_MIN, false);
                if let Err(error) = send_messages(&connection.session, &queue).await {
                    spdlog::warn!("peer: lost the connection to {to} at {address}: {error}");
                }
            }
            failed => {
                if !failure_logged {
                    let reason = failure_reason(failed);
                    spdlog::warn!("peer: cannot connect to {to} at {address}: {reason}");
                    failure_logged = true;
                }
            }
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

fn failure_reason(
    result: Result<Result<Connection, capnp::Error>, tokio::time::error::Elapsed>,
) -> String {
    match result {
        Ok(Err(error)) => error.to_string(),
        _ => "the peer did not answer in time".to_owned(),
    }
}

/// A connection on which both ends have proved that they know the secret. Dropping the value closes the connection.
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
    // Without TCP_NODELAY the kernel may delay votes and appends. A failure to set it only adds latency.
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
    let rpc = AbortRpcOnDrop(Some(tokio::task::spawn_local(rpc)));
    let session = authenticate(&peer, id, secret, to).await?;
    Ok(Connection {
        session,
        rpc: rpc.release(),
    })
}

/// Closes a connection whose authentication fails or times out.
struct AbortRpcOnDrop(Option<JoinHandle<Result<(), capnp::Error>>>);

impl AbortRpcOnDrop {
    fn release(mut self) -> JoinHandle<Result<(), capnp::Error>> {
        self.0.take().expect("the task is released once")
    }
}

impl Drop for AbortRpcOnDrop {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

async fn authenticate(
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
        let text = format!("the instance at this address is {accepting_id}, not {to}");
        return Err(capnp::Error::failed(text));
    }
    let handshake = Handshake {
        connecting_id: id,
        accepting_id,
        connecting_nonce: &connecting_nonce,
        accepting_nonce: challenge.get_nonce()?,
    };
    if !secret.verify(Side::Accepting, &handshake, challenge.get_proof()?) {
        let text = "the peer sent a wrong proof of the secret".to_owned();
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

/// Sends messages in order until the connection fails, or until no message is queued for the idle timeout.
async fn send_messages(session: &session::Client, queue: &SendQueue) -> Result<(), capnp::Error> {
    let mut unanswered = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(answer) = unanswered.next() => answer?,
            data = timeout(IDLE_TIMEOUT, queue.pop()), if unanswered.len() < MAX_UNANSWERED_MESSAGES => {
                let Ok(data) = data else {
                    return Ok(());
                };
                metrics::counter!("mustardstack_peer_sent_bytes_total").increment(data.len() as u64);
                unanswered.push(send_message(session, &data));
            }
        }
    }
}

fn send_message(
    session: &session::Client,
    data: &[u8],
) -> impl Future<Output = Result<(), capnp::Error>> + use<> {
    let mut request = session.send_request();
    request.get().set_data(data);
    // The RPC call is queued before the future is returned, so that calls are sent in the order of the messages.
    let answer = request.send().promise;
    async move {
        match timeout(SEND_TIMEOUT, answer).await {
            Ok(answer) => answer.map(drop),
            Err(_) => Err(capnp::Error::overloaded(
                "the peer did not answer in time".to_owned(),
            )),
        }
    }
}
