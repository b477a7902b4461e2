//! How many requests arrive, lately.

use gingerpier_base::Instant;

/// Milliseconds over which arrivals are averaged: long against the time between two of them at one
/// gateway, short against a burst.
const SPAN_MILLIS: f64 = 2_000.0;

/// Least milliseconds since the first arrival over which a rate is told.
const LEAST_SPAN_MILLIS: f64 = 100.0;

/// Rate of arrivals, with those of the last two seconds counting most.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    /// Rate as if there had been none before the first.
    per_milli: f64,
    first: Option<Instant>,
    last: Instant,
}

impl Arrivals {
    /// Notes an arrival.
    pub fn note(&mut self, now: Instant) {
        self.per_milli = self.decayed(now) + 1.0 / SPAN_MILLIS;
        self.first = self.first.or(Some(now));
        self.last = now;
    }

    /// Arrivals in a millisecond. Soon after the first one, only the time since then counts.
    pub fn per_milli(&self, now: Instant) -> f64 {
        let Some(first) = self.first else { return 0.0 };
        let since = (now.millis_since(first) as f64).max(LEAST_SPAN_MILLIS);
        self.decayed(now) / (1.0 - (-since / SPAN_MILLIS).exp())
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.millis_since(self.last) as f64;
        self.per_milli * (-age / SPAN_MILLIS).exp()
    }
}
