//! Tests of messages between instances.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use conf::Name;
use fleet::{InstanceInfo, PeerMessage, WatchReply};
use reducer::{Effect, Event};
use support::{TestInstance, dispatcher};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use wire::peer_capnp::peer;

async fn start(id: &str, secret: &str) -> TestInstance {
    TestInstance::start_with(Vec::new(), dispatcher(Vec::new()), |settings| {
        settings.instance.id = Name::new(id);
        std::fs::write(settings.instance.peer_secret_file.as_str(), secret).unwrap();
    })
    .await
}

fn peer_message(token: u64) -> PeerMessage {
    let info = InstanceInfo::default();
    PeerMessage::AskConfig { token, info }
}

fn send(from: &TestInstance, to: &str, address: &Name, token: u64) {
    from.inject(Effect::Send {
        to: Name::new(to),
        address: address.clone(),
        message: peer_message(token),
    });
}

async fn next_message(instance: &mut TestInstance) -> (Name, PeerMessage) {
    instance
        .wait_event(|event| match event {
            Event::Peer { from, message } => Some((from, message)),
            _ => None,
        })
        .await
}

/// Guards against messages that are changed, reordered or attributed to another sender.
#[tokio::test(flavor = "multi_thread")]
async fn messages_arrive_in_order_with_their_sender() {
    let (north, mut south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let address = south.settings.instance.peer_address.clone();
    for token in 0..200 {
        send(&north, "south", &address, token);
    }
    for token in 0..200 {
        let (from, message) = next_message(&mut south).await;
        assert_eq!((from.as_str(), message), ("north", peer_message(token)));
    }
}

/// Guards against a list that counts as fresh because the message with it has waited for a connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_that_waited_states_the_age_of_its_content() {
    const WAIT: Duration = Duration::from_millis(600);
    let north = start("north", "secret").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(listener.local_addr().unwrap().to_string());
    drop(listener);
    let reply = WatchReply {
        listing_age_ms: 100,
        ..WatchReply::default()
    };
    north.inject(Effect::Send {
        to: Name::new("south"),
        address: address.clone(),
        message: PeerMessage::WatchReply(reply),
    });
    tokio::time::sleep(WAIT).await;
    let mut south = TestInstance::start_with(Vec::new(), dispatcher(Vec::new()), |settings| {
        settings.instance.id = Name::new("south");
        settings.instance.peer_address = address;
        std::fs::write(settings.instance.peer_secret_file.as_str(), "secret").unwrap();
    })
    .await;
    let (_, message) = next_message(&mut south).await;
    let PeerMessage::WatchReply(reply) = message else {
        panic!("{message:?}");
    };
    assert!(
        reply.listing_age_ms >= 100 + 600,
        "{}",
        reply.listing_age_ms
    );
}

fn rpc(stream: TcpStream, side: Side, bootstrap: Option<peer::Client>) -> RpcSystem<Side> {
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    RpcSystem::new(Box::new(network), bootstrap.map(|peer| peer.client))
}

/// Guards against messages from a process that does not know the secret.
#[tokio::test]
async fn a_connecting_end_without_the_secret_is_refused() {
    let south = start("south", "secret").await;
    let address = south.settings.instance.peer_address.to_string();
    let connecting = async move {
        let stream = TcpStream::connect(&address).await.unwrap();
        let mut system = rpc(stream, Side::Client, None);
        let peer: peer::Client = system.bootstrap(Side::Server);
        tokio::task::spawn_local(system);
        let hello = async |nonce: &[u8], proof: &[u8]| {
            let mut request = peer.hello_request();
            request.get().set_id("north");
            request.get().set_nonce(nonce);
            request.get().set_proof(proof);
            request.send().promise.await.map(drop)
        };
        assert!(
            hello(&[0; 32], &[0; 32]).await.is_err(),
            "before a challenge"
        );
        let mut request = peer.challenge_request();
        request.get().set_id("north");
        request.get().set_nonce(&[7; 32]);
        let response = request.send().promise.await.unwrap();
        let challenge = response.get().unwrap();
        let nonce = challenge.get_nonce().unwrap();
        let echoed = challenge.get_proof().unwrap();
        assert!(
            hello(nonce, echoed).await.is_err(),
            "with the other end's proof"
        );
    };
    tokio::task::LocalSet::new().run_until(connecting).await;
}

/// A peer that does not know the secret, and counts the `hello` calls that it receives.
struct PeerWithoutSecret {
    hello_calls: Rc<Cell<u32>>,
}

impl peer::Server for PeerWithoutSecret {
    async fn challenge(
        self: Rc<Self>,
        _params: peer::ChallengeParams,
        mut results: peer::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_id("south");
        results.get().set_nonce(&[7; 32]);
        results.get().set_proof(&[7; 32]);
        Ok(())
    }

    async fn hello(
        self: Rc<Self>,
        _params: peer::HelloParams,
        _results: peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        self.hello_calls.set(self.hello_calls.get() + 1);
        Err(capnp::Error::failed("no session".to_owned()))
    }
}

