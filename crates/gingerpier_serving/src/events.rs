//! Splitting of an event stream at event boundaries.
//!
//! An engine may stop in the middle of an event. Only whole events are forwarded, so that another
//! engine can resume after the last one.

use bytes::{Bytes, BytesMut};

/// Position in a stream, after a whole event.
#[derive(Debug, Clone, Default)]
pub struct Position {
    last_id: Option<Bytes>,
    count: u64,
}

impl Position {
    /// Id of the last event.
    pub const fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Splits a byte stream after whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    position: Position,
}

impl Splitter {
    /// Appends data and returns the bytes up to the last whole event; `None` if none is complete.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let search_start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(data);
        let end = last_event_end(&self.pending, search_start)?;
        let events = match end == self.pending.len() {
            // Leaves no capacity behind, as many streams wait between events.
            true => std::mem::take(&mut self.pending).freeze(),
            false => self.pending.split_to(end).freeze(),
        };
        self.record_ids(&events);
        Some(events)
    }

    /// Number of bytes after the last whole event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the bytes after the last whole event. They are only valid if the response has ended
    /// properly.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.pending).freeze()
    }

    /// Discards an incomplete event.
    pub fn discard(&mut self) {
        self.pending.clear();
    }

    /// Position after the last whole event.
    pub const fn position(&self) -> &Position {
        &self.position
    }

    /// Returns to an earlier position, from which another response continues.
    pub fn rewind(&mut self, position: Position) {
        self.pending.clear();
        self.position = position;
    }

    /// Id of the last whole event.
    pub const fn last_id(&self) -> Option<&Bytes> {
        self.position.last_id()
    }

    /// Number of whole events with an id.
    pub const fn count(&self) -> u64 {
        self.position.count
    }

    fn record_ids(&mut self, events: &Bytes) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.trim_ascii();
            if let Some(id) = line.strip_prefix(b"id:") {
                // A slice would keep the memory of all events of this part.
                self.position.last_id = Some(Bytes::copy_from_slice(id.trim_ascii()));
                self.position.count += 1;
            }
        }
    }
}

/// Returns the index after the last blank line that starts at or after `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for index in from..bytes.len() {
        if bytes[index..].starts_with(b"\n\n") {
            end = Some(index + 2);
        } else if bytes[index..].starts_with(b"\n\r\n") {
            end = Some(index + 3);
        }
    }
    end
}
