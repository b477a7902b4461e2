//! Reports within zones, and digests between them.

use {
    super::{Event, World},
    crate::{
        gateway::ReportOf,
        sharing::{self, Part},
        zoning::Policy,
    },
    gingerpier_admission::sharing::ServiceDemand,
    gingerpier_base::Instant,
    gingerpier_serving::{report::Report, zones::DIGEST_SENDERS},
    std::{net::SocketAddr, sync::Arc},
};

/// Largest offset between the digests of a zone's two senders, in milliseconds: they started together.
const SENDER_OFFSET_MILLIS: f64 = 60.0;

/// Milliseconds between two looks of a gateway at what is due, as in `gingerpier_gateway::zones`.
const POLL_MILLIS: f64 = 25.0;

/// Milliseconds after which a silent gateway counts as dead, as in `gingerpier_serving::liveness`.
const DETECTION_MILLIS: f64 = 2_500.0;

/// Reports of a zone's engines with their age in milliseconds.
#[derive(Debug, Clone)]
pub(super) struct Digest {
    zone: usize,
    sender: usize,
    stamp: Instant,
    reports: Vec<(ReportOf, Report, u64)>,
    part: Part,
}

impl World {
    pub(super) fn begin_zones(&mut self) {
        for engine in 0..self.engines.len() {
            let every = self.deployment.report_every_millis as f64;
            let phase = self.draw.between(0.0, every);
            self.after(phase, Event::TellZone(engine));
        }
        let zoning = self.deployment.zoning.clone().expect("a zoned deployment");
        for zone in 0..self.deployment.zones {
            let phase = self.draw.between(0.0, zoning.policy.digest_millis as f64);
            for gateway in zoning.gateways_of(zone) {
                let offset = self.draw.between(0.0, SENDER_OFFSET_MILLIS);
                self.after(phase + offset, Event::Poll(gateway));
            }
        }
    }

    /// An engine's loader sends a report to all gateways of its zone.
    pub(super) fn tell_zone(&mut self, engine: usize) {
        let every = self.deployment.report_every_millis as f64;
        self.after(every, Event::TellZone(engine));
        if !self.engines[engine].is_up {
            return;
        }
        let mut report = self.engines[engine].report();
        let now = self.instant();
        report.pending_prompt_tokens =
            self.backlogs[engine].update(&report, &self.deployment.model, now);
        let of = ReportOf {
            engine,
            life: self.engines[engine].life,
            is_direct: true,
        };
        let zone = self.deployment.zone_of_engine(engine);
        for gateway in self.gateways_of(zone) {
            let event = Event::Hear {
                gateway,
                of,
                report: Box::new(report.clone()),
                at: self.now,
            };
            self.after(self.deployment.near_millis, event);
        }
    }

    /// Gateways of a zone that are there.
    pub(super) fn gateways_of(&self, zone: usize) -> Vec<usize> {
        let zoning = self.deployment.zoning.as_ref().expect("a zoned deployment");
        let all = zoning.gateways_of(zone);
        all.filter(|gateway| !self.conditions.is_down[*gateway])
            .collect()
    }

    /// Gateways that send their zone's digests: the first two that count as alive.
    pub(super) fn senders(&self, zone: usize) -> Vec<usize> {
        let zoning = self.deployment.zoning.as_ref().expect("a zoned deployment");
        let is_alive = |gateway: &usize| {
            let silent_since = self.conditions.silent_since[*gateway];
            silent_since.is_none_or(|since| self.now - since < DETECTION_MILLIS)
        };
        let alive = zoning.gateways_of(zone).filter(is_alive);
        alive.take(DIGEST_SENDERS).collect()
    }

    /// A gateway sends its demand and a digest where they are due.
    pub(super) fn poll(&mut self, gateway: usize) {
        self.after(POLL_MILLIS, Event::Poll(gateway));
        if self.conditions.is_down[gateway] {
            return;
        }
        let now = self.instant();
        let zone = self.deployment.zone_of_gateway(gateway);
        let policy = self.policy();
        let senders = self.senders(zone);
        if policy.grants {
            self.send_demand(gateway, &senders);
        }
        let is_sender = senders.contains(&gateway);
        let there = &mut self.gateways[gateway];
        let Some(part) = there.poll_digest(is_sender, &policy, &self.deployment, now) else {
            return;
        };
        let reports = there.reports_of_zone(zone, now);
        let digest = Arc::new(Digest {
            zone,
            sender: gateway,
            stamp: now,
            reports,
            part,
        });
        let others = (0..self.deployment.zones).filter(|other| *other != zone);
        for other in others.collect::<Vec<_>>() {
            if self.conditions.partitioned[zone] || self.conditions.partitioned[other] {
                continue;
            }
            // The receiving gateway forwards it within its zone.
            let way = self.deployment.far_millis + self.deployment.near_millis;
            for gateway in self.gateways_of(other) {
                let digest = Arc::clone(&digest);
                self.after(way, Event::HearDigest { gateway, digest });
            }
        }
    }

    pub(super) fn policy(&self) -> Policy {
        let zoning = self.deployment.zoning.as_ref();
        zoning.map_or(Policy::DIGESTS, |zoning| zoning.policy)
    }

    fn send_demand(&mut self, gateway: usize, senders: &[usize]) {
        let now = self.instant();
        let addresses: Vec<SocketAddr> = senders.iter().copied().map(sharing::address).collect();
        let sharing = self.gateways[gateway].sharing.as_mut();
        let report = sharing.and_then(|sharing| sharing.poll_demand(&addresses, now));
        let Some(report) = report else { return };
        for sender in senders {
            if report.receivers.contains(&sharing::address(*sender)) {
                let event = Event::HearDemand {
                    gateway: *sender,
                    from: gateway,
                    services: report.services.clone(),
                    sent_at: now,
                };
                self.after(self.deployment.near_millis, event);
            }
        }
    }

    pub(super) fn hear_demand(
        &mut self,
        gateway: usize,
        from: usize,
        services: Vec<ServiceDemand>,
        sent_at: Instant,
    ) {
        let now = self.instant();
        if let Some(sharing) = &mut self.gateways[gateway].sharing {
            sharing.note_demand(sharing::address(from), services, sent_at, now);
        }
    }

    /// Ages count from the digest's receipt, as in the gateway.
    pub(super) fn hear_digest(&mut self, gateway: usize, digest: &Digest) {
        let now = self.instant();
        let count = self.gateways.len();
        for (of, report, age) in &digest.reports {
            let at = Instant::from_millis(now.as_millis().saturating_sub(*age));
            self.gateways[gateway].note_report(*of, report.clone(), count, at);
        }
        if let Some(sharing) = &mut self.gateways[gateway].sharing {
            sharing.hear(digest.zone, digest.sender, digest.stamp, &digest.part, now);
        }
    }
}
