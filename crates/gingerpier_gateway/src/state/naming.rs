//! Weights that operators named, and from when on older ones may start nothing.

use {
    super::State,
    crate::{clock, message},
    gingerpier_serving::{
        admission::Due,
        dialect::Named,
        naming::{Naming, Namings, OWN},
        report::Version,
    },
};

impl State {
    /// Notes weights that operators named.
    pub fn note_named(&self, named: &Named) {
        let now = clock::now();
        let (fresh, within) = (self.fresh.get(), self.settings.version_within.0);
        let earliest = fresh.earliest(within, now);
        let mut namings = self.namings.borrow_mut();
        let known = namings.entry(named.model.clone()).or_default();
        if !known.note(named.version, OWN, earliest, now) {
            return;
        }
        // What is heard may be read before any timer shows a standstill.
        known.note_break(fresh.due_after_break(self.note_running(), within));
        tracing::info!(
            model = named.model,
            version = named.version.0,
            age = now.millis_since(earliest),
            "weights named"
        );
        self.naming.notify_one();
    }

    /// Newest weights named of each model.
    pub fn named(&self) -> Vec<Named> {
        let namings = self.namings.borrow();
        let newest = |(model, known): (&String, &Namings)| {
            Some(Named {
                model: model.clone(),
                version: known.newest()?.version,
            })
        };
        namings.iter().filter_map(newest).collect()
    }

    /// Newest weights of `model` that were named.
    pub fn newest_named(&self, model: &str) -> Option<Version> {
        let namings = self.namings.borrow();
        Some(namings.get(model)?.newest()?.version)
    }

    /// True where others may hold a part of `named`: it was never named, or was heard of `millis` ago, or may have been
    /// named before this process began to run.
    pub fn may_be_held(&self, named: &Named, millis: u64) -> bool {
        let namings = self.namings.borrow();
        let known = namings
            .get(&named.model)
            .into_iter()
            .flat_map(Namings::iter);
        let mut own = known.filter(|known| known.version == named.version);
        own.all(|own| {
            let age = clock::now().millis_since(own.heard);
            age >= millis || own.due_after_break.is_some()
        })
    }

    /// The same as loaders are told.
    pub fn namings(&self) -> Vec<message::Naming> {
        let now = clock::now();
        let namings = self.namings.borrow();
        let newest = |(model, known): (&String, &Namings)| {
            let newest = known.newest()?;
            Some(message::Naming {
                model: model.clone(),
                version: newest.version.0,
                age: now.millis_since(newest.at),
            })
        };
        namings.iter().filter_map(newest).collect()
    }

    /// Versions of `model` that come due, or came due already.
    pub fn due(&self, model: &str) -> Vec<Due> {
        let namings = self.namings.borrow();
        let known = namings.get(model).into_iter().flat_map(Namings::iter);
        known.map(|naming| self.due_of(naming)).collect()
    }

    fn due_of(&self, naming: &Naming) -> Due {
        Due {
            version: naming.version,
            at: naming.due_at(self.settings.version_within.0),
        }
    }
}
