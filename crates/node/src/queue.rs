//! The one queue through which every event reaches the reducer.

use reducer::Event;
use tokio::sync::mpsc;

/// Events that may wait. Senders wait when the queue is full, which slows down callers and peers.
const QUEUE_EVENTS: usize = 16_384;

/// Sending side of the queue.
#[derive(Clone, Debug)]
pub struct EventQueue {
    sender: mpsc::Sender<Event>,
}

impl EventQueue {
    /// Creates the queue.
    pub fn new() -> (Self, mpsc::Receiver<Event>) {
        let (sender, receiver) = mpsc::channel(QUEUE_EVENTS);
        (Self { sender }, receiver)
    }

    /// Appends an event. Does nothing once the reducer has stopped.
    pub async fn send(&self, event: Event) {
        let _ = self.sender.send(event).await;
    }

    /// Waits for a place in the queue.
    pub async fn reserve(&self) -> Place<'_> {
        Place(self.sender.reserve().await.ok())
    }

    /// Appends an event from a thread outside the runtime.
    pub fn send_blocking(&self, event: Event) {
        let _ = self.sender.blocking_send(event);
    }
}

/// A place in the queue. It has none once the reducer has stopped.
#[derive(Debug)]
pub struct Place<'a>(Option<mpsc::Permit<'a, Event>>);

impl Place<'_> {
    /// Appends an event without waiting.
    pub fn send(self, event: Event) {
        if let Some(permit) = self.0 {
            permit.send(event);
        }
    }
}
