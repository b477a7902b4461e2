//! Weights of models without a release.

use {
    super::State,
    crate::{clock, message, weights::manifest_keeper::KeptManifest},
    bytes::Bytes,
    gingerpier_serving::{
        configuration::Configuration,
        mirror::Item,
        platform_api::{ItemKind, Manifest, ModelVersion},
        unreleased::Known,
    },
};

/// Models of the configuration's engines, as pairs of service and model.
pub fn configured_models(configuration: &Configuration) -> impl Iterator<Item = (&str, &str)> {
    let engines = configuration.services_part().engines();
    engines.filter_map(|(service, engines)| {
        Some((service.name.as_str(), engines.models.first()?.as_str()))
    })
}

impl State {
    /// Known versions of `model`, including those that engines of `service` have loaded or, if none
    /// reports one, the version whose manifest the store keeps: engines had loaded it.
    pub fn known_versions(&self, service: &str, model: &str) -> Known {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let present = fleet.current_of_service(service);
        let loaded_versions = present.filter_map(|(_, engine)| engine.loaded_version(model, now));
        Known {
            held: loaded_versions
                .max()
                .or_else(|| self.distributor.kept_manifests.version(model)),
            ..self.available_versions(model)
        }
    }

    /// Known versions of `model` from releases and the origin only.
    pub fn available_versions(&self, model: &str) -> Known {
        Known {
            named: self.newest_release(model),
            found: self.origin_versions.borrow().get(model).copied(),
            held: None,
        }
    }

    /// Records a manifest that the store keeps.
    pub(super) fn record_kept_manifest(&self, manifest: Manifest, item: &Item) {
        let Some(value) = &item.value else { return };
        if self.platform_api.item_kind(&item.key) != ItemKind::Manifest(manifest.model.clone()) {
            return self.drop_unreadable(item);
        }
        tracing::info!(
            model = manifest.model,
            version = manifest.version.0,
            revision = item.revision.number,
            "manifest found in the store"
        );
        let bytes = Bytes::copy_from_slice(value);
        let kept = KeptManifest { manifest, bytes };
        self.distributor.kept_manifests.insert(kept);
        self.distributor.arrived.notify_waiters();
    }

    /// True if an engine of `service` has no weights of `model` loaded.
    pub fn lacks_weights(&self, service: &str, model: &str) -> bool {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let mut present = fleet.current_of_service(service);
        present.any(|(_, engine)| engine.loaded_version(model, now).is_none())
    }

    /// Records the version that the origin offers and notifies loaders.
    pub fn record_origin_version(&self, found: ModelVersion) {
        let previous = self
            .origin_versions
            .borrow_mut()
            .insert(found.model.clone(), found.version);
        if previous != Some(found.version) {
            tracing::info!(model = found.model, version = found.version.0, known = ?previous, "origin found to have weights");
            self.release_changed.notify_one();
        }
    }

    /// Versions for loaders of models without a release; none for a model that all engines have
    /// loaded, which keeps subscriptions short.
    pub fn unreleased_versions(&self) -> Vec<message::UnreleasedVersion> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let versions = configured_models(&configuration).filter_map(|(service, model)| {
            let is_released = self.newest_release(model).is_some();
            if is_released || !self.lacks_weights(service, model) {
                return None;
            }
            let known = self.known_versions(service, model);
            let version = known.target()?;
            Some(message::UnreleasedVersion {
                model: model.to_owned(),
                version: version.0,
                is_found: known.found.is_some(),
            })
        });
        versions.collect()
    }
}
