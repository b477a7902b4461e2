//! Items of the store, read through the platform's dialect, with a log line for what they lack.

use {
    gingerpier_serving::{
        dialect::{Dialect, Fact, Omission},
        mirror::Item,
    },
    std::{cell::RefCell, collections::BTreeSet},
};

/// Omissions that are remembered as told: a configuration of thousands of routes may lack the same
/// field in each.
const MOST_TOLD: usize = 100;

/// Reads items, and tells once of each thing that is missing.
pub struct Reader {
    dialect: &'static dyn Dialect,
    told: RefCell<BTreeSet<Omission>>,
}

impl Reader {
    /// Reader of items in the words of `dialect`.
    pub const fn new(dialect: &'static dyn Dialect) -> Self {
        Self {
            dialect,
            told: RefCell::new(BTreeSet::new()),
        }
    }

    /// What `item` says; nothing, and a log line, where it can't be understood. What was in force
    /// stays so then.
    pub fn read(&self, item: &Item) -> Option<Fact> {
        let value = item.value.as_ref()?;
        let revision = item.revision.0;
        match self.dialect.fact(&item.key, value) {
            Ok(reading) => {
                for omission in reading.omissions {
                    self.tell(&item.key, revision, omission);
                }
                Some(reading.fact)
            }
            Err(error) => {
                tracing::error!(key = item.key, revision, cause = %error, "item not understood");
                None
            }
        }
    }

    fn tell(&self, key: &str, revision: u64, omission: Omission) {
        let mut told = self.told.borrow_mut();
        if told.len() >= MOST_TOLD || told.contains(&omission) {
            return;
        }
        let instead = omission.instead;
        tracing::warn!(
            key,
            revision,
            place = omission.place,
            what = omission.what,
            instead,
            "missing or unknown"
        );
        told.insert(omission);
    }
}
