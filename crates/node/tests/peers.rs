//! Messages between instances.

mod support;

use std::cell::Cell;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use conf::Name;
use fleet::{InstanceInfo, PeerMessage};
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

fn message(token: u64) -> PeerMessage {
    let info = InstanceInfo::default();
    PeerMessage::AskConfig { token, info }
}

fn send(from: &TestInstance, to: &str, address: &Name, token: u64) {
    from.effect(Effect::Send {
        to: Name::new(to),
        address: address.clone(),
        message: message(token),
    });
}

async fn received(instance: &mut TestInstance) -> (Name, PeerMessage) {
    instance
        .event(|event| match event {
            Event::Peer { from, message } => Some((from, message)),
            _ => None,
        })
        .await
}

/// Guards against messages that change, swap places or carry another sender.
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
        let (from, arrived) = received(&mut south).await;
        assert_eq!((from.as_str(), arrived), ("north", message(token)));
    }
}

fn rpc(stream: TcpStream, side: Side, bootstrap: Option<peer::Client>) -> RpcSystem<Side> {
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    RpcSystem::new(Box::new(network), bootstrap.map(|peer| peer.client))
}

/// Guards against messages from a process that does not hold the secret.
#[tokio::test]
async fn a_connecting_end_without_the_secret_is_refused() {
    let south = start("south", "secret").await;
    let address = south.settings.instance.peer_address.to_string();
    let attempt = async move {
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
    tokio::task::LocalSet::new().run_until(attempt).await;
}

/// An instance that cannot prove the secret, and counts who proves it to it.
struct Impostor {
    hellos: Rc<Cell<u32>>,
}

impl peer::Server for Impostor {
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
        self.hellos.set(self.hellos.get() + 1);
        Err(capnp::Error::failed("no session".to_owned()))
    }
}

/// Guards against messages to another instance than the one that is meant, after an address has
/// changed hands.
#[tokio::test(flavor = "multi_thread")]
async fn another_instance_at_the_address_gets_nothing() {
    let (north, mut south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(proxy.local_addr().unwrap().to_string());
    send(&north, "west", &address, 1);
    let (mut near, _) = proxy.accept().await.unwrap();
    let south_address = south.settings.instance.peer_address.clone();
    let mut far = TcpStream::connect(south_address.as_str()).await.unwrap();
    let closed = tokio::time::timeout(
        support::LONG,
        tokio::io::copy_bidirectional(&mut near, &mut far),
    );
    let _ = closed.await.expect("the connection is kept");
    send(&north, "south", &south_address, 2);
    assert_eq!(received(&mut south).await.1, message(2));
}

/// Guards against messages to a process that does not hold the secret.
#[tokio::test]
async fn an_accepting_end_without_the_secret_gets_nothing() {
    let north = start("north", "secret").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(listener.local_addr().unwrap().to_string());
    send(&north, "south", &address, 1);
    let impostors = async move {
        for _ in 0..2 {
            let hellos = Rc::<Cell<u32>>::default();
            let impostor = Impostor {
                hellos: hellos.clone(),
            };
            let accepted = tokio::time::timeout(support::LONG, listener.accept());
            let (stream, _) = accepted.await.expect("no second attempt").unwrap();
            let system = rpc(stream, Side::Server, Some(capnp_rpc::new_client(impostor)));
            // The connection is closed by the other end, which then tries again.
            let closed = tokio::time::timeout(support::LONG, system);
            let _ = closed.await.expect("the connection is kept");
            assert_eq!(hellos.get(), 0);
        }
    };
    tokio::task::LocalSet::new().run_until(impostors).await;
}

/// Guards against one peer that takes no bytes holding up messages to others.
#[tokio::test(flavor = "multi_thread")]
async fn a_stuck_peer_does_not_hold_up_others() {
    let (north, mut south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let stuck = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stuck_address = Name::from(stuck.local_addr().unwrap().to_string());
    for token in 0..2_000 {
        send(&north, "stuck", &stuck_address, token);
    }
    let address = south.settings.instance.peer_address.clone();
    send(&north, "south", &address, 7);
    let (_, arrived) = received(&mut south).await;
    assert_eq!(arrived, message(7));
    drop(stuck);
}

/// Guards against a peer that is never reached again after it was away.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_comes_back_is_reached_again() {
    let (north, south) = (
        start("north", "secret").await,
        start("south", "secret").await,
    );
    let address = south.settings.instance.peer_address.clone();
    let mut south = south;
    send(&north, "south", &address, 1);
    received(&mut south).await;
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
            if let Ok(arrived) = tokio::time::timeout(wait, received(&mut south)).await {
                return arrived;
            }
        }
    };
    let (_, arrived) = tokio::time::timeout(support::LONG, reached).await.unwrap();
    assert_eq!(arrived, message(2));
}

/// Guards against a connection that proves nothing and is kept, or that takes messages before its proof.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_proves_nothing_is_closed() {
    let south = start("south", "secret").await;
    let address = south.settings.instance.peer_address.as_str();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(support::LONG, stream.read_to_end(&mut answer));
    read.await.expect("the connection is kept").unwrap();
    assert!(answer.is_empty());
}

/// Guards against memory that a connection can claim before it has proved anything.
#[tokio::test]
async fn a_connection_that_sends_much_before_its_proof_is_closed() {
    let south = start("south", "secret").await;
    let address = south.settings.instance.peer_address.to_string();
    let attempt = async move {
        let stream = TcpStream::connect(&address).await.unwrap();
        let mut system = rpc(stream, Side::Client, None);
        let peer: peer::Client = system.bootstrap(Side::Server);
        tokio::task::spawn_local(system);
        let mut request = peer.challenge_request();
        request.get().set_id("north");
        request.get().set_nonce(&[7; 64 * 1024]);
        let error = request.send().promise.await.err().unwrap();
        // A message that was read would be refused for the length of its nonce.
        assert!(error.extra.contains("permission denied"), "{error}");
    };
    tokio::task::LocalSet::new().run_until(attempt).await;
}
