//! Versions known to a loader: releases, complete versions and the one that the engine has loaded.

use {
    super::Loader,
    crate::{clock, message},
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        engine::Engine,
        platform_api::ModelVersion,
        release::{Release, Releases, Reporter},
        report::Version,
        unreleased::Known,
        update_schedule::{ReleaseTime, Validity},
    },
    std::{collections::BTreeSet, net::IpAddr},
};

impl Loader {
    /// Records a release made at most `age` milliseconds ago, as reported by `reporter`.
    pub fn record_release(&self, model_version: &ModelVersion, reporter: Reporter, age: u64) {
        let now = clock::now();
        let earliest = Instant::from_millis(now.as_millis().saturating_sub(age));
        let mut releases = self.releases.borrow_mut();
        let known = releases.entry(model_version.model.clone()).or_default();
        if known.record(model_version.version, reporter, earliest, now) {
            tracing::info!(
                model = model_version.model,
                version = model_version.version.0,
                age,
                "weights named"
            );
        }
    }

    /// Records a release that the gateway `reporter` reported.
    pub fn record_peer_release(&self, release: message::ReportedRelease, reporter: Reporter) {
        let model_version = ModelVersion {
            model: release.model,
            version: Version(release.version),
        };
        self.record_release(&model_version, reporter, release.age_millis);
    }

    /// Known releases of `model`.
    pub fn release_times(&self, model: &str) -> Vec<ReleaseTime> {
        let releases = self.releases.borrow();
        let known = releases.get(model).into_iter().flat_map(Releases::iter);
        let release_time = |release: &Release| ReleaseTime {
            version: release.version,
            at: release.released_at,
        };
        known.map(release_time).collect()
    }

    /// Time until which the engine may serve its loaded version.
    pub fn validity(&self, model: &str) -> Validity {
        let Some(loaded) = self.loaded_version(model) else {
            return Validity::Empty;
        };
        let within = self.settings.version_within.0;
        let releases = self.releases.borrow();
        let known = releases.get(model).into_iter().flat_map(Releases::iter);
        let newer = known.filter(|known| known.version > loaded);
        let due = newer.map(|newer| newer.expires_at(within)).min();
        due.map_or(Validity::Unbounded, Validity::Until)
    }

    /// Time at which this loader first learned of the release.
    pub fn first_known_at(&self, model_version: &ModelVersion) -> Option<Instant> {
        let releases = self.releases.borrow();
        let mut known = releases.get(&model_version.model)?.iter();
        let own = known.find(|known| known.version == model_version.version)?;
        Some(own.discovered_at)
    }

    /// Version that the engine should load. Version 0 stands for the origin's newest, and is
    /// returned after a wait for other versions to become known.
    pub fn target(&self) -> Option<ModelVersion> {
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
        let version = match known.target() {
            Some(version) => {
                origin_fallback.reset();
                version
            }
            None if self.loaded_version(&model).is_some() => {
                origin_fallback.reset();
                return None;
            }
            None => {
                let has_subscribers = !self.subscribers.borrow().is_empty();
                let position = order::hash(&self.settings.engine);
                let is_over = origin_fallback.is_over(has_subscribers, position, clock::now());
                is_over.then(Version::default)?
            }
        };
        Some(ModelVersion { model, version })
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
    pub fn machines_serving(&self, model_version: &ModelVersion) -> BTreeSet<IpAddr> {
        let fleet = self.fleet.borrow();
        let now = clock::now();
        let serves = |engine: &Engine| {
            engine.loaded_version(&model_version.model, now) == Some(model_version.version)
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
            .filter_map(|(_, engine)| engine.loaded_version(model, now));
        versions.max()
    }

    /// Records that every chunk of `version` is cached.
    pub fn mark_complete(&self, version: Version) {
        if !self.is_complete(version) {
            let at = clock::now();
            self.complete_versions
                .borrow_mut()
                .push(ReleaseTime { version, at });
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
        let loaded = report.as_ref()?.loaded.iter();
        loaded
            .filter(|held| held.model == model)
            .map(|held| held.version)
            .max()
    }
}
