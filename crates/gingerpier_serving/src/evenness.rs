//! Who is taken where places are short: nobody is left out for the time that its own prompt takes.
//!
//! A request is taken where its first event is predicted in time. One with a small prompt or a wide target can wait longer
//! behind others than one with a large prompt or a narrow target. Under lasting load the former fill each engine up to what
//! they can wait, so that the latter never find one. So the shorter places are, the more everybody may wait equally
//! long, whatever else it needs: a little less than most could, so that nearly all that are taken are in time.
//!
//! ```
//! use {gingerpier_base::Instant, gingerpier_serving::evenness::Waits};
//!
//! let mut waits = Waits::default();
//! for millis in [300.0, 310.0, 290.0, 300.0, 100.0] {
//!     waits.note(millis, Instant::from_millis(1_000));
//! }
//! let common = waits.common_millis().expect("requests came");
//! assert!((100.0..290.0).contains(&common), "most could wait longer");
//! ```

use gingerpier_base::Instant;

/// Milliseconds over which requests count: many at a gateway with few requests a second, and short against the time in
/// which what is asked for changes.
const COUNTED_MILLIS: f64 = 4_000.0;

/// Requests before which nothing is told.
const LEAST_COUNT: f64 = 5.0;

/// Standard deviations under the mean at which the common wait lies: all but a few in a hundred could wait that long.
const SPREADS_BELOW: f64 = 2.0;

/// Least part of the mean that the common wait is: a few huge requests must not keep engines from being filled by the others.
const LEAST_PART: f64 = 0.5;

/// How far requests are treated alike.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Even {
    /// From 0, everybody by its own time alone, to 1, everybody by the common wait.
    pub share: f64,
    /// Milliseconds that everybody may wait behind others.
    pub wait_millis: f64,
}

impl Even {
    /// Milliseconds by which a request that could wait `millis` may wait longer; below zero where it may wait less.
    pub fn more_millis(&self, millis: f64) -> f64 {
        self.share * (self.wait_millis - millis)
    }
}

/// How long the requests that come could wait behind others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Waits {
    at: Instant,
    count: f64,
    mean: f64,
    mean_of_squares: f64,
}

impl Waits {
    /// Notes a request that could wait `millis`.
    pub fn note(&mut self, millis: f64, now: Instant) {
        let left = (-(now.millis_since(self.at) as f64) / COUNTED_MILLIS).exp();
        self.at = now;
        self.count = self.count * left + 1.0;
        self.mean += (millis - self.mean) / self.count;
        self.mean_of_squares += (millis * millis - self.mean_of_squares) / self.count;
    }

    /// Milliseconds that nearly all could wait; none where too few came.
    pub fn common_millis(&self) -> Option<f64> {
        let variance = (self.mean_of_squares - self.mean * self.mean).max(0.0);
        let low = self.mean - SPREADS_BELOW * variance.sqrt();
        (self.count >= LEAST_COUNT).then_some(low.max(LEAST_PART * self.mean))
    }
}
