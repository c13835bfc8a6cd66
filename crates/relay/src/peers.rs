//! Messages to and from other instances, and the disk thread's reports.

use std::cell::RefCell;

use conf::Name;
use fleet::PeerMessage;
use node::peer::incoming;
use node::peer::outgoing::PeerConnections;
use node::peer::proof::Secret;
use node::queue::EventQueue;
use reducer::Event;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::error::Error;
use crate::settings::Settings;

/// The peer listener and the connections to other instances. They must be used in a `LocalSet`.
pub struct PeerLinks {
    outgoing: RefCell<PeerConnections>,
    /// Sending side of the queue of received events.
    pub events: EventQueue,
}

impl PeerLinks {
    /// Opens the listener. Also returns the receiving side of the queue.
    ///
    /// # Errors
    /// Fails if the listener cannot bind the address.
    pub async fn open(settings: &Settings) -> Result<(Self, mpsc::Receiver<Event>), Error> {
        let address = &settings.info.peer_address;
        let socket = TcpListener::bind(address.as_str())
            .await
            .map_err(|source| Error::Bind {
                listener: "peers",
                address: address.clone(),
                source,
            })?;
        let secret = Secret::new(&settings.peer_secret);
        let (events, queue) = EventQueue::new();
        let id = settings.info.id.clone();
        tokio::task::spawn_local(incoming::serve(
            socket,
            id.clone(),
            secret.clone(),
            events.clone(),
        ));
        let links = Self {
            outgoing: RefCell::new(PeerConnections::new(id, secret)),
            events,
        };
        Ok((links, queue))
    }

    /// Queues a message to another instance. The message may be lost.
    pub fn send(&self, to: Name, address: Name, message: PeerMessage) {
        self.outgoing.borrow_mut().send(to, address, message);
    }
}
