//! Demand of a gateway, and the sum of the demand of a zone's gateways.
//!
//! A gateway that refuses requests for lack of capacity reports its demand to the digest senders of
//! its zone. One that refuses nothing sends nothing, so there is no traffic on a calm day.

use {
    super::{Demand, MAX_SERVICES, ServiceDemand},
    gingerpier_base::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Time constant of the rates: short, as grants follow the demand.
const AVERAGING_MILLIS: f64 = 1_000.0;

/// Time without an event after which a rate is 0, so that a shortage has a definite end.
const EVENT_TIMEOUT_MILLIS: u64 = 1_000;

/// Time after a shortfall for which the demand is reported.
const REPORT_MILLIS: u64 = 2_000;

/// Interval between two reports.
const REPORT_INTERVAL_MILLIS: u64 = 250;

/// Time for which a report counts; covers three lost messages.
const REPORT_VALID_MILLIS: u64 = 1_000;

/// Maximum gateways of a zone whose reports are kept, as addresses come from messages.
const MAX_GATEWAYS: usize = 512;

/// Decaying rate of events.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_second: f64,
    last: Option<Instant>,
}

impl Rate {
    fn record(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + 1_000.0 / AVERAGING_MILLIS;
        self.last = Some(now);
    }

    fn per_second(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        let age_millis = now.millis_since(last);
        match age_millis < EVENT_TIMEOUT_MILLIS {
            true => self.per_second * (-(age_millis as f64) / AVERAGING_MILLIS).exp(),
            false => 0.0,
        }
    }
}

/// Outcome of a request that no engine could run within the admission bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortfall {
    /// The request was refused.
    Refused,
    /// It was sent to another zone with a grant.
    Granted,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rates {
    arrivals: Rate,
    refusals: Rate,
    granted: Rate,
    /// End of the reports.
    reported_until: Option<Instant>,
}

impl Rates {
    fn demand(&self, now: Instant) -> Demand {
        Demand {
            arrivals: self.arrivals.per_second(now),
            refusals: self.refusals.per_second(now),
            granted: self.granted.per_second(now),
        }
    }

    fn is_reported(&self, now: Instant) -> bool {
        self.reported_until.is_some_and(|end| !end.has_passed(now))
    }
}

/// A report that is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Digest senders that receive it, without the own gateway.
    pub receivers: Vec<SocketAddr>,
    /// True if the own gateway is one of the digest senders.
    pub is_for_own: bool,
    /// Demand per service.
    pub services: Vec<ServiceDemand>,
}

/// Demand of one gateway.
#[derive(Debug, Clone, Default)]
pub struct Counter {
    services: BTreeMap<String, Rates>,
    next_report: Option<Instant>,
}

impl Counter {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, service: &str, now: Instant) {
        if let Some(rates) = self.rates_mut(service) {
            rates.arrivals.record(now);
        }
    }

    /// Records a request that no engine could run within the admission bound.
    pub fn record_shortfall(&mut self, service: &str, outcome: Shortfall, now: Instant) {
        if let Some(rates) = self.rates_mut(service) {
            rates.reported_until = Some(now.after_millis(REPORT_MILLIS));
            match outcome {
                Shortfall::Refused => rates.refusals.record(now),
                Shortfall::Granted => rates.granted.record(now),
            }
        }
    }

    /// Removes the services that `is_kept` rejects, such as those that are no longer configured.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_kept(service));
    }

    fn rates_mut(&mut self, service: &str) -> Option<&mut Rates> {
        // Allocates the key only for a new service.
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.to_owned(), Rates::default());
        }
        self.services.get_mut(service)
    }

    /// Returns the demand for a service.
    pub fn demand(&self, service: &str, now: Instant) -> Demand {
        let rates = self.services.get(service);
        rates.map(|rates| rates.demand(now)).unwrap_or_default()
    }

    /// Returns the report that is due now to `senders`, the digest senders of the zone.
    pub fn poll(
        &mut self,
        own: SocketAddr,
        senders: &[SocketAddr],
        now: Instant,
    ) -> Option<Report> {
        if self.next_report.is_some_and(|at| !at.has_passed(now)) {
            return None;
        }
        let reported = self.services.iter();
        let reported = reported.filter(|(_, rates)| rates.is_reported(now));
        let services: Vec<ServiceDemand> = reported
            .map(|(service, rates)| ServiceDemand {
                service: service.clone(),
                demand: rates.demand(now),
            })
            .collect();
        if services.is_empty() || senders.is_empty() {
            return None;
        }
        self.next_report = Some(now.after_millis(REPORT_INTERVAL_MILLIS));
        let receivers = senders.iter().copied().filter(|sender| *sender != own);
        Some(Report {
            receivers: receivers.collect(),
            is_for_own: senders.contains(&own),
            services,
        })
    }
}

/// The latest report of one gateway.
#[derive(Debug, Clone)]
struct Received {
    stamp: u64,
    expires_at: Instant,
    services: Vec<ServiceDemand>,
}

/// Reports of a zone's gateways at one of its digest senders.
#[derive(Debug, Clone, Default)]
pub struct Total {
    reports: BTreeMap<SocketAddr, Received>,
}

impl Total {
    /// Records a report. Reports that aren't newer than the one that counts are ignored; after its
    /// expiry any stamp is accepted, as the gateway may have restarted.
    pub fn record(
        &mut self,
        gateway: SocketAddr,
        stamp: u64,
        mut services: Vec<ServiceDemand>,
        now: Instant,
    ) {
        self.reports
            .retain(|_, report| !report.expires_at.has_passed(now));
        let is_known = match self.reports.get(&gateway) {
            Some(report) if report.stamp >= stamp => return,
            Some(_) => true,
            None => false,
        };
        if !is_known && self.reports.len() >= MAX_GATEWAYS {
            return;
        }
        services.truncate(MAX_SERVICES);
        let received = Received {
            stamp,
            expires_at: now.after_millis(REPORT_VALID_MILLIS),
            services,
        };
        self.reports.insert(gateway, received);
    }

    /// Returns the demand of a zone with `gateway_count` gateways for `service`. Gateways without a
    /// report refuse nothing, and are assumed to receive as many requests as the others.
    pub fn demand(&self, service: &str, gateway_count: u32, now: Instant) -> Demand {
        let reports = self.valid(now);
        let matching = reports.flat_map(|report| &report.services);
        let matching = matching.filter(|entry| entry.service == service);
        let (mut sum, mut count) = (Demand::default(), 0_u32);
        for entry in matching {
            sum = sum.plus(&entry.demand);
            count += 1;
        }
        if count > 0 {
            sum.arrivals *= f64::from(gateway_count.max(count)) / f64::from(count);
        }
        sum
    }

    /// Returns the demand of the zone for each service that a gateway reports.
    pub fn services(&self, gateway_count: u32, now: Instant) -> Vec<ServiceDemand> {
        let reports = self.valid(now);
        let names = reports.flat_map(|report| &report.services);
        let names: BTreeSet<&str> = names.map(|entry| entry.service.as_str()).collect();
        let demands = names.into_iter().take(MAX_SERVICES);
        demands
            .map(|service| ServiceDemand {
                service: service.to_owned(),
                demand: self.demand(service, gateway_count, now),
            })
            .collect()
    }

    fn valid(&self, now: Instant) -> impl Iterator<Item = &Received> {
        let reports = self.reports.values();
        reports.filter(move |report| !report.expires_at.has_passed(now))
    }
}
