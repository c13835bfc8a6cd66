//! The order in which a replica handles what it has received.

use std::collections::VecDeque;

use conf::{Map, Name};
use fleet::{PeerMessage, Watch};
use reducer::Event;

/// Events that wait for the reducer. Messages of the replicated log and reports of the disk come first, so that
/// elections and acknowledgements do not wait for subscribers. Of each subscriber only the newest message is kept.
#[derive(Debug, Default)]
pub struct Inbox {
    urgent: VecDeque<Event>,
    /// Subscribers with a waiting message, in the order of their first one.
    subscribers: VecDeque<Name>,
    watches: Map<Name, Watch>,
}

impl Inbox {
    /// Returns whether no event waits.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.subscribers.is_empty()
    }

    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        let Event::Peer {
            from,
            message: PeerMessage::Watch(mut watch),
        } = event
        else {
            self.urgent.push_back(event);
            return;
        };
        match self.watches.get_mut(&from) {
            Some(waiting) => {
                // Each message carries only the prefix uses and speeds since the previous one.
                waiting.prefix_uses.append(&mut watch.prefix_uses);
                watch.prefix_uses = std::mem::take(&mut waiting.prefix_uses);
                waiting.speeds.append(&mut watch.speeds);
                watch.speeds = std::mem::take(&mut waiting.speeds);
                *waiting = watch;
            }
            None => {
                self.subscribers.push_back(from.clone());
                self.watches.insert(from, watch);
            }
        }
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<Event> {
        if let Some(event) = self.urgent.pop_front() {
            return Some(event);
        }
        let from = self.subscribers.pop_front()?;
        let watch = self.watches.remove(&from)?;
        Some(Event::Peer {
            from,
            message: PeerMessage::Watch(watch),
        })
    }
}
