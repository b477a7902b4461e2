//! How many requests arrive, lately.

use gingerpier_base::Instant;

/// Milliseconds over which arrivals are averaged: long against the time between two of them at one
/// gateway, short against a burst.
const SPAN_MILLIS: f64 = 2_000.0;

/// Rate of arrivals, with those of the last two seconds counting most.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    per_milli: f64,
    last: Instant,
}

impl Arrivals {
    /// Notes an arrival.
    pub fn note(&mut self, now: Instant) {
        self.per_milli = self.per_milli(now) + 1.0 / SPAN_MILLIS;
        self.last = now;
    }

    /// Arrivals in a millisecond.
    pub fn per_milli(&self, now: Instant) -> f64 {
        let age = now.millis_since(self.last) as f64;
        self.per_milli * (-age / SPAN_MILLIS).exp()
    }
}
