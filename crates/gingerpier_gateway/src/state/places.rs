//! Where requests may be served: regions, zones that were emptied, and engines that are cold.

use {
    super::State,
    crate::clock,
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        configuration::{Configuration, Service},
        engine::Engine,
        fleet::EngineKey,
        mirror::Revision,
        warmth::Terms,
    },
};

/// Milliseconds without a standstill after which this gateway knows the others well enough to own cold engines: twice as
/// long as another takes to be named.
const OWNING_MILLIS: u64 = 1_500;

impl State {
    /// Takes whether the engines of `zone` are to get no requests.
    pub(super) fn evacuate(&self, zone: &str, is_evacuated: bool, revision: Revision) {
        let now = clock::now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_evacuated(zone, is_evacuated, now);
        tracing::info!(
            zone,
            is_evacuated,
            revision = revision.0,
            age = ?self.contact_age(),
            "evacuation of a zone"
        );
    }

    /// Tells of regions that are named in a configuration and are none of this deployment.
    pub(super) fn tell_unknown_regions(&self, configuration: &Configuration) {
        for (bound, regions) in configuration.bound() {
            let unknown = regions
                .iter()
                .find(|name| self.regions.find(name).is_none());
            if let Some(region) = unknown {
                tracing::error!(
                    bound,
                    region,
                    version = configuration.version,
                    "a region is not known; nothing is served there"
                );
            }
        }
    }

    /// What cold engines of `service` bear.
    pub fn cold_terms(&self, service: &Service) -> Terms {
        Terms {
            per_second: service.cold_per_second,
            overshoot: self.settings.cold_overshoot,
            allowance: self.settings.cold_allowance,
        }
    }

    /// Notes of which cold engines this gateway is an owner, where it has run without a standstill `since` then.
    pub fn note_owned(&self, since: Instant) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let now = clock::now();
        let runs = since.after_millis(OWNING_MILLIS);
        let zones = self.zones.borrow();
        let gateways = zones.gateway_count();
        let mut fleet = self.fleet.borrow_mut();
        for service in configuration.services() {
            let terms = self.cold_terms(service);
            if !terms.may_be_cold() {
                continue;
            }
            let is_cold = |(_, engine): &(EngineKey, &Engine)| engine.warmth.is_cold(now);
            let cold = fleet.present(&service.name).filter(is_cold);
            let cold: Vec<EngineKey> = cold.map(|(key, _)| key).collect();
            for key in cold {
                let engine = fleet.engine_mut(key);
                let subject = order::hash(&engine.record.address);
                let is_owned = runs.has_passed(now)
                    && zones.is_among(subject, terms.owner_count(gateways), now);
                engine.warmth.note_owned(is_owned);
            }
        }
    }
}
