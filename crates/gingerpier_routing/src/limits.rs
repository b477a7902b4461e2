//! Rate limits of client accounts, and fair sharing under overload.
//!
//! Each entry box enforces an account's rate divided by the number of entry boxes in its own
//! membership, so no remote call is needed. During a network partition the divisor is too small,
//! and the limit is enforced only approximately. Under overload, each account's requests in flight
//! are capped at its fair share of the engines' capacity.

use gingerpier_base::Instant;

/// Index of a client account in [`Limits`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u32);

/// Capacity of an account's token bucket, in seconds of its rate.
const BURST_SECONDS: u64 = 2;
/// Cost of one request; buckets count thousandths of a token.
const REQUEST_UNITS: u64 = 1_000;
/// Load, in percent of the engines' capacity, from which fair shares are enforced.
const CONTENDED_PERCENT: u64 = 90;
/// Load, in percent of the engines' capacity, from which an account is limited to one fair share.
const OVERLOAD_PERCENT: u64 = 120;
/// Fair shares that an account may use at a load of [`CONTENDED_PERCENT`].
const MAX_SHARES: u64 = 4;
/// Retry delay in milliseconds for an account above its fair share.
const SHARE_RETRY_MILLIS: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: u32,
    units: u64,
    refilled_at: Instant,
    in_flight: u32,
}

/// Load and capacity of the engines, as known to this entry box.
#[derive(Debug, Clone, Copy, Default)]
pub struct Utilization {
    /// Requests at the engines, running and queued.
    pub load: u64,
    /// Requests that the engines run concurrently.
    pub capacity: u64,
    /// Entry boxes that share the capacity.
    pub entry_boxes: u32,
}

/// Token buckets and requests in flight of all accounts at one entry box.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: Vec<Bucket>,
    active_accounts: u32,
}

impl Limits {
    /// Adds an account limited to `rate` requests per second over all entry boxes.
    pub fn add_account(&mut self, rate: u32, now: Instant) -> AccountKey {
        let units = u64::from(rate) * BURST_SECONDS * REQUEST_UNITS;
        self.buckets.push(Bucket {
            rate,
            units,
            refilled_at: now,
            in_flight: 0,
        });
        AccountKey(self.buckets.len() as u32 - 1)
    }

    /// Sets an account's rate, in requests per second over all entry boxes.
    pub fn set_rate(&mut self, account: AccountKey, rate: u32) {
        self.buckets[account.0 as usize].rate = rate;
    }

    /// Admits a request of `account` and counts it as in flight.
    ///
    /// # Errors
    ///
    /// Returns the earliest time of a retry if the account is above its rate or its fair share.
    pub fn admit(
        &mut self,
        account: AccountKey,
        utilization: Utilization,
        now: Instant,
    ) -> Result<(), Instant> {
        let entry_boxes = u64::from(utilization.entry_boxes.max(1));
        let active_accounts = u64::from(self.active_accounts.max(1));
        let bucket = &mut self.buckets[account.0 as usize];
        bucket.refill(entry_boxes, now);
        if bucket.units < REQUEST_UNITS {
            return Err(now.after_millis(bucket.millis_to_next_token(entry_boxes)));
        }
        let limit = max_in_flight(
            utilization.capacity / entry_boxes / active_accounts,
            utilization,
        );
        if u64::from(bucket.in_flight) >= limit {
            return Err(now.after_millis(SHARE_RETRY_MILLIS));
        }
        bucket.units -= REQUEST_UNITS;
        self.active_accounts += u32::from(bucket.in_flight == 0);
        bucket.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn record_request_end(&mut self, account: AccountKey) {
        let bucket = &mut self.buckets[account.0 as usize];
        bucket.in_flight -= 1;
        self.active_accounts -= u32::from(bucket.in_flight == 0);
    }

    /// Requests of `account` in flight at this entry box.
    pub fn in_flight(&self, account: AccountKey) -> u32 {
        self.buckets[account.0 as usize].in_flight
    }
}

/// Maximum requests in flight of one account, given its fair share: unlimited below
/// [`CONTENDED_PERCENT`], then decreasing linearly from [`MAX_SHARES`] shares to one at
/// [`OVERLOAD_PERCENT`].
fn max_in_flight(share: u64, utilization: Utilization) -> u64 {
    let percent = utilization.load * 100 / utilization.capacity.max(1);
    if percent < CONTENDED_PERCENT {
        return u64::MAX;
    }
    let excess_percent = (percent - CONTENDED_PERCENT).min(OVERLOAD_PERCENT - CONTENDED_PERCENT);
    let range_percent = OVERLOAD_PERCENT - CONTENDED_PERCENT;
    let share_tenths = MAX_SHARES * 10 - (MAX_SHARES - 1) * 10 * excess_percent / range_percent;
    (share.max(1) * share_tenths / 10).max(1)
}

impl Bucket {
    fn refill(&mut self, entry_boxes: u64, now: Instant) {
        let rate = u64::from(self.rate);
        let refilled_units = now.millis_since(self.refilled_at) * rate / entry_boxes;
        // Keeps the remainder of less than one unit for the next refill.
        if refilled_units > 0 {
            self.refilled_at = now;
        }
        let max_units = (rate * BURST_SECONDS * REQUEST_UNITS / entry_boxes).max(REQUEST_UNITS);
        self.units = (self.units + refilled_units).min(max_units);
    }

    fn millis_to_next_token(&self, entry_boxes: u64) -> u64 {
        let missing_units = REQUEST_UNITS - self.units;
        (missing_units * entry_boxes).div_ceil(u64::from(self.rate.max(1)))
    }
}
