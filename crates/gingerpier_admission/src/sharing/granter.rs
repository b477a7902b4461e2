//! Rates that a digest sender grants to other zones.
//!
//! The rates follow the difference of the refused shares: they rise while the other zone refuses a
//! larger share of its requests than the own zone and fall while it refuses a smaller one, so that
//! both end at the same share. Each digest sender grants at most half of the capacity of the own
//! engines, as two of them count.

use {
    super::{Demand, Grant, MAX_SERVICES, ServiceDemand},
    crate::prediction,
    gingerpier_base::Instant,
    gingerpier_serving::{configuration::EngineModel, fleet::Fleet, zones::DIGEST_SENDERS},
    std::collections::BTreeMap,
};

/// Interval between two updates of the rates.
pub const UPDATE_INTERVAL_MILLIS: u64 = 100;

/// Change of the granted rates of all senders together per update, as a fraction of the demand and
/// the difference of the refused shares. The effect of a change returns as demand after about 1 s or
/// ten updates; an integrating controller with this delay oscillates from 0.157 on.
const LOOP_GAIN: f64 = 0.06;

/// Time between two updates above which the process was frozen and its rates are obsolete.
const MAX_GAP_MILLIS: u64 = 1_000;

/// Time after the start or a gap without grants, in which all gateways of the own zone report
/// their demand again.
const SETTLE_MILLIS: u64 = 1_000;

/// Time without demand messages after which a zone is silent.
const DEMAND_VALID_MILLIS: u64 = 1_200;

/// Time without shortfall after which the rate of a zone decays. Small zones refuse only a few
/// requests per second even during a shortage, and an unused grant costs nothing.
const NO_SHORTFALL_MILLIS: u64 = 500;

/// Time in which the rate of a zone without shortfall decays to 0.
const DECAY_MILLIS: u64 = 1_000;

/// Rates below this are not granted, in requests per second: several senders grant, and together less
/// than one request per few seconds.
const MIN_RATE: f64 = 0.02;

/// Time after the last shortfall of another zone for which capacity counts as shared. With frequent
/// digests a zone refuses few requests, so it has no shortfall for seconds; without them it refuses
/// again. In the overload model, 0 left 2% to 6% of the evacuated zone's requests refused where
/// nothing was short, 5 s left 0.5% to 1.4%.
const ACTIVE_MILLIS: u64 = 5_000;

/// Maximum zones with demand, as names come from messages.
const MAX_ZONES: usize = 256;

/// Capacity of the open engines of the own zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity<'a> {
    /// Service name.
    pub service: &'a str,
    /// Requests per second that the engines can run.
    pub per_second: f64,
    /// Demand of the own zone.
    pub own_demand: Demand,
}

#[derive(Debug, Clone)]
struct ZoneDemand {
    expires_at: Instant,
    services: Vec<ServiceDemand>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_second: f64,
    zone_shortfall: f64,
    /// Time of the last update with a shortfall.
    needed_at: Instant,
    /// End of the decay to 0.
    decayed_at: Option<Instant>,
}

impl Rate {
    /// Lowers the rate so that it reaches 0 at a fixed time after the first call.
    fn decay(&mut self, now: Instant) {
        let end = *self
            .decayed_at
            .get_or_insert_with(|| now.after_millis(DECAY_MILLIS));
        let remaining_millis = end.millis_since(now) as f64;
        self.per_second *= remaining_millis / (remaining_millis + UPDATE_INTERVAL_MILLIS as f64);
    }
}

/// Zone and service of a rate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    service: String,
    zone: String,
}

/// Grants of one digest sender.
#[derive(Debug, Clone)]
pub struct Granter {
    demands: BTreeMap<String, ZoneDemand>,
    rates: BTreeMap<Subject, Rate>,
    last_update: Instant,
    settled_at: Instant,
    active_until: Instant,
}

