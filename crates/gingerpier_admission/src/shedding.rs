//! Priority of first attempts over returning callers under overload.
//!
//! If engines can't run all requests, each admitted returning caller displaces a first attempt,
//! which then returns too late for its target. Returning callers therefore get a smaller fraction
//! of the target as the refusal rate of first attempts rises. With free capacity, such as after
//! an outage, all are admitted alike.

use {
    crate::{
        fairness::{Adjustment, SlackStats},
        return_detection::Visit,
    },
    displaydoc::Display,
    gingerpier_base::Instant,
    std::str::FromStr,
};

/// Fraction of the target that the first event of a first attempt may be predicted to take.
pub const TARGET_SHARE: f64 = 0.85;

/// Fraction for returning callers with a fixed reduction.
const REDUCED_TARGET_SHARE: f64 = 0.7;

/// Lowest fraction for returning callers with an adaptive reduction; an engine with a free slot
/// meets it.
pub const MIN_TARGET_SHARE: f64 = 0.25;

/// Refusal rate of first attempts at which the adaptive reduction is complete.
const FULL_REDUCTION_REFUSAL_RATE: f64 = 0.03;

/// Refusal rate of first attempts at which only the common slack counts. It is higher than a few
/// engines that are full for a moment cause.
const FULL_FAIRNESS_REFUSAL_RATE: f64 = 0.1;

/// Time constant of the exponential averages; shorter than the delay before refused callers return.
/// Long compared with the time between two first attempts at one gateway.
const AVERAGING_MILLIS: f64 = 1_000.0;

/// Treatment of returning callers relative to first attempts.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReturnPolicy {
    /// alike
    Equal,
    /// smaller share
    Reduced,
    /// what is left
    #[default]
    Adaptive,
}

impl ReturnPolicy {
    /// All values.
    pub const ALL: [Self; 3] = [Self::Equal, Self::Reduced, Self::Adaptive];
}

impl FromStr for ReturnPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL
            .into_iter()
            .find(|policy| policy.to_string().replace(' ', "-") == text);
        found.ok_or_else(|| format!("no way is called {text}"))
    }
}

/// Refusal rate and slack of recent first attempts at one gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct Controller {
    policy: ReturnPolicy,
    updated_at: Instant,
    first_attempts: f64,
    refused: f64,
    waits: SlackStats,
}

impl Controller {
    /// Creates an empty state with this treatment of returning callers.
    pub fn new(policy: ReturnPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Records whether a request was refused and its slack in milliseconds, if known. Requests of
    /// returning callers are ignored.
    pub fn record(
        &mut self,
        visit: Visit,
        is_refused: bool,
        slack_millis: Option<f64>,
        now: Instant,
    ) {
        if visit == Visit::Returned {
            return;
        }
        if let Some(slack_millis) = slack_millis {
            self.waits.record(slack_millis, now);
        }
        let decay = self.decay(now);
        self.first_attempts = self.first_attempts * decay + 1.0;
        self.refused = self.refused * decay + f64::from(u8::from(is_refused));
        self.updated_at = now;
    }

    fn decay(&self, now: Instant) -> f64 {
        (-(now.millis_since(self.updated_at) as f64) / AVERAGING_MILLIS).exp()
    }

    /// Returns the fraction of the target that the first event of such a request may be predicted
    /// to take.
    pub fn target_share(&self, visit: Visit, now: Instant) -> f64 {
        match (visit, self.policy) {
            (Visit::First | Visit::Unknown, _) | (_, ReturnPolicy::Equal) => TARGET_SHARE,
            (Visit::Returned, ReturnPolicy::Reduced) => REDUCED_TARGET_SHARE,
            (Visit::Returned, ReturnPolicy::Adaptive) => {
                let reduction = self.refusal_rate(now) / FULL_REDUCTION_REFUSAL_RATE;
                TARGET_SHARE - (TARGET_SHARE - MIN_TARGET_SHARE) * reduction.min(1.0)
            }
        }
    }

    /// Returns the current adjustment toward a common slack.
    pub fn fairness(&self, now: Instant) -> Adjustment {
        let Some(common_slack_millis) = self.waits.common_slack_millis() else {
            return Adjustment::default();
        };
        Adjustment {
            weight: (self.refusal_rate(now) / FULL_FAIRNESS_REFUSAL_RATE).min(1.0),
            common_slack_millis,
        }
    }

    /// Returns the recent refusal rate of first attempts.
    fn refusal_rate(&self, now: Instant) -> f64 {
        // Counts one more admitted request, so that a single refusal doesn't indicate overload.
        let admitted = 1.0;
        self.refused * self.decay(now) / (self.first_attempts * self.decay(now) + admitted)
    }
}
