//! Released weights, and the cutovers at which older versions may start no more requests.

use {
    super::State,
    crate::{clock, message},
    gingerpier_admission::selection::Cutover,
    gingerpier_serving::{
        platform_api::ModelVersion,
        release::{LOCAL, Release, Releases},
        report::Version,
    },
};

impl State {
    /// Records a release that this gateway read from the store.
    pub fn record_release(&self, release: &ModelVersion) {
        let now = clock::now();
        let (freshness, within_millis) = (self.freshness.get(), self.settings.version_within.0);
        let earliest = freshness.earliest_release(within_millis, now);
        let mut releases = self.releases.borrow_mut();
        let model_releases = releases.entry(release.model.clone()).or_default();
        if !model_releases.record(release.version, LOCAL, earliest, now) {
            return;
        }
        // Counts a stall of the process that no timer has noticed yet.
        model_releases
            .set_restart_expiry(freshness.restart_expiry(self.record_tick(), within_millis));
        tracing::info!(
            model = release.model,
            version = release.version.0,
            age = now.millis_since(earliest),
            "weights named"
        );
        self.release_changed.notify_one();
    }

    /// Newest release of each model.
    pub fn newest_releases(&self) -> Vec<ModelVersion> {
        let releases = self.releases.borrow();
        let newest = |(model, model_releases): (&String, &Releases)| {
            Some(ModelVersion {
                model: model.clone(),
                version: model_releases.newest()?.version,
            })
        };
        releases.iter().filter_map(newest).collect()
    }

    /// Newest released version of `model`.
    pub fn newest_release(&self, model: &str) -> Option<Version> {
        let releases = self.releases.borrow();
        Some(releases.get(model)?.newest()?.version)
    }

    /// True if another process may already have a part of the version: it is no release, is known
    /// for `millis`, or may have been released before this process began to run.
    pub fn may_be_distributed(&self, release: &ModelVersion, millis: u64) -> bool {
        let releases = self.releases.borrow();
        let model_releases = releases
            .get(&release.model)
            .into_iter()
            .flat_map(Releases::iter);
        let mut same_version =
            model_releases.filter(|candidate| candidate.version == release.version);
        same_version.all(|candidate| {
            let age = clock::now().millis_since(candidate.discovered_at);
            age >= millis || candidate.restart_expiry.is_some()
        })
    }

    /// Newest release of each model, with its age, for loaders.
    pub fn releases(&self) -> Vec<message::ReportedRelease> {
        let now = clock::now();
        let releases = self.releases.borrow();
        let newest = |(model, model_releases): (&String, &Releases)| {
            let newest = model_releases.newest()?;
            Some(message::ReportedRelease {
                model: model.clone(),
                version: newest.version.0,
                age_millis: now.millis_since(newest.released_at),
            })
        };
        releases.iter().filter_map(newest).collect()
    }

    /// Past and coming cutovers of `model`.
    pub fn cutovers(&self, model: &str) -> Vec<Cutover> {
        let releases = self.releases.borrow();
        let model_releases = releases.get(model).into_iter().flat_map(Releases::iter);
        model_releases
            .map(|release| self.cutover_of(release))
            .collect()
    }

    fn cutover_of(&self, release: &Release) -> Cutover {
        Cutover {
            version: release.version,
            at: release.expires_at(self.settings.version_within.0),
        }
    }
}
