//! Retry budget shared by all gateways without communication.
//!
//! Operators limit the retries of all gateways to a ratio of the requests plus a fixed allowance.
//! Each gateway applies the ratio to its own requests and divides the allowance by the highest
//! number of gateways seen, so that the sum stays within the limit.

use {gingerpier_base::Instant, std::collections::VecDeque};

/// Fraction of the ratio that is used, as gateways count windows and requests differently.
const SAFETY_FACTOR: f64 = 0.5;

/// Retry limits of all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub extra: u32,
    /// Length of the sliding window.
    pub window_millis: u64,
    /// Gateways that share the additional retries; at least 1.
    pub gateways: u32,
}

/// Retry budget of one gateway.
#[derive(Debug, Clone)]
pub struct Budget {
    limits: Limits,
    request_times: VecDeque<Instant>,
    retry_times: VecDeque<Instant>,
}

impl Budget {
    /// Creates an unused budget.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
        }
    }

    /// Records the current number of gateways; only a new maximum has an effect.
    pub fn record_gateway_count(&mut self, gateways: u32) {
        self.limits.gateways = self.limits.gateways.max(gateways);
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.expire(now);
        self.request_times.push_back(now);
    }

    /// Consumes one retry; returns false if none is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.expire(now);
        let earned = self.limits.ratio * SAFETY_FACTOR * self.request_times.len() as f64;
        let extra_share = f64::from(self.limits.extra) / f64::from(self.limits.gateways.max(1));
        let limit = earned + extra_share.floor();
        if self.retry_times.len() as f64 + 1.0 > limit {
            return false;
        }
        self.retry_times.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limits.window_millis;
        for times in [&mut self.request_times, &mut self.retry_times] {
            while times
                .front()
                .is_some_and(|time| now.millis_since(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
