//! Listing and expiry of engines, and their metrics.

use {
    super::State,
    crate::{clock, metrics::EngineLabels},
    gingerpier_admission::{
        fairness::Adjustment,
        selection::{self, Availability, Criteria},
    },
    gingerpier_serving::{
        fleet::Record,
        mirror::{Item, Revision},
        outage::Absence,
        platform_api::ItemKind,
        region::RegionSet,
    },
};

/// Target for the first event of the usual request that engines are counted for: long enough that
/// only engines with a queue count as full.
const USUAL_REQUEST_TARGET_MILLIS: u64 = 1_000;

impl State {
    pub(super) fn handle_deletion(&self, item: &Item, deletion: Absence) {
        let id = match self.platform_api.item_kind(&item.key) {
            ItemKind::Engine(id) => id,
            ItemKind::Evacuation(zone) => match deletion {
                Absence::Restored => return self.keep_evacuation(&zone),
                Absence::Event(_) | Absence::Listed => {
                    return self.set_evacuated(&zone, false, item.revision);
                }
            },
            ItemKind::Manifest(model) => {
                let kept_manifests = &self.distributor.kept_manifests;
                return match deletion {
                    Absence::Restored => kept_manifests.mark_missing(&model),
                    Absence::Event(_) | Absence::Listed => kept_manifests.remove(&model),
                };
            }
            ItemKind::Holds => return self.forget_kept_holds(),
            _ => return,
        };
        let revision = item.revision.number;
        let mut fleet = self.fleet.borrow_mut();
        match self.outage.get().excused_until(deletion, clock::now()) {
            Some(until) => {
                fleet.mark_missing(&id, until);
                tracing::info!(
                    engine = id,
                    revision,
                    "engine entry is missing; engine kept until it expires"
                );
            }
            None => {
                fleet.unlist(&id);
                tracing::info!(engine = id, revision, "engine unlisted");
            }
        }
    }

    /// Unlists engines whose missing entries did not return in time.
    pub fn expire_engines(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for key in fleet.remove_expired(clock::now()) {
            let id = &fleet.engine(key).record.id;
            tracing::info!(engine = id, "engine unlisted, as it did not come back");
        }
    }

    pub(super) fn list_engine(&self, record: Record, revision: Revision) {
        let mut fleet = self.fleet.borrow_mut();
        let id = record.id.clone();
        let (state, start_time) = (record.state, record.report.start_time);
        let known = fleet.find(&id);
        let last_state = known.map(|key| fleet.engine(key).record.state);
        let address = record.address;
        let service = record.service.clone();
        let cold_millis = record.cold_millis;
        let key = fleet.list(record, revision);
        let now = clock::now();
        let warmup = &mut fleet.engine_mut(key).warmup;
        let was_cold = warmup.is_cold(now);
        warmup.update_from_entry(cold_millis, now);
        if cold_millis > 0 && !was_cold {
            tracing::info!(engine = id, cold_millis, "engine is cold");
        }
        if known.is_some_and(|known| known != key) {
            tracing::info!(engine = id, born = ?start_time, %address, "engine has started again");
        }
        if known != Some(key) || last_state != Some(state) {
            tracing::info!(engine = id, %address, service, ?state, "engine listed");
        }
    }

    /// Unlists the engine whose entry can't be parsed, until a valid entry replaces it; drops a
    /// manifest that can't be parsed, so that it is written again.
    pub(super) fn drop_unreadable(&self, item: &Item) {
        let id = match self.platform_api.item_kind(&item.key) {
            ItemKind::Engine(id) => id,
            ItemKind::Manifest(model) => return self.distributor.kept_manifests.remove(&model),
            _ => return,
        };
        let mut fleet = self.fleet.borrow_mut();
        let known = fleet.find(&id);
        if known.is_some_and(|known| !fleet.engine(known).is_removed) {
            fleet.unlist(&id);
            let revision = item.revision.number;
            tracing::warn!(
                engine = id,
                revision,
                "engine unlisted, as its entry can't be read"
            );
        }
    }

    /// Accepts entries with an earlier start time whose newer rival is silent, as after a clock was
    /// set back.
    pub fn settle_contested_entries(&self) {
        for id in self.fleet.borrow_mut().accept_contested(clock::now()) {
            tracing::warn!(
                engine = id,
                "engine has started again with an earlier start time, as its clock was set back"
            );
        }
    }

    /// Number of listed engines.
    pub fn engine_count(&self) -> usize {
        self.fleet.borrow().listed().count()
    }

    /// Updates the engine metrics: each service's engines by their availability for a usual
    /// request.
    pub fn update_engine_metrics(&self) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let now = clock::now();
        let fleet = self.fleet.borrow();
        for (service, engines) in configuration.services_part().engines() {
            let model = engines.models.first().map(String::as_str);
            let cutovers = model.map_or_else(Vec::new, |model| self.cutovers(model));
            let criteria = Criteria {
                service: &service.name,
                engine_model: Some(engines),
                model,
                cutovers: &cutovers,
                resume_version: None,
                prompt_tokens: engines.mean_prompt_tokens.into(),
                target_millis: USUAL_REQUEST_TARGET_MILLIS,
                target_share: 1.0,
                fairness: Adjustment::default(),
                allowed_regions: RegionSet::ALL,
                cold_limits: self.cold_limits(service),
                zone: &self.settings.zone,
                gateway_count: self.zones.borrow().gateway_count(),
                other_arrivals_per_milli: 0.0,
                overtaking_per_milli: 0.0,
                tried_engines: &[],
                may_crash_engine: false,
            };
            let counts = selection::count_availability(&fleet, &criteria, now);
            for availability in Availability::ALL {
                let labels = EngineLabels {
                    service: service.name.as_str().into(),
                    standing: availability.label().into(),
                };
                let gauge = self.metrics.engines.get_or_create(&labels).clone();
                gauge.set(counts.count(availability).into());
            }
        }
    }
}
