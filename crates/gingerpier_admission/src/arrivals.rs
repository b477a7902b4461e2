//! Estimate of the current request rate.

use gingerpier_base::Instant;

/// Time constant of the exponential average. Long compared with the time between two arrivals at
/// one gateway, short compared with a burst.
const AVERAGING_MILLIS: f64 = 2_000.0;

/// Shortest observation time that a rate is computed over.
const MIN_OBSERVED_MILLIS: f64 = 100.0;

/// Exponentially weighted arrival rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    /// Rate without correction for the time before the first arrival, in requests per millisecond.
    per_milli: f64,
    first: Option<Instant>,
    last: Instant,
}

impl Arrivals {
    /// Records an arrival.
    pub fn record(&mut self, now: Instant) {
        self.per_milli = self.decayed(now) + 1.0 / AVERAGING_MILLIS;
        self.first = self.first.or(Some(now));
        self.last = now;
    }

    /// Returns the rate in requests per millisecond, corrected for a short observation time.
    pub fn per_milli(&self, now: Instant) -> f64 {
        let Some(first) = self.first else { return 0.0 };
        let observed_millis = (now.millis_since(first) as f64).max(MIN_OBSERVED_MILLIS);
        self.decayed(now) / (1.0 - (-observed_millis / AVERAGING_MILLIS).exp())
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age_millis = now.millis_since(self.last) as f64;
        self.per_milli * (-age_millis / AVERAGING_MILLIS).exp()
    }
}
