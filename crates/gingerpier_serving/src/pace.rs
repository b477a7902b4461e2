//! A share of a link for bulk transfers.

use gingerpier_base::Instant;

/// Part of the link that bulk transfers may take; the rest is for requests and answers.
const SHARE: f64 = 0.92;

/// Turns of bulk transfers on one link.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    bytes_per_milli: f64,
    free_at_micros: u64,
}

impl Pace {
    /// Pace of a link of so many bits a second.
    pub fn new(link_bits_per_second: u64) -> Self {
        Self {
            bytes_per_milli: link_bits_per_second.max(8_000) as f64 * SHARE / 8_000.0,
            free_at_micros: 0,
        }
    }

    /// Reserves the next turn for `bytes`; gives when it begins.
    pub fn reserve(&mut self, bytes: usize, now: Instant) -> Instant {
        let start = self.free_at_micros.max(now.as_millis() * 1_000);
        let takes = bytes as f64 / self.bytes_per_milli * 1_000.0;
        self.free_at_micros = start + takes as u64;
        Instant::from_millis(start / 1_000)
    }
}
