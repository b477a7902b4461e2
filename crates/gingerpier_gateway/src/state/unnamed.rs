//! Weights that operators have not named.

use {
    super::State,
    crate::{clock, message},
    gingerpier_serving::{configuration::Configuration, dialect::Named, unnamed::Known},
};

/// Models that engines of `configuration` are for, each with its service.
pub fn models(configuration: &Configuration) -> impl Iterator<Item = (&str, &str)> {
    let engines = configuration.services_part().engines();
    engines.filter_map(|(service, engines)| {
        Some((service.name.as_str(), engines.models.first()?.as_str()))
    })
}

impl State {
    /// What is known of the weights of `model` at engines of `service`.
    pub fn known_weights(&self, service: &str, model: &str) -> Known {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let present = fleet.present(service);
        let held = present.filter_map(|(_, engine)| engine.version_of(model, now));
        Known {
            held: held.max(),
            ..self.known_origin(model)
        }
    }

    /// The same, but for what engines hold.
    pub fn known_origin(&self, model: &str) -> Known {
        Known {
            named: self.newest_named(model),
            found: self.found.borrow().get(model).copied(),
            held: None,
        }
    }

    /// True where an engine of `service` lacks weights of `model`.
    pub fn lacks_weights(&self, service: &str, model: &str) -> bool {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let mut present = fleet.present(service);
        present.any(|(_, engine)| engine.version_of(model, now).is_none())
    }

    /// Notes what the origin was found to have; loaders hear of it at once.
    pub fn note_found(&self, found: Named) {
        let known = self
            .found
            .borrow_mut()
            .insert(found.model.clone(), found.version);
        if known != Some(found.version) {
            tracing::info!(model = found.model, version = found.version.0, known = ?known, "origin found to have weights");
            self.naming.notify_one();
        }
    }

    /// What loaders are told of weights that nobody named, while some engine lacks them: a loader that hears 36 gateways
    /// would else get some 1.8 KB a second of it, worked out from 25 bytes a word.
    pub fn unnamed(&self) -> Vec<message::Unnamed> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let told = models(&configuration).filter_map(|(service, model)| {
            let is_named = self.newest_named(model).is_some();
            if is_named || !self.lacks_weights(service, model) {
                return None;
            }
            let known = self.known_weights(service, model);
            let version = known.wanted()?;
            Some(message::Unnamed {
                model: model.to_owned(),
                version: version.0,
                is_found: known.found.is_some(),
            })
        });
        told.collect()
    }
}
