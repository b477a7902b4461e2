//! Capacity sharing with other zones: this gateway's demand, the grants that it issues as a digest
//! sender, and the use of the grants that its zone receives.

use {
    super::State,
    crate::{
        clock,
        message::{self, Digest},
        metrics::{GrantLabels, ZoneLabels},
    },
    gingerpier_admission::{
        selection::{Choice, Criteria},
        sharing::{
            Grant, ServiceDemand,
            belief::{Beliefs, Change},
            demand::{Counter, Shortfall, Total},
            grantee::{Grantee, Share},
            granter::{self, Capacity, Granter},
            placement,
        },
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{configuration::Configuration, fleet::Fleet},
    std::net::SocketAddr,
};

/// Demand and grants of one gateway.
#[derive(Debug)]
pub(super) struct Sharing {
    counter: Counter,
    /// Demand of the own zone, at a digest sender.
    total: Total,
    granter: Granter,
    grantee: Grantee,
    issued: Beliefs,
    received: Beliefs,
}

impl Sharing {
    pub(super) fn new(own_zone: &str, now: Instant) -> Self {
        Self {
            counter: Counter::default(),
            total: Total::default(),
            granter: Granter::new(now),
            grantee: Grantee::new(own_zone),
            issued: Beliefs::default(),
            received: Beliefs::default(),
        }
    }
}

impl State {
    /// Records the arrival of a request for a service with engines.
    pub fn record_arrival(&self, service: &str, now: Instant) {
        let counter = &mut self.sharing.borrow_mut().counter;
        counter.record_arrival(service, now);
    }

    /// Records a request for a service with engines that none could run within the admission
    /// bound.
    pub fn record_shortfall(&self, service: &str, outcome: Shortfall, now: Instant) {
        let counter = &mut self.sharing.borrow_mut().counter;
        counter.record_shortfall(service, outcome, now);
    }

    /// Chooses an engine of a zone that grants requests to the own one, and uses up a part of the
    /// grant.
    pub fn choose_granted(
        &self,
        fleet: &Fleet,
        criteria: &Criteria<'_>,
        now: Instant,
        draw: u64,
    ) -> Option<Choice> {
        let mut sharing = self.sharing.borrow_mut();
        let Sharing {
            counter, grantee, ..
        } = &mut *sharing;
        let service = criteria.service;
        let granting = grantee.granting_zones(service, now);
        let mut granting: Vec<String> = granting.map(str::to_owned).collect();
        if granting.is_empty() {
            return None;
        }
        let share = Share {
            own_demand: counter.demand(service, now),
            gateway_count: self.zones.borrow().zone_count(&self.settings.zone),
        };
        order::sort_by_score(draw, &mut granting, order::hash);
        for zone in granting {
            if !grantee.has_token(&zone, service, &share, now) {
                continue;
            }
            let Some(choice) = placement::choose(fleet, criteria, &zone, now, draw) else {
                continue;
            };
            grantee.take(&zone, service, &share, now);
            counter.record_shortfall(service, Shortfall::Granted, now);
            let labels = ZoneLabels {
                zone: zone.as_str().into(),
            };
            self.metrics.granted_requests.get_or_create(&labels).inc();
            return Some(choice);
        }
        None
    }

    /// Returns the demand that is due to be sent, with its receivers.
    pub fn poll_demand(&self, now: Instant) -> Option<(Vec<SocketAddr>, message::Demand)> {
        let own = self.settings.peers;
        let senders = self.zones.borrow().digest_senders(now);
        let mut sharing = self.sharing.borrow_mut();
        let report = sharing.counter.poll(own, &senders, now)?;
        let stamp = now.as_millis();
        if report.is_for_own {
            let services = report.services.clone();
            sharing.total.record(own, stamp, services, now);
        }
        let services = report.services.into_iter();
        let demand = message::Demand {
            sender: own,
            timestamp_millis: stamp,
            services: services.map(message::ServiceDemand::new).collect(),
        };
        Some((report.receivers, demand))
    }

    /// Records the demand of a gateway of the own zone.
    pub fn record_demand(&self, demand: message::Demand) {
        let services = demand.services.into_iter();
        let services = services.map(message::ServiceDemand::decode).collect();
        let total = &mut self.sharing.borrow_mut().total;
        let stamp = demand.timestamp_millis;
        total.record(demand.sender, stamp, services, clock::now());
    }

    /// Records the demand and the grants in an accepted digest of another zone.
    pub fn record_shared(&self, digest: &Digest, now: Instant) {
        let mut sharing = self.sharing.borrow_mut();
        let demand = digest.demand.iter().flatten().cloned();
        let demand = demand.map(message::ServiceDemand::decode).collect();
        sharing.granter.record_demand(&digest.zone, demand, now);
        let grants = digest.grants.iter().flatten().cloned();
        let grants = grants.map(message::Grant::decode).collect();
        let (sender, stamp) = (digest.sender, digest.timestamp_millis);
        sharing
            .grantee
            .record(&digest.zone, sender, stamp, grants, now);
    }

    /// Returns the demand and the grants of the own zone; `None` if capacity is not shared.
    pub fn shared(&self, now: Instant) -> Option<(Vec<ServiceDemand>, Vec<Grant>)> {
        let gateway_count = self.zones.borrow().zone_count(&self.settings.zone);
        let sharing = self.sharing.borrow();
        let demand = sharing.total.services(gateway_count, now);
        let is_active = sharing.granter.is_active(now);
        (is_active || !demand.is_empty()).then(|| (demand, sharing.granter.grants(now)))
    }

    /// Updates the issued grants at a digest sender, and the frequency of its digests.
    pub fn update_grants(&self, now: Instant) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let mut zones = self.zones.borrow_mut();
        let is_sender = zones.digest_senders(now).contains(&self.settings.peers);
        let gateway_count = zones.zone_count(&self.settings.zone);
        let mut sharing = self.sharing.borrow_mut();
        if !is_sender {
            sharing.granter.reset(now);
        }
        let is_active = sharing.granter.is_active(now);
        let capacities = match is_active {
            true => self.capacities(&configuration, &sharing.total, gateway_count, now),
            false => Vec::new(),
        };
        sharing.granter.update(&capacities, zones.zones_len(), now);
        zones.set_frequent_digests(is_active);
        drop(zones);
        self.report_grants(&mut sharing, &configuration, now);
    }

    /// Capacity of the own zone's open engines, by service.
    fn capacities<'a>(
        &self,
        configuration: &'a Configuration,
        total: &Total,
        gateway_count: u32,
        now: Instant,
    ) -> Vec<Capacity<'a>> {
        let zone = &self.settings.zone;
        let fleet = self.fleet.borrow();
        let services = configuration.services_part().engines();
        let capacities = services.map(|(service, model)| Capacity {
            service: &service.name,
            per_second: granter::open_capacity(&fleet, &service.name, model, zone, now),
            own_demand: total.demand(&service.name, gateway_count, now),
        });
        capacities.collect()
    }

    /// Collects tokens of received grants, updates the metrics and logs grants that began or ended.
    fn report_grants(&self, sharing: &mut Sharing, configuration: &Configuration, now: Instant) {
        let grants = sharing.granter.grants(now);
        let issued = &self.metrics.issued_grants;
        issued.clear();
        for grant in &grants {
            let labels = GrantLabels {
                zone: grant.zone.as_str().into(),
                service: grant.service.as_str().into(),
            };
            issued.get_or_create(&labels).set(grant.per_second);
        }
        let current = grants.into_iter().map(|grant| (grant.zone, grant.service));
        for change in sharing.issued.update(current, now) {
            match change {
                Change::Begun((zone, service)) => {
                    tracing::info!(zone, service, "granting requests to another zone");
                }
                Change::Ended((zone, service)) => {
                    tracing::info!(zone, service, "no longer granting requests to another zone");
                }
            }
        }
        let gateway_count = self.zones.borrow().zone_count(&self.settings.zone);
        let mut received = Vec::new();
        for (service, _) in configuration.services_part().engines() {
            let service = &service.name;
            let share = Share {
                own_demand: sharing.counter.demand(service, now),
                gateway_count,
            };
            sharing.grantee.collect(service, &share, now);
            let zones = sharing.grantee.granting_zones(service, now);
            received.extend(zones.map(|zone| (zone.to_owned(), service.clone())));
        }
        for change in sharing.received.update(received.into_iter(), now) {
            match change {
                Change::Begun((zone, service)) => {
                    tracing::info!(zone, service, "another zone grants requests");
                }
                Change::Ended((zone, service)) => {
                    tracing::info!(zone, service, "another zone no longer grants requests");
                }
            }
        }
    }
}
