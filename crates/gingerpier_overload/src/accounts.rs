//! Client accounts of a deployment: their shares of the requests, and a burst of one of them.

use {
    crate::{
        callers::{Caller, Outcome},
        deployment::Deployment,
        draw::Draw,
    },
    std::ops::Range,
};

/// Number of client accounts of the two deployments of docs/design/hard-load.md.
const COMPETING: usize = 24;

/// Number of large ones among them.
const LARGE: usize = 3;

/// Share of the requests that each large account sends.
const LARGE_SHARE: f64 = 0.1;

/// Temporary increase of the requests of one account.
#[derive(Debug, Clone)]
pub struct Burst {
    /// Index of the account.
    pub account: usize,
    /// Factor of its request rate.
    pub factor: f64,
    /// Period, in milliseconds.
    pub times: Range<f64>,
}

/// Client accounts; without any, all requests belong to account 0.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    /// Share of each account in the requests outside a burst; the sum is 1.
    pub shares: Vec<f64>,
    /// Burst of one account.
    pub burst: Option<Burst>,
}

impl Accounts {
    /// 24 accounts, of which the first three send a tenth of the requests each and the others equal parts.
    pub fn competing() -> Self {
        let small = (1.0 - LARGE as f64 * LARGE_SHARE) / (COMPETING - LARGE) as f64;
        let share = |index| match index < LARGE {
            true => LARGE_SHARE,
            false => small,
        };
        Self {
            shares: (0..COMPETING).map(share).collect(),
            burst: None,
        }
    }

    /// Share of an account's requests at a time, relative to all requests outside a burst.
    fn weight(&self, account: usize, now: f64) -> f64 {
        let burst = self.burst.as_ref().filter(|burst| burst.account == account);
        let factor = burst
            .filter(|burst| burst.times.contains(&now))
            .map_or(1.0, |burst| burst.factor);
        self.shares[account] * factor
    }

    /// Factor by which a burst increases the rate of all requests.
    pub fn rate_factor(&self, now: f64) -> f64 {
        if self.shares.is_empty() {
            return 1.0;
        }
        (0..self.shares.len())
            .map(|account| self.weight(account, now))
            .sum()
    }

    /// Draws the account of a request; draws nothing without accounts.
    pub fn draw(&self, draw: &mut Draw, now: f64) -> usize {
        if self.shares.is_empty() {
            return 0;
        }
        let mut left = draw.share() * self.rate_factor(now);
        let found = (0..self.shares.len()).find(|account| {
            left -= self.weight(*account, now);
            left < 0.0
        });
        found.unwrap_or_default()
    }
}

/// Number of requests of some accounts, and how many of them were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Service {
    /// Requests.
    pub requests: usize,
    /// Requests with a complete response.
    pub served: usize,
    /// Served requests whose first event came within the target, counted from the first attempt.
    pub on_time: usize,
}

impl Service {
    /// Fraction of the requests that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// Fraction of the requests that were served on time.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }

    /// Adds the requests of another run.
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.served += other.served;
        self.on_time += other.on_time;
    }
}

/// Counts the requests whose first attempt was within `times`, of the accounts that satisfy `is_included`.
pub fn service(
    callers: &[Caller],
    deployment: &Deployment,
    times: &Range<f64>,
    is_included: impl Fn(usize) -> bool,
) -> Service {
    let mut service = Service::default();
    let included = callers
        .iter()
        .filter(|caller| times.contains(&caller.came_at) && is_included(caller.account));
    for caller in included {
        let is_served = caller.outcome == Outcome::Served;
        let millis = caller
            .first_at
            .map_or(f64::MAX, |first| first - caller.came_at);
        service.requests += 1;
        service.served += usize::from(is_served);
        service.on_time += usize::from(is_served && millis <= deployment.target_of(caller.kind));
    }
    service
}
