//! Whole events of a stream.
//!
//! An engine may stop inside an event. Only whole events go to the caller, so that another
//! engine can go on behind the last one.

use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes behind whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<Bytes>,
    count: u64,
}

impl Splitter {
    /// Takes bytes; gives those that end behind a whole event, where there are any.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(data);
        let end = last_end(&self.pending, searched)?;
        let whole = self.pending.split_to(end).freeze();
        self.note(&whole);
        Some(whole)
    }

    /// Bytes behind the last whole event; they belong to the answer only where its end is told.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Forgets a started event.
    pub fn discard(&mut self) {
        self.pending.clear();
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Whole events so far.
    pub const fn count(&self) -> u64 {
        self.count
    }

    fn note(&mut self, whole: &Bytes) {
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.trim_ascii();
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(whole.slice_ref(id.trim_ascii()));
                self.count += 1;
            }
        }
    }
}

/// Place behind the last blank line at or after `from`.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
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
