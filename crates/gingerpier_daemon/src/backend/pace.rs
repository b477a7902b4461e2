//! Keeps a flow of bytes to a rate, so that other traffic of the box keeps its room.

use {
    crate::clock,
    gingerpier_base::Instant,
    std::{cell::Cell, time::Duration},
};

/// Bytes in one part of a paced flow.
pub const PART_BYTES: usize = 64 << 10;
/// Microseconds by which a flow may run ahead after a pause.
const BURST_MICROS: u64 = 20_000;

/// A flow's rate, and when its link is free again.
pub struct Pace {
    bytes_a_second: u64,
    /// In microseconds of the process's clock.
    free_at: Cell<u64>,
}

impl Pace {
    /// Pace of `bytes_a_second`.
    pub const fn new(bytes_a_second: u64) -> Self {
        Self {
            bytes_a_second,
            free_at: Cell::new(0),
        }
    }

    /// Waits until `length` more bytes may pass.
    pub async fn pass(&self, length: usize) {
        let now = micros(clock::now());
        let start = self.free_at.get().max(now.saturating_sub(BURST_MICROS));
        let time = length as u64 * 1_000_000 / self.bytes_a_second.max(1);
        self.free_at.set(start + time);
        let wait = (start + time).saturating_sub(now);
        if wait > 0 {
            actix_rt::time::sleep(Duration::from_micros(wait)).await;
        }
    }
}

const fn micros(instant: Instant) -> u64 {
    instant.as_millis() * 1_000
}
