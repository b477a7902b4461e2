//! Engines as they are listed, lapse and go, and how many stand how.

use {
    super::State,
    crate::{clock, metrics::Engines},
    gingerpier_serving::{
        admission::{self, Demand, Standing},
        dialect::Subject,
        evenness::Even,
        fleet::Record,
        mirror::{Item, Revision},
        outage::Absence,
        region::Homes,
    },
};

/// Time within which the usual request that engines are counted for has its full worth, in milliseconds: the longest
/// of usual targets, so that only engines with a queue count as full.
const USUAL_TARGET_MILLIS: u64 = 1_000;

impl State {
    pub(super) fn take_absence(&self, item: &Item, absence: Absence) {
        let id = match self.dialect.subject(&item.key) {
            Subject::Engine(id) => id,
            Subject::Evacuation(zone) => return self.evacuate(&zone, false, item.revision),
            _ => return,
        };
        let revision = item.revision.0;
        let mut fleet = self.fleet.borrow_mut();
        match self.outage.get().lapses_at(absence, clock::now()) {
            Some(until) => {
                fleet.lapse(&id, until);
                tracing::info!(engine = id, revision, "engine lapsed");
            }
            None => {
                fleet.unlist(&id);
                tracing::info!(engine = id, revision, "engine unlisted");
            }
        }
    }

    /// Takes engines off that lapsed and are not back.
    pub fn expire_engines(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for key in fleet.expire(clock::now()) {
            let id = &fleet.engine(key).record.id;
            tracing::info!(engine = id, "engine unlisted, as it did not come back");
        }
    }

    pub(super) fn list(&self, record: Record, revision: Revision) {
        let mut fleet = self.fleet.borrow_mut();
        let id = record.id.clone();
        let (state, born) = (record.state, record.report.born);
        let known = fleet.find(&id);
        let last = known.map(|key| fleet.engine(key).record.state);
        let address = record.address;
        let service = record.service.clone();
        let cold_millis = record.cold_millis;
        let key = fleet.list(record, revision);
        let now = clock::now();
        let warmth = &mut fleet.engine_mut(key).warmth;
        let was_cold = warmth.is_cold(now);
        warmth.note_told(cold_millis, now);
        if cold_millis > 0 && !was_cold {
            tracing::info!(engine = id, cold_millis, "engine is cold");
        }
        if known.is_some_and(|known| known != key) {
            tracing::info!(engine = id, born = ?born, %address, "engine has started again");
        }
        if known != Some(key) || last != Some(state) {
            tracing::info!(engine = id, %address, service, ?state, "engine listed");
        }
    }

    /// An entry that can't be read names no engine: one that was known by it is not to be used until a good one is back.
    pub(super) fn list_nothing(&self, item: &Item) {
        let Subject::Engine(id) = self.dialect.subject(&item.key) else {
            return;
        };
        let mut fleet = self.fleet.borrow_mut();
        let known = fleet.find(&id);
        if known.is_some_and(|known| !fleet.engine(known).is_gone) {
            fleet.unlist(&id);
            let revision = item.revision.0;
            tracing::warn!(
                engine = id,
                revision,
                "engine unlisted, as its entry can't be read"
            );
        }
    }

    /// Takes engines for started again whose clocks were set back meanwhile.
    pub fn settle_doubts(&self) {
        for id in self.fleet.borrow_mut().settle_doubts(clock::now()) {
            tracing::warn!(
                engine = id,
                "engine has started again, by a clock that was set back"
            );
        }
    }

    /// Engines that are listed.
    pub fn engine_count(&self) -> usize {
        self.fleet.borrow().listed().count()
    }

    /// Counts listed engines by what keeps them from taking a usual request.
    pub fn count_engines(&self) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let now = clock::now();
        let fleet = self.fleet.borrow();
        for (service, engines) in configuration.services_part().engines() {
            let model = engines.models.first().map(String::as_str);
            let due = model.map_or_else(Vec::new, |model| self.due(model));
            let demand = Demand {
                service: &service.name,
                engines: Some(engines),
                model,
                due: &due,
                goes_on_with: None,
                prompt_tokens: engines.usual_prompt.into(),
                target_millis: USUAL_TARGET_MILLIS,
                target_share: 1.0,
                even: Even::default(),
                homes: Homes::ANYWHERE,
                cold: self.cold_terms(service),
                zone: &self.settings.zone,
                gateways: self.zones.borrow().gateway_count(),
                others_per_milli: 0.0,
                tried: &[],
                may_end_engine: false,
            };
            let census = admission::census(&fleet, &demand, now);
            for standing in Standing::ALL {
                let label = Engines {
                    service: service.name.clone(),
                    standing: standing.word().to_owned(),
                };
                let gauge = self.metrics.engines.get_or_create(&label).clone();
                gauge.set(census.count(standing).into());
            }
        }
    }
}
