//! Division of an engine's request limit among gateways.
//!
//! Each gateway that knows the limit keeps a minimum interval between its requests to the engine.
//! Up to a number of gateways that depends on the limit, all of them share it equally. Among more
//! gateways, rendezvous hashing assigns the limit to that many owners, as the first requests of all
//! others could arrive together. The others only send as often as it takes to notice that the limit
//! has ended.
//!
//! ```
//! use gingerpier_serving::request_limit::Schedule;
//!
//! let schedule = Schedule::new(1.0, 300);
//! assert_eq!((schedule.owners, schedule.owner_interval_millis), (6, 6_000));
//! ```

use gingerpier_base::Instant;

/// Span in which the number of requests is bounded.
pub const WINDOW_MILLIS: u64 = 4_000;

/// Requests within one window beyond those that the limit allows.
const ALLOWANCE: f64 = 2.0;

/// Fraction of the limit that the owners' intervals have to permit.
const MIN_USE_SHARE: f64 = 0.8;

/// Lowest rate that a limit is taken for, so that its end is noticed.
const MIN_PER_SECOND: f64 = 0.1;

/// Fraction of the limit that gateways without ownership send together.
const PROBE_SHARE: f64 = 0.1;

/// Division of a limit among gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Number of gateways that share the limit; at least 1.
    pub owners: u32,
    /// Minimum interval between two requests of one owner.
    pub owner_interval_millis: u64,
    /// Minimum interval between two requests of any other gateway.
    pub probe_interval_millis: u64,
}

impl Schedule {
    /// Divides `per_second` requests per second among `gateways`.
    pub fn new(per_second: f64, gateways: u32) -> Self {
        let per_second = per_second.max(MIN_PER_SECOND);
        let max_requests = max_per_window(per_second);
        let most_owners = gateways.min(max_requests as u32).max(1);
        let equal_share_millis = |owners: u32| f64::from(owners) * 1_000.0 / per_second;
        // No window contains more than `requests` of one owner, whatever its phase is.
        let shortest_millis = |requests: u32| (WINDOW_MILLIS / u64::from(requests) + 1) as f64;
        let requests = ((max_requests / f64::from(most_owners)) as u32).max(1);
        let uses_limit =
            shortest_millis(requests) * MIN_USE_SHARE <= equal_share_millis(most_owners);
        let (owners, requests) = match uses_limit {
            true => (most_owners, requests),
            // Fewer owners that send more often lose less by rounding.
            false => {
                let owners = (max_requests / f64::from(requests + 1)) as u32;
                (owners.max(1), requests + 1)
            }
        };
        let interval_millis = equal_share_millis(owners).max(shortest_millis(requests));
        let others = gateways.saturating_sub(owners).max(1);
        Self {
            owners,
            owner_interval_millis: interval_millis.ceil() as u64,
            probe_interval_millis: (equal_share_millis(others) / PROBE_SHARE) as u64,
        }
    }
}

/// Largest number of requests of all owners within [`WINDOW_MILLIS`].
pub fn max_per_window(per_second: f64) -> f64 {
    per_second * (WINDOW_MILLIS as f64 / 1_000.0) + ALLOWANCE
}

/// Pace at which this gateway sends requests to an engine with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Time of the latest request, or of the first response with a limit.
    last_sent_at: Instant,
    /// Minimum interval; `None` until this gateway's share is known.
    interval_millis: Option<u64>,
    /// Additional delay of the next request, as a fraction of the interval: keeps gateways apart
    /// that learn of a limit together.
    phase: f64,
}

impl Pace {
    /// Starts the pace at `now`, with a random `phase` from 0 to 1.
    pub const fn new(now: Instant, phase: f64) -> Self {
        Self {
            last_sent_at: now,
            interval_millis: None,
            phase,
        }
    }

    /// Sets the minimum interval in milliseconds.
    pub const fn set_interval(&mut self, millis: u64) {
        self.interval_millis = Some(millis);
    }

    /// Records a request as sent.
    pub const fn record_sent(&mut self, now: Instant) {
        self.last_sent_at = now;
        self.phase = 0.0;
    }

    /// Time from which the next request may be sent; `None` until the share is known.
    pub fn next_at(&self) -> Option<Instant> {
        let interval_millis = self.interval_millis?;
        let delay_millis = interval_millis as f64 * (1.0 + self.phase);
        Some(self.last_sent_at.after_millis(delay_millis as u64))
    }

    /// True if a request may be sent now.
    pub fn allows_request(&self, now: Instant) -> bool {
        self.next_at()
            .is_some_and(|next_at| next_at.has_passed(now))
    }
}
