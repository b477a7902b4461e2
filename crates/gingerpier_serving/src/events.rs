//! Splitting of an event stream at event boundaries.
//!
//! An engine may stop in the middle of an event. Only whole events are forwarded, so that another
//! engine can resume after the last one. Of an event that is too long to be held until then, the
//! beginning is forwarded as well.

use bytes::{Bytes, BytesMut};

/// Longest end of an event, in bytes: a line end and a blank line.
const MAX_EVENT_END: usize = 4;

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
    /// True if the beginning of the current event was flushed.
    is_flushed: bool,
    position: Position,
}

impl Splitter {
    /// Appends data and returns the bytes up to the last whole event; `None` if none is complete.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let search_start = self.pending.len().saturating_sub(MAX_EVENT_END - 1);
        self.pending.extend_from_slice(data);
        let end = last_event_end(&self.pending, search_start)?;
        self.is_flushed = false;
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

    /// True if an event has begun and not ended. Blank lines and comments between events are none.
    pub fn is_inside_event(&self) -> bool {
        let is_field = |line: &[u8]| !line.is_empty() && !line.starts_with(b":");
        let mut lines = self
            .pending
            .as_ref()
            .split(|byte| matches!(byte, b'\n' | b'\r'));
        self.is_flushed || lines.any(is_field)
    }

    /// Returns the bytes after the last whole event, but for line ends, as the end of the event may
    /// begin with them.
    pub fn flush(&mut self) -> Bytes {
        let is_line_end = |byte: &&u8| matches!(**byte, b'\n' | b'\r');
        let line_ends = self.pending.iter().rev().take(MAX_EVENT_END - 1);
        let kept = line_ends.take_while(is_line_end).count();
        self.is_flushed = true;
        self.pending.split_to(self.pending.len() - kept).freeze()
    }

    /// Returns the bytes after the last whole event. They are only valid if the response has ended
    /// properly.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.pending).freeze()
    }

    /// Discards an incomplete event.
    pub fn discard(&mut self) {
        self.pending.clear();
        self.is_flushed = false;
    }

    /// Position after the last whole event.
    pub const fn position(&self) -> &Position {
        &self.position
    }

    /// Returns to an earlier position, from which another response continues.
    pub fn rewind(&mut self, position: Position) {
        self.discard();
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
        if bytes[index..].starts_with(b"\n\n") || bytes[index..].starts_with(b"\r\r") {
            end = Some(index + 2);
        } else if bytes[index..].starts_with(b"\n\r\n") {
            end = Some(index + 3);
        }
    }
    end
}
