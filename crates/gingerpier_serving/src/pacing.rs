//! Rate limit for bulk transfers on a shared link.

use gingerpier_base::Instant;

/// Fraction of the link for bulk transfers; the rest is left for requests and responses.
const BULK_SHARE: f64 = 0.92;

/// Schedule of bulk transfers on one link.
#[derive(Debug, Clone, Copy)]
pub struct Pacer {
    bytes_per_milli: f64,
    free_at_micros: u64,
}

impl Pacer {
    /// Creates the schedule of a link with this bandwidth.
    pub fn new(link_bits_per_second: u64) -> Self {
        Self {
            bytes_per_milli: link_bits_per_second.max(8_000) as f64 * BULK_SHARE / 8_000.0,
            free_at_micros: 0,
        }
    }

    /// Reserves link time for `bytes` and returns when their transfer may begin.
    pub fn reserve(&mut self, bytes: usize, now: Instant) -> Instant {
        let start_micros = self.free_at_micros.max(now.as_millis() * 1_000);
        let duration_micros = bytes as f64 / self.bytes_per_milli * 1_000.0;
        self.free_at_micros = start_micros + duration_micros as u64;
        Instant::from_millis(start_micros / 1_000)
    }
}
