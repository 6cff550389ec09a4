//! Splits an event stream into whole events. Bytes pass unchanged; an event that was begun and not ended is never
//! passed on.

use bytes::{Bytes, BytesMut};

/// One whole event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes as received.
    pub bytes: Bytes,
    /// Its id, if it names one.
    pub id: Option<u64>,
}

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.end_of_event()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether nothing of a further event has arrived.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Position after the blank line that ends the first event.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut position = self.searched;
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
        // The last bytes may begin a blank line.
        self.searched = self.buffer.len().saturating_sub(3);
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
