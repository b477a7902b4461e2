//! Which part of its target a caller may be made to wait: those that come first go first where places are short.
//!
//! Where engines can't run all that comes, the count of callers that end without an answer is what comes less what
//! can be run, whoever is taken. Each caller that came back and is taken then sends another one away, which comes back
//! too late for its target. So those that come first go first. Where places are free, as after an outage, everybody is
//! taken.
//!
//! Load patterns: a steady load above the capacity, a burst, engines or a zone lost, a restart of everything.

use {
    crate::{
        evenness::{Even, Waits},
        returns::Visit,
    },
    displaydoc::Display,
    gingerpier_base::Instant,
    std::str::FromStr,
};

/// How much of its target a first event may be predicted to take.
pub const TARGET_SHARE: f64 = 0.85;

/// The same for callers that come back, where they always have a smaller share.
const SMALLER_SHARE: f64 = 0.7;

/// The same where those that come first leave little: an engine with a free slot begins within about that.
pub const LEFT_SHARE: f64 = 0.25;

/// Share of first tries refused from which on callers that come back get only what those leave.
const SHORT_SHARE: f64 = 0.03;

/// Share of first tries refused from which on all requests are treated alike, whatever time they need for themselves: a few
/// refusals show that some engine was full for a moment, and then only those are refused that would be late.
const EVEN_SHARE: f64 = 0.1;

/// Milliseconds over which first tries are counted: long against the time between two at one gateway, and shorter than
/// those refused stay away.
const COUNTED_MILLIS: f64 = 1_000.0;

/// How callers that come back stand against those that come first.
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
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Alike, Self::SmallerShare, Self::WhatIsLeft];
}

impl FromStr for Way {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let named = Self::ALL
            .into_iter()
            .find(|way| way.to_string().replace(' ', "-") == text);
        named.ok_or_else(|| format!("no way is called {text}"))
    }
}

/// What one gateway knows of how short places are.
#[derive(Debug, Clone, Copy, Default)]
pub struct Precedence {
    way: Way,
    at: Instant,
    first_tries: f64,
    refused: f64,
    waits: Waits,
}

impl Precedence {
    /// Precedence by `way`.
    pub fn new(way: Way) -> Self {
        Self {
            way,
            ..Self::default()
        }
    }

    /// Notes whether a caller was refused, and how many milliseconds it could wait behind others, where that is known. Only
    /// those count that are not known to have come back.
    pub fn note(&mut self, visit: Visit, is_refused: bool, wait: Option<f64>, now: Instant) {
        if visit == Visit::Returned {
            return;
        }
        if let Some(wait) = wait {
            self.waits.note(wait, now);
        }
        let left = self.left(now);
        self.first_tries = self.first_tries * left + 1.0;
        self.refused = self.refused * left + f64::from(u8::from(is_refused));
        self.at = now;
    }

    fn left(&self, now: Instant) -> f64 {
        (-(now.millis_since(self.at) as f64) / COUNTED_MILLIS).exp()
    }

    /// Part of its target that a first event may be predicted to take, for a caller on such a visit.
    pub fn share(&self, visit: Visit, now: Instant) -> f64 {
        match (visit, self.way) {
            (Visit::First | Visit::Unknown, _) | (_, Way::Alike) => TARGET_SHARE,
            (Visit::Returned, Way::SmallerShare) => SMALLER_SHARE,
            (Visit::Returned, Way::WhatIsLeft) => {
                let short = self.short_share(now) / SHORT_SHARE;
                TARGET_SHARE - (TARGET_SHARE - LEFT_SHARE) * short.min(1.0)
            }
        }
    }

    /// How far all requests are treated alike.
    pub fn even(&self, now: Instant) -> Even {
        let Some(wait_millis) = self.waits.common_millis() else {
            return Even::default();
        };
        Even {
            share: (self.short_share(now) / EVEN_SHARE).min(1.0),
            wait_millis,
        }
    }

    /// Share of first tries that were refused lately.
    fn short_share(&self, now: Instant) -> f64 {
        // One more that was taken: a single refusal shows no shortage.
        let taken = 1.0;
        self.refused * self.left(now) / (self.first_tries * self.left(now) + taken)
    }
}
