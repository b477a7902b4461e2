//! Versions known to a loader: releases, complete versions and the one that the engine has loaded.

use {
    super::Loader,
    crate::{clock, message},
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        bringing::{NamedAt, Tenure},
        dialect::Named,
        engine::Engine,
        naming::{Naming, Namings, Teller},
        report::Version,
        unnamed::Known,
    },
    std::{collections::BTreeSet, net::IpAddr},
};

impl Loader {
    /// Records a release made at most `age` milliseconds ago, as reported by
    /// `source`.
    pub fn record_release(&self, model_version: &Named, source: Teller, age: u64) {
        let now = clock::now();
        let earliest = Instant::from_millis(now.as_millis().saturating_sub(age));
        let mut releases = self.releases.borrow_mut();
        let known = releases.entry(model_version.model.clone()).or_default();
        if known.note(model_version.version, source, earliest, now) {
            tracing::info!(
                model = model_version.model,
                version = model_version.version.0,
                age,
                "weights named"
            );
        }
    }

    /// Records a release that the gateway `source` reported.
    pub fn record_peer_release(&self, release: message::ReportedRelease, source: Teller) {
        let model_version = Named {
            model: release.model,
            version: Version(release.version),
        };
        self.record_release(&model_version, source, release.age_millis);
    }

    /// Known releases of `model`.
    pub fn release_times(&self, model: &str) -> Vec<NamedAt> {
        let releases = self.releases.borrow();
        let known = releases.get(model).into_iter().flat_map(Namings::iter);
        let release_time = |release: &Naming| NamedAt {
            version: release.version,
            at: release.at,
        };
        known.map(release_time).collect()
    }

    /// Time until which the engine may serve its loaded version.
    pub fn validity(&self, model: &str) -> Tenure {
        let Some(loaded) = self.loaded_version(model) else {
            return Tenure::Empty;
        };
        let within = self.settings.version_within.0;
        let releases = self.releases.borrow();
        let known = releases.get(model).into_iter().flat_map(Namings::iter);
        let newer = known.filter(|known| known.version > loaded);
        let due = newer.map(|newer| newer.due_at(within)).min();
        due.map_or(Tenure::Unbounded, Tenure::Until)
    }

    /// Time at which this loader first learned of the release.
    pub fn first_known_at(&self, model_version: &Named) -> Option<Instant> {
        let releases = self.releases.borrow();
        let mut known = releases.get(&model_version.model)?.iter();
        let own = known.find(|known| known.version == model_version.version)?;
        Some(own.heard)
    }

    /// Version that the engine should load. Version 0 stands for the origin's newest, and is
    /// returned after a wait for other versions to become known.
    pub fn target(&self) -> Option<Named> {
        let model = self.model()?;
        let release_times = self.release_times(&model);
        let known = Known {
            named: release_times.iter().map(|release| release.version).max(),
            found: self.reported_unreleased(&model, true),
            held: self
                .newest_loaded_elsewhere(&model)
                .max(self.reported_unreleased(&model, false)),
        };
        let mut origin_fallback = self.origin_fallback.borrow_mut();
        let version = match known.wanted() {
            Some(version) => {
                origin_fallback.end();
                version
            }
            None if self.loaded_version(&model).is_some() => {
                origin_fallback.end();
                return None;
            }
            None => {
                let has_subscribers = !self.subscribers.borrow().is_empty();
                let position = order::hash(&self.settings.engine);
                let is_over = origin_fallback.is_over(has_subscribers, position, clock::now());
                is_over.then(Version::default)?
            }
        };
        Some(Named { model, version })
    }

    /// Newest unreleased version of `model` that gateways report at the origin (`is_found`) or at
    /// engines.
    fn reported_unreleased(&self, model: &str, is_found: bool) -> Option<Version> {
        let subscribers = self.subscribers.borrow();
        let reported = subscribers
            .values()
            .flat_map(|subscriber| &subscriber.unreleased);
        let of_model =
            reported.filter(|report| report.model == model && report.is_found == is_found);
        of_model.map(|report| Version(report.version)).max()
    }

    /// Machines whose engines serve exactly `model_version`.
    pub fn machines_serving(&self, model_version: &Named) -> BTreeSet<IpAddr> {
        let fleet = self.fleet.borrow();
        let now = clock::now();
        let serves = |engine: &Engine| {
            engine.version_of(&model_version.model, now) == Some(model_version.version)
        };
        let engines = fleet.listed().filter(|(_, engine)| serves(engine));
        engines
            .map(|(_, engine)| engine.record.address.ip())
            .collect()
    }

    fn newest_loaded_elsewhere(&self, model: &str) -> Option<Version> {
        let fleet = self.fleet.borrow();
        let now = clock::now();
        let versions = fleet
            .listed()
            .filter_map(|(_, engine)| engine.version_of(model, now));
        versions.max()
    }

    /// Records that every chunk of `version` is cached.
    pub fn mark_complete(&self, version: Version) {
        if !self.is_complete(version) {
            let at = clock::now();
            self.complete_versions
                .borrow_mut()
                .push(NamedAt { version, at });
        }
    }

    /// True if every chunk of `version` is cached.
    pub fn is_complete(&self, version: Version) -> bool {
        let complete = self.complete_versions.borrow();
        complete.iter().any(|complete| complete.version == version)
    }

    /// Newest version whose chunks are all cached.
    pub fn newest_complete(&self) -> Option<Version> {
        let complete = self.complete_versions.borrow();
        complete.iter().map(|complete| complete.version).max()
    }

    /// Time since when a version newer than `loaded` is complete; now if none is.
    pub fn complete_since(&self, loaded: Option<Version>) -> Instant {
        let complete = self.complete_versions.borrow();
        let newer = complete
            .iter()
            .filter(|complete| Some(complete.version) > loaded);
        let first = newer.map(|complete| complete.at).min();
        first.unwrap_or_else(clock::now)
    }

    /// Version of `model` that the engine has loaded.
    pub fn loaded_version(&self, model: &str) -> Option<Version> {
        let report = self.report.borrow();
        let loaded = report.as_ref()?.held.iter();
        loaded
            .filter(|held| held.model == model)
            .map(|held| held.version)
            .max()
    }
}
