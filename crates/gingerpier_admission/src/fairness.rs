//! Fairness between requests with different slack under overload.
//!
//! Slack is the time that a request may queue and still meet its target. Requests with small
//! prompts or long targets have more slack and would fill every engine up to their own bound, so
//! that requests with little slack are always refused. As the refusal rate rises, all requests
//! are therefore moved toward one common slack.
//!
//! ```
//! use {gingerpier_base::Instant, gingerpier_admission::fairness::SlackStats};
//!
//! let mut stats = SlackStats::default();
//! for millis in [300.0, 310.0, 290.0, 300.0, 100.0] {
//!     stats.record(millis, Instant::from_millis(1_000));
//! }
//! let common = stats.common_slack_millis().expect("requests came");
//! assert!((100.0..290.0).contains(&common), "most could wait longer");
//! ```

use gingerpier_base::Instant;

/// Time constant of the exponential averages. Covers many requests at a gateway with few per
/// second, and is short compared with changes of the load.
const AVERAGING_MILLIS: f64 = 4_000.0;

/// Weighted number of requests below which no common slack is estimated.
const MIN_COUNT: f64 = 5.0;

/// Distance of the common slack below the mean, in standard deviations. All but a few percent of
/// the requests have that much slack.
const DEVIATIONS_BELOW_MEAN: f64 = 2.0;

/// Lower bound of the common slack, as a fraction of the mean: a few huge requests must not lower
/// it for all.
const MIN_SHARE_OF_MEAN: f64 = 0.5;

/// Adjustment of the admission bound toward a common slack.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Adjustment {
    /// Weight of the common slack: 0 uses only the request's own slack, 1 only the common one.
    pub weight: f64,
    /// Common slack.
    pub common_slack_millis: f64,
}

impl Adjustment {
    /// Returns the change of the bound for a request with `slack_millis` of slack; negative if it has
    /// more than the common slack.
    pub fn bound_change_millis(&self, slack_millis: f64) -> f64 {
        self.weight * (self.common_slack_millis - slack_millis)
    }
}

/// Distribution of the slack of recent requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlackStats {
    updated_at: Instant,
    count: f64,
    mean: f64,
    mean_of_squares: f64,
}

impl SlackStats {
    /// Records a request with `slack_millis` of slack.
    pub fn record(&mut self, slack_millis: f64, now: Instant) {
        let decay = (-(now.millis_since(self.updated_at) as f64) / AVERAGING_MILLIS).exp();
        self.updated_at = now;
        self.count = self.count * decay + 1.0;
        self.mean += (slack_millis - self.mean) / self.count;
        self.mean_of_squares += (slack_millis * slack_millis - self.mean_of_squares) / self.count;
    }

    /// Returns the slack that nearly all recent requests have; `None` after too few requests.
    pub fn common_slack_millis(&self) -> Option<f64> {
        let variance = (self.mean_of_squares - self.mean * self.mean).max(0.0);
        let lower_bound = self.mean - DEVIATIONS_BELOW_MEAN * variance.sqrt();
        (self.count >= MIN_COUNT).then_some(lower_bound.max(MIN_SHARE_OF_MEAN * self.mean))
    }
}
