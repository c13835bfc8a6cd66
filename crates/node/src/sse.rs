//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes. A larger event is treated as an error of the engine.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, ended by a blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's bytes, including the blank line.
    pub raw: Bytes,
    /// The event's `data` fields, joined with line feeds.
    pub data: String,
}

/// Buffers bytes until they contain a complete event.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were searched for a blank line without a match.
    searched_bytes: usize,
}

/// The engine sent an event that is larger than [`MAX_EVENT_BYTES`] or is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedEvent;

impl SseReader {
    /// Adds bytes from the connection.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next complete event, if the buffer contains one.
    ///
    /// # Errors
    /// Fails if the event is too large or is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, MalformedEvent> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(MalformedEvent);
            }
            self.searched_bytes = self.buffer.len();
            return Ok(None);
        };
        self.searched_bytes = 0;
        let raw = self.buffer.split_to(end).freeze();
        let text = std::str::from_utf8(&raw).map_err(|_| MalformedEvent)?;
        let data = join_data(text);
        Ok(Some(SseEvent { raw, data }))
    }

    fn find_end(&self) -> Option<usize> {
        // A separator may begin up to 3 bytes before the part of the buffer that was not searched yet.
        let search_start = self.searched_bytes.saturating_sub(3);
        let tail = &self.buffer[search_start..];
        let position = |separator: &[u8]| {
            tail.windows(separator.len())
                .position(|window| window == separator)
                .map(|start| search_start + start + separator.len())
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
