//! The peer listener.

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

/// Connections from peers that are open at once. The target size has 320 instances.
const MAX_CONNECTIONS: usize = 2_048;
/// Time in which a connection must have proved the secret.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that are read from a connection before it has proved the secret. Both calls take less than 1 KiB.
const UNPROVED_BYTES: usize = 16 * 1024;
/// Longest instance id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Accepts connections of peers until it is dropped. Must run in a `LocalSet`.
pub async fn serve(socket: TcpListener, id: Name, secret: Secret, events: EventQueue) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("peer: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let service = PeerService {
            id: id.clone(),
            secret: secret.clone(),
            events: events.clone(),
            challenged: RefCell::default(),
            is_proved: Rc::default(),
        };
        tokio::task::spawn_local(async move {
            serve_connection(stream, service).await;
            drop(place);
        });
    }
}

async fn serve_connection(stream: TcpStream, service: PeerService) {
    // Without it the kernel may hold back votes and appends; a failure costs latency only.
    let _ = stream.set_nodelay(true);
    let is_proved = service.is_proved.clone();
    let (reader, writer) = stream.into_split();
    let reader = ProvedReader {
        reader,
        is_proved: is_proved.clone(),
        allowed_bytes: UNPROVED_BYTES,
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
        () = tokio::time::sleep(HELLO_TIMEOUT) => {}
    }
    // The end of a connection is normal and needs no reason; an open one that has proved nothing is closed.
    if is_proved.get() {
        let _ = rpc.await;
    }
}

/// Reads no more than a few calls from a connection that has proved nothing.
struct ProvedReader {
    reader: OwnedReadHalf,
    is_proved: Rc<Cell<bool>>,
    allowed_bytes: usize,
}

impl AsyncRead for ProvedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(cx, buf))?;
        if self.is_proved.get() {
            return Poll::Ready(Ok(()));
        }
        let read = buf.filled().len() - before;
        match self.allowed_bytes.checked_sub(read) {
            Some(left) => {
                self.allowed_bytes = left;
                Poll::Ready(Ok(()))
            }
            None => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }
}

/// Bootstrap object of a connection.
struct PeerService {
    id: Name,
    secret: Secret,
    events: EventQueue,
    challenged: RefCell<Option<Challenged>>,
    is_proved: Rc<Cell<bool>>,
}

/// What the connecting end said in `challenge`, and the nonce it was given.
struct Challenged {
    connecting_id: Name,
    connecting_nonce: Vec<u8>,
    accepting_nonce: Vec<u8>,
}

impl Challenged {
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
        let challenged = Challenged {
            connecting_id: read_id(params.get_id()?)?,
            connecting_nonce: read_nonce(params.get_nonce()?)?,
            accepting_nonce: nonce().map_err(failed)?.to_vec(),
        };
        let handshake = challenged.handshake(&self.id);
        let proof = self.secret.prove(Side::Accepting, &handshake);
        let mut results = results.get();
        results.set_id(self.id.as_str());
        results.set_nonce(&challenged.accepting_nonce);
        results.set_proof(&proof);
        self.challenged.replace(Some(challenged));
        Ok(())
    }

    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        // A nonce serves for one proof.
        let challenged = self
            .challenged
            .take()
            .ok_or_else(|| failed("hello without a challenge"))?;
        // The proof covers the id and the nonces of the challenge, whatever the call repeats of them.
        let handshake = challenged.handshake(&self.id);
        let proof = params.get_proof()?;
        if !self.secret.verify(Side::Connecting, &handshake, proof) {
            let id = &challenged.connecting_id;
            spdlog::warn!("peer: a connection that calls itself {id} does not hold the secret");
            return Err(failed("the proof is wrong"));
        }
        self.is_proved.set(true);
        let session = SessionService {
            from: challenged.connecting_id,
            events: self.events.clone(),
        };
        results
            .get()
            .set_session(capnp_rpc::new_client::<session::Client, _>(session));
        Ok(())
    }
}

/// Receives the messages of one instance that has proved the secret.
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
            spdlog::warn!("peer: a message of {} is dropped: {error}", self.from);
            failed(error)
        })?;
        // Waiting here holds up this peer only, because each has a window of unanswered messages.
        let from = self.from.clone();
        self.events.send(Event::Peer { from, message }).await;
        Ok(())
    }
}

fn read_id(text: capnp::text::Reader<'_>) -> Result<Name, capnp::Error> {
    let id = text.to_str()?;
    match id.len() {
        1..=MAX_ID_BYTES => Ok(Name::new(id)),
        _ => Err(failed("the instance id is empty or too long")),
    }
}

fn read_nonce(data: &[u8]) -> Result<Vec<u8>, capnp::Error> {
    match data.len() {
        NONCE_BYTES => Ok(data.to_vec()),
        _ => Err(failed("the nonce has a wrong length")),
    }
}

fn failed(reason: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(reason.to_string())
}
