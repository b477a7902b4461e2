//! Capacity sharing between client accounts while a service is short of capacity.
//!
//! A burst of one account would otherwise cause refusals of all accounts alike. During a shortage,
//! each account may use capacity by demand up to an equal part, and unused parts go to the others
//! (max-min fairness). Requests beyond an account's part are refused with the probability that
//! keeps the account at its part.
//!
//! A shortage begins with a refusal for lack of capacity. How much to refuse follows from the
//! *pressure*: the predicted queueing time of admitted requests as a fraction of the longest
//! admissible one, relative to the pressure without a shortage. At 20 requests per second, refusals
//! alone are too rare to control by: one per second would already be 5%. The share that is refused
//! is proportional to the pressure. Gateways see similar pressure and therefore refuse similar
//! shares, which an estimate that each of them integrates over time doesn't ensure. Each gateway
//! decides alone: in the model, the rates of the zone's other gateways gained nothing.
//!
//! Only the overload model uses this. At three times the capacity, large accounts are served 0.10
//! of their requests, less than their equal part, so the gateway doesn't apply the rule yet.
//!
//! ```
//! use {gingerpier_admission::accounts::Controller, gingerpier_base::Instant};
//!
//! let mut controller = Controller::default();
//! let now = Instant::from_millis(1_000);
//! assert_eq!(controller.record_arrival("a", now), 0.0, "there is no shortage");
//! ```

use {
    gingerpier_base::{Instant, order},
    std::collections::HashMap,
};

/// Limit of the accounts with a demand of their own, at about 32 bytes each; the remaining ones
/// are counted together.
pub const MAX_ACCOUNTS: usize = 256;

/// Time constant of the demands.
const DEMAND_MILLIS: f64 = 1_000.0;

/// Time constant of the pressure: about 12 requests at 20 per second. In the model, 300 ms doubled
/// the loss of the other accounts during a burst.
const PRESSURE_MILLIS: f64 = 600.0;

/// Time constant of the pressure without a shortage; longer than the rise that precedes a shortage.
const CALM_MILLIS: f64 = 10_000.0;

/// Upper bound of the pressure without a shortage, for a gateway that starts during one.
const MAX_CALM_PRESSURE: f64 = 0.5;

/// Pressure of a refused request.
const REFUSED_PRESSURE: f64 = 1.0;

/// Excess pressure up to which nothing is refused; above the noise at a load of 0.9.
const MARGIN: f64 = 0.08;

/// Excess pressure of a single request that shows a shortage; nearly all requests are below it at a
/// load of 0.9.
const SHORT_EXCESS: f64 = 0.16;

/// Time without such a request after which the shortage ends.
const SHORT_MILLIS: u64 = 800;

/// Time without a refusal for lack of capacity after which the shortage ends.
const REFUSAL_MILLIS: u64 = 2_000;

/// Refused share per excess pressure beyond the margin.
const GAIN: f64 = 2.0;

/// Limit of the refused share: admission at the engines refuses the rest.
const MAX_REFUSED_SHARE: f64 = 0.7;

/// Lower bound of the estimated capacity, as a fraction of the rate of requests that were sent to
/// engines, so that a short peak of the pressure doesn't affect small accounts.
const ADMITTED_SHARE: f64 = 0.7;

/// Demand below which an account is removed, in requests.
const MIN_DEMAND: f64 = 0.01;

/// Limit of the accounts that the remaining demand is split into.
const MAX_REST_ACCOUNTS: f64 = 1_000.0;

/// Interval at which the part of an account is recomputed, which visits all accounts.
const PART_INTERVAL_MILLIS: u64 = 20;

/// Exponentially decaying sum.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sum {
    value: f64,
    updated_at: Instant,
}

impl Sum {
    fn at(&self, now: Instant, constant_millis: f64) -> f64 {
        self.value * (-(now.millis_since(self.updated_at) as f64) / constant_millis).exp()
    }

    fn add(&mut self, value: f64, now: Instant, constant_millis: f64) {
        self.value = self.at(now, constant_millis) + value;
        self.updated_at = now;
    }
}

/// Exponentially weighted mean of pressures.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Mean {
    sum: Sum,
    count: Sum,
}

impl Mean {
    fn record(&mut self, pressure: f64, now: Instant, constant_millis: f64) {
        self.sum.add(pressure, now, constant_millis);
        self.count.add(1.0, now, constant_millis);
    }

    /// Mean; lower if there are less than about one recent request.
    fn at(&self, now: Instant, constant_millis: f64) -> f64 {
        self.sum.at(now, constant_millis) / self.count.at(now, constant_millis).max(1.0)
    }
}

/// Capacity sharing between the accounts of one service at one gateway.
#[derive(Debug, Clone, Default)]
pub struct Controller {
    /// Recent requests by hash of the account's name.
    demands: HashMap<u64, Sum>,
    /// Recent requests of accounts beyond [`MAX_ACCOUNTS`], together.
    rest: Sum,
    pressure: Mean,
    /// Recent requests that were sent to engines.
    admitted: Sum,
    /// Pressure without a shortage.
    calm: Mean,
    shortage: Option<Shortage>,
}

/// State during a shortage.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// Largest demand that is served in full, in recent requests.
    part: f64,
    recompute_at: Instant,
    ends_without_pressure_at: Instant,
    ends_without_refusal_at: Instant,
}

impl Controller {
    /// True during a shortage of capacity.
    pub const fn is_short(&self) -> bool {
        self.shortage.is_some()
    }

