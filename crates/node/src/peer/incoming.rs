//! The listener for connections of other instances.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side as RpcSide;
use capnp_rpc::{RpcSystem, twoparty};
use conf::Name;
use reducer::Event;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use wire::peer_capnp::{peer, session};

use super::proof::{Handshake, NONCE_BYTES, Secret, Side, nonce};
use super::reader_options;
use crate::queue::EventQueue;

/// Largest number of open connections from peers. A fleet of the target size has 320 instances.
const MAX_CONNECTIONS: usize = 2_048;
/// Time limit for a connecting end to prove that it knows the secret.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest number of bytes that are read from an unauthenticated connection. The two calls of the handshake take less
/// than 1 KiB.
const MAX_UNAUTHENTICATED_BYTES: usize = 16 * 1024;
/// Longest instance id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Accepts connections of peers until the future is dropped. Must run in a `LocalSet`.
pub async fn serve(socket: TcpListener, id: Name, secret: Secret, events: EventQueue) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("peer: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let service = PeerService {
            id: id.clone(),
            secret: secret.clone(),
            events: events.clone(),
            pending_challenge: RefCell::default(),
            is_authenticated: Rc::default(),
        };
        tokio::task::spawn_local(async move {
            serve_connection(stream, service).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, service: PeerService) {
    // Without TCP_NODELAY the kernel may delay votes and appends. A failure to set it only adds latency.
    let _ = stream.set_nodelay(true);
    let is_authenticated = service.is_authenticated.clone();
    let (reader, writer) = stream.into_split();
    let reader = AuthenticationGuard {
        reader,
        is_authenticated: is_authenticated.clone(),
        remaining_bytes: MAX_UNAUTHENTICATED_BYTES,
    };
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        RpcSide::Server,
        reader_options(),
    );
    let client: peer::Client = capnp_rpc::new_client(service);
    let rpc = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::pin!(rpc);
    tokio::select! {
        _ = &mut rpc => return,
        () = tokio::time::sleep(AUTHENTICATION_TIMEOUT) => {}
    }
    // A connection that is not authenticated in time is closed. The reason why an authenticated connection ends is not
    // logged, because peers close idle connections in normal operation.
    if is_authenticated.get() {
        let _ = rpc.await;
    }
}

/// Limits the bytes that are read from a connection until it is authenticated.
struct AuthenticationGuard {
    reader: OwnedReadHalf,
    is_authenticated: Rc<Cell<bool>>,
    remaining_bytes: usize,
}

impl AsyncRead for AuthenticationGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(cx, buf))?;
        if self.is_authenticated.get() {
            return Poll::Ready(Ok(()));
        }
        let read = buf.filled().len() - before;
        match self.remaining_bytes.checked_sub(read) {
            Some(remaining) => {
                self.remaining_bytes = remaining;
                Poll::Ready(Ok(()))
            }
            None => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }
}

/// RPC bootstrap object of a connection.
struct PeerService {
    id: Name,
    secret: Secret,
    events: EventQueue,
    pending_challenge: RefCell<Option<PendingChallenge>>,
    is_authenticated: Rc<Cell<bool>>,
}

/// Id and nonce that the connecting end sent in `challenge`, and the nonce of this end's answer.
struct PendingChallenge {
    connecting_id: Name,
    connecting_nonce: Vec<u8>,
    accepting_nonce: Vec<u8>,
}

impl PendingChallenge {
    fn handshake<'a>(&'a self, accepting_id: &'a str) -> Handshake<'a> {
        Handshake {
            connecting_id: &self.connecting_id,
            accepting_id,
            connecting_nonce: &self.connecting_nonce,
            accepting_nonce: &self.accepting_nonce,
        }
    }
}

impl peer::Server for PeerService {
    async fn challenge(
        self: Rc<Self>,
        params: peer::ChallengeParams,
        mut results: peer::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let pending_challenge = PendingChallenge {
            connecting_id: read_id(params.get_id()?)?,
            connecting_nonce: read_nonce(params.get_nonce()?)?,
            accepting_nonce: nonce().map_err(rpc_error)?.to_vec(),
        };
        let handshake = pending_challenge.handshake(&self.id);
        let proof = self.secret.prove(Side::Accepting, &handshake);
        let mut results = results.get();
        results.set_id(self.id.as_str());
        results.set_nonce(&pending_challenge.accepting_nonce);
        results.set_proof(&proof);
        self.pending_challenge.replace(Some(pending_challenge));
        Ok(())
    }

    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        // A challenge is removed by the first proof, so that its nonce cannot be used again.
        let pending_challenge = self
            .pending_challenge
            .take()
            .ok_or_else(|| rpc_error("hello without a challenge"))?;
        // The proof is verified with the id and the nonces of the challenge. The id and nonce in this call are ignored.
        let handshake = pending_challenge.handshake(&self.id);
        let proof = params.get_proof()?;
        if !self.secret.verify(Side::Connecting, &handshake, proof) {
            let id = &pending_challenge.connecting_id;
            spdlog::warn!(
                "peer: a connection that claims to be {id} sent a wrong proof of the secret"
            );
            return Err(rpc_error("the proof is wrong"));
        }
        self.is_authenticated.set(true);
        let session = SessionService {
            from: pending_challenge.connecting_id,
            events: self.events.clone(),
        };
        results
            .get()
            .set_session(capnp_rpc::new_client::<session::Client, _>(session));
        Ok(())
    }
}

/// Receives the messages of one authenticated instance.
struct SessionService {
    from: Name,
    events: EventQueue,
}

impl session::Server for SessionService {
    async fn send(
        self: Rc<Self>,
        params: session::SendParams,
        _results: session::SendResults,
    ) -> Result<(), capnp::Error> {
        let data = params.get()?.get_data()?;
        metrics::counter!("mustardstack_peer_received_bytes_total").increment(data.len() as u64);
        let message = wire::decode_message(data).map_err(|error| {
            spdlog::warn!(
                "peer: dropped a message from {} that cannot be decoded: {error}",
                self.from
            );
            rpc_error(error)
        })?;
        // Waiting for a place in the queue delays this peer only, because each peer has its own window of unanswered
        // messages.
        let from = self.from.clone();
        self.events.send(Event::Peer { from, message }).await;
        Ok(())
    }
}

fn read_id(text: capnp::text::Reader<'_>) -> Result<Name, capnp::Error> {
    let id = text.to_str()?;
    match id.len() {
        1..=MAX_ID_BYTES => Ok(Name::new(id)),
        _ => Err(rpc_error("the instance id is empty or too long")),
    }
}

fn read_nonce(data: &[u8]) -> Result<Vec<u8>, capnp::Error> {
    match data.len() {
        NONCE_BYTES => Ok(data.to_vec()),
        _ => Err(rpc_error("the nonce has a wrong length")),
    }
}

fn rpc_error(reason: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(reason.to_string())
}
