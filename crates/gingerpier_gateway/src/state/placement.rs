//! Evacuated zones, unknown regions and ownership of cold engines.

use {
    super::State,
    crate::clock,
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        configuration::{Configuration, Service},
        engine::Engine,
        fleet::EngineKey,
        mirror::Revision,
        warmup::ColdLimits,
    },
};

/// Time without a stall after which this gateway knows enough of the others to own cold engines:
/// twice the time in which a new gateway becomes known.
pub(super) const MIN_UPTIME_MILLIS: u64 = 1_500;

impl State {
    /// Sets whether the engines of `zone` are excluded from new requests.
    pub(super) fn set_evacuated(&self, zone: &str, is_evacuated: bool, revision: Revision) {
        let now = clock::now();
        let mut fleet = self.fleet.borrow_mut();
        if !fleet.set_evacuated(zone, is_evacuated, now) {
            return;
        }
        tracing::info!(
            zone,
            is_evacuated,
            revision = revision.number,
            age = ?self.contact_age_millis(),
            "zone evacuation changed"
        );
    }

    /// Keeps the evacuation of `zone` for now, whose entry a restored store lacks.
    pub(super) fn keep_evacuation(&self, zone: &str) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_evacuation_missing(zone, clock::now());
        tracing::info!(zone, "evacuation is missing in the store; kept for now");
    }

    /// Ends evacuations that operators did not write again after the store had lost them.
    pub fn end_missing_evacuations(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for zone in fleet.end_missing_evacuations(clock::now()) {
            tracing::warn!(zone, "evacuation ended, as it was not written again");
        }
    }

    /// Logs regions that a configuration names and this deployment does not have.
    pub(super) fn log_unknown_regions(&self, configuration: &Configuration) {
        for (bound, regions) in configuration.restrictions() {
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

    /// Limits on requests to cold engines of `service`.
    pub fn cold_limits(&self, service: &Service) -> ColdLimits {
        ColdLimits {
            per_second: service.cold_per_second,
            overshoot: self.settings.cold_overshoot,
            allowance: self.settings.cold_allowance,
        }
    }

    /// Updates which cold engines this gateway owns; it owns none until it has run for a while
    /// without a stall.
    pub fn update_cold_ownership(&self, running_since: Instant) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let now = clock::now();
        let may_own_from = running_since.after_millis(MIN_UPTIME_MILLIS);
        let zones = self.zones.borrow();
        let gateways = zones.gateway_count();
        let mut fleet = self.fleet.borrow_mut();
        for service in configuration.services() {
            let limits = self.cold_limits(service);
            if !limits.may_be_cold() {
                continue;
            }
            let is_cold = |(_, engine): &(EngineKey, &Engine)| engine.warmup.is_cold(now);
            let cold_engines = fleet.current_of_service(&service.name).filter(is_cold);
            let cold_engines: Vec<EngineKey> = cold_engines.map(|(key, _)| key).collect();
            for key in cold_engines {
                let engine = fleet.engine_mut(key);
                let subject = order::hash(&engine.record.address);
                let is_owned = may_own_from.has_passed(now)
                    && zones.is_among(subject, limits.owner_count(gateways), now);
                engine.warmup.set_owned(is_owned);
            }
        }
    }
}
