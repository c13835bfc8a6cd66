//! Splitting a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event. A longer one is an error of the engine.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, ended by a blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's bytes with its blank line.
    pub raw: Bytes,
    /// The joined `data` fields.
    pub data: String,
}

/// Collects bytes until whole events are there.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: BytesMut,
    /// Bytes of the buffer that were searched for a blank line without success.
    searched: usize,
}

/// The engine sent an event larger than [`MAX_EVENT_BYTES`] or one that is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedEvent;

impl SseReader {
    /// Adds bytes from the connection.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next whole event, if there is one.
    ///
    /// # Errors
    /// Fails if the event is too large or not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, MalformedEvent> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(MalformedEvent);
            }
            self.searched = self.buffer.len();
            return Ok(None);
        };
        self.searched = 0;
        let raw = self.buffer.split_to(end).freeze();
        let text = std::str::from_utf8(&raw).map_err(|_| MalformedEvent)?;
        let data = join_data(text);
        Ok(Some(SseEvent { raw, data }))
    }

    fn find_end(&self) -> Option<usize> {
        // A separator may begin up to 3 bytes before the part not yet searched.
        let from = self.searched.saturating_sub(3);
        let tail = &self.buffer[from..];
        let position = |separator: &[u8]| {
            tail.windows(separator.len())
                .position(|window| window == separator)
                .map(|start| from + start + separator.len())
        };
        match (position(b"\n\n"), position(b"\r\n\r\n")) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

fn join_data(text: &str) -> String {
    let mut data = String::new();
    for line in text.lines() {
        let Some(value) = line.strip_prefix("data:") else {
            continue;
        };
        if !data.is_empty() {
            data.push('\n');
        }
        data.push_str(value.strip_prefix(' ').unwrap_or(value));
    }
    data
}
