//! A retry budget shared by all gateways without a word between them.
//!
//! The operators bound the retries of all gateways together by a ratio of requests and a fixed
//! extra. Each gateway keeps to the ratio of its own requests and to its part of the extra; the
//! parts are counted from the most gateways seen, so that the sum stays below the bound.

use {gingerpier_base::Instant, std::collections::VecDeque};

/// Part of the bound that is used; the rest covers what gateways count differently.
const CAUTION: f64 = 0.5;

/// Bound on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries of all gateways beyond the ratio, in one window.
    pub extra: u32,
    /// Length of a window, in milliseconds.
    pub window_millis: u64,
    /// Gateways that share the extra; at least 1.
    pub members: u32,
}

/// Retries left to one gateway.
#[derive(Debug, Clone)]
pub struct Budget {
    terms: Terms,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Budget under `terms`.
    pub const fn new(terms: Terms) -> Self {
        Self {
            terms,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Notes how many gateways there are; the most ever seen counts.
    pub fn note_members(&mut self, members: u32) {
        self.terms.members = self.terms.members.max(members);
    }

    /// Notes a request that was sent for the first time.
    pub fn note_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry; false where none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.expire(now);
        let earned = self.terms.ratio * CAUTION * self.requests.len() as f64;
        let share = f64::from(self.terms.extra) / f64::from(self.terms.members.max(1));
        let allowed = earned + share.floor();
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let window = self.terms.window_millis;
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.millis_since(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
