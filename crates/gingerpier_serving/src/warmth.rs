//! How fast gateways send to engines that are cold.
//!
//! An engine that has just started, or lost what it had warmed up, bears only some requests a second and ends under many
//! more. All gateways together must keep to that, without a message a request. So a few gateways own each cold engine, in
//! a rendezvous order over those that live, and each owner leaves an interval between its requests. Others pass the engine
//! over. A gateway that does not know the others yet owns none.
//!
//! An engine that could not be reached, and one of a zone that was emptied, may be cold without having told so. Until its
//! next entry it is sent at most the share of one gateway among all.
//!
//! ```
//! use gingerpier_serving::warmth::Terms;
//!
//! let terms = Terms { per_second: 26.0, overshoot: 1.5, allowance: 5.0 };
//! let owners = terms.owner_count(40);
//! assert_eq!(owners, 9);
//! // Whatever the phase of their intervals is, the owners keep below the bound in each second.
//! let at_most = owners as f64 * (1_000.0 / terms.owner_interval_millis(40) + 1.0);
//! assert!(at_most <= terms.max_in_a_second());
//! ```

use gingerpier_base::Instant;

/// Part of the bound that owners use up: the rest is for gateways that disagree on who owns an engine for a while.
const SAFE_PART: f64 = 0.8;

/// Milliseconds from a failure to reach an engine within which an entry may have been written before it.
const ENTRY_TRANSIT_MILLIS: u64 = 1_500;

/// Milliseconds after which an engine counts as warm although no entry has told so: the store may be away.
const DOUBT_MILLIS: u64 = 6_000;

/// What a cold engine bears, as operators give it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Requests a second that it bears; 0 where engines of the service are never cold.
    pub per_second: f64,
    /// Times as many that it may get in a second.
    pub overshoot: f64,
    /// Requests that it may get in a second beyond that.
    pub allowance: f64,
}

impl Terms {
    /// Terms of engines that are never cold.
    pub const NEVER: Self = Self {
        per_second: 0.0,
        overshoot: 1.0,
        allowance: 0.0,
    };

    /// True where engines may be cold.
    pub fn may_be_cold(&self) -> bool {
        self.per_second > 0.0
    }

    /// Requests of all gateways that it may get in one second.
    pub fn max_in_a_second(&self) -> f64 {
        self.per_second * self.overshoot + self.allowance
    }

    /// Gateways of `gateways` that own one cold engine.
    pub fn owner_count(&self, gateways: u32) -> usize {
        let spare = self.max_in_a_second() * SAFE_PART - self.per_second;
        (spare as usize).min(gateways as usize).max(1)
    }

    /// Milliseconds between two requests of one owner, where there are so many `gateways`.
    pub fn owner_interval_millis(&self, gateways: u32) -> f64 {
        let owners = self.owner_count(gateways) as f64;
        let most = self.max_in_a_second() * SAFE_PART - owners;
        // A bound of few requests is kept by one owner that sends less than one a second.
        let rate = most
            .min(self.per_second)
            .max(self.max_in_a_second() / 2.0 * SAFE_PART);
        owners * 1_000.0 / rate.max(f64::MIN_POSITIVE)
    }

    /// Milliseconds between two requests of one of `gateways` to an engine that may be cold.
    pub fn share_interval_millis(&self, gateways: u32) -> f64 {
        let most = (self.max_in_a_second() * SAFE_PART).max(f64::MIN_POSITIVE);
        f64::from(gateways.max(1)) * 1_000.0 / most
    }
}

/// How warm an engine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Degree {
    /// Warm.
    #[default]
    Warm,
    /// Not known until its next entry, or until then.
    Doubtful {
        /// When it came into doubt.
        since: Instant,
    },
    /// Cold until then.
    Cold(Instant),
}

/// What is known of how warm an engine is.
#[derive(Debug, Clone, Copy, Default)]
pub struct Warmth {
    degree: Degree,
    /// True where this gateway is among those that send to it while it is cold.
    is_owned: bool,
    sent: Option<Instant>,
}

impl Warmth {
    /// Warmth of an engine whose first entry tells that it is cold for `cold_millis` more.
    pub fn listed(cold_millis: u64, now: Instant) -> Self {
        let mut warmth = Self::default();
        warmth.note_told(cold_millis, now);
        warmth
    }

    /// Notes an entry that tells that the engine is cold for `cold_millis` more.
    pub fn note_told(&mut self, cold_millis: u64, now: Instant) {
        if cold_millis > 0 {
            self.degree = Degree::Cold(now.after_millis(cold_millis));
            return;
        }
        if let Degree::Doubtful { since } = self.degree
            && now.millis_since(since) < ENTRY_TRANSIT_MILLIS
        {
            return;
        }
        self.degree = Degree::Warm;
    }

    /// Notes that the engine may have turned cold.
    pub fn note_doubt(&mut self, now: Instant) {
        if !self.is_cold(now) {
            self.degree = Degree::Doubtful { since: now };
        }
    }

    /// Notes a request that is sent there.
    pub const fn note_sent(&mut self, now: Instant) {
        self.sent = Some(now);
    }

    /// Notes whether this gateway is among the owners.
    pub const fn note_owned(&mut self, is_owned: bool) {
        self.is_owned = is_owned;
    }

    /// True while it is known to be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        matches!(self.degree, Degree::Cold(until) if !until.has_passed(now))
    }

    /// True where this gateway, one of `gateways`, may send a request there now.
    pub fn admits(&self, terms: &Terms, gateways: u32, now: Instant) -> bool {
        if !terms.may_be_cold() {
            return true;
        }
        let interval = match self.degree {
            Degree::Warm => return true,
            Degree::Cold(until) if until.has_passed(now) => return true,
            Degree::Cold(_) if !self.is_owned => return false,
            Degree::Cold(_) => terms.owner_interval_millis(gateways),
            Degree::Doubtful { since } if since.after_millis(DOUBT_MILLIS).has_passed(now) => {
                return true;
            }
            Degree::Doubtful { .. } => terms.share_interval_millis(gateways),
        };
        self.sent
            .is_none_or(|sent| now.millis_since(sent) as f64 >= interval)
    }
}
