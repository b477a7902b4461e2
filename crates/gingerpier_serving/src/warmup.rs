//! Rate limits for requests to cold engines.
//!
//! An engine that has just started or lost its caches only sustains a few requests per second, and
//! crashes under many more. All gateways together must stay below that rate without communication
//! per request. Rendezvous hashing over the live gateways therefore assigns a few owners to each
//! cold engine, and each owner keeps a minimum interval between its requests. Other gateways skip
//! the engine. A gateway that doesn't know the others yet owns none.
//!
//! An engine that was unreachable or whose zone was evacuated may be cold without having reported
//! it. Until its next entry, each gateway limits itself to an equal share of the rate.
//!
//! ```
//! use gingerpier_serving::warmup::ColdLimits;
//!
//! let limits = ColdLimits { per_second: 26.0, overshoot: 1.5, allowance: 5.0 };
//! let owners = limits.owner_count(40);
//! assert_eq!(owners, 9);
//! // Whatever the phase of their intervals is, the owners keep below the bound in each second.
//! let at_most = owners as f64 * (1_000.0 / limits.owner_interval_millis(40) + 1.0);
//! assert!(at_most <= limits.max_per_second());
//! ```

use gingerpier_base::Instant;

/// Fraction of the limit that owners use; the rest covers gateways that disagree on the owners for
/// a while.
const OWNER_SHARE: f64 = 0.8;

/// Time after a connection failure in which an entry may still be from before the failure.
const STALE_ENTRY_MILLIS: u64 = 1_500;

/// Time after which an engine counts as warm without a new entry, as the store may be unavailable.
const MAX_DOUBTFUL_MILLIS: u64 = 6_000;

/// Configured request limits of cold engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Sustained requests per second; 0 if engines of the service are never cold.
    pub per_second: f64,
    /// Factor by which the rate may be exceeded within one second.
    pub overshoot: f64,
    /// Additional requests within one second.
    pub allowance: f64,
}

impl ColdLimits {
    /// Limits of engines that are never cold.
    pub const NEVER_COLD: Self = Self {
        per_second: 0.0,
        overshoot: 1.0,
        allowance: 0.0,
    };

    /// True if engines can be cold.
    pub fn may_be_cold(&self) -> bool {
        self.per_second > 0.0
    }

    /// Limit of the requests of all gateways within one second.
    pub fn max_per_second(&self) -> f64 {
        self.per_second * self.overshoot + self.allowance
    }

    /// Number of owners of a cold engine among `gateways`.
    pub fn owner_count(&self, gateways: u32) -> usize {
        let headroom = self.max_per_second() * OWNER_SHARE - self.per_second;
        (headroom as usize).min(gateways as usize).max(1)
    }

    /// Minimum interval between two requests of one owner among `gateways`, in milliseconds.
    pub fn owner_interval_millis(&self, gateways: u32) -> f64 {
        let owners = self.owner_count(gateways) as f64;
        let max_rate = self.max_per_second() * OWNER_SHARE - owners;
        // With a limit of few requests, a single owner sends less than one per second.
        let rate = max_rate
            .min(self.per_second)
            .max(self.max_per_second() / 2.0 * OWNER_SHARE);
        owners * 1_000.0 / rate.max(f64::MIN_POSITIVE)
    }

    /// Minimum interval between two requests of any of `gateways` to an engine that may be cold, in
    /// milliseconds.
    pub fn share_interval_millis(&self, gateways: u32) -> f64 {
        let max_rate = (self.max_per_second() * OWNER_SHARE).max(f64::MIN_POSITIVE);
        f64::from(gateways.max(1)) * 1_000.0 / max_rate
    }
}

/// Temperature of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Temperature {
    /// Accepts requests without a limit.
    #[default]
    Warm,
    /// Unknown until the next entry or a timeout.
    Uncertain {
        /// Time of the event that may have made it cold.
        since: Instant,
    },
    /// Cold until this time.
    Cold(Instant),
}

/// Warm-up state of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Warmup {
    temperature: Temperature,
    /// True if this gateway is one of the owners.
    is_owned: bool,
    last_sent_at: Option<Instant>,
}

impl Warmup {
    /// Creates the state from an engine's first entry, with its remaining warm-up time.
    pub fn from_entry(cold_millis: u64, now: Instant) -> Self {
        let mut warmup = Self::default();
        warmup.update_from_entry(cold_millis, now);
        warmup
    }

    /// Updates the state from an entry with the remaining warm-up time.
    pub fn update_from_entry(&mut self, cold_millis: u64, now: Instant) {
        if cold_millis > 0 {
            self.temperature = Temperature::Cold(now.after_millis(cold_millis));
            return;
        }
        if let Temperature::Uncertain { since } = self.temperature
            && now.millis_since(since) < STALE_ENTRY_MILLIS
        {
            return;
        }
        self.temperature = Temperature::Warm;
    }

    /// Records an event after which the engine may be cold.
    pub fn record_possible_cooling(&mut self, now: Instant) {
        if !self.is_cold(now) {
            self.temperature = Temperature::Uncertain { since: now };
        }
    }

    /// Records a request as sent.
    pub const fn record_sent(&mut self, now: Instant) {
        self.last_sent_at = Some(now);
    }

    /// Sets whether this gateway is one of the owners.
    pub const fn set_owned(&mut self, is_owned: bool) {
        self.is_owned = is_owned;
    }

    /// True while the engine has reported itself as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        matches!(self.temperature, Temperature::Cold(until) if !until.has_passed(now))
    }

    /// Returns true if this gateway, one of `gateways`, may send a request now.
    pub fn allows_request(&self, limits: &ColdLimits, gateways: u32, now: Instant) -> bool {
        if !limits.may_be_cold() {
            return true;
        }
        let interval = match self.temperature {
            Temperature::Warm => return true,
            Temperature::Cold(until) if until.has_passed(now) => return true,
            Temperature::Cold(_) if !self.is_owned => return false,
            Temperature::Cold(_) => limits.owner_interval_millis(gateways),
            Temperature::Uncertain { since }
                if since.after_millis(MAX_DOUBTFUL_MILLIS).has_passed(now) =>
            {
                return true;
            }
            Temperature::Uncertain { .. } => limits.share_interval_millis(gateways),
        };
        self.last_sent_at
            .is_none_or(|last_sent_at| now.millis_since(last_sent_at) as f64 >= interval)
    }
}
