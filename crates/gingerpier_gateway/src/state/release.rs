//! Released weights, and the cutovers at which older versions may start no more requests.

use {
    super::State,
    crate::{clock, message},
    gingerpier_serving::{
        admission::Cutover,
        dialect::Named,
        naming::{Naming, Namings, OWN},
        report::Version,
    },
};

impl State {
    /// Records a release that this gateway read from the store.
    pub fn record_release(&self, release: &Named) {
        let now = clock::now();
        let (freshness, within_millis) = (self.freshness.get(), self.settings.version_within.0);
        let earliest = freshness.earliest(within_millis, now);
        let mut releases = self.releases.borrow_mut();
        let model_releases = releases.entry(release.model.clone()).or_default();
        if !model_releases.note(release.version, OWN, earliest, now) {
            return;
        }
        // Counts a stall of the process that no timer has noticed yet.
        model_releases.note_break(freshness.due_after_break(self.record_tick(), within_millis));
        tracing::info!(
            model = release.model,
            version = release.version.0,
            age = now.millis_since(earliest),
            "weights named"
        );
        self.release_changed.notify_one();
    }

    /// Newest release of each model.
    pub fn newest_releases(&self) -> Vec<Named> {
        let releases = self.releases.borrow();
        let newest = |(model, model_releases): (&String, &Namings)| {
            Some(Named {
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
    pub fn may_be_distributed(&self, release: &Named, millis: u64) -> bool {
        let releases = self.releases.borrow();
        let model_releases = releases
            .get(&release.model)
            .into_iter()
            .flat_map(Namings::iter);
        let mut same_version =
            model_releases.filter(|candidate| candidate.version == release.version);
        same_version.all(|candidate| {
            let age = clock::now().millis_since(candidate.heard);
            age >= millis || candidate.due_after_break.is_some()
        })
    }

    /// Newest release of each model, with its age, for loaders.
    pub fn releases(&self) -> Vec<message::ReportedRelease> {
        let now = clock::now();
        let releases = self.releases.borrow();
        let newest = |(model, model_releases): (&String, &Namings)| {
            let newest = model_releases.newest()?;
            Some(message::ReportedRelease {
                model: model.clone(),
                version: newest.version.0,
                age_millis: now.millis_since(newest.at),
            })
        };
        releases.iter().filter_map(newest).collect()
    }

    /// Past and coming cutovers of `model`.
    pub fn cutovers(&self, model: &str) -> Vec<Cutover> {
        let releases = self.releases.borrow();
        let model_releases = releases.get(model).into_iter().flat_map(Namings::iter);
        model_releases
            .map(|release| self.cutover_of(release))
            .collect()
    }

    fn cutover_of(&self, release: &Naming) -> Cutover {
        Cutover {
            version: release.version,
            at: release.due_at(self.settings.version_within.0),
        }
    }
}
