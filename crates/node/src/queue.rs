//! The queue through which the tasks and threads of an instance send events to the reducer.

use reducer::Event;
use tokio::sync::mpsc;

/// Largest number of queued events. Senders wait while the queue is full, which slows down callers and peers.
const QUEUE_CAPACITY: usize = 16_384;

/// Sending side of the queue.
#[derive(Clone, Debug)]
pub struct EventQueue {
    sender: mpsc::Sender<Event>,
}

impl EventQueue {
    /// Creates the queue.
    pub fn new() -> (Self, mpsc::Receiver<Event>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { sender }, receiver)
    }

    /// Appends an event. Does nothing once the reducer has stopped.
    pub async fn send(&self, event: Event) {
        let _ = self.sender.send(event).await;
    }

    /// Waits for a free place in the queue and reserves it.
    pub async fn reserve(&self) -> QueuePermit<'_> {
        QueuePermit(self.sender.reserve().await.ok())
    }

    /// Appends an event from a thread that does not run async tasks. Does nothing once the reducer has stopped.
    pub fn send_blocking(&self, event: Event) {
        let _ = self.sender.blocking_send(event);
    }
}

/// A reserved place in the queue. Holds `None` if the reducer has stopped.
#[derive(Debug)]
pub struct QueuePermit<'a>(Option<mpsc::Permit<'a, Event>>);

impl QueuePermit<'_> {
    /// Appends an event without waiting. Does nothing once the reducer has stopped.
    pub fn send(self, event: Event) {
        if let Some(permit) = self.0 {
            permit.send(event);
        }
    }
}
