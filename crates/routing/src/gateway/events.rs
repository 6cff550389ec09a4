//! Splits a server-sent event stream into complete events. Bytes are passed on unchanged; an incomplete event
//! is never passed on.

use bytes::{Bytes, BytesMut};

/// A complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes as received.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<u64>,
}

/// Buffers received bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.end_of_event()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Size of what was received and not taken yet, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer is empty, so that the stream is at an event boundary.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Position after the blank line that ends the first buffered event.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut position = self.scanned;
        while position < self.buffer.len() {
            let rest = &self.buffer[position..];
            if rest.starts_with(b"\n\n") {
                return Some(position + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(position + 4);
            }
            position += 1;
        }
        // The last bytes may be the beginning of a blank line.
        self.scanned = self.buffer.len().saturating_sub(3);
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
