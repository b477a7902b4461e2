//! Limits of client accounts, and fair shares under overload.
//!
//! An account's rate is divided by the number of entry boxes alive, which each box knows from
//! its own membership, so no call is made for a request; a zone that is cut off divides by the
//! boxes it still sees, and a limit is then kept roughly. Under overload an account may hold its
//! fair share of what the engines take at once, so that a large account never starves a small.

use gingerpier_base::Instant;

/// Key of a client account in the arena of limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u32);

/// Seconds of its rate that an account may use at once.
const BURST_SECONDS: u64 = 2;
/// Units that one request takes from a bucket: tokens are counted in thousandths.
const REQUEST_UNITS: u64 = 1_000;
/// Load of the engines, in percent of their capacity, from which shares are enforced.
const CONTENDED_PERCENT: u64 = 90;
/// Load, in percent, from which an account may hold one share only.
const OVERRUN_PERCENT: u64 = 120;
/// Shares that an account may hold where shares begin to be enforced.
const MOST_SHARES: u64 = 4;
/// Milliseconds to come back after where an account holds more than its share.
const SHARE_WAIT_MILLIS: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: u32,
    units: u64,
    filled_at: Instant,
    in_flight: u32,
}

/// Engines' load and capacity, as far as this entry box knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Requests at the engines.
    pub load: u64,
    /// Requests that they take at once.
    pub capacity: u64,
    /// Entry boxes that share the capacity.
    pub sharers: u32,
}

/// Buckets and work in flight of all accounts at one entry box.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: Vec<Bucket>,
    active: u32,
}

impl Limits {
    /// Adds an account of `rate` requests a second over all entry boxes.
    pub fn add(&mut self, rate: u32, now: Instant) -> AccountKey {
        let units = u64::from(rate) * BURST_SECONDS * REQUEST_UNITS;
        self.buckets.push(Bucket {
            rate,
            units,
            filled_at: now,
            in_flight: 0,
        });
        AccountKey(self.buckets.len() as u32 - 1)
    }

    /// Changes an account's rate.
    pub fn set_rate(&mut self, account: AccountKey, rate: u32) {
        self.buckets[account.0 as usize].rate = rate;
    }

    /// Admits a request of `account`.
    ///
    /// # Errors
    ///
    /// Gives the instant from which the account may come back.
    pub fn admit(
        &mut self,
        account: AccountKey,
        demand: Demand,
        now: Instant,
    ) -> Result<(), Instant> {
        let sharers = u64::from(demand.sharers.max(1));
        let active = u64::from(self.active.max(1));
        let bucket = &mut self.buckets[account.0 as usize];
        bucket.fill(sharers, now);
        if bucket.units < REQUEST_UNITS {
            return Err(now.after_millis(bucket.millis_to_fill(sharers)));
        }
        let most = most_in_flight(demand.capacity / sharers / active, demand);
        if u64::from(bucket.in_flight) >= most {
            return Err(now.after_millis(SHARE_WAIT_MILLIS));
        }
        bucket.units -= REQUEST_UNITS;
        self.active += u32::from(bucket.in_flight == 0);
        bucket.in_flight += 1;
        Ok(())
    }

    /// Notes the end of a request that was admitted.
    pub fn finished(&mut self, account: AccountKey) {
        let bucket = &mut self.buckets[account.0 as usize];
        bucket.in_flight -= 1;
        self.active -= u32::from(bucket.in_flight == 0);
    }

    /// Requests of `account` in flight here.
    pub fn in_flight(&self, account: AccountKey) -> u32 {
        self.buckets[account.0 as usize].in_flight
    }
}

/// Requests that an account may hold, given its even share: without bound while there is room,
/// then several shares, and down to one share where the engines are overrun. An account that asks
/// for less than its share is never refused for it.
fn most_in_flight(share: u64, demand: Demand) -> u64 {
    let percent = demand.load * 100 / demand.capacity.max(1);
    if percent < CONTENDED_PERCENT {
        return u64::MAX;
    }
    let over = (percent - CONTENDED_PERCENT).min(OVERRUN_PERCENT - CONTENDED_PERCENT);
    let span = OVERRUN_PERCENT - CONTENDED_PERCENT;
    let shares_tenths = MOST_SHARES * 10 - (MOST_SHARES - 1) * 10 * over / span;
    (share.max(1) * shares_tenths / 10).max(1)
}

impl Bucket {
    fn fill(&mut self, sharers: u64, now: Instant) {
        let rate = u64::from(self.rate);
        let gained = now.millis_since(self.filled_at) * rate / sharers;
        // Time too short for a whole unit is kept for the next filling.
        if gained > 0 {
            self.filled_at = now;
        }
        let most = (rate * BURST_SECONDS * REQUEST_UNITS / sharers).max(REQUEST_UNITS);
        self.units = (self.units + gained).min(most);
    }

    fn millis_to_fill(&self, sharers: u64) -> u64 {
        let missing = REQUEST_UNITS - self.units;
        (missing * sharers).div_ceil(u64::from(self.rate.max(1)))
    }
}