/// Guards against messages to a wrong instance, after an address was reassigned to another instance.
#[tokio::test(flavor = "multi_thread")]
async fn another_instance_at_the_address_receives_nothing() {
    let (north, mut south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(proxy.local_addr().unwrap().to_string());
    send(&north, "west", &address, 1);
    let (mut accepted, _) = proxy.accept().await.unwrap();
    let south_address = south.settings.instance.peer_address.clone();
    let mut forwarded = TcpStream::connect(south_address.as_str()).await.unwrap();
    let proxying = tokio::time::timeout(
        support::WAIT_TIMEOUT,
        tokio::io::copy_bidirectional(&mut accepted, &mut forwarded),
    );
    let _ = proxying.await.expect("the connection was not closed");
    send(&north, "south", &south_address, 2);
    assert_eq!(next_message(&mut south).await.1, peer_message(2));
}

/// Guards against messages to a process that does not know the secret.
#[tokio::test]
async fn an_accepting_end_without_the_secret_receives_nothing() {
    let north = start("north", "secret").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(listener.local_addr().unwrap().to_string());
    send(&north, "south", &address, 1);
    let accepting = async move {
        for _ in 0..2 {
            let hello_calls = Rc::<Cell<u32>>::default();
            let peer_without_secret = PeerWithoutSecret {
                hello_calls: hello_calls.clone(),
            };
            let accepted = tokio::time::timeout(support::WAIT_TIMEOUT, listener.accept());
            let (stream, _) = accepted
                .await
                .expect("the instance did not connect again")
                .unwrap();
            let system = rpc(
                stream,
                Side::Server,
                Some(capnp_rpc::new_client(peer_without_secret)),
            );
            // The instance closes the connection, and then connects again.
            let serving = tokio::time::timeout(support::WAIT_TIMEOUT, system);
            let _ = serving.await.expect("the connection was not closed");
            assert_eq!(hello_calls.get(), 0);
        }
    };
    tokio::task::LocalSet::new().run_until(accepting).await;
}

/// Guards against a peer that reads no bytes and thereby delays messages to other peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_peer_does_not_delay_other_peers() {
    let (north, mut south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let stalled = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stalled_address = Name::from(stalled.local_addr().unwrap().to_string());
    for token in 0..2_000 {
        send(&north, "stalled", &stalled_address, token);
    }
    let address = south.settings.instance.peer_address.clone();
    send(&north, "south", &address, 7);
    let (_, message) = next_message(&mut south).await;
    assert_eq!(message, peer_message(7));
    drop(stalled);
}

/// Guards against a peer that receives no messages after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_peer_is_reached_again() {
    let (north, south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let address = south.settings.instance.peer_address.clone();
    let mut south = south;
    send(&north, "south", &address, 1);
    next_message(&mut south).await;
    south.stop().await;
    let mut south = TestInstance::start_with(Vec::new(), Box::new(|_, _, _| {}), |settings| {
        settings.instance.id = "south".into();
        std::fs::write(settings.instance.peer_secret_file.as_str(), "secret").unwrap();
        settings.instance.peer_address = address.clone();
    })
    .await;
    let reached = async {
        loop {
            send(&north, "south", &address, 2);
            let wait = std::time::Duration::from_millis(50);
            if let Ok(message) = tokio::time::timeout(wait, next_message(&mut south)).await {
                return message;
            }
        }
    };
    let (_, message) = tokio::time::timeout(support::WAIT_TIMEOUT, reached)
        .await
        .unwrap();
    assert_eq!(message, peer_message(2));
}

/// Guards against a connection that stays open without authentication, or on which bytes are sent before
/// authentication.
#[tokio::test(flavor = "multi_thread")]
async fn an_unauthenticated_connection_is_closed() {
    let south = start("south", "secret").await;
    let address = south.settings.instance.peer_address.as_str();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(support::WAIT_TIMEOUT, stream.read_to_end(&mut answer));
    read.await.expect("the connection was not closed").unwrap();
    assert!(answer.is_empty());
}

/// Guards against memory that a peer can use up before it is authenticated.
#[tokio::test]
async fn an_unauthenticated_connection_is_limited_in_bytes() {
    let south = start("south", "secret").await;
    let address = south.settings.instance.peer_address.to_string();
    let connecting = async move {
        let stream = TcpStream::connect(&address).await.unwrap();
        let mut system = rpc(stream, Side::Client, None);
        let peer: peer::Client = system.bootstrap(Side::Server);
        tokio::task::spawn_local(system);
        let mut request = peer.challenge_request();
        request.get().set_id("north");
        request.get().set_nonce(&[7; 64 * 1024]);
        let error = request.send().promise.await.err().unwrap();
        // If the message were read, it would be rejected because of the length of its nonce.
        assert!(error.extra.contains("permission denied"), "{error}");
    };
    tokio::task::LocalSet::new().run_until(connecting).await;
}
