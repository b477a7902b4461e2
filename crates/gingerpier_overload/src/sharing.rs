//! Demand and grants of a gateway: the product's state, and the calls that its I/O makes of it.

use {
    crate::{gateway, zoning::Policy},
    gingerpier_admission::sharing::{
        Grant, ServiceDemand,
        demand::{Counter, Report, Shortfall, Total},
        grantee::{Grantee, Share},
        granter::{self, Capacity, Granter},
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{configuration::EngineModel, fleet::Fleet},
    std::net::SocketAddr,
};

/// Address of a gateway.
pub fn address(gateway: usize) -> SocketAddr {
    let [.., high, low] = (gateway as u32).to_be_bytes();
    ([10, 1, high, low], 80).into()
}

/// Demand and grants that a digest carries.
#[derive(Debug, Clone, Default)]
pub struct Part {
    /// Demand of the zone that sends it.
    pub demand: Vec<ServiceDemand>,
    /// Grants of that zone.
    pub grants: Vec<Grant>,
}

/// State of one gateway.
#[derive(Debug, Clone)]
pub struct Sharing {
    own: SocketAddr,
    zone: String,
    zone_gateways: u32,
    counter: Counter,
    total: Total,
    granter: Granter,
    grantee: Grantee,
    last_digest: Instant,
}

impl Sharing {
    /// State of a gateway that starts.
    pub fn new(gateway: usize, zone: usize, zone_gateways: usize, now: Instant) -> Self {
        let zone = gateway::zone_name(zone);
        Self {
            own: address(gateway),
            zone_gateways: zone_gateways as u32,
            counter: Counter::default(),
            total: Total::default(),
            granter: Granter::new(now),
            grantee: Grantee::new(&zone),
            last_digest: now,
            zone,
        }
    }

    /// Notes a request that arrived.
    pub fn note_arrival(&mut self, now: Instant) {
        self.counter.record_arrival(crate::SERVICE, now);
    }

    /// Notes a request that no engine could run within the bound.
    pub fn note_shortfall(&mut self, outcome: Shortfall, now: Instant) {
        self.counter.record_shortfall(crate::SERVICE, outcome, now);
    }

    /// Demand that is sent now to `senders`, the senders of the zone's digests.
    pub fn poll_demand(&mut self, senders: &[SocketAddr], now: Instant) -> Option<Report> {
        let report = self.counter.poll(self.own, senders, now)?;
        if report.is_for_own {
            self.note_demand(self.own, report.services.clone(), now, now);
        }
        Some(report)
    }

    /// Notes the demand of a gateway of the zone, sent at `sent_at`.
    pub fn note_demand(
        &mut self,
        gateway: SocketAddr,
        services: Vec<ServiceDemand>,
        sent_at: Instant,
        now: Instant,
    ) {
        self.total
            .record(gateway, sent_at.as_millis(), services, now);
    }

    /// Updates grants where the gateway is a digest sender, and gives the demand and grants of a digest that is due.
    pub fn poll_digest(
        &mut self,
        is_sender: bool,
        policy: &Policy,
        view: (&Fleet, &EngineModel, usize),
        now: Instant,
    ) -> Option<Part> {
        if policy.grants {
            self.update_grants(is_sender, view, now);
        }
        if !is_sender {
            return None;
        }
        let demand = match policy.grants {
            true => self.total.services(self.zone_gateways, now),
            false => Vec::new(),
        };
        let every = match self.granter.is_active(now) {
            true => policy.shortage_digest_millis,
            false => policy.digest_millis,
        };
        if now.millis_since(self.last_digest) < every {
            return None;
        }
        self.last_digest = now;
        Some(Part {
            demand,
            grants: self.granter.grants(now),
        })
    }

    /// Updates the grants that it issues and its part of those that it has.
    fn update_grants(
        &mut self,
        is_sender: bool,
        (fleet, model, zones): (&Fleet, &EngineModel, usize),
        now: Instant,
    ) {
        if !is_sender {
            self.granter.reset(now);
        }
        let mut capacities = Vec::new();
        if self.granter.is_active(now) {
            capacities.push(Capacity {
                service: crate::SERVICE,
                per_second: granter::open_capacity(fleet, crate::SERVICE, model, &self.zone, now),
                own_demand: self.total.demand(crate::SERVICE, self.zone_gateways, now),
            });
        }
        self.granter.update(&capacities, zones, now);
        let share = self.share(now);
        self.grantee.collect(crate::SERVICE, &share, now);
    }

    fn share(&self, now: Instant) -> Share {
        Share {
            own_demand: self.counter.demand(crate::SERVICE, now),
            gateway_count: self.zone_gateways,
        }
    }

    /// Notes what another zone's digest carries.
    pub fn hear(&mut self, zone: usize, sender: usize, stamp: Instant, part: &Part, now: Instant) {
        let zone = gateway::zone_name(zone);
        let stamp = stamp.as_millis();
        let grants = part.grants.clone();
        self.grantee
            .record(&zone, address(sender), stamp, grants, now);
        self.granter.record_demand(&zone, part.demand.clone(), now);
    }

    /// Zones that granted a request for which a token is left, in an order given by `draw`.
    pub fn granting(&mut self, draw: u64, now: Instant) -> Vec<String> {
        let zones = self.grantee.granting_zones(crate::SERVICE, now);
        let mut zones: Vec<String> = zones.map(str::to_owned).collect();
        order::sort_by_score(draw, &mut zones, order::hash);
        let share = self.share(now);
        zones.retain(|zone| self.grantee.has_token(zone, crate::SERVICE, &share, now));
        zones
    }

    /// Takes a token of a zone's grant.
    pub fn take(&mut self, zone: &str, now: Instant) {
        let share = self.share(now);
        self.grantee.take(zone, crate::SERVICE, &share, now);
    }

    /// Requests per second that all other zones grant to this gateway's zone.
    pub fn granted_per_second(&self, now: Instant) -> f64 {
        let zones = self.grantee.granting_zones(crate::SERVICE, now);
        zones
            .map(|zone| self.grantee.granted_per_second(zone, crate::SERVICE, now))
            .sum()
    }
}
