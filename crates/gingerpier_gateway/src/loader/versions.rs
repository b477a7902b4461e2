//! Versions of weights at a loader: those that operators named, those that are here whole, and the one that
//! the engine holds.

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
    /// Notes weights that operators named `age` milliseconds ago or less, by the word of `teller`.
    pub fn note_named(&self, named: &Named, teller: Teller, age: u64) {
        let now = clock::now();
        let earliest = Instant::from_millis(now.as_millis().saturating_sub(age));
        let mut namings = self.namings.borrow_mut();
        let known = namings.entry(named.model.clone()).or_default();
        if known.note(named.version, teller, earliest, now) {
            tracing::info!(
                model = named.model,
                version = named.version.0,
                age,
                "weights named"
            );
        }
    }

    /// Takes the word of a gateway, `teller`, on weights that operators named.
    pub fn take_naming(&self, naming: message::Naming, teller: Teller) {
        let named = Named {
            model: naming.model,
            version: Version(naming.version),
        };
        self.note_named(&named, teller, naming.age);
    }

    /// Weights of `model` that operators named, as far as known.
    pub fn named(&self, model: &str) -> Vec<NamedAt> {
        let namings = self.namings.borrow();
        let known = namings.get(model).into_iter().flat_map(Namings::iter);
        let named_at = |naming: &Naming| NamedAt {
            version: naming.version,
            at: naming.at,
        };
        known.map(named_at).collect()
    }

    /// How long the engine may serve what it holds.
    pub fn tenure(&self, model: &str) -> Tenure {
        let Some(held) = self.held(model) else {
            return Tenure::Empty;
        };
        let within = self.settings.version_within.0;
        let namings = self.namings.borrow();
        let known = namings.get(model).into_iter().flat_map(Namings::iter);
        let newer = known.filter(|known| known.version > held);
        let due = newer.map(|newer| newer.due_at(within)).min();
        due.map_or(Tenure::Unbounded, Tenure::Until)
    }

    /// When it was first heard that operators named `named`.
    pub fn heard_of(&self, named: &Named) -> Option<Instant> {
        let namings = self.namings.borrow();
        let mut known = namings.get(&named.model)?.iter();
        let own = known.find(|known| known.version == named.version)?;
        Some(own.heard)
    }

    /// Weights that the engine should hold, as far as known; version 0, which stands for what the origin has, once
    /// others have been waited for long enough.
    pub fn wanted(&self) -> Option<Named> {
        let model = self.model()?;
        let named = self.named(&model);
        let known = Known {
            named: named.iter().map(|named| named.version).max(),
            found: self.told_unnamed(&model, true),
            held: self
                .held_elsewhere(&model)
                .max(self.told_unnamed(&model, false)),
        };
        let mut patience = self.patience.borrow_mut();
        let version = match known.wanted() {
            Some(version) => {
                patience.end();
                version
            }
            None if self.held(&model).is_some() => {
                patience.end();
                return None;
            }
            None => {
                let hears = !self.subscribers.borrow().is_empty();
                let place = order::hash(&self.settings.engine);
                let is_over = patience.is_over(hears, place, clock::now());
                is_over.then(Version::default)?
            }
        };
        Some(Named { model, version })
    }

    /// Newest version of `model` that gateways say the origin has, or else that engines hold, although nobody named it.
    fn told_unnamed(&self, model: &str, is_found: bool) -> Option<Version> {
        let subscribers = self.subscribers.borrow();
        let told = subscribers.values().flat_map(|one| &one.unnamed);
        let of_model = told.filter(|told| told.model == model && told.is_found == is_found);
        of_model.map(|told| Version(told.version)).max()
    }

    /// Machines whose engines serve exactly `named`, as far as known.
    pub fn serving(&self, named: &Named) -> BTreeSet<IpAddr> {
        let fleet = self.fleet.borrow();
        let now = clock::now();
        let serves = |engine: &Engine| engine.version_of(&named.model, now) == Some(named.version);
        let serving = fleet.listed().filter(|(_, engine)| serves(engine));
        serving
            .map(|(_, engine)| engine.record.address.ip())
            .collect()
    }

    fn held_elsewhere(&self, model: &str) -> Option<Version> {
        let fleet = self.fleet.borrow();
        let now = clock::now();
        let versions = fleet
            .listed()
            .filter_map(|(_, engine)| engine.version_of(model, now));
        versions.max()
    }

    /// Notes that every chunk of `version` is here.
    pub fn note_complete(&self, version: Version) {
        if !self.is_complete(version) {
            let at = clock::now();
            self.complete.borrow_mut().push(NamedAt { version, at });
        }
    }

    /// True where every chunk of `version` is here.
    pub fn is_complete(&self, version: Version) -> bool {
        let complete = self.complete.borrow();
        complete.iter().any(|complete| complete.version == version)
    }

    /// Newest version whose chunks are all here.
    pub fn newest_complete(&self) -> Option<Version> {
        let complete = self.complete.borrow();
        complete.iter().map(|complete| complete.version).max()
    }

    /// Since when a version newer than `held` is here whole; now where none is.
    pub fn complete_since(&self, held: Option<Version>) -> Instant {
        let complete = self.complete.borrow();
        let newer = complete
            .iter()
            .filter(|complete| Some(complete.version) > held);
        let first = newer.map(|complete| complete.at).min();
        first.unwrap_or_else(clock::now)
    }

    /// Version of `model` that the engine holds.
    pub fn held(&self, model: &str) -> Option<Version> {
        let report = self.report.borrow();
        let held = report.as_ref()?.held.iter();
        held.filter(|held| held.model == model)
            .map(|held| held.version)
            .max()
    }
}
