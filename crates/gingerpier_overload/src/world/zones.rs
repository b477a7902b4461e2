//! Reports within zones, and digests between them.

use {
    super::{Event, World},
    crate::gateway::ReportOf,
    gingerpier_base::Instant,
    gingerpier_serving::{report::Report, zones::DIGEST_SENDERS},
    std::sync::Arc,
};

/// Largest offset between the digests of a zone's two senders, in milliseconds: they started together.
const SENDER_OFFSET_MILLIS: f64 = 60.0;

/// Reports of a zone's engines with their age in milliseconds.
#[derive(Debug, Clone)]
pub(super) struct Digest {
    zone: usize,
    reports: Vec<(ReportOf, Report, u64)>,
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
            let phase = self.draw.between(0.0, zoning.digest_millis as f64);
            for gateway in zoning.gateways_of(zone) {
                let offset = self.draw.between(0.0, SENDER_OFFSET_MILLIS);
                self.after(phase + offset, Event::Digest(gateway));
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

    /// True where a gateway is one of those that send its zone's digests.
    pub(super) fn is_sender(&self, gateway: usize) -> bool {
        let zone = self.deployment.zone_of_gateway(gateway);
        let alive = self.gateways_of(zone);
        alive.iter().take(DIGEST_SENDERS).any(|one| *one == gateway)
    }

    pub(super) fn send_digest(&mut self, gateway: usize) {
        let zoning = self.deployment.zoning.as_ref().expect("a zoned deployment");
        let every = zoning.digest_millis as f64;
        self.after(every, Event::Digest(gateway));
        if self.conditions.is_down[gateway] || !self.is_sender(gateway) {
            return;
        }
        let zone = self.deployment.zone_of_gateway(gateway);
        let reports = self.gateways[gateway].reports_of_zone(zone, self.instant());
        let digest = Arc::new(Digest { zone, reports });
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

    /// Ages count from the digest's receipt, as in the gateway.
    pub(super) fn hear_digest(&mut self, gateway: usize, digest: &Digest) {
        let now = self.instant();
        let count = self.gateways.len();
        for (of, report, age) in &digest.reports {
            let at = Instant::from_millis(now.as_millis().saturating_sub(*age));
            self.gateways[gateway].note_report(*of, report.clone(), count, at);
        }
        debug_assert!(digest.zone != self.deployment.zone_of_gateway(gateway));
    }
}
