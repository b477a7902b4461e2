//! Priority of first attempts over returning callers under overload.
//!
//! If engines can't run all requests, each admitted returning caller displaces a first attempt,
//! which then returns too late for its target. Returning callers therefore get a smaller fraction
//! of the target as the refusal rate of first attempts rises. With free capacity, such as after
//! an outage, all are admitted alike.

use {
    crate::{
        evenness::{Even, Waits},
        returns::Visit,
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
pub const LEFT_SHARE: f64 = 0.25;

/// Refusal rate of first attempts at which the adaptive reduction is complete.
const FULL_REDUCTION_REFUSAL_RATE: f64 = 0.03;

/// Refusal rate of first attempts at which only the common slack counts. It is higher than a few
/// engines that are full for a moment cause.
const FULL_FAIRNESS_REFUSAL_RATE: f64 = 0.1;

/// Time constant of the exponential averages; shorter than the delay before refused callers
/// return.
const AVERAGING_MILLIS: f64 = 1_000.0;

/// Treatment of returning callers relative to first attempts.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Default)]
pub enum Way {
    /// alike
    Alike,
    /// smaller share
    SmallerShare,
    /// what is left
    #[default]
    WhatIsLeft,
}

impl Way {
    /// All values.
    pub const ALL: [Self; 3] = [Self::Alike, Self::SmallerShare, Self::WhatIsLeft];
}

impl FromStr for Way {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL
            .into_iter()
            .find(|policy| policy.to_string().replace(' ', "-") == text);
        found.ok_or_else(|| format!("unknown return policy: {text}"))
    }
}

/// Refusal rate and slack of recent first attempts at one gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct Precedence {
    policy: Way,
    updated_at: Instant,
    first_attempts: f64,
    refused: f64,
    waits: Waits,
}

impl Precedence {
    /// Creates an empty state with this treatment of returning callers.
    pub fn new(policy: Way) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Records whether a request was refused and its slack in milliseconds, if known. Requests of
    /// returning callers are ignored.
    pub fn note(
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
            self.waits.note(slack_millis, now);
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
    pub fn share(&self, visit: Visit, now: Instant) -> f64 {
        match (visit, self.policy) {
            (Visit::First | Visit::Unknown, _) | (_, Way::Alike) => TARGET_SHARE,
            (Visit::Returned, Way::SmallerShare) => REDUCED_TARGET_SHARE,
            (Visit::Returned, Way::WhatIsLeft) => {
                let reduction = self.refusal_rate(now) / FULL_REDUCTION_REFUSAL_RATE;
                TARGET_SHARE - (TARGET_SHARE - LEFT_SHARE) * reduction.min(1.0)
            }
        }
    }

    /// Returns the current adjustment toward a common slack.
    pub fn even(&self, now: Instant) -> Even {
        let Some(wait_millis) = self.waits.common_millis() else {
            return Even::default();
        };
        Even {
            share: (self.refusal_rate(now) / FULL_FAIRNESS_REFUSAL_RATE).min(1.0),
            wait_millis,
        }
    }

    /// Returns the recent refusal rate of first attempts.
    fn refusal_rate(&self, now: Instant) -> f64 {
        // Counts one more admitted request, so that a single refusal doesn't indicate overload.
        let admitted = 1.0;
        self.refused * self.decay(now) / (self.first_attempts * self.decay(now) + admitted)
    }
}
