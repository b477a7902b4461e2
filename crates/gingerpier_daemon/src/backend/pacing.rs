//! Limits the rate of a transfer, so that it leaves bandwidth to other traffic of the box.

use {
    crate::clock,
    gingerpier_base::Instant,
    std::{cell::Cell, time::Duration},
};

/// Bytes sent or received at once within a transfer.
pub const PART_BYTES: usize = 64 << 10;
/// Time for which an idle transfer may exceed its rate.
const BURST_MICROS: u64 = 20_000;

/// Rate limiter of a transfer.
pub struct Pacer {
    bytes_per_second: u64,
    /// When all accepted bytes are transferred at the rate; microseconds of the process's clock.
    busy_until_micros: Cell<u64>,
}

impl Pacer {
    /// Creates a limiter for a rate in bytes per second.
    pub const fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            busy_until_micros: Cell::new(0),
        }
    }

    /// Waits until `length` more bytes may be transferred.
    pub async fn acquire(&self, length: usize) {
        let now_micros = micros(clock::now());
        let start_micros = self
            .busy_until_micros
            .get()
            .max(now_micros.saturating_sub(BURST_MICROS));
        let duration_micros = length as u64 * 1_000_000 / self.bytes_per_second.max(1);
        self.busy_until_micros.set(start_micros + duration_micros);
        let wait_micros = (start_micros + duration_micros).saturating_sub(now_micros);
        if wait_micros > 0 {
            actix_rt::time::sleep(Duration::from_micros(wait_micros)).await;
        }
    }
}

const fn micros(instant: Instant) -> u64 {
    instant.as_millis() * 1_000
}