    /// Records the arrival of a request and returns the probability with which it must be refused
    /// so that its account stays within its part.
    pub fn record_arrival(&mut self, account: &str, now: Instant) -> f64 {
        self.update(now);
        let key = order::hash(account);
        let part = self
            .shortage
            .map_or(f64::INFINITY, |shortage| shortage.part);
        let demand = self.demands.get(&key);
        let demand = demand.map_or(0.0, |demand| certain(demand.at(now, DEMAND_MILLIS)));
        let probability = match demand > part {
            true => 1.0 - part / demand,
            false => 0.0,
        };
        self.record_demand(key, now);
        probability
    }

    /// Records a request that was sent to an engine. `pressure` is its predicted queueing time as a
    /// fraction of the longest admissible one.
    pub fn record_admission(&mut self, pressure: f64, now: Instant) {
        self.admitted.add(1.0, now, DEMAND_MILLIS);
        self.record_pressure(pressure.clamp(0.0, REFUSED_PRESSURE), now);
    }

    /// Records a first attempt that was refused for lack of capacity.
    pub fn record_refusal(&mut self, now: Instant) {
        let part = self
            .shortage
            .map_or(f64::INFINITY, |shortage| shortage.part);
        self.shortage = Some(Shortage {
            part,
            recompute_at: now,
            ends_without_pressure_at: now.after_millis(SHORT_MILLIS),
            ends_without_refusal_at: now.after_millis(REFUSAL_MILLIS),
        });
        self.record_pressure(REFUSED_PRESSURE, now);
    }

    fn record_pressure(&mut self, pressure: f64, now: Instant) {
        self.pressure.record(pressure, now, PRESSURE_MILLIS);
        let is_high = self.excess(pressure, now) > SHORT_EXCESS;
        match &mut self.shortage {
            Some(shortage) if is_high => {
                shortage.ends_without_pressure_at = now.after_millis(SHORT_MILLIS);
            }
            Some(_) => {}
            None => self.calm.record(pressure, now, CALM_MILLIS),
        }
    }

    /// Returns by how much a pressure exceeds that without a shortage, as a fraction of the range.
    fn excess(&self, pressure: f64, now: Instant) -> f64 {
        let calm = self.calm.at(now, CALM_MILLIS).min(MAX_CALM_PRESSURE);
        (pressure - calm) / (1.0 - calm)
    }

    fn record_demand(&mut self, key: u64, now: Instant) {
        if !self.demands.contains_key(&key) && self.demands.len() >= MAX_ACCOUNTS {
            self.make_room(now);
        }
        let demand = self.demands.entry(key).or_default();
        demand.add(1.0, now, DEMAND_MILLIS);
    }

    /// Removes inactive accounts, or else the one with the smallest demand, which is then counted
    /// among the remaining ones.
    fn make_room(&mut self, now: Instant) {
        self.demands
            .retain(|_, demand| demand.at(now, DEMAND_MILLIS) >= MIN_DEMAND);
        if self.demands.len() < MAX_ACCOUNTS {
            return;
        }
        let demands = self.demands.iter();
        let demands = demands.map(|(key, demand)| (*key, demand.at(now, DEMAND_MILLIS)));
        if let Some((key, demand)) = demands.min_by(|one, other| one.1.total_cmp(&other.1)) {
            self.demands.remove(&key);
            self.rest.add(demand, now, DEMAND_MILLIS);
        }
    }

    /// Ends the shortage, or recomputes the part of an account.
    fn update(&mut self, now: Instant) {
        let Some(shortage) = self.shortage else {
            return;
        };
        if !shortage.recompute_at.has_passed(now) {
            return;
        }
        let excess = self.excess(self.pressure.at(now, PRESSURE_MILLIS), now) - MARGIN;
        if excess <= 0.0
            || shortage.ends_without_pressure_at.has_passed(now)
            || shortage.ends_without_refusal_at.has_passed(now)
        {
            self.shortage = None;
            return;
        }
        let mut demands = self.current_demands(now);
        let demand: f64 = demands.iter().sum();
        let refused_share = (GAIN * excess).min(MAX_REFUSED_SHARE);
        let admitted = self.admitted.at(now, DEMAND_MILLIS);
        let capacity = ((1.0 - refused_share) * demand).max(ADMITTED_SHARE * admitted);
        self.shortage = Some(Shortage {
            part: equal_part(&mut demands, capacity),
            recompute_at: now.after_millis(PART_INTERVAL_MILLIS),
            ..shortage
        });
    }

    /// Returns the demand of each account; the remaining ones count as accounts whose demand is the
    /// smallest one.
    fn current_demands(&self, now: Instant) -> Vec<f64> {
        let demands = self.demands.values();
        let mut demands: Vec<f64> = demands
            .map(|demand| demand.at(now, DEMAND_MILLIS))
            .collect();
        let smallest = demands.iter().copied().fold(f64::MAX, f64::min);
        let rest = self.rest.at(now, DEMAND_MILLIS);
        if rest >= MIN_DEMAND {
            let count = (rest / smallest).ceil().clamp(1.0, MAX_REST_ACCOUNTS);
            demands.extend(std::iter::repeat_n(rest / count, count as usize));
        }
        demands
    }
}

/// Returns a demand less one standard deviation of a Poisson process with such a mean: an account
/// with one request per second doesn't exceed its part because two came in succession.
fn certain(demand: f64) -> f64 {
    (demand - (demand / 2.0).sqrt()).max(0.0)
}

/// Returns the largest demand that is served in full if `capacity` is shared max-min fairly.
/// Without at least two accounts, no other account could use what one of them leaves.
pub fn equal_part(demands: &mut [f64], capacity: f64) -> f64 {
    if demands.len() < 2 {
        return f64::INFINITY;
    }
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let part = left / (demands.len() - index) as f64;
        if *demand > part {
            return part;
        }
        left -= demand;
    }
    f64::INFINITY
}