impl Granter {
    /// Creates the granter of a digest sender that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            demands: BTreeMap::new(),
            rates: BTreeMap::new(),
            last_update: now,
            settled_at: now.after_millis(SETTLE_MILLIS),
            active_until: now,
        }
    }

    /// Drops all rates, as after a freeze or while other gateways are the digest senders. Nothing is
    /// granted until all demand has been reported again.
    pub fn reset(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Records the demand that a digest of another zone states. Digests must be accepted first, so
    /// that none is outdated.
    pub fn record_demand(&mut self, zone: &str, mut services: Vec<ServiceDemand>, now: Instant) {
        if !self.demands.contains_key(zone) && self.demands.len() >= MAX_ZONES {
            return;
        }
        services.truncate(MAX_SERVICES);
        if services.iter().any(|entry| entry.demand.shortfall() > 0.0) {
            self.active_until = now.after_millis(ACTIVE_MILLIS);
        }
        let demand = ZoneDemand {
            expires_at: now.after_millis(DEMAND_VALID_MILLIS),
            services,
        };
        self.demands.insert(zone.to_owned(), demand);
    }

    /// Returns true if another zone has a grant, or had a shortfall recently.
    pub fn is_active(&self, now: Instant) -> bool {
        !self.rates.is_empty() || !self.active_until.has_passed(now)
    }

    /// Updates the rates if an update is due. `capacities` lists the services of the own zone's open
    /// engines; `zone_count` is the number of all zones.
    pub fn update(&mut self, capacities: &[Capacity<'_>], zone_count: usize, now: Instant) {
        let elapsed_millis = now.millis_since(self.last_update);
        if elapsed_millis > MAX_GAP_MILLIS {
            return self.reset(now);
        }
        if elapsed_millis < UPDATE_INTERVAL_MILLIS {
            return;
        }
        self.last_update = now;
        self.demands
            .retain(|_, demand| !demand.expires_at.has_passed(now));
        if !self.settled_at.has_passed(now) {
            return;
        }
        let senders = DIGEST_SENDERS * zone_count.saturating_sub(1).max(1);
        let gain = LOOP_GAIN / senders as f64;
        self.decay_without_shortfall(now);
        for capacity in capacities {
            self.raise(capacity, gain, now);
        }
        self.limit(capacities);
        // A rate rises from 0 in small steps, so it is kept while the zone has a shortfall.
        self.rates
            .retain(|_, rate| rate.decayed_at.is_none() || rate.per_second >= MIN_RATE);
    }

    /// Decays the rates of zones that are silent or have had no shortfall for a while.
    fn decay_without_shortfall(&mut self, now: Instant) {
        for (subject, rate) in &mut self.rates {
            let demand = demand_of(&self.demands, &subject.zone, &subject.service);
            let is_needed = demand.shortfall() > 0.0;
            if is_needed {
                rate.needed_at = now;
                rate.decayed_at = None;
            }
            let is_silent = !self.demands.contains_key(&subject.zone);
            let decays_at = rate.needed_at.after_millis(NO_SHORTFALL_MILLIS);
            if is_silent || decays_at.has_passed(now) {
                rate.decay(now);
            }
        }
    }

    /// Moves the rates of one service toward equal refused shares.
    fn raise(&mut self, capacity: &Capacity<'_>, gain: f64, now: Instant) {
        let own_share = capacity.own_demand.refused_share();
        for zone in self.demands.keys() {
            let demand = demand_of(&self.demands, zone, capacity.service);
            if demand.shortfall() <= 0.0 {
                continue;
            }
            let subject = Subject {
                service: capacity.service.to_owned(),
                zone: zone.clone(),
            };
            let rate = self.rates.entry(subject).or_default();
            let change = gain * (demand.refused_share() - own_share) * demand.arrivals;
            rate.per_second = (rate.per_second + change).max(0.0);
            rate.zone_shortfall = demand.shortfall();
            rate.needed_at = now;
        }
    }

    /// Scales the rates of each service down to this sender's part of the capacity.
    fn limit(&mut self, capacities: &[Capacity<'_>]) {
        let mut sums: BTreeMap<String, f64> = BTreeMap::new();
        for (subject, rate) in &self.rates {
            *sums.entry(subject.service.clone()).or_default() += rate.per_second;
        }
        for (subject, rate) in &mut self.rates {
            let mut matching = capacities.iter();
            let capacity = matching.find(|capacity| capacity.service == subject.service);
            let limit = capacity.map_or(0.0, |capacity| capacity.per_second);
            let limit = limit / DIGEST_SENDERS as f64;
            let sum = sums.get(&subject.service).copied().unwrap_or_default();
            if sum > limit {
                rate.per_second *= limit / sum;
            }
        }
    }

    /// Returns the grants in force; none after a gap without updates.
    pub fn grants(&self, now: Instant) -> Vec<Grant> {
        if now.millis_since(self.last_update) > MAX_GAP_MILLIS {
            return Vec::new();
        }
        let rates = self.rates.iter();
        let granted = rates.filter(|(_, rate)| rate.per_second >= MIN_RATE);
        granted
            .map(|(subject, rate)| Grant {
                zone: subject.zone.clone(),
                service: subject.service.clone(),
                per_second: rate.per_second,
                zone_shortfall: rate.zone_shortfall,
            })
            .collect()
    }
}

fn demand_of(demands: &BTreeMap<String, ZoneDemand>, zone: &str, service: &str) -> Demand {
    let services = demands.get(zone).map(|demand| demand.services.iter());
    let mut services = services.into_iter().flatten();
    let entry = services.find(|entry| entry.service == service);
    entry.map(|entry| entry.demand).unwrap_or_default()
}

/// Returns the requests per second that the open engines of `zone` can run. Engines without a recent
/// report don't count.
pub fn open_capacity(
    fleet: &Fleet,
    service: &str,
    model: &EngineModel,
    zone: &str,
    now: Instant,
) -> f64 {
    let per_engine = 1_000.0 / prediction::mean_work_millis(model);
    let engines = fleet.of_service(service).map(|(_, engine)| engine);
    let engines = engines.filter(|engine| engine.record.zone == zone && engine.is_open(now));
    let engines = engines.filter(|engine| !engine.warmup.is_cold(now));
    let reports = engines.filter_map(|engine| engine.fresh_report(now));
    reports
        .map(|report| per_engine / report.slowdown.max(1.0))
        .sum()
}
