//! The events in the body of a stream.

use bytes::{Bytes, BytesMut};

use crate::memory::{BodyMemory, Reservation};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of the longest end of an event.
const EVENT_END_BYTES: usize = 4;

/// An event is larger than allowed, or larger than the memory that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes or than the memory that is left")]
pub struct EventTooLarge;

/// The position in a stream: the received bytes of an incomplete event, and the id of the last complete event.
#[derive(Debug)]
pub struct EventCursor {
    partial: BytesMut,
    /// Bytes of the incomplete event that were searched for its end.
    searched: usize,
    /// Memory for the incomplete event.
    reservation: Reservation,
    last_event_id: Option<String>,
}

impl EventCursor {
    /// Creates a cursor at the start of a stream.
    pub fn new(memory: &BodyMemory) -> Self {
        Self {
            partial: BytesMut::new(),
            searched: 0,
            reservation: memory.reservation(),
            last_event_id: None,
        }
    }

    /// Appends received bytes and returns the events that are complete now.
    ///
    /// # Errors
    /// Returns an error if the incomplete event is too large.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let bytes = self.partial.len() + data.len();
        if bytes > MAX_EVENT_BYTES || !self.reservation.grow(bytes) {
            return Err(EventTooLarge);
        }
        self.partial.extend_from_slice(data);
        // The end of an event may have begun in the bytes before.
        let from = self.searched.saturating_sub(EVENT_END_BYTES - 1);
        self.searched = self.partial.len();
        let Some(end) = last_event_end(&self.partial[from..]) else {
            return Ok(None);
        };
        let complete = self.partial.split_to(from + end).freeze();
        let complete = self.reservation.take().hold(complete);
        self.searched = self.partial.len();
        if let Some(id) = last_event_id(&complete) {
            self.last_event_id = Some(id);
        }
        Ok(Some(complete))
    }

    /// Returns whether no event is incomplete. A body that ends at any other position has broken off, also if it has no
    /// length and ends with its connection.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the incomplete event, which another upstream sends again.
    pub fn discard_incomplete(&mut self) {
        self.partial = BytesMut::new();
        self.searched = 0;
        self.reservation.take();
    }

    /// Returns the id of the last complete event.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }
}

/// Returns the index after the last complete event. A blank line ends each event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|window| window == b"\n\n");
    let crlf = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    let ends = [lf.map(|index| index + 2), crlf.map(|index| index + 4)];
    ends.into_iter().flatten().max()
}

/// Returns the last id in complete events.
fn last_event_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
}
